"""Decoder of the rows that engines and services write about themselves to the store."""

from __future__ import annotations

from typing import Any

from guavamast.relay.endpoint_table import EndpointRecord


def decode_endpoint(key: str, fields: Any, *, row_version: int) -> EndpointRecord | None:
    """Return the record of a row; None if it describes no usable endpoint.

    Rows may come from other writers, with missing fields, other types or unknown states.

    Args:
        key: The endpoint's id.
        fields: The row's decoded value.
        row_version: The row's version in the store.
    """
    if not isinstance(fields, dict):
        return None
    service = fields.get("service")
    address = fields.get("address")
    state = fields.get("state")
    if not isinstance(service, str) or not isinstance(address, str):
        return None
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    if state not in ("ready", "draining"):
        return None
    slots = fields.get("slots")
    zone = fields.get("zone")
    born = fields.get("born")
    version = fields.get("version")
    leaves_ms = fields.get("leaves_ms")
    return EndpointRecord(
        endpoint_id=key,
        row_version=row_version,
        service=service,
        host=host,
        port=int(port),
        failure_domain=zone if isinstance(zone, str) else "",
        slots=slots if isinstance(slots, int) and slots > 0 else 1,
        ready=state == "ready",
        started_ms=born if isinstance(born, int) else None,
        software_version=version if isinstance(version, str) and version else None,
        reclaimable=fields.get("spot") is True,
        leaves_s=leaves_ms / 1000.0 if _is_number(leaves_ms) else None,
    )


def _is_number(value: object) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and value >= 0
