"""What binds a stream to the endpoints at which it may go on."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

KEY_BYTES: Final = 12
"""Bytes of a stream key: so many that no two streams share one by chance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamBinding:
    """What began a stream. What two software versions write doesn't fit together."""

    service: str
    software_version: str


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
