"""Endpoint update: the table of endpoints as one instance has read it, in a datagram."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from guavamast.decoding import Decoding, decode_ip, decode_name, decode_port
from guavamast.relay.compressed_json import pack, unpack
from guavamast.relay.endpoint_table import EndpointRecord
from guavamast.relay.store import EndpointSnapshot

ENDPOINTS_PREFIX: Final = b"e"
"""First byte of an endpoint update."""
MAX_DATAGRAM_BYTES: Final = 60_000
"""Bytes of the longest datagram that is sent, below the UDP limit."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointUpdate:
    """A snapshot of the endpoint table, and the failure domain of its reader."""

    domain: str
    """Failure domain of the instance that read it."""
    snapshot: EndpointSnapshot


def encode_endpoint_update(update: EndpointUpdate) -> bytes | None:
    """Return the datagram of an endpoint update, or None if it is too long for one."""
    snapshot = update.snapshot
    rows = [
        [
            record.endpoint_id,
            record.row_version,
            record.service,
            record.host,
            record.port,
            record.failure_domain,
            record.slots,
            int(record.ready),
            record.started_ms,
            record.software_version,
            int(record.reclaimable),
            record.leaves_s,
        ]
        for record in snapshot.records
    ]
    data = ENDPOINTS_PREFIX + pack([update.domain, snapshot.digest, snapshot.store_time, rows])
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


def decode_endpoint_update(data: bytes) -> EndpointUpdate:
    """Return the endpoint update of a datagram.

    Raises:
        MalformedData: The datagram is not a valid endpoint update.
    """
    with Decoding("endpoint table"):
        domain, digest, store_time, rows = unpack(data[len(ENDPOINTS_PREFIX) :])
        table = EndpointSnapshot(
            records=[_decode_record(row) for row in rows],
            digest=str(digest),
            store_time=float(store_time),
        )
        return EndpointUpdate(domain=str(domain), snapshot=table)


def _decode_record(row: list[str | int | float | None]) -> EndpointRecord:
    (
        endpoint_id,
        row_version,
        service,
        host,
        port,
        domain,
        slots,
        ready,
        born_ms,
        software_version,
        reclaimable,
        leaves_s,
    ) = row
    return EndpointRecord(
        endpoint_id=decode_name(endpoint_id),
        row_version=int(row_version or 0),
        service=str(service),
        host=decode_ip(host),
        port=decode_port(port),
        failure_domain=str(domain),
        slots=int(slots or 0),
        ready=bool(ready),
        started_ms=None if born_ms is None else int(born_ms),
        software_version=None if software_version is None else str(software_version),
        reclaimable=bool(reclaimable),
        leaves_s=None if leaves_s is None else float(leaves_s),
    )
