"""Decoder of the rows that engines and services write about themselves to the store."""

from __future__ import annotations

from typing import Any

from guavamast.decoding import Decoding, decode_ip, decode_name, decode_port
from guavamast.relay.endpoint_table import EndpointRecord


def decode_endpoint(key: str, fields: Any, *, row_version: int) -> EndpointRecord | None:
    """Return the record of a row; None if its state is unknown.

    Rows may come from other writers, with missing fields or other types.

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
    service = fields["service"]
    if not isinstance(service, str):
        raise ValueError("the service is no text")
    host, _, port = fields["address"].rpartition(":")
    state = fields["state"]
    if state not in ("ready", "draining"):
        return None
    slots = fields.get("slots")
    zone = fields.get("zone")
    born = fields.get("born")
    version = fields.get("version")
    leaves_ms = fields.get("leaves_ms")
    return EndpointRecord(
        endpoint_id=decode_name(key),
        row_version=row_version,
        service=service,
        host=decode_ip(host),
        port=decode_port(port),
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
