"""Which callers have come back after a refusal, told by the time that they still wait.

A caller states with each attempt how long it will wait from then on. Those of one route mostly wait
equally long, so one that states clearly less has spent the difference on an attempt before.
"""

from __future__ import annotations

from typing import Final

KEPT_S: Final = 30.0
"""The longest patience of a route is that of the last one or two spans of this length."""
LEAST_SPENT_S: Final = 0.05
"""Time spent that counts: half of the shortest time after which callers are asked to come back, and
several times what the way of a request takes."""


class _Longest:
    __slots__ = ("before", "began", "now")

    def __init__(self, *, began: float) -> None:
        self.began = began
        self.now = 0.0
        self.before = 0.0


class CallerReturns:
    """The longest patience of each route lately."""

    __slots__ = ("_longest",)

    def __init__(self) -> None:
        self._longest: dict[str, _Longest] = {}

    def measure_spent(self, route: str, patience_s: float | None, *, now: float) -> float:
        """Return the seconds that a caller has probably spent before; 0 for its first attempt.

        Args:
            route: Name of the request's route.
            patience_s: How long the caller waits from now on, if it says so.
            now: The present time.
        """
        if patience_s is None:
            return 0.0
        longest = self._longest.setdefault(route, _Longest(began=now))
        if now - longest.began > KEPT_S:
            longest.began = now
            longest.before = longest.now
            longest.now = 0.0
        longest.now = max(longest.now, patience_s)
        spent_s = max(longest.now, longest.before) - patience_s
        return spent_s if spent_s >= LEAST_SPENT_S else 0.0
