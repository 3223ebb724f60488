"""How an endpoint framed a response, and how the response ended."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class BodyFraming(StrEnum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"
    """Neither a length nor chunks: the body ends with the connection."""


class BodyEnding(StrEnum):
    """How the bytes of a response ended on the connection that carried them."""

    OPEN = "open"
    """They didn't: the reader stopped first, or they aren't a response."""
    FRAMED = "framed"
    """With the last byte of the stated length, or the last chunk."""
    CLOSED = "closed"
    """The server closed the connection in order."""
    EARLY = "early"
    """The server closed it in order before it had received the whole request."""
    RESET = "reset"


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseEnd:
    """The end of one response, as the instance that has the caller sees it."""

    framing: BodyFraming | None = None
    """None if no head was received."""
    ending: BodyEnding = BodyEnding.OPEN
    held_bytes: int = 0
    """Bytes of a stream after its last complete event."""
    inside_event: bool = False
    """Whether these bytes begin another event."""
    forwarder: str | None = None
    """Name of the instance that forwarded the response; None for a direct connection."""
