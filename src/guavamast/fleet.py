"""Schema and parser of the fleet's configuration, an INI text that is checked as a whole."""

from __future__ import annotations

import re
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from guavamast.findings import Finding, FindingsError
from guavamast.fleet_checks import check_fleet
from guavamast.fleet_objects import (
    CallRule,
    Configuration,
    Contract,
    Endpoint,
    EndpointKind,
    EndpointState,
    Fencing,
    Model,
    Organisation,
    ServiceClass,
)
from guavamast.inifile import read_ini
from guavamast.schema import Key, SchemaReader, SectionKind
from guavamast.value_types import (
    NAME,
    NAME_PATTERN,
    SHA256,
    VERSION,
    Choice,
    ListOf,
    Number,
    PairsOf,
    Pattern,
    Url,
    create_choice,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.schema import ParsedSection

_CALL_NAME: Final = Pattern(
    pattern=re.compile(rf"{NAME_PATTERN.pattern}\.{NAME_PATTERN.pattern}"),
    form="a service and its call with a dot between them",
)

CLASS: Final = SectionKind(
    kind="class",
    named=True,
    keys=(
        Key(
            name="tier",
            type=Number(minimum=1, maximum=9, whole=True),
            meaning="Priority; 1 is the highest.",
        ),
        Key(
            name="first_token_ms",
            type=Number(minimum=1, maximum=3_600_000, unit="ms"),
            meaning="Target for the time to the first token of an answer.",
        ),
        Key(
            name="token_interval_ms",
            type=Number(minimum=0.1, maximum=60_000, unit="ms"),
            meaning="Target for the time between tokens.",
        ),
        Key(
            name="completion_s",
            type=Number(minimum=0.1, maximum=604_800, unit="s"),
            meaning="Target for the whole answer, and the deadline when the caller gives none.",
        ),
        Key(
            name="guaranteed_share",
            type=Number(minimum=0, maximum=1),
            meaning="Share of starts that the class gets while it has waiting work.",
            default=0.0,
        ),
        Key(
            name="queue_limit",
            type=Number(minimum=0, maximum=100_000, whole=True),
            meaning="Requests of the class that may wait at one endpoint's keeper.",
            default=64,
        ),
    ),
)
ORGANISATION: Final = SectionKind(
    kind="organisation",
    named=True,
    keys=(
        Key(name="key_sha256", type=SHA256, meaning="Digest of the key that its callers send."),
        Key(
            name="requests_per_second",
            type=Number(minimum=0.001, maximum=1_000_000),
            meaning="Rate limit over all of its callers.",
        ),
        Key(
            name="concurrent",
            type=Number(minimum=1, maximum=1_000_000, whole=True),
            meaning="Requests that it may have in flight.",
        ),
        Key(name="classes", type=PairsOf(), meaning="Class of each kind of request it may make."),
    ),
)
ENDPOINT: Final = SectionKind(
    kind="endpoint",
    named=True,
    keys=(
        Key(name="kind", type=create_choice(EndpointKind), meaning="What the endpoint runs."),
        Key(
            name="service",
            type=NAME,
            meaning="Name of the service; needed for a service, not taken by an engine.",
            default="",
        ),
        Key(name="url", type=Url(), meaning="Where it listens; no two endpoints share one."),
        Key(name="failure_domain", type=NAME, meaning="Failure domain it stands in."),
        Key(
            name="models",
            type=ListOf(NAME),
            meaning="Models it serves; needed for an engine, not taken by a service.",
            default=(),
        ),
        Key(
            name="slots",
            type=Number(minimum=1, maximum=100_000, whole=True),
            meaning="Requests that it runs at the same time.",
        ),
        Key(
            name="fencing",
            type=create_choice(Fencing),
            meaning="Whether it refuses an order that carries an old fencing number.",
            default=Fencing.IGNORED,
        ),
        Key(
            name="state",
            type=create_choice(EndpointState),
            meaning="Whether it takes new work or is drained.",
            default=EndpointState.ACTIVE,
        ),
    ),
)
CALL: Final = SectionKind(
    kind="call",
    named=True,
    name_type=_CALL_NAME,
    name_form="SERVICE.CALL",
    keys=(
        Key(
            name="idempotent",
            type=Choice({"yes": True, "no": False}),
            meaning="Whether it may run more than once for one request.",
        ),
        Key(
            name="timeout_s",
            type=Number(minimum=0.01, maximum=86_400, unit="s"),
            meaning="Longest wait for its answer.",
            default=30.0,
        ),
    ),
)
MODEL: Final = SectionKind(
    kind="model",
    named=True,
    keys=(Key(name="version", type=VERSION, meaning="Version that the engines are to run."),),
)
INSTANCE: Final = SectionKind(
    kind="instance",
    named=True,
    keys=(
        Key(
            name="state",
            type=create_choice(EndpointState),
            meaning="`leaving` makes the instance of this name shut down gracefully.",
        ),
    ),
)
FLEET_SECTIONS: Final = (CLASS, ORGANISATION, ENDPOINT, CALL, MODEL, INSTANCE)
"""Every kind of section of a fleet configuration."""


def parse_configuration(text: str, *, file: str, version: int) -> Configuration:
    """Parse and check a fleet configuration.

    Args:
        text: The INI text.
        file: Name to report in findings.
        version: Number of the accepted version, or the number that a plan would get.

    Returns:
        The configuration.

    Raises:
        FindingsError: The text has faults; the error holds every finding.
    """
    reader, configuration = _read(text, file=file, version=version)
    if reader.findings:
        raise FindingsError(reader.findings)
    return configuration


def check_configuration(text: str, *, file: str) -> list[Finding]:
    """Return all findings of a fleet configuration, sorted by line."""
    reader, _ = _read(text, file=file, version=0)
    return FindingsError(reader.findings).findings


def _read(text: str, *, file: str, version: int) -> tuple[SchemaReader, Configuration]:
    reader = SchemaReader(ini=read_ini(text, file=file), kinds=FLEET_SECTIONS)
    reader.read()
    objects = [
        section_object
        for section in reader.sections
        if (section_object := build_section_object(section)) is not None
    ]
    configuration = build_configuration(objects, text=text, version=version)
    check_fleet(reader, configuration)
    return reader, configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class SectionObject:
    """The object that one section describes."""

    kind: str
    name: str
    value: Any
    """The object, or the requested state in case of an ``[instance]`` section."""


def build_section_object(section: ParsedSection) -> SectionObject | None:
    """Return the object of a section, or None when one of its values is missing or invalid."""
    if _KEY_NAMES[section.kind] != section.values.keys():
        return None
    value = _BUILDERS[section.kind](section)
    return SectionObject(kind=section.kind, name=section.name, value=value)


def build_configuration(
    objects: Iterable[SectionObject], *, text: str, version: int
) -> Configuration:
    """Return the configuration that consists of these objects."""
    values: dict[str, dict[str, Any]] = {kind.kind: {} for kind in FLEET_SECTIONS}
    for section_object in objects:
        values[section_object.kind][section_object.name] = section_object.value
    rules = {(rule.service, rule.call): rule for rule in values[CALL.kind].values()}
    states = values[INSTANCE.kind].items()
    return Configuration(
        version=version,
        text=text,
        classes=MappingProxyType(values[CLASS.kind]),
        organisations=MappingProxyType(values[ORGANISATION.kind]),
        endpoints=MappingProxyType(values[ENDPOINT.kind]),
        calls=MappingProxyType(rules),
        models=MappingProxyType(values[MODEL.kind]),
        leaving_instances=frozenset(
            name for name, state in states if state is EndpointState.LEAVING
        ),
    )


def _build_class(section: ParsedSection) -> ServiceClass:
    return ServiceClass(name=section.name, **section.values)


def _build_organisation(section: ParsedSection) -> Organisation:
    contract = Contract(
        requests_per_second=section.values["requests_per_second"],
        concurrent=section.values["concurrent"],
        classes=MappingProxyType(section.values["classes"]),
    )
    return Organisation(
        name=section.name, key_sha256=section.values["key_sha256"], contract=contract
    )


def _build_endpoint(section: ParsedSection) -> Endpoint:
    values = section.values | {"models": frozenset(section.values["models"])}
    return Endpoint(name=section.name, **values)


def _build_call_rule(section: ParsedSection) -> CallRule:
    service, _, call = section.name.partition(".")
    return CallRule(service=service, call=call, **section.values)


def _build_model(section: ParsedSection) -> Model:
    return Model(name=section.name, version=section.values["version"])


def _get_state(section: ParsedSection) -> EndpointState:
    return section.values["state"]


_KEY_NAMES: Final = {kind.kind: {key.name for key in kind.keys} for kind in FLEET_SECTIONS}
_BUILDERS: Final[dict[str, Callable[[ParsedSection], Any]]] = {
    CLASS.kind: _build_class,
    ORGANISATION.kind: _build_organisation,
    ENDPOINT.kind: _build_endpoint,
    CALL.kind: _build_call_rule,
    MODEL.kind: _build_model,
    INSTANCE.kind: _get_state,
}
"""Function that builds the object, by kind of section."""
