"""The clock of the relay's processes."""

from __future__ import annotations

import time


def read_boot_time() -> float:
    """Return seconds that go on while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
