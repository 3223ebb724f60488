"""The clock of the relay's processes, which includes time suspended."""

from __future__ import annotations

import time


def read_boot_time() -> float:
    """Return the seconds since boot, including time in which the machine was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
