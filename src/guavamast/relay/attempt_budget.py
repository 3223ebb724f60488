"""How many requests may be sent to a further endpoint, over all instances together."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

USABLE_SHARE: Final = 0.6
"""Share of the allowance that is used: windows of instances are not aligned, and instances that
have just ended have spent their part."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BudgetTerms:
    """The deployment's allowance of repeats for one service."""

    ratio: float
    """Repeats for each request of the window."""
    slack: float
    """Repeats in a window beyond the ratio, over all instances."""
    window_s: float


class AttemptBudget:
    """Part of the allowance that one instance may use, for each service by itself.

    Failure: endpoints fail, each instance sends their requests again, and the repeats overload the
    endpoints that are left. Each instance spends no more than its own requests allow and an equal
    part of the slack, so the sum over all instances stays within the allowance.

    Args:
        terms: The allowance over all instances.
    """

    __slots__ = ("_repeats", "_requests", "_settings")

    def __init__(self, *, terms: BudgetTerms) -> None:
        self._settings = terms
        self._requests: dict[str, deque[float]] = {}
        self._repeats: dict[str, deque[float]] = {}

    def record_request(self, service: str, *, now: float) -> None:
        """Count a caller's request to a service."""
        times = self._requests.setdefault(service, deque())
        times.append(now)
        self._drop_expired(times, now)

    def has_room(self, service: str, *, instances: int, now: float) -> bool:
        """Return whether this instance's part allows one more repeat.

        Args:
            service: The service to which the request would go again.
            instances: Instances that share the allowance.
            now: The present time.
        """
        requests = self._requests.setdefault(service, deque())
        repeats = self._repeats.setdefault(service, deque())
        self._drop_expired(requests, now)
        self._drop_expired(repeats, now)
        slack_share = self._settings.slack / max(1, instances)
        allowed = USABLE_SHARE * (self._settings.ratio * len(requests) + slack_share)
        return len(repeats) + 1 <= allowed

    def try_spend(self, service: str, *, instances: int, now: float) -> bool:
        """Take one repeat; False when this instance's part is spent."""
        if not self.has_room(service, instances=instances, now=now):
            return False
        self._repeats[service].append(now)
        return True

    def _drop_expired(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._settings.window_s:
            times.popleft()
