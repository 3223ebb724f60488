"""Server-sent events: the little of the format that chat answers use."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any, Final

DONE: Final = "[DONE]"
"""Data of the event that ends a whole answer."""
MAX_EVENT_BYTES: Final = 1_048_576
"""Longest event that is taken from an endpoint."""


class EventTooLong(ValueError):
    """An event did not end within `MAX_EVENT_BYTES`."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Event:
    """One event of a stream."""

    data: str
    name: str = "message"


class EventDecoder:
    """Turns the bytes of a stream into events, however they are cut into pieces."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, piece: bytes) -> list[Event]:
        """Return the events that are complete with this piece.

        Raises:
            EventTooLong: The stream holds an event that is too long to be one of ours.
            UnicodeDecodeError: The stream isn't UTF-8.
        """
        self._buffer += piece
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
    """Return the bytes of one event whose data has no line break."""
    prefix = f"event: {name}\n" if name else ""
    return f"{prefix}data: {data}\n\n".encode()


def encode_json_event(body: dict[str, Any], *, name: str = "") -> bytes:
    """Return the bytes of one event with a JSON object as its data."""
    return encode_event(json.dumps(body, separators=(",", ":")), name=name)
