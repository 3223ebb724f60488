"""Account of the memory that one instance holds for others, by use."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_LIMIT_BYTES: Final = 8_388_608
"""Bytes that may be held where the memory of the process isn't stated."""
PROCESS_BYTES: Final = 67_108_864
"""Bytes of memory that a process needs for itself, with room for peaks."""
HELD_SHARE: Final = 0.5
"""Share of the other memory that may be held; copies on their way through sockets take as much."""


class MemoryUse(StrEnum):
    """What memory is held for."""

    REQUEST = "request"
    """Bodies of requests that are being received or relayed."""
    RESPONSE = "response"
    """Bodies of responses that are read whole, until their callers have them."""
    BACKLOG = "backlog"
    """Events that were read from an endpoint and not yet taken by their caller."""


def compute_memory_limit(memory_bytes: int) -> int:
    """Return the bytes that an instance may hold for others.

    Args:
        memory_bytes: Memory beyond which the process is killed; 0 if not stated.
    """
    if memory_bytes == 0:
        return DEFAULT_LIMIT_BYTES
    return max(DEFAULT_LIMIT_BYTES, int(HELD_SHARE * (memory_bytes - PROCESS_BYTES)))


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiter:
    """A reservation that waits for room."""

    use: MemoryUse
    size: int
    granted: asyncio.Future[None]


class MemoryAccount:
    """Counts the bytes that are held, and lets reservations wait for room in order.

    Failure: slow readers, or engines that send without end, make an instance hold more than its
    memory, and all its requests end with it.

    Args:
        limit_bytes: Bytes that reservations may hold together.
    """

    __slots__ = ("_held", "_waiters", "limit_bytes", "on_release")

    def __init__(self, *, limit_bytes: int = DEFAULT_LIMIT_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self._held = dict.fromkeys(MemoryUse, 0)
        self._waiters: deque[_Waiter] = deque()
        self.on_release: Callable[[], None] | None = None
        """Called when there may be more room, after waiting reservations were granted."""

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for all uses together."""
        return sum(self._held.values())

    @property
    def waiting(self) -> int:
        """Reservations that wait for room."""
        return len(self._waiters)

    def read_held(self) -> dict[MemoryUse, int]:
        """Return the bytes that are held for each use."""
        return dict(self._held)

    def has_room(self, size: int) -> bool:
        """Return whether a reservation would be granted at once."""
        return not self._waiters and self._fits(size)

    def add(self, use: MemoryUse, size: int) -> None:
        """Count bytes that are held in any case."""
        self._held[use] += size

    async def reserve(self, use: MemoryUse, size: int) -> None:
        """Count bytes as soon as there is room for them; who asks first is served first.

        A reservation that exceeds the limit by itself is granted when nothing else is held.
        """
        if self.has_room(size):
            self.add(use, size)
            return
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        waiter = _Waiter(use=use, size=size, granted=granted)
        self._waiters.append(waiter)
        try:
            await granted
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled():
                self.release(use, size)
            elif waiter in self._waiters:  # A release may have removed it in the meantime.
                self._waiters.remove(waiter)
                self._grant_next()
            raise

    def release(self, use: MemoryUse, size: int) -> None:
        """Count bytes as no longer held."""
        self._held[use] -= size
        self._grant_next()

    def _fits(self, size: int) -> bool:
        held = self.held_bytes
        return held == 0 or held + size <= self.limit_bytes

    def _grant_next(self) -> None:
        while self._waiters and self._fits(self._waiters[0].size):
            waiter = self._waiters.popleft()
            if not waiter.granted.cancelled():
                self.add(waiter.use, waiter.size)
                waiter.granted.set_result(None)
        if self.on_release is not None:
            self.on_release()
