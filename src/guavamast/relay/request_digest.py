"""Digest that identifies a request's content across callers' retries and instances."""

from __future__ import annotations

from hashlib import blake2b
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import CallerRequest

DIGEST_BYTES: Final = 16
"""Bytes of a digest: collisions are as good as impossible, also for a caller who seeks one."""


def compute_request_digest(request: CallerRequest, *, organisation: str | None) -> str:
    """Return the digest of a request's method, target, organisation and body, in hexadecimal.

    A caller's retry has another request id, timeout and connection, but the same digest. The body
    can't be read from it, so it may appear in logs and messages.

    Args:
        request: The request.
        organisation: The organisation that its key belongs to; None on routes without keys.
    """
    digest = blake2b(digest_size=DIGEST_BYTES)
    for text in (request.method, request.host, request.target, organisation or ""):
        encoded = text.encode()
        # With its length before each text, two requests can't be joined to the same bytes.
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    digest.update(request.body)
    return digest.hexdigest()
