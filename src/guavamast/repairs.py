"""Writes to the platform that are tried again behind the caller's back until they succeed."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.log import get_logger
from guavamast.platform_client import PlatformAnswerLost, PlatformUnavailable

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.clocks import Clock
    from guavamast.metrics import Metrics

BACKOFF_FIRST_S: Final = 0.2
"""Wait before the first repetition."""

BACKOFF_LONGEST_S: Final = 10.0
"""Longest wait between two repetitions, so that an outage of an hour costs 360 tries a row."""

REPAIR_LIMIT: Final = 1000
"""Writes that wait at a time; new non-idempotent calls are refused while it is reached."""


class Repairs:
    """Repeats writes that may be made any number of times.

    What waits here is lost with the process; its rows stay ``started``, which is safe: their
    callers are told that the outcome is unknown.

    Args:
        clock: Waits between repetitions.
        metrics: Told how many wait.
    """

    __slots__ = ("_clock", "_metrics", "_tasks")

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_full(self) -> bool:
        """Whether no more may be added by a new call."""
        return len(self._tasks) >= REPAIR_LIMIT

    def add(self, write: Callable[[], Awaitable[None]]) -> None:
        """Repeat a write until it succeeds.

        Args:
            write: Makes the write; a second time must do no harm.
        """
        task = asyncio.ensure_future(self._retry(write))
        self._tasks.add(task)
        task.add_done_callback(self._discard)
        self._metrics.gauge("operations.unwritten", len(self._tasks))

    async def drain(self) -> None:
        """Wait until all have succeeded."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def _discard(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._metrics.gauge("operations.unwritten", len(self._tasks))

    async def _retry(self, write: Callable[[], Awaitable[None]]) -> None:
        wait_s = BACKOFF_FIRST_S
        while True:
            await self._clock.sleep(wait_s)
            wait_s = min(BACKOFF_LONGEST_S, 2.0 * wait_s)
            try:
                await write()
                return
            except (PlatformUnavailable, PlatformAnswerLost) as error:
                get_logger().info("operation not written yet: %s", error)
