"""Supervision of the background tasks of an instance."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog

FIRST_RESTART_S: Final = 0.1
"""Seconds until a task that has failed is restarted."""
LONGEST_RESTART_S: Final = 1.0
"""Seconds until a task is restarted that fails again and again; below all bounds on ages."""
SOUND_RUN_S: Final = 10.0
"""Seconds of a run after which a failure counts as the first one."""


class Supervisor:
    """Runs tasks that must not end, and restarts one that fails by an unexpected error.

    An error that ends the process comes back with the next process for as long as its cause stands,
    so callers meet instances that only start. A task that is left ended is worse: the instance goes
    on without heartbeats or reads, and nobody sees why. A task that keeps failing is retried and
    logged each time; what depends on it grows too old, and requests are rejected by its age.

    Args:
        log: Receives each failure.
        counters: Count the failures, by task.
        read_time: Reads the local clock.
    """

    __slots__ = ("_counters", "_log", "_read_time")

    def __init__(
        self, *, log: DecisionLog, counters: Counters, read_time: Callable[[], float]
    ) -> None:
        self._log = log
        self._counters = counters
        self._read_time = read_time

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Start a task; return the one that supervises it.

        Args:
            name: Name of the task, for the log.
            run: Runs it until cancelled; may be called again after it has failed.
        """
        return asyncio.create_task(self._supervise(name, run))

    async def _supervise(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_RESTART_S
        while True:
            started_at = self._read_time()
            try:
                await run()
            except Exception as error:  # noqa: BLE001
                now = self._read_time()
                if now - started_at >= SOUND_RUN_S:
                    pause_s = FIRST_RESTART_S
                self._record(name, error, pause_s=pause_s, now=now)
            else:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_RESTART_S, 2.0 * pause_s)

    def _record(self, name: str, error: Exception, *, pause_s: float, now: float) -> None:
        self._counters.add(f'task_failures_total{{task="{name}"}}')
        cause = _find_cause(error)
        frames = traceback.extract_tb(cause.__traceback__)
        place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
        self._log.write(
            "task_failed",
            now=now,
            task=name,
            error=f"{type(cause).__name__}: {cause}",
            place=place,
            restart_s=pause_s,
        )


def _find_cause(error: BaseException) -> BaseException:
    """Return the first error of a group of tasks, which alone says nothing."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
