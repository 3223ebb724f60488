"""Settings of an instance, shared by its entry and its dispatcher."""

from __future__ import annotations

from dataclasses import dataclass, fields
from pathlib import Path
from typing import TYPE_CHECKING, Final

from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.inifile import read_ini
from guavamast.schema import Key, SchemaReader, SectionKind
from guavamast.value_types import (
    NAME,
    PATH,
    Address,
    Choice,
    ListOf,
    Number,
    Url,
)

if TYPE_CHECKING:
    from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceSettings:
    """Values of the settings file of an instance."""

    instance: Instance
    """Its ports may be 0; the OS chooses one then."""
    tables_url: str
    objects_url: str
    seeds: tuple[str, ...]
    """Peer addresses of the dispatchers to query first."""
    operator_token_file: Path | None
    statsd: str
    """``ip:port``; no metrics are sent when empty."""
    log_level: str = "info"
    log_format: str = "text"
    max_body_bytes: int = 1_048_576
    drain_wait_s: float = 600.0
    """Longest time for which a leaving daemon waits for work in flight."""
    address_validity_s: float = 10.0
    """Time for which callers may cache a response of ``/v1/addresses``."""
    operation_retention_s: float = 604_800.0
    """Age at which a finished operation's row may be deleted."""


_DEFAULTS: Final = {field.name: field.default for field in fields(InstanceSettings)}
_LOG_LEVELS: Final = ("debug", "info", "warning", "error")
SETTINGS_SECTIONS: Final = (
    SectionKind(
        kind="instance",
        required=True,
        keys=(
            Key(name="name", type=NAME, meaning="Name of the instance, one of its own."),
            Key(name="failure_domain", type=NAME, meaning="Failure domain it stands in."),
            Key(name="region", type=NAME, meaning="Region of that failure domain."),
        ),
    ),
    SectionKind(
        kind="listen",
        required=True,
        keys=(
            Key(
                name="callers",
                type=Address(any_port=True),
                meaning="Where the entry takes callers and operators.",
            ),
            Key(
                name="peers",
                type=Address(any_port=True),
                meaning="Where the dispatcher takes entries and other dispatchers.",
            ),
        ),
    ),
    SectionKind(
        kind="platform",
        required=True,
        keys=(
            Key(name="tables", type=Url(), meaning="The platform's table service."),
            Key(name="objects", type=Url(), meaning="The platform's object store."),
        ),
    ),
    SectionKind(
        kind="peers",
        keys=(
            Key(
                name="seeds",
                type=ListOf(Address(any_port=False)),
                meaning="Dispatchers to ask first, beside the platform's list.",
                default=(),
            ),
        ),
    ),
    SectionKind(
        kind="operators",
        keys=(
            Key(
                name="token_file",
                type=PATH,
                meaning="File with a line `name token` for each operator; a relative path is "
                "taken from the directory of the settings file. Without it no operator gets in.",
                default="",
            ),
        ),
    ),
    SectionKind(
        kind="metrics",
        keys=(
            Key(
                name="statsd",
                type=Address(any_port=False),
                meaning="Where metrics go over UDP. Without it none are sent.",
                default="",
            ),
        ),
    ),
    SectionKind(
        kind="log",
        keys=(
            Key(
                name="level",
                type=Choice({level: level for level in _LOG_LEVELS}),
                meaning="Least level that is logged.",
                default=_DEFAULTS["log_level"],
            ),
            Key(
                name="format",
                type=Choice({"text": "text", "json": "json"}),
                meaning="Text lines, or one JSON object a line.",
                default=_DEFAULTS["log_format"],
            ),
        ),
    ),
    SectionKind(
        kind="limits",
        keys=(
            Key(
                name="max_body_bytes",
                type=Number(minimum=1024, maximum=67_108_864, unit="bytes", whole=True),
                meaning="Largest request body; a larger one gets 413.",
                default=_DEFAULTS["max_body_bytes"],
            ),
            Key(
                name="operation_retention_s",
                type=Number(minimum=3600, maximum=31_536_000, unit="s"),
                meaning="Age at which a finished operation's row may be deleted.",
                default=_DEFAULTS["operation_retention_s"],
            ),
        ),
    ),
    SectionKind(
        kind="leaving",
        keys=(
            Key(
                name="drain_wait_s",
                type=Number(minimum=0, maximum=86_400, unit="s"),
                meaning="Longest time a leaving daemon waits for work in flight.",
                default=_DEFAULTS["drain_wait_s"],
            ),
            Key(
                name="address_validity_s",
                type=Number(minimum=1, maximum=300, unit="s"),
                meaning="Time for which callers may keep an answer of `/v1/addresses`.",
                default=_DEFAULTS["address_validity_s"],
            ),
        ),
    ),
)
"""Every kind of section of an instance's settings."""


def load_settings(path: Path | str) -> InstanceSettings:
    """Read and check the settings file of an instance.

    Args:
        path: Path of the file.

    Returns:
        The settings.

    Raises:
        FindingsError: The file is unreadable or has faults; the error holds every finding.
    """
    return parse_settings(read_text(path), file=str(path))


def read_text(path: Path | str) -> str:
    """Return a file's text.

    Raises:
        FindingsError: The file is unreadable or not UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or "is not UTF-8 text"
        code = FindingCode.UNREADABLE
        finding = Finding(file=str(path), line=0, code=code, message=reason)
        raise FindingsError([finding]) from None


def parse_settings(text: str, *, file: str) -> InstanceSettings:
    """Parse and check the settings of an instance.

    Args:
        text: The INI text.
        file: Path of the file, for findings and as the base of relative paths.

    Returns:
        The settings.

    Raises:
        FindingsError: The text has faults; the error holds every finding.
    """
    reader = SchemaReader(ini=read_ini(text, file=file), kinds=SETTINGS_SECTIONS)
    reader.read()
    _check_listeners(reader)
    if reader.findings:
        raise FindingsError(reader.findings)
    return _build_settings(_collect_values(reader), directory=Path(file).parent)


def _check_listeners(reader: SchemaReader) -> None:
    """Report two listeners with one address; with port 0 each gets a port of its own."""
    for section in reader.list_sections("listen"):
        callers, peers = section.values.get("callers"), section.values.get("peers", "")
        if callers == peers and not peers.endswith(":0"):
            message = f"peers: {peers} is also the address of callers"
            reader.add(section.find_line("peers"), FindingCode.DUPLICATE_VALUE, message)


def _collect_values(reader: SchemaReader) -> dict[str, dict[str, Any]]:
    """Return the values by kind of section; defaults for a section that isn't written."""
    values = {kind.kind: {key.name: key.default for key in kind.keys} for kind in SETTINGS_SECTIONS}
    for section in reader.sections:
        values[section.kind] = section.values
    return values


def _build_settings(values: dict[str, dict[str, Any]], *, directory: Path) -> InstanceSettings:
    instance = values["instance"]
    token_file = values["operators"]["token_file"]
    domain = FailureDomain(name=instance["failure_domain"], region=instance["region"])
    return InstanceSettings(
        instance=Instance(
            name=instance["name"],
            failure_domain=domain,
            caller_address=values["listen"]["callers"],
            peer_address=values["listen"]["peers"],
        ),
        tables_url=values["platform"]["tables"],
        objects_url=values["platform"]["objects"],
        seeds=values["peers"]["seeds"],
        operator_token_file=directory / token_file if token_file else None,
        statsd=values["metrics"]["statsd"],
        log_level=values["log"]["level"],
        log_format=values["log"]["format"],
        **values["limits"],
        **values["leaving"],
    )
