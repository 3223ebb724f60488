"""Clock interface for code that waits, and its system implementation."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic time, wall-clock time and sleeps."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return monotonic seconds, which include pauses of the process; for deadlines."""

    @abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the epoch; for timestamps that other instances read."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def read_monotonic(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the running event loop."""
        await asyncio.sleep(seconds)
