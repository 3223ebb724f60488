"""How long responses take, forecast from recent responses to similar requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil, log
from typing import Final

MAX_SAMPLES: Final = 256
"""Samples of durations that are kept for a route, the newest ones."""
SIMILAR_SAMPLES: Final = 64
"""Samples that a forecast rests on, those of the most similar requests."""
QUANTILE: Final = 0.98
"""Share of similar responses that a forecast covers. A request that is rejected returns at once
elsewhere, and one that is cut loses all that its engine has done."""
MAX_SAMPLED_ROUTES: Final = 128
"""Samples are kept for so many routes at most; the route that came first goes first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Sample:
    output_tokens: int
    duration_s: float

    def compute_distance(self, output_tokens: int) -> float:
        """Return how unlike a request is that states this many tokens; 0 if it states none.

        One that states none may be of any length, so all samples are as similar to it.
        """
        if output_tokens == 0:
            return 0.0
        return abs(log((output_tokens + 1) / (self.output_tokens + 1)))

    def scale(self, output_tokens: int) -> float:
        """Return the duration for a request that states this many tokens.

        What is stated is a maximum: more tokens take longer, and fewer may take just as long.
        """
        if self.output_tokens == 0 or output_tokens <= self.output_tokens:
            return self.duration_s
        return self.duration_s * output_tokens / self.output_tokens


class ResponseDurations:
    """Recent durations of responses by route and service, from the send to the end."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[tuple[str, str], deque[_Sample]] = {}

    def record(self, route: str, service: str, *, output_tokens: int, duration_s: float) -> None:
        """Record a complete response.

        Args:
            route: Its route.
            service: Its service.
            output_tokens: Tokens that its request stated at most; 0 for none.
            duration_s: Seconds that it took.
        """
        key = (route, service)
        samples = self._by_route.get(key)
        if samples is None:
            if len(self._by_route) >= MAX_SAMPLED_ROUTES:
                del self._by_route[next(iter(self._by_route))]
            samples = self._by_route[key] = deque(maxlen=MAX_SAMPLES)
        samples.append(_Sample(output_tokens=output_tokens, duration_s=duration_s))

    def forecast(self, route: str, service: str, *, output_tokens: int) -> float | None:
        """Return the seconds that a response may take; None if there was none.

        The durations of one route differ as much as its requests do, so only those of similar ones
        count. A request that states more than all others takes longer in proportion.

        Args:
            route: Its route.
            service: Its service.
            output_tokens: Tokens that its request states at most; 0 for none.
        """
        samples = self._by_route.get((route, service))
        if not samples:
            return None
        newest_first = reversed(samples)
        ordered = sorted(newest_first, key=lambda one: one.compute_distance(output_tokens))
        durations = sorted(one.scale(output_tokens) for one in ordered[:SIMILAR_SAMPLES])
        return durations[ceil(QUANTILE * len(durations)) - 1]
