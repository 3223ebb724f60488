"""Engines of a soak run that name the requests a second that they take from all instances."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from soak.guarantees import RequestRecord, Span, is_undisturbed

if TYPE_CHECKING:
    from random import Random

    from guavamast.platform.standins.engine import Arrival, EngineStandIn
    from soak.site import SoakSite

LIMITS: Final = ("0", "0.2", "1.8", "4")
SHORTEST_LIMIT_S: Final = 3.0
LONGEST_LIMIT_S: Final = 9.0
"""Range of the time for which an engine names a limit."""
LONGEST_GAP_S: Final = 3.0
"""Time at most between the end of one limit and the next."""
NEWS_S: Final = 0.5
"""Time in which an instance must have heard of a limit."""
WINDOW_S: Final = 4.0
FACTOR: Final = 1.5
SLACK: Final = 5
"""Factor on the limit, and requests beyond it, that an engine may get in a window."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LimitedSpan:
    """Time in which an engine named a limit."""

    engine: EngineStandIn
    limit: float
    span: Span


class RateLimitNamer:
    """Lets engines name limits, one after the other, and checks what they got.

    Args:
        site: The site of the run.
        random: Chooses engines, limits and times.
    """

    def __init__(self, *, site: SoakSite, random: Random) -> None:
        self._site = site
        self._random = random
        self._limited: list[LimitedSpan] = []

    async def run(self, until: float) -> None:
        """Let engines name limits until a monotonic time."""
        while time.monotonic() < until - SHORTEST_LIMIT_S:
            await asyncio.sleep(self._random.uniform(0.0, LONGEST_GAP_S))
            await self._limit_one(until)

    async def _limit_one(self, until: float) -> None:
        names = sorted(self._site.engines)
        engine = self._site.engines[self._random.choice(names)]
        limit = self._random.choice(LIMITS)
        duration_s = self._random.uniform(SHORTEST_LIMIT_S, LONGEST_LIMIT_S)
        engine.rate_limit_named_at = None
        engine.rate_limit = limit
        await asyncio.sleep(min(duration_s, max(0.0, until - time.monotonic())))
        engine.rate_limit = None
        if engine.rate_limit_named_at is not None:
            span = Span(started_at=engine.rate_limit_named_at, ended_at=time.monotonic())
            self._limited.append(LimitedSpan(engine=engine, limit=float(limit), span=span))

    def find_violations(
        self, requests: list[RequestRecord], disruptions: dict[str, list[Span]]
    ) -> list[str]:
        """Return the engines that got more than they named from undisturbed instances.

        Args:
            requests: All requests of callers.
            disruptions: Disruptions of the instances by their address.
        """
        addresses = {request.request_id: request.address for request in requests}
        violations = []
        for one in self._limited:
            times = [
                arrival.at
                for arrival in one.engine.arrivals
                if one.span.started_at + NEWS_S <= arrival.at <= one.span.ended_at
                and _counts(arrival, addresses, disruptions)
            ]
            most = max(
                (sum(start <= at <= start + WINDOW_S for at in times) for start in times),
                default=0,
            )
            if most > FACTOR * WINDOW_S * one.limit + SLACK:
                violations.append(
                    f"engine {one.engine.engine_id} named a limit of {one.limit:g} a second and "
                    f"got {most} requests in {WINDOW_S:g} s"
                )
        return violations


def _counts(
    arrival: Arrival, addresses: dict[str, str], disruptions: dict[str, list[Span]]
) -> bool:
    """Return whether a request came from an instance that was told and not disturbed."""
    address = addresses.get(arrival.request_id)
    if not address:
        return False
    return is_undisturbed(disruptions.get(address, []), arrival.at, arrival.at)
