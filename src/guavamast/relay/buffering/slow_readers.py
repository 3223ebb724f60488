"""Decides which streams are read on for slow callers, and which caller is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.buffering.memory_account import MemoryUse

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.buffering.memory_account import MemoryAccount

MAX_BACKLOG_BYTES: Final = 12_582_912
"""Bytes of all backlogs together; what connections have read ahead comes on top."""
BACKLOG_SHARE: Final = 0.5
"""Share of the account that backlogs may have together, so that bodies find room beside them."""
ALLOWED_SHARE: Final = 0.25
"""Share of the free room that one backlog may have, so that the largest backlogs pause first."""
RESUMED_SHARE: Final = 0.5
"""Share of that size at which a paused stream is read on, so that it isn't paused at once again."""
FULL_SHARE: Final = 0.9
"""Share of the account's limit beyond which the slowest reader is cut off."""
MIN_CUT_AGE_S: Final = 2.0
"""Seconds that bytes must have waited for their caller before it counts as slow."""


def compute_backlog_limit(memory_bytes: int, *, limit_bytes: int) -> int:
    """Return the bytes that all backlogs may have together; 0 if nothing is read ahead.

    Args:
        memory_bytes: Memory beyond which the process is killed; 0 if not stated.
        limit_bytes: Bytes that the instance may hold for others.
    """
    if memory_bytes == 0:
        return 0
    return min(MAX_BACKLOG_BYTES, int(BACKLOG_SHARE * limit_bytes))


class SlowReader:
    """What is known of one caller that a response is written to.

    Args:
        cut_off: Ends the response visibly and releases its memory.
    """

    __slots__ = (
        "cut_off",
        "held_bytes",
        "longest_pause_s",
        "unsent_since",
    )

    def __init__(self, *, cut_off: Callable[[], None]) -> None:
        self.cut_off = cut_off
        self.held_bytes = 0
        """Bytes that its connection hasn't taken yet."""
        self.unsent_since = 0.0
        """Local time since which the oldest of these bytes wait."""
        self.longest_pause_s = 0.0
        """Longest time for which its endpoint wasn't read."""


class SlowReaders:
    """All callers that are written to, with what is held for them.

    A backlog may have a share of the room that is left, so that with less room the largest backlogs
    stop growing first, and small ones go on.

    Failure: callers that read slowly or nothing keep engines' slots and connections, or take the
    memory that other requests need.

    Args:
        account: The instance's memory.
        limit_bytes: Bytes that all backlogs may have together. With 0, an endpoint is read only
            while nothing waits for its caller, and nobody is cut off.
    """

    __slots__ = ("_account", "_limit_bytes", "_paused", "_readers")

    def __init__(self, *, account: MemoryAccount, limit_bytes: int = 0) -> None:
        self._account = account
        self._limit_bytes = limit_bytes
        self._readers: set[SlowReader] = set()
        self._paused: dict[SlowReader, asyncio.Future[None]] = {}
        account.on_release = self._resume

    @property
    def paused(self) -> int:
        """Streams that aren't read at present, as their callers are slow."""
        return len(self._paused)

    def open(self, reader: SlowReader) -> None:
        """Add a caller."""
        self._readers.add(reader)

    def close(self, reader: SlowReader) -> None:
        """Remove a caller."""
        self._readers.discard(reader)

    def may_read(self, reader: SlowReader) -> bool:
        """Return whether the endpoint of a caller's stream is read on."""
        return reader.held_bytes == 0 or reader.held_bytes < self._compute_allowance()

    async def wait_for_room(self, reader: SlowReader, *, read_time: Callable[[], float]) -> None:
        """Return when the endpoint of a caller's stream may be read on.

        Args:
            reader: The caller.
            read_time: Reads the local clock.
        """
        paused_at = read_time()
        resumed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._paused[reader] = resumed
        try:
            await resumed
        finally:
            self._paused.pop(reader, None)
            reader.longest_pause_s = max(reader.longest_pause_s, read_time() - paused_at)

    def find_slowest(self, *, now: float) -> SlowReader | None:
        """Return the caller to cut off; None while there is room, or all callers read."""
        if not self._limit_bytes or not self._is_full():
            return None
        slow = (
            reader
            for reader in self._readers
            if reader.held_bytes and now - reader.unsent_since >= MIN_CUT_AGE_S
        )
        return min(slow, key=lambda reader: reader.unsent_since, default=None)

    def cut_off_slowest(self, *, now: float) -> None:
        """Cut off the slowest callers until there is room."""
        while (reader := self.find_slowest(now=now)) is not None:
            self.close(reader)
            reader.cut_off()

    def _compute_allowance(self) -> int:
        """Return the bytes that each backlog may have."""
        if not self._limit_bytes or self._account.waiting:
            return 0
        backlogs = self._account.read_held()[MemoryUse.BACKLOG]
        room = min(
            self._limit_bytes - backlogs, self._account.limit_bytes - self._account.held_bytes
        )
        return max(0, int(ALLOWED_SHARE * room))

    def _is_full(self) -> bool:
        held = self._account.held_bytes
        return self._account.waiting > 0 or held > FULL_SHARE * self._account.limit_bytes

    def _resume(self) -> None:
        if not self._paused:
            return
        resumed_at = RESUMED_SHARE * self._compute_allowance()
        for reader, resumed in self._paused.items():
            may_read = reader.held_bytes == 0 or reader.held_bytes <= resumed_at
            if may_read and not resumed.done():
                resumed.set_result(None)
