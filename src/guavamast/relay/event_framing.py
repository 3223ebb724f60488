"""Cuts a stream of server-sent events into whole events, so that none is passed on in part."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 1_048_576
"""Bytes beyond which an event is none."""

_EVENT_END: Final = re.compile(rb"\r?\n\r?\n")
_EVENT_ID: Final = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """One whole event with the blank line that ends it."""

    data: bytes
    event_id: str | None


class EventFraming:
    """Collects bytes and returns the events that are whole."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether an event has begun that is not whole yet."""
        return bool(self._pending)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
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
            raise ValueError("event too large")
        return events

    def take_rest(self) -> bytes:
        """Return and forget the bytes after the last whole event."""
        rest = bytes(self._pending)
        self._pending.clear()
        return rest
