"""Decoder of the platform's settings file of one process."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from guavamast.decoding import Decoding, MalformedData, decode_ip, decode_json, decode_port
from guavamast.findings import Finding, FindingCode, FindingsError
from guavamast.relay.duty_settings import DutySettings
from guavamast.relay.node_settings import NodeSettings, SocketAddress

if TYPE_CHECKING:
    from collections.abc import Callable

SETTINGS_VARIABLE = "GUAVAMAST_SETTINGS"
"""Environment variable that holds the path of the file."""
DEFAULT_BOUND_S = 3600.0
"""Seconds for which an instance serves by its last state in an outage, if no bound is set."""

DEFAULT_SPREAD_S = 3.0
"""Seconds in which all instances must know what one has learned, if no bound is set."""

DEFAULT_LEASE_S = 3.0
"""Seconds in which duties must not pass to another instance and back, if no bound is set."""
DEFAULT_WINDOW_S = 5.0
"""Seconds of a usage window, if none is set."""
DEFAULT_USAGE_DUE_S = 10.0
"""Seconds from the end of a window until its usage is due, if none are set."""
DEFAULT_CALLS_PER_S = 10.0
"""Calls per second that the provider accepts, if no rate is set."""
USAGE_DUTY = "usage_report"
SCALING_DUTY = "autoscale"
PRESSURE_CONTRACT = "pressure"
"""Entry of the contracts by which engines end when they hold more than fits into their memory."""
BYTES_PER_MB = 1_048_576


class _SettingsReader:
    """Reads values from a decoded settings file and collects findings."""

    def __init__(self, file: str, fields: dict[str, Any]) -> None:
        self._file = file
        self._fields = fields
        self.findings: list[Finding] = []

    def add_finding(self, path: str, code: FindingCode, message: str) -> None:
        """Add a finding."""
        self.findings.append(
            Finding(file=self._file, line=0, code=code, message=f"{path}: {message}")
        )

    def look_up(self, path: str) -> Any:
        """Return the value at a dotted path; None if there is none."""
        value: Any = self._fields
        for name in path.split("."):
            if not isinstance(value, dict) or name not in value:
                return None
            value = value[name]
        return value

    def read(self, path: str, convert: Callable[[Any], Any], default: Any) -> Any:
        """Return a converted value; if missing or invalid, add a finding and return the default."""
        value = self.look_up(path)
        if value is None:
            self.add_finding(path, FindingCode.MISSING_KEY, "is missing")
            return default
        try:
            with Decoding(path):
                return convert(value)
        except MalformedData as error:
            self.add_finding(path, FindingCode.BAD_VALUE, error.reason)
            return default


def _read_text(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError("is not a non-empty string")
    return value


def _read_positive(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or value <= 0:
        raise ValueError("is not a number above 0")
    return float(value)


def _read_address(value: Any) -> SocketAddress:
    ip, _, port = _read_text(value).rpartition(":")
    return SocketAddress(ip=decode_ip(ip), port=decode_port(port))


def _read_first_port(value: Any) -> int:
    if not isinstance(value, list) or len(value) != 2 or value[1] - value[0] < 1:
        raise ValueError("is not a range of two ports or more")
    return int(value[0])


def read_settings(path: str) -> NodeSettings:
    """Return the settings in a file.

    Raises:
        FindingsError: With all findings of the file.
    """
    try:
        with open(path, "rb") as file:
            data = file.read()
        with Decoding("settings"):
            fields = decode_json(data)
            if not isinstance(fields, dict):
                raise ValueError("not a JSON object")
    except (OSError, MalformedData) as error:
        finding = Finding(file=path, line=0, code=FindingCode.UNREADABLE, message=str(error))
        raise FindingsError([finding]) from error
    return decode_settings(fields, file=path)


def decode_settings(fields: dict[str, Any], *, file: str) -> NodeSettings:
    """Return the settings in a decoded file; unknown fields are ignored.

    Raises:
        FindingsError: With all findings of the file.
    """
    reader = _SettingsReader(file, fields)
    placeholder = SocketAddress(ip="127.0.0.1", port=1)
    ip = reader.read("ip", _read_text, "127.0.0.1")
    first_port = reader.read("internal_ports", _read_first_port, 1)
    has_directory = reader.look_up("listen.directory") is not None
    has_readiness = reader.look_up("listen.readiness") is not None
    settings = NodeSettings(
        name=reader.read("node_name", _read_text, ""),
        ip=ip,
        failure_domain=reader.read("zone", _read_text, ""),
        region=reader.read("region", _read_text, ""),
        callers=reader.read("listen.front", _read_address, placeholder),
        directory=(
            reader.read("listen.directory", _read_address, placeholder) if has_directory else None
        ),
        readiness=(
            reader.read("listen.readiness", _read_address, placeholder) if has_readiness else None
        ),
        metrics=SocketAddress(ip=ip, port=first_port + 1),
        peers=SocketAddress(ip=ip, port=first_port),
        store=reader.read("platform.address", _read_address, placeholder),
        change_s=_read_bound(reader, "bounds.config_apply_ms"),
        leaving_s=_read_bound(reader, "bounds.drain_ms"),
        # The default bound applies where keys need not stop working at once.
        revocation_s=_read_revocation(reader),
        spread_s=_read_bound(reader, "bounds.stable_window_ms", default_s=DEFAULT_SPREAD_S),
        grace_s=reader.read("bounds.grace_s", _read_positive, 8.0),
        retry_ratio=reader.read("bounds.retry_budget_ratio", _read_positive, 0.1),
        retry_slack=reader.read("bounds.budget_slack", _read_positive, 10.0),
        retry_window_s=reader.read("bounds.budget_window_s", _read_positive, 10.0),
        link_mbps=_read_optional(reader, "limits.link_mbps"),
        processor_share=_read_optional(reader, "limits.cpu_share")
        * (_read_optional(reader, "limits.cores") or 1.0),
        memory_bytes=int(_read_optional(reader, "limits.memory_mb") * BYTES_PER_MB),
        memory_pressure=_lists(reader, "contracts", PRESSURE_CONTRACT),
        duties=_read_duties(reader),
    )
    if reader.findings:
        raise FindingsError(reader.findings)
    return settings


def _read_optional(reader: _SettingsReader, path: str) -> float:
    """Return an optional number; 0 if missing."""
    if reader.look_up(path) is None:
        return 0.0
    return float(reader.read(path, _read_positive, 0.0))


def _lists(reader: _SettingsReader, path: str, name: str) -> bool:
    """Return whether an optional list contains a name."""
    names = reader.look_up(path)
    return isinstance(names, list) and name in names


def _read_bound(reader: _SettingsReader, path: str, *, default_s: float = DEFAULT_BOUND_S) -> float:
    """Return an optional bound in seconds, read as milliseconds; the default if it is missing."""
    if reader.look_up(path) is None:
        return default_s
    return float(reader.read(path, _read_positive, 2000.0)) / 1000.0


def _read_revocation(reader: _SettingsReader) -> float:
    """Return the revocation bound in seconds, read as milliseconds.

    It applies only if the file states that it must hold while the store is unreachable; otherwise
    the default bound is returned.
    """
    if not reader.look_up("bounds.strict_revocation"):
        return DEFAULT_BOUND_S
    return float(reader.read("bounds.revoke_ms", _read_positive, 5000.0)) / 1000.0


def _read_duties(reader: _SettingsReader) -> DutySettings | None:
    """Return the duties towards the provider; None if the file names none."""
    if reader.look_up("cloud.address") is None:
        return None
    return DutySettings(
        provider=reader.read("cloud.address", _read_address, SocketAddress(ip="127.0.0.1", port=1)),
        reports_usage=_lists(reader, "cloud.duties", USAGE_DUTY),
        orders_engines=_lists(reader, "cloud.duties", SCALING_DUTY),
        fenced=bool(reader.look_up("bounds.enforce_fencing")),
        lease_s=_read_bound(reader, "bounds.lease_ms", default_s=DEFAULT_LEASE_S),
        resume_slack_s=_read_bound(reader, "bounds.thaw_slack_ms", default_s=0.3),
        window_s=_read_seconds(reader, "bounds.report_window_s", DEFAULT_WINDOW_S),
        usage_due_s=_read_seconds(reader, "bounds.usage_late_s", DEFAULT_USAGE_DUE_S),
        calls_per_s=_read_seconds(reader, "cloud.duty_per_s", DEFAULT_CALLS_PER_S),
    )


def _read_seconds(reader: _SettingsReader, path: str, default: float) -> float:
    """Return an optional positive number; the default if it is missing."""
    if reader.look_up(path) is None:
        return default
    return float(reader.read(path, _read_positive, default))
