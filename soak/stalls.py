"""Stalls of the soak itself, whose engines, store and callers share one loop."""

from __future__ import annotations

import asyncio
import time
from typing import Final

CHECK_INTERVAL_S: Final = 0.05


class StallWatch:
    """Measures for how long this process did not get to its work.

    Instances see such a stall as a silence of all engines and of the store.
    """

    def __init__(self) -> None:
        self.longest_s = 0.0
        """Longest delay of a turn of the loop, in seconds."""

    async def run(self, until: float) -> None:
        """Watch until a time of the monotonic clock."""
        last = time.monotonic()
        while last < until:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = time.monotonic()
            self.longest_s = max(self.longest_s, now - last - CHECK_INTERVAL_S)
            last = now
