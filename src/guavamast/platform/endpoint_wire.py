"""Decoder of the rows that engines and services write about themselves to the store."""

from __future__ import annotations

from typing import Any

from guavamast.decoding import Decoding, decode_ip, decode_name, decode_port
from guavamast.relay.endpoint_table import EndpointRecord


def decode_endpoint(key: str, fields: Any, *, row_version: int) -> EndpointRecord | None:
    """Return the record of a row; None if its state is unknown.

    Rows may come from other writers, also under an endpoint's id. One with a field that is missing
    or of another type names no endpoint: with defaults in their place, requests would be sent to
    another service's.

    Args:
        key: The endpoint's id.
        fields: The row's decoded value.
        row_version: The row's version in the store.

    Raises:
        MalformedData: The row describes no usable endpoint.
    """
    with Decoding("endpoint"):
        return _decode(key, fields, row_version=row_version)


def _decode(key: str, fields: dict[str, Any], *, row_version: int) -> EndpointRecord | None:
    service = _read_text(fields, "service")
    host, _, port = _read_text(fields, "address").rpartition(":")
    zone = _read_text(fields, "zone")
    version = _read_text(fields, "version")
    state = _read_text(fields, "state")
    slots = _read_count(fields, "slots")
    _read_count(fields, "seq")
    _read_duration(fields["cold_left_ms"])
    leaves_ms = fields.get("leaves_ms")
    record = EndpointRecord(
        endpoint_id=decode_name(key),
        row_version=row_version,
        service=service,
        host=decode_ip(host),
        port=decode_port(port),
        failure_domain=zone,
        slots=max(1, slots),
        ready=state == "ready",
        started_ms=None if fields.get("born") is None else _read_count(fields, "born"),
        software_version=version,
        reclaimable=fields.get("spot") is True,
        leaves_s=None if leaves_ms is None else _read_duration(leaves_ms) / 1000.0,
    )
    return record if state in ("ready", "draining") else None


def _read_text(fields: dict[str, Any], name: str) -> str:
    value = fields[name]
    if not isinstance(value, str) or not value:
        raise ValueError(f"{name} is no text")
    return value


def _read_count(fields: dict[str, Any], name: str) -> int:
    value = fields[name]
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError(f"{name} is no count")
    return value


def _read_duration(value: object) -> float:
    if not isinstance(value, int | float) or isinstance(value, bool) or value < 0:
        raise ValueError("a duration is no number")
    return float(value)
