"""What instances tell each other a few times a second, as datagrams.

Datagrams, since a connection between instances can fall silent without an error, and what a beat
says is replaced by the next one anyway.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum

from guavamast.relay.endpoint_load import Load
from guavamast.relay.freshness import Proof
from guavamast.relay.store import InstanceRecord

MAX_DATAGRAM_BYTES = 60_000
"""Longest datagram that is read."""


class InstanceState(StrEnum):
    """Whether callers may be sent to an instance."""

    STARTING = "starting"
    SERVING = "serving"
    STALE = "stale"
    """Its configuration is too old to accept keys."""
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True, kw_only=True)
class Beat:
    """One instance's word on itself and on what it knows."""

    record: InstanceRecord
    incarnation: int
    """Start of the process; a greater one replaces the instance's earlier words."""
    sequence: int
    """Number of the beat within the incarnation."""
    state: InstanceState
    store_answers: bool
    """Whether the instance's last read of the store succeeded."""
    catalog: Proof | None
    endpoints: Proof | None
    loads: dict[str, Load]
    """Work that the instance has at endpoints."""


class MalformedBeat(Exception):
    """A datagram that is no beat."""


def encode_beat(beat: Beat) -> bytes:
    """Return the datagram of a beat."""
    record = beat.record
    fields = {
        "v": 1,
        "who": [
            record.name,
            record.ip,
            record.failure_domain,
            record.region,
            record.callers_address,
            record.peer_port,
        ],
        "inc": beat.incarnation,
        "seq": beat.sequence,
        "state": beat.state,
        "store": beat.store_answers,
        "cat": _encode_proof(beat.catalog),
        "end": _encode_proof(beat.endpoints),
        "load": {key: [v.requests, v.prefill_tokens] for key, v in beat.loads.items()},
    }
    return json.dumps(fields, separators=(",", ":")).encode()


def decode_beat(data: bytes) -> Beat:
    """Return the beat of a datagram.

    Raises:
        MalformedBeat: It is none.
    """
    try:
        fields = json.loads(data)
        if fields["v"] != 1:
            raise MalformedBeat("unknown version")
        name, ip, domain, region, address, port = fields["who"]
        return Beat(
            record=InstanceRecord(
                name=str(name),
                ip=str(ip),
                failure_domain=str(domain),
                region=str(region),
                callers_address=str(address),
                peer_port=int(port),
            ),
            incarnation=int(fields["inc"]),
            sequence=int(fields["seq"]),
            state=InstanceState(fields["state"]),
            store_answers=bool(fields["store"]),
            catalog=_decode_proof(fields["cat"]),
            endpoints=_decode_proof(fields["end"]),
            loads={
                str(key): Load(requests=int(value[0]), prefill_tokens=int(value[1]))
                for key, value in fields["load"].items()
            },
        )
    except (ValueError, KeyError, TypeError, AttributeError, IndexError) as error:
        raise MalformedBeat(f"{type(error).__name__}: {error}") from error


def _encode_proof(proof: Proof | None) -> list[str | float] | None:
    return None if proof is None else [proof.version, round(proof.reading, 4)]


def _decode_proof(value: object) -> Proof | None:
    if value is None:
        return None
    version, reading = value  # type: ignore[misc]
    return Proof(version=str(version), reading=float(reading))
