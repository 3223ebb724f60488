"""Splits a stream of server-sent events into whole events, so that none is forwarded in part.

Lines end with LF, CRLF or CR, and a blank line ends an event (WHATWG HTML, section 9.2.5).
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Final

MAX_EVENT_BYTES: Final = 262_144
"""Bytes of an incomplete event, with the comments and blank lines before it, beyond which the
stream is invalid."""

_EVENT_END: Final = re.compile(rb"\n\r?\n|\n\r(?=[^\n])|\r\r\n?")
"""The end of a line and the blank line after it. A CR that ends the bytes received so far may be
the first half of a CRLF, except in a stream whose lines end with CR alone."""
_LINE_FEED_EVENT_END: Final = re.compile(rb"\n\n")
"""The same where no line ends with CR, found several times faster."""
_COMMENT_BLOCKS: Final = re.compile(rb"(?:(?::[^\r\n]*\n)*+\n)++")
"""Comments and blank lines that no field follows, up to the last of these blank lines."""
_EVENT_ID: Final = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
_BYTE_ORDER_MARK: Final = b"\xef\xbb\xbf"
_COMMENT_START: Final = b":"
_STATUS_LINE_START: Final = b"HTTP/1."


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEvent:
    """One complete event, including the blank line that ends it."""

    data: bytes
    event_id: str | None


class EventFraming:
    """Buffers bytes and returns complete events."""

    __slots__ = ("_block_start", "_has_events", "_pending", "_searched")

    def __init__(self) -> None:
        self._pending = bytearray()
        self._block_start = 0
        """Position after the comments and blank lines that wait for the next event."""
        self._searched = 0
        """Position before which no event ends after these."""
        self._has_events = False

    @property
    def held_bytes(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._pending)

    @property
    def is_inside_event(self) -> bool:
        """Whether the bytes after the last complete event begin another one.

        Line breaks, comments and the mark at the start of a stream don't.
        """
        return self._has_field(bytes(self._pending))

    def append(self, chunk: bytes | memoryview) -> list[StreamEvent]:
        """Return the events that the chunk completes, in order.

        Comments and blank lines go with the event after them: they are no sign that the endpoint
        works on the request, and without end they must not pass for one.

        Only what is new is searched, and comments are skipped at once. Several endless streams
        would otherwise occupy the loop for seconds, in which all requests here become too old.

        Raises:
            ValueError: An event exceeds ``MAX_EVENT_BYTES``.
        """
        self._pending += chunk
        events = []
        event_start = 0
        self._skip_blank_lines()
        has_returns = self._pending.find(b"\r", self._searched) >= 0
        pattern = _EVENT_END if has_returns else _LINE_FEED_EVENT_END
        while (end := self._find_block_end(pattern)) is not None:
            block = bytes(self._pending[self._block_start : end])
            if block.lstrip(b"\r\n").startswith(_STATUS_LINE_START):
                break  # Bytes of another response, which a body without length can't keep apart.
            self._block_start = self._searched = end
            if self._has_field(block):
                data = bytes(self._pending[event_start : self._block_start])
                events.append(self._build_event(data))
                event_start = self._block_start
        del self._pending[:event_start]
        self._block_start -= event_start
        self._searched -= event_start
        if len(self._pending) > MAX_EVENT_BYTES:
            raise ValueError("event exceeds the size limit")
        return events

    def drain(self) -> bytes:
        """Return and clear the bytes after the last complete event."""
        rest = bytes(self._pending)
        self._pending.clear()
        self._block_start = self._searched = 0
        return rest

    def _find_block_end(self, pattern: re.Pattern[bytes]) -> int | None:
        """Return where the next block ends after comments; None if it isn't complete.

        The last two bytes are searched again, as they may be the first part of its end.

        Args:
            pattern: The end of a block.
        """
        comments = _COMMENT_BLOCKS.match(self._pending, self._block_start)
        if comments is not None:
            self._block_start = comments.end()
        start = max(self._block_start, self._searched)
        match = pattern.search(self._pending, start)
        if match is None:
            self._searched = max(start, len(self._pending) - 2)
            return None
        return match.end()

    def _skip_blank_lines(self) -> None:
        """Leave out blank lines that nothing follows yet; without end, they would occupy the loop.

        The last two bytes stay, as they may be the first half of a line break.
        """
        if not self._pending[self._block_start :].strip(b"\r\n"):
            self._block_start = max(self._block_start, len(self._pending) - 2)

    def _has_field(self, data: bytes) -> bool:
        """Return whether any line is neither blank nor a comment."""
        lines = self._remove_mark(data).splitlines()
        return any(line and not line.startswith(_COMMENT_START) for line in lines)

    def _build_event(self, data: bytes) -> StreamEvent:
        id_match = _EVENT_ID.search(self._remove_mark(data))
        self._has_events = True
        event_id = id_match.group(1).decode("latin-1") if id_match else None
        return StreamEvent(data=data, event_id=event_id)

    def _remove_mark(self, data: bytes) -> bytes:
        return data if self._has_events else data.removeprefix(_BYTE_ORDER_MARK)
