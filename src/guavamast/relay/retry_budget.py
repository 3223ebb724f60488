"""Retry budget: how many requests may be sent to a further endpoint, over all instances."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

USABLE_SHARE: Final = 0.6
"""Share of the allowance that is used: the windows of instances are not aligned, and instances that
have just stopped have already spent their part."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """The deployment's retry allowance for one service."""

    ratio: float
    """Retries for each request in the window."""
    slack: float
    """Retries in a window beyond the ratio, over all instances."""
    window_s: float


class RetryBudget:
    """The part of the retry allowance that one instance may use, separately for each service.

    Without this, when endpoints fail, each instance retries their requests and the retries overload
    the remaining endpoints. Each instance spends no more than its own requests allow and an equal
    part of the slack, so the sum over all instances stays within the allowance.

    Args:
        settings: The allowance over all instances.
    """

    __slots__ = ("_retries", "_requests", "_settings")

    def __init__(self, *, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._requests: dict[str, deque[float]] = {}
        self._retries: dict[str, deque[float]] = {}

    def record_request(self, service: str, *, now: float) -> None:
        """Count a caller's request to a service."""
        times = self._requests.setdefault(service, deque())
        times.append(now)
        self._drop_expired(times, now)

    def try_spend(self, service: str, *, instances: int, now: float) -> bool:
        """Spend one retry; return False if this instance's part is exhausted.

        Args:
            service: The service to which the request would be retried.
            instances: Number of instances that share the allowance.
            now: The current time.
        """
        if self._count_left(service, instances=instances, now=now) < 1:
            return False
        self._retries[service].append(now)
        return True

    def give_back(self, service: str, *, spent_at: float) -> None:
        """Count a retry no longer that was spent and not sent.

        Args:
            service: The service for which it was spent.
            spent_at: Local time at which it was spent.
        """
        retries = self._retries[service]
        if spent_at in retries:  # After a whole window it isn't counted any more.
            retries.remove(spent_at)

    def _count_left(self, service: str, *, instances: int, now: float) -> float:
        requests = self._requests.setdefault(service, deque())
        retries = self._retries.setdefault(service, deque())
        self._drop_expired(requests, now)
        self._drop_expired(retries, now)
        slack_share = self._settings.slack / max(1, instances)
        allowed = USABLE_SHARE * (self._settings.ratio * len(requests) + slack_share)
        return allowed - len(retries)

    def _drop_expired(self, times: deque[float], now: float) -> None:
        while times and times[0] <= now - self._settings.window_s:
            times.popleft()
