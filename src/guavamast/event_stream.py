"""Server-sent events: the subset of the format that chat responses use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

from guavamast.compact_json import encode_json

DONE: Final = "[DONE]"
"""Data of the event that ends a complete response."""
MAX_EVENT_BYTES: Final = 1_048_576
"""Maximum size of an event from an endpoint."""


class EventTooLong(ValueError):
    """An event did not end within `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One event of a stream."""

    data: str
    name: str = "message"


class EventDecoder:
    """Incremental decoder of a byte stream into events; chunk boundaries may fall anywhere."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def decode(self, chunk: bytes) -> list[Event]:
        """Return the events that this chunk completes.

        Raises:
            EventTooLong: An event is longer than `MAX_EVENT_BYTES`.
            UnicodeDecodeError: The stream isn't UTF-8.
        """
        self._buffer += chunk
        *blocks, self._buffer = self._buffer.replace(b"\r\n", b"\n").split(b"\n\n")
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLong(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        events = [_decode_block(block) for block in blocks]
        return [event for event in events if event is not None]


def _decode_block(block: bytes) -> Event | None:
    name = "message"
    data: list[str] = []
    for line in block.decode().split("\n"):
        field, _, value = line.partition(":")
        if field == "event":
            name = value.strip()
        elif field == "data":
            data.append(value.removeprefix(" "))
    return Event(name=name, data="\n".join(data)) if data else None


def encode_event(data: str, *, name: str = "") -> bytes:
    """Encode one event whose data has no line break."""
    prefix = f"event: {name}\n" if name else ""
    return f"{prefix}data: {data}\n\n".encode()


def encode_json_event(body: dict[str, Any], *, name: str = "") -> bytes:
    """Encode one event with a JSON object as its data."""
    return encode_event(encode_json(body), name=name)
