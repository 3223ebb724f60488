"""Unix time that doesn't follow an instance's own wall clock, which may jump by seconds."""

from __future__ import annotations

import math
from statistics import median
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Collection

MIN_OFFSETS: Final = 3
"""Instances whose wall clocks are compared at least, where there are as many."""
MIN_OFFSET_SHARE: Final = 0.5
"""Share of the known instances whose wall clocks are compared at least."""


def agree_on_offset(offsets: Collection[float], *, instances: int) -> float | None:
    """Return the offset of Unix time from the store's clock, in seconds; None if too few tell it.

    The store's clock is monotonic and the same for all instances. The median ignores the wall
    clocks that have jumped, as long as these are fewer than half.

    Args:
        offsets: Each instance's wall clock minus the store's clock.
        instances: Number of known instances, including this one.
    """
    needed = max(min(MIN_OFFSETS, instances), math.ceil(MIN_OFFSET_SHARE * instances))
    if len(offsets) < needed:
        return None
    return median(offsets)


class WindowClock:
    """Assigns store times to usage windows.

    Args:
        offset_s: Unix time minus the store's clock, in seconds.
        window_s: Length of a window.
    """

    __slots__ = ("_window_s", "offset_s")

    def __init__(self, *, offset_s: float, window_s: float) -> None:
        self.offset_s = offset_s
        self._window_s = window_s

    def find_window(self, store_time: float) -> int:
        """Return the window that contains a store time."""
        return math.floor((store_time + self.offset_s) / self._window_s)

    def find_end(self, window: int) -> float:
        """Return the store time at which a window ends."""
        return (window + 1) * self._window_s - self.offset_s
