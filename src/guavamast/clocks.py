"""Where code that waits takes the present time from."""

from __future__ import annotations

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """The time of this process and of the world."""

    @abstractmethod
    def read_monotonic(self) -> float:
        """Return seconds that only grow, pauses of the process included; for deadlines."""

    @abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the epoch; for times that other instances read."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait."""


class SystemClock(Clock):
    """The operating system's clocks."""

    def read_monotonic(self) -> float:
        """Return seconds that only grow."""
        return time.monotonic()

    def read_wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the running loop."""
        await asyncio.sleep(seconds)
