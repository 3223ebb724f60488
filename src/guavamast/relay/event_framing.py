"""Splits a stream of server-sent events into whole events, so that none is forwarded in part."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 1_048_576
"""Bytes of an incomplete event beyond which the stream is invalid."""

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """One complete event, including the blank line that ends it."""

    data: bytes
    event_id: str | None


class EventFraming:
    """Buffers bytes and returns complete events."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def held_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    def append(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that the chunk completes, in order."""
        self._pending += chunk
        events = []
        start = 0
        for match in _EVENT_END.finditer(self._pending):
            data = bytes(self._pending[start : match.end()])
            id_match = _EVENT_ID.search(data)
            event_id = id_match.group(1).decode("latin-1") if id_match else None
            events.append(StreamEvent(data=data, event_id=event_id))
            start = match.end()
        del self._pending[:start]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit")
        return events

    def drain(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest
