"""The table of endpoints as one instance has read it, told to the others in a datagram."""

from __future__ import annotations

from typing import Final

from guavamast.relay.beats import MalformedBeat
from guavamast.relay.endpoint_table import EndpointRecord
from guavamast.relay.packing import pack, unpack
from guavamast.relay.store import EndpointReading

NEWS_MARK: Final = b"e"
"""Begins the datagram of a table of endpoints."""
MOST_DATAGRAM_BYTES: Final = 60_000
"""Bytes of the longest datagram that is sent, below what UDP carries."""


def encode_endpoints(reading: EndpointReading) -> bytes | None:
    """Return the datagram of a table, or None if it is too long for one."""
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
            record.born_ms,
        ]
        for record in reading.records
    ]
    data = NEWS_MARK + pack([reading.digest, reading.reading, rows])
    return data if len(data) <= MOST_DATAGRAM_BYTES else None


def decode_endpoints(data: bytes) -> EndpointReading:
    """Return the table of a datagram.

    Raises:
        MalformedBeat: It is none.
    """
    try:
        digest, reading, rows = unpack(data[len(NEWS_MARK) :])
        return EndpointReading(
            records=[_decode_record(row) for row in rows],
            digest=str(digest),
            reading=float(reading),
        )
    except (ValueError, TypeError, KeyError, IndexError) as error:
        raise MalformedBeat(f"endpoints: {type(error).__name__}: {error}") from error


def _decode_record(row: list[str | int | None]) -> EndpointRecord:
    endpoint_id, row_version, service, host, port, domain, slots, ready, born_ms = row
    return EndpointRecord(
        endpoint_id=str(endpoint_id),
        row_version=int(row_version or 0),
        service=str(service),
        host=str(host),
        port=int(port or 0),
        failure_domain=str(domain),
        slots=int(slots or 0),
        ready=bool(ready),
        born_ms=None if born_ms is None else int(born_ms),
    )
