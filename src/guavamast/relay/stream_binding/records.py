"""What binds a stream to the endpoints at which it may go on."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord

KEY_BYTES: Final = 12
"""Bytes of a stream key: so many that no two streams share one by chance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamBinding:
    """What began a stream. What two software versions write doesn't fit together."""

    service: str
    software_version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamSource:
    """The endpoint of a send, as it was chosen, and the connection to it."""

    record: EndpointRecord
    established_at: float
    """Local time by which the connection was established."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UnconfirmedSource:
    """The start of an endpoint whose row was not yet known to be later than the connection."""

    endpoint_id: str
    started_ms: int | None
    """Start time of the endpoint by its row, in Unix milliseconds, if stated."""
    established_at: float
    """Local time by which the connection was established."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BoundStream:
    """A stream whose first event has gone to its caller, as one instance remembers it."""

    binding: StreamBinding | None
    """None if the same id was used for streams of different bindings, so none of them is known."""
    instance: str
    """Name of the instance that has bound it."""
    bound_at: float
    """Local time of its first event."""
    expires_at: float
    """Local time from which on it is forgotten."""
    unconfirmed: UnconfirmedSource | None = None
    """What must still be confirmed before the binding counts; None if it does."""


def compute_stream_key(organisation: str | None, request_id: str) -> str:
    """Return the key of a stream; callers choose request ids, so each organisation has its own.

    Args:
        organisation: Name of the organisation whose key the request had; None without a key.
        request_id: Id of the attempt that brought the stream's first event.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (organisation or "", request_id):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(4))
        digest.update(encoded)
    return digest.hexdigest()
