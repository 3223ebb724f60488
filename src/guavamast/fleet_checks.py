"""Checks of a fleet configuration across sections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.capacity import compute_capacities
from guavamast.findings import FindingCode
from guavamast.fleet_objects import EndpointKind
from guavamast.schema import format_suggestion

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.capacity import ClassCapacity
    from guavamast.fleet_objects import Configuration
    from guavamast.schema import ParsedSection, SchemaReader

_SHARE_TOLERANCE: Final = 1e-9
"""Allows for rounding: decimal shares with an exact sum of 1 may sum to slightly more as floats."""


def check_fleet(reader: SchemaReader, configuration: Configuration) -> None:
    """Add the findings about sections that are inconsistent with each other.

    Args:
        reader: The sections, and the list that findings are added to.
        configuration: The objects that could be built from them.
    """
    _check_classes(reader)
    _check_organisations(reader)
    _check_endpoints(reader)
    _check_calls(reader)
    mappings = (configuration.classes, configuration.organisations, configuration.endpoints)
    built_count = sum(
        len(mapping) for mapping in (*mappings, configuration.calls, configuration.models)
    )
    parsed_sections = [section for section in reader.sections if section.kind != "instance"]
    # An invalid section is left out, which would cause false capacity findings about others.
    if built_count == len(parsed_sections):
        _check_capacity(reader, configuration)


def _check_classes(reader: SchemaReader) -> None:
    classes = reader.list_sections("class")
    total = sum(read.values.get("guaranteed_share", 0.0) for read in classes)
    if total > 1.0 + _SHARE_TOLERANCE:
        shares = [read for read in classes if read.values.get("guaranteed_share")]
        message = f"guaranteed_share of all classes sums to {total:.6g}, above 1"
        line = shares[-1].find_line("guaranteed_share")
        reader.add(line, FindingCode.SHARE_SUM, message)
    for section in classes:
        first_ms, total_s = section.values.get("first_token_ms"), section.values.get("completion_s")
        if first_ms is not None and total_s is not None and first_ms > total_s * 1000.0:
            message = f"first_token_ms {first_ms:g} is later than completion_s {total_s:g}"
            reader.add(section.find_line("first_token_ms"), FindingCode.OUT_OF_RANGE, message)


def _check_organisations(reader: SchemaReader) -> None:
    organisations = reader.list_sections("organisation")
    _check_unique(reader, organisations, "key_sha256", "is another organisation's key")
    classes = _list_names(reader, "class")
    for section in organisations:
        for kind, name in section.values.get("classes", {}).items():
            if name not in classes:
                message = (
                    f"classes: [class {name}] of kind {kind}{format_suggestion(name, classes)}"
                )
                reader.add(section.find_line("classes"), FindingCode.UNDEFINED_REFERENCE, message)


def _check_endpoints(reader: SchemaReader) -> None:
    endpoints = reader.list_sections("endpoint")
    _check_unique(reader, endpoints, "url", "is another endpoint's url")
    models = _list_names(reader, "model")
    for section in endpoints:
        kind = section.values.get("kind")
        if kind is EndpointKind.ENGINE:
            _check_kind_keys(reader, section, required="models", rejected="service")
        elif kind is EndpointKind.SERVICE:
            _check_kind_keys(reader, section, required="service", rejected="models")
        for name in section.values.get("models", ()):
            if name not in models:
                message = f"models: [model {name}]{format_suggestion(name, models)}"
                reader.add(section.find_line("models"), FindingCode.UNDEFINED_REFERENCE, message)


def _check_kind_keys(
    reader: SchemaReader, section: ParsedSection, *, required: str, rejected: str
) -> None:
    kind = section.values["kind"]
    if required in section.values and not section.values[required]:
        message = f"[endpoint {section.name}] of kind {kind} has no {required}"
        reader.add(section.find_line(required), FindingCode.MISSING_KEY, message)
    if rejected in section.lines:
        message = f"{rejected} doesn't apply to an endpoint of kind {kind}"
        reader.add(section.find_line(rejected), FindingCode.MISPLACED_KEY, message)


def _check_calls(reader: SchemaReader) -> None:
    services = {read.values.get("service") for read in reader.list_sections("endpoint")}
    services.discard("")
    names = {str(service) for service in services if service}
    for section in reader.list_sections("call"):
        service = section.name.partition(".")[0]
        if service not in names:
            message = (
                f"service {service} of [call {section.name}]{format_suggestion(service, names)}"
            )
            reader.add(section.line, FindingCode.UNDEFINED_REFERENCE, message)


def _check_capacity(reader: SchemaReader, configuration: Configuration) -> None:
    capacities = compute_capacities(configuration)
    classes = {section.name: section for section in reader.list_sections("class")}
    for name, capacity in capacities.items():
        if name in classes and not capacity.endpoints:
            message = f"no endpoint can run the kinds of request of [class {name}]"
            reader.add(classes[name].line, FindingCode.NO_CAPACITY, message)
    _check_tiers(reader, classes, capacities)
    _check_models(reader, configuration)


def _check_tiers(
    reader: SchemaReader, classes: dict[str, ParsedSection], capacities: dict[str, ClassCapacity]
) -> None:
    """Report classes of one tier that share an endpoint.

    Scheduling is by strict priority between tiers and fair among the organisations of a class;
    it defines no order between two classes of one tier at one endpoint.
    """
    seen: list[ParsedSection] = []
    for section in classes.values():
        if section.name not in capacities:
            continue
        for other in seen:
            shared = capacities[section.name].endpoints & capacities[other.name].endpoints
            if shared and other.values["tier"] == section.values["tier"]:
                message = (
                    f"[class {section.name}] and [class {other.name}] are both of tier "
                    f"{section.values['tier']} and share endpoints, such as {min(shared)}"
                )
                reader.add(section.find_line("tier"), FindingCode.DUPLICATE_TIER, message)
        seen.append(section)


def _check_models(reader: SchemaReader, configuration: Configuration) -> None:
    served = {model for endpoint in configuration.endpoints.values() for model in endpoint.models}
    for section in reader.list_sections("model"):
        if section.name not in served:
            message = f"no endpoint serves [model {section.name}]"
            reader.add(section.line, FindingCode.NO_CAPACITY, message)


def _check_unique(
    reader: SchemaReader, sections: Iterable[ParsedSection], key: str, message: str
) -> None:
    owners: dict[str, str] = {}
    for section in sections:
        value = section.values.get(key)
        if value is None:
            continue
        if value in owners:
            text = f"{key} {message}: [{section.kind} {owners[value]}]"
            reader.add(section.find_line(key), FindingCode.DUPLICATE_VALUE, text)
        owners.setdefault(value, section.name)


def _list_names(reader: SchemaReader, kind: str) -> list[str]:
    return [section.name for section in reader.list_sections(kind)]
