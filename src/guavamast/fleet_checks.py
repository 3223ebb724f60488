"""Checks of a fleet configuration that look at several sections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.capacity import compute_capacities
from guavamast.findings import FindingCode
from guavamast.schema import suggest
from guavamast.world import EndpointKind

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.capacity import ClassCapacity
    from guavamast.schema import ReadSection, SchemaReader
    from guavamast.world import Configuration

_SHARE_TOLERANCE: Final = 1e-9
"""Decimal shares that sum to 1 on paper may sum to a little more in floating point."""


def check_fleet(reader: SchemaReader, configuration: Configuration) -> None:
    """Add the findings about sections that don't fit together.

    Args:
        reader: The sections; takes the findings.
        configuration: What could be built of them.
    """
    _check_classes(reader)
    _check_organisations(reader)
    _check_endpoints(reader)
    _check_calls(reader)
    parts = (configuration.classes, configuration.organisations, configuration.endpoints)
    built = sum(len(part) for part in (*parts, configuration.calls, configuration.models))
    written = [read for read in reader.sections if read.kind != "instance"]
    # A section that could not be read would make others look short of capacity.
    if built == len(written):
        _check_capacity(reader, configuration)


def _check_classes(reader: SchemaReader) -> None:
    classes = reader.list_sections("class")
    total = sum(read.values.get("guaranteed_share", 0.0) for read in classes)
    if total > 1.0 + _SHARE_TOLERANCE:
        shares = [read for read in classes if read.values.get("guaranteed_share")]
        message = f"guaranteed_share of all classes sums to {total:.6g}, above 1"
        line = shares[-1].find_line("guaranteed_share")
        reader.add(line, FindingCode.SHARE_SUM, message)
    for read in classes:
        first, whole = read.values.get("first_token_ms"), read.values.get("completion_s")
        if first is not None and whole is not None and first > whole * 1000.0:
            message = f"first_token_ms {first:g} is later than completion_s {whole:g}"
            reader.add(read.find_line("first_token_ms"), FindingCode.OUT_OF_RANGE, message)


def _check_organisations(reader: SchemaReader) -> None:
    organisations = reader.list_sections("organisation")
    _check_unique(reader, organisations, "key_sha256", "is another organisation's key")
    classes = _list_names(reader, "class")
    for read in organisations:
        for kind, name in read.values.get("classes", {}).items():
            if name not in classes:
                message = f"classes: [class {name}] of kind {kind}{suggest(name, classes)}"
                reader.add(read.find_line("classes"), FindingCode.UNDEFINED_REFERENCE, message)


def _check_endpoints(reader: SchemaReader) -> None:
    endpoints = reader.list_sections("endpoint")
    _check_unique(reader, endpoints, "url", "is another endpoint's url")
    models = _list_names(reader, "model")
    for read in endpoints:
        kind = read.values.get("kind")
        if kind is EndpointKind.ENGINE:
            _check_needed(reader, read, needed="models", refused="service")
        elif kind is EndpointKind.SERVICE:
            _check_needed(reader, read, needed="service", refused="models")
        for name in read.values.get("models", ()):
            if name not in models:
                message = f"models: [model {name}]{suggest(name, models)}"
                reader.add(read.find_line("models"), FindingCode.UNDEFINED_REFERENCE, message)


def _check_needed(reader: SchemaReader, read: ReadSection, *, needed: str, refused: str) -> None:
    kind = read.values["kind"]
    if needed in read.values and not read.values[needed]:
        message = f"[endpoint {read.name}] of kind {kind} has no {needed}"
        reader.add(read.find_line(needed), FindingCode.MISSING_KEY, message)
    if refused in read.lines:
        message = f"{refused} is not taken by an endpoint of kind {kind}"
        reader.add(read.find_line(refused), FindingCode.MISPLACED_KEY, message)


def _check_calls(reader: SchemaReader) -> None:
    services = {read.values.get("service") for read in reader.list_sections("endpoint")}
    services.discard("")
    names = {str(service) for service in services if service}
    for read in reader.list_sections("call"):
        service = read.name.partition(".")[0]
        if service not in names:
            message = f"service {service} of [call {read.name}]{suggest(service, names)}"
            reader.add(read.line, FindingCode.UNDEFINED_REFERENCE, message)


def _check_capacity(reader: SchemaReader, configuration: Configuration) -> None:
    capacities = compute_capacities(configuration)
    lines = {read.name: read for read in reader.list_sections("class")}
    for name, capacity in capacities.items():
        if name in lines and not capacity.endpoints:
            message = f"no endpoint can run what [class {name}] is used for"
            reader.add(lines[name].line, FindingCode.NO_CAPACITY, message)
    _check_tiers(reader, lines, capacities)
    _check_models(reader, configuration)


def _check_tiers(
    reader: SchemaReader, lines: dict[str, ReadSection], capacities: dict[str, ClassCapacity]
) -> None:
    """Report classes of one tier that compete for an endpoint.

    Order is strict between tiers and fair among the organisations of a class; between two
    classes of one tier at one endpoint nothing would say which starts first.
    """
    seen: list[ReadSection] = []
    for read in lines.values():
        if read.name not in capacities:
            continue
        for other in seen:
            shared = capacities[read.name].endpoints & capacities[other.name].endpoints
            if shared and other.values["tier"] == read.values["tier"]:
                message = (
                    f"[class {read.name}] and [class {other.name}] are both of tier "
                    f"{read.values['tier']} and share endpoints, such as {min(shared)}"
                )
                reader.add(read.find_line("tier"), FindingCode.DUPLICATE_TIER, message)
        seen.append(read)


def _check_models(reader: SchemaReader, configuration: Configuration) -> None:
    served = {model for endpoint in configuration.endpoints.values() for model in endpoint.models}
    for read in reader.list_sections("model"):
        if read.name not in served:
            message = f"no endpoint serves [model {read.name}]"
            reader.add(read.line, FindingCode.NO_CAPACITY, message)


def _check_unique(
    reader: SchemaReader, sections: Iterable[ReadSection], key: str, message: str
) -> None:
    owners: dict[str, str] = {}
    for read in sections:
        value = read.values.get(key)
        if value is None:
            continue
        if value in owners:
            text = f"{key} {message}: [{read.kind} {owners[value]}]"
            reader.add(read.find_line(key), FindingCode.DUPLICATE_VALUE, text)
        owners.setdefault(value, read.name)


def _list_names(reader: SchemaReader, kind: str) -> list[str]:
    return [read.name for read in reader.list_sections(kind)]
