"""Whether a request is worth sending now, or should come back when there is room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.engine_model import Forecast

URGENT_WAITING_SHARE: Final = 0.75
"""Share of the objective; the same for requests that are due soon. What waits before them is mostly
less urgent, and engines serve them first."""
WAITING_SHARE: Final = 0.5
"""Share of the objective for which a request may wait behind others; the rest is for its own prompt
and the first event."""
IN_TIME_SHARE: Final = 0.85
"""Share of the objective by which the first event is forecast for a request that is admitted;
forecasts are off to either side."""
FRESH_SHARE: Final = 0.8
"""Share of the allowed wait for a request that was not sent back before: those that were find room
first, as their callers ask no third time."""
OLD_NEWS_FACTOR: Final = 2.0
"""Factor on the allowed wait where loads are told late. All instances have the same news: refused
by it, callers leave engines idle until the next."""
FIRST_FACTOR: Final = 8.0
"""Factor on the allowed wait of requests before which none goes at an engine: where some are
refused by mistake, less urgent ones are served meanwhile."""
LEAST_RETRY_S: Final = 0.1
"""Seconds until a caller comes back at the earliest: the room that was missing is not there
sooner."""
LONGEST_RETRY_S: Final = 1.5
"""Seconds until a caller comes back at the latest: its answer is late by them."""
RETRY_SPREAD: Final = 0.5
"""Share of itself by which a time to come back is spread, so that callers don't come together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ComeBack:
    """A request that is refused for now."""

    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitTerms:
    """What decides how long a request may wait."""

    objective_s: float
    """Time to the first event that is promised."""
    patient: bool = False
    """Whether that is far more than the most urgent requests have."""
    first: bool = False
    """Whether no stream of its service goes before it."""
    old_news: bool = False
    """Whether forecasts rest on loads that are told late."""
    fresh: bool = False
    """Whether the request is known not to have been sent back before."""


def compute_allowed_wait(forecast: Forecast, terms: WaitTerms) -> float:
    """Return the milliseconds that a request may wait.

    Failure: engines are given more than they can do, the queue grows until the allowed wait ends,
    and half of what is admitted at its end comes just too late. Serving as much, a queue that is a
    little shorter has all of it in time. A prompt too long to be in time anywhere waits as others.

    Args:
        forecast: What it would meet.
        terms: What was promised, and what the forecast rests on.
    """
    objective_ms = terms.objective_s * 1000.0
    share = WAITING_SHARE if terms.patient else URGENT_WAITING_SHARE
    if terms.old_news:
        return share * objective_ms * (FIRST_FACTOR if terms.first else OLD_NEWS_FACTOR)
    allowed_ms = share * objective_ms
    in_time_ms = IN_TIME_SHARE * objective_ms - forecast.start_ms - forecast.reading_ms
    if in_time_ms > 0.0:
        allowed_ms = min(allowed_ms, in_time_ms)
    return allowed_ms * FRESH_SHARE if terms.fresh else allowed_ms


def admit(forecast: Forecast, terms: WaitTerms, *, random: Random) -> ComeBack | None:
    """Refuse a request that would wait too long where it would wait the least.

    Failure: more is asked for than the engines can do, every request is queued, and after some
    seconds every answer is late, those of the work that could have been done in time included.
    What would be late is refused at once, so the queues stay shorter than the objective and as many
    answers as the engines can give are in time.

    Args:
        forecast: What the request would meet at the best engine.
        terms: How long it may wait.
        random: Source of the spread.

    Returns:
        When to come back, or None if the request is to be sent.
    """
    allowed_ms = compute_allowed_wait(forecast, terms)
    return admit_within(allowed_ms, forecast, random=random)


def admit_within(allowed_ms: float, forecast: Forecast, *, random: Random) -> ComeBack | None:
    """Refuse a request that would wait longer than is allowed.

    Args:
        allowed_ms: Milliseconds that it may wait.
        forecast: What it would meet.
        random: Source of the spread.

    Returns:
        When to come back, or None if the request is to be sent.
    """
    if forecast.waiting_ms <= allowed_ms:
        return None
    excess_s = (forecast.waiting_ms - allowed_ms) / 1000.0
    retry_after_s = min(LONGEST_RETRY_S, LEAST_RETRY_S + excess_s)
    return ComeBack(retry_after_s=retry_after_s * (1.0 + RETRY_SPREAD * random.random()))
