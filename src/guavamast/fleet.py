"""The fleet's configuration: read from INI and checked as a whole."""

from __future__ import annotations

import re
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING, Any, Final

from guavamast.findings import Finding, FindingsError
from guavamast.fleet_checks import check_fleet
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
    make_choice,
)
from guavamast.world import (
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

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.schema import ReadSection

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
        Key(name="kind", type=make_choice(EndpointKind), meaning="What the endpoint runs."),
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
            type=make_choice(Fencing),
            meaning="Whether it refuses an order that carries an old fencing number.",
            default=Fencing.IGNORED,
        ),
        Key(
            name="state",
            type=make_choice(EndpointState),
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
            type=make_choice(EndpointState),
            meaning="`leaving` makes the instance of this name shut down gracefully.",
        ),
    ),
)
FLEET_SECTIONS: Final = (CLASS, ORGANISATION, ENDPOINT, CALL, MODEL, INSTANCE)
"""Every kind of section of a fleet configuration."""


def parse_configuration(text: str, *, file: str, version: int) -> Configuration:
    """Read a fleet configuration.

    Args:
        text: The INI text.
        file: Name to report in findings.
        version: Version that the configuration has, or would have once accepted.

    Returns:
        The configuration.

    Raises:
        FindingsError: Something is wrong; carries every finding.
    """
    reader, configuration = _read(text, file=file, version=version)
    if reader.findings:
        raise FindingsError(reader.findings)
    return configuration


def check_configuration(text: str, *, file: str) -> list[Finding]:
    """Return all findings of a fleet configuration, in order of place."""
    reader, _ = _read(text, file=file, version=0)
    return FindingsError(reader.findings).findings


def _read(text: str, *, file: str, version: int) -> tuple[SchemaReader, Configuration]:
    reader = SchemaReader(ini=read_ini(text, file=file), kinds=FLEET_SECTIONS)
    reader.read()
    parts = [part for section in reader.sections if (part := make_part(section)) is not None]
    configuration = assemble(parts, text=text, version=version)
    check_fleet(reader, configuration)
    return reader, configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class Part:
    """What one section stands for."""

    kind: str
    name: str
    value: Any
    """The object, or the state that an ``[instance]`` section asks for."""


def make_part(section: ReadSection) -> Part | None:
    """Return what a section stands for, or None when one of its values could not be read."""
    if _KEYS[section.kind] != section.values.keys():
        return None
    value = _MAKERS[section.kind](section)
    return Part(kind=section.kind, name=section.name, value=value)


def assemble(parts: Iterable[Part], *, text: str, version: int) -> Configuration:
    """Return the configuration of these parts."""
    values: dict[str, dict[str, Any]] = {kind.kind: {} for kind in FLEET_SECTIONS}
    for part in parts:
        values[part.kind][part.name] = part.value
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


def _make_class(read: ReadSection) -> ServiceClass:
    return ServiceClass(name=read.name, **read.values)


def _make_organisation(read: ReadSection) -> Organisation:
    contract = Contract(
        requests_per_second=read.values["requests_per_second"],
        concurrent=read.values["concurrent"],
        classes=MappingProxyType(read.values["classes"]),
    )
    return Organisation(name=read.name, key_sha256=read.values["key_sha256"], contract=contract)


def _make_endpoint(read: ReadSection) -> Endpoint:
    values = read.values | {"models": frozenset(read.values["models"])}
    return Endpoint(name=read.name, **values)


def _make_call_rule(read: ReadSection) -> CallRule:
    service, _, call = read.name.partition(".")
    return CallRule(service=service, call=call, **read.values)


def _make_model(read: ReadSection) -> Model:
    return Model(name=read.name, version=read.values["version"])


def _get_state(read: ReadSection) -> EndpointState:
    return read.values["state"]


_KEYS: Final = {kind.kind: {key.name for key in kind.keys} for kind in FLEET_SECTIONS}
_MAKERS: Final[dict[str, Callable[[ReadSection], Any]]] = {
    CLASS.kind: _make_class,
    ORGANISATION.kind: _make_organisation,
    ENDPOINT.kind: _make_endpoint,
    CALL.kind: _make_call_rule,
    MODEL.kind: _make_model,
    INSTANCE.kind: _get_state,
}
"""Makes the object of each kind of section."""
