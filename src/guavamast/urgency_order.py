"""Check that less urgent work doesn't begin where more urgent requests get nothing.

A request counts once, over all attempts of its caller. Requests of one kind are compared with the
less urgent work that begins at the same service within the same five seconds.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterable

WINDOW_S: Final = 5.0
"""Seconds over which requests and work are compared."""
MIN_UNSERVED: Final = 10
"""Requests that must be unserved for a violation."""
UNSERVED_SHARE: Final = 1 / 12
"""Share of a kind's requests that must be exceeded for a violation."""
TOKENS_FACTOR: Final = 2.0
"""Factor on the tokens of the unserved requests that must be exceeded by less urgent work."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestOutcome:
    """One request over all attempts of its caller."""

    service: str
    kind: str
    precedence: int
    """Rank among the kinds of the service; 0 goes first."""
    tokens: int
    """Tokens of its prompt."""
    asked_at: float
    """Seconds at which its first attempt arrived."""
    served: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class BegunWork:
    """One request that an endpoint began to work on."""

    service: str
    precedence: int
    tokens: int
    began_at: float
    """Seconds on the same clock as those of the requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderWindow:
    """Five seconds of one kind of request, and the less urgent work that began meanwhile."""

    service: str
    kind: str
    from_s: float
    requests: int
    unserved: int
    unserved_tokens: int
    less_urgent_tokens: int

    @property
    def used_share(self) -> float:
        """How much of what is allowed was used; from 1 on the order was violated."""
        if self.unserved == 0:
            return 0.0
        return min(
            self.unserved / MIN_UNSERVED,
            self.unserved / (UNSERVED_SHARE * self.requests),
            self.less_urgent_tokens / (TOKENS_FACTOR * max(1, self.unserved_tokens)),
        )


class _TokenSums:
    """Tokens of work by the time at which it began, for sums over any span."""

    __slots__ = ("_sums", "_times")

    def __init__(self, work: Iterable[BegunWork]) -> None:
        ordered = sorted(work, key=lambda one: one.began_at)
        self._times = [one.began_at for one in ordered]
        self._sums = [0, *accumulate(one.tokens for one in ordered)]

    def sum_up(self, from_s: float, until_s: float) -> int:
        """Return the tokens of the work that began in a span."""
        first = bisect_left(self._times, from_s)
        return self._sums[bisect_left(self._times, until_s)] - self._sums[first]


def find_worst_windows(
    outcomes: Iterable[RequestOutcome], work: Iterable[BegunWork]
) -> list[OrderWindow]:
    """Return the window of each kind that comes closest to a violation, the worst first.

    Args:
        outcomes: All requests.
        work: All work that began.
    """
    by_kind: dict[tuple[str, str], list[RequestOutcome]] = defaultdict(list)
    for outcome in outcomes:
        by_kind[outcome.service, outcome.kind].append(outcome)
    begun = list(work)
    windows = [
        max(_list_windows(requests, begun), key=lambda window: window.used_share)
        for requests in by_kind.values()
    ]
    return sorted(windows, key=lambda window: window.used_share, reverse=True)


def _list_windows(requests: list[RequestOutcome], work: list[BegunWork]) -> list[OrderWindow]:
    """Return a window from each request of one kind on."""
    requests = sorted(requests, key=lambda one: one.asked_at)
    service = requests[0].service
    precedence = max(one.precedence for one in requests)
    tokens = _TokenSums(
        one for one in work if one.service == service and one.precedence > precedence
    )
    times = [one.asked_at for one in requests]
    lost = [0, *accumulate(not one.served for one in requests)]
    lost_tokens = [0, *accumulate(one.tokens * (not one.served) for one in requests)]
    windows = []
    for first, from_s in enumerate(times):
        end = bisect_left(times, from_s + WINDOW_S)
        windows.append(
            OrderWindow(
                service=service,
                kind=requests[0].kind,
                from_s=from_s,
                requests=end - first,
                unserved=lost[end] - lost[first],
                unserved_tokens=lost_tokens[end] - lost_tokens[first],
                less_urgent_tokens=tokens.sum_up(from_s, from_s + WINDOW_S),
            )
        )
    return windows
