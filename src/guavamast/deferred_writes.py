"""Writes to the platform that are retried in the background until they succeed."""

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
"""Delay before the first retry."""

BACKOFF_LONGEST_S: Final = 10.0
"""Maximum delay between retries, so that an outage of an hour costs 360 attempts per row."""

MAX_DEFERRED_WRITES: Final = 1000
"""Maximum of pending writes; new non-idempotent calls are rejected while it is reached."""


class DeferredWrites:
    """Retries idempotent writes in the background.

    Pending writes are lost with the process. Their rows stay ``started``, which is safe: retries
    of their keys get ``outcome_unknown``.

    Args:
        clock: Waits between retries.
        metrics: Receives the number of pending writes.
    """

    __slots__ = ("_clock", "_metrics", "_tasks")

    def __init__(self, *, clock: Clock, metrics: Metrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_full(self) -> bool:
        """Whether new calls must be rejected because too many writes are pending."""
        return len(self._tasks) >= MAX_DEFERRED_WRITES

    def add(self, write: Callable[[], Awaitable[None]]) -> None:
        """Retry a write until it succeeds.

        Args:
            write: Performs the write; must be idempotent.
        """
        task = asyncio.ensure_future(self._retry(write))
        self._tasks.add(task)
        task.add_done_callback(self._discard)
        self._metrics.gauge("operations.unwritten", len(self._tasks))

    async def drain(self) -> None:
        """Wait until all pending writes have succeeded."""
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
                get_logger().info("write of an operation failed, will retry: %s", error)
