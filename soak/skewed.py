"""Process of one instance whose wall clock is ahead or behind, or that is partitioned."""

from __future__ import annotations

import os
import sys
import time

from guavamast.platform.__main__ import main
from soak.instances import SKEW_ENV_VARIABLE
from soak.partitions import follow_partitions


def skew_time_of_day(skew_s: float) -> None:
    """Shift the wall clock of this process; its monotonic clocks are unchanged."""
    read_time, read_time_ns = time.time, time.time_ns
    time.time = lambda: read_time() + skew_s
    time.time_ns = lambda: read_time_ns() + int(skew_s * 1e9)


if __name__ == "__main__":
    skew_time_of_day(float(os.environ.get(SKEW_ENV_VARIABLE, "0")))
    follow_partitions()
    sys.exit(main())
