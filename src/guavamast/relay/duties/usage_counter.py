"""Counts the requests of each organisation that began to run, as one instance saw them."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.duties.true_time import WindowClock

MAX_PENDING_RUNS: Final = 100_000
"""Runs that wait for the window clock at most; the oldest are dropped beyond."""
MAX_WINDOWS: Final = 24
"""Intervals of usage that are kept until they are reported: the newest ones."""

WindowCounts = dict[int, dict[str, int]]
"""Requests by window and organisation."""


class UsageCounter:
    """Counts runs by window, as soon as it is known when windows begin.

    Args:
        locate: Returns the store time of a local time; None before the store has answered.
    """

    __slots__ = ("_counts", "_locate", "_pending", "_reported_through")

    def __init__(self, *, locate: Callable[[float], float | None]) -> None:
        self._locate = locate
        self._pending: deque[tuple[float, str]] = deque(maxlen=MAX_PENDING_RUNS)
        self._counts: WindowCounts = {}
        self._reported_through = -1

    def record(self, organisation: str, *, now: float) -> None:
        """Record that a request of an organisation has begun to run."""
        self._pending.append((now, organisation))

    def count(self, clock: WindowClock) -> WindowCounts:
        """Return the counts of all windows that are not known as reported."""
        while self._pending:
            at, organisation = self._pending[0]
            store_time = self._locate(at)
            if store_time is None:
                break
            self._pending.popleft()
            window = clock.find_window(store_time)
            if window > self._reported_through:
                counts = self._counts.setdefault(window, {})
                counts[organisation] = counts.get(organisation, 0) + 1
        for window in sorted(self._counts)[:-MAX_WINDOWS]:
            del self._counts[window]
        return self._counts

    def forget_through(self, window: int) -> None:
        """Forget a window and those before it, whose counts are fixed."""
        self._reported_through = max(self._reported_through, window)
        for old in [one for one in self._counts if one <= window]:
            del self._counts[old]
