"""Whether a request is worth sending now, or should come back when there is room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.engine_model import Forecast
    from guavamast.relay.refusal_history import Pressure, RefusalHistory

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
HELD_BACK_SHARE: Final = 1 / 4
"""Share of the reading time of more urgent requests that is given to those held back for them, so
that no kind starves while these go on being sent back."""
MOST_CREDIT_MS: Final = 100.0
"""Milliseconds of reading time that are kept for them at most: about one prompt."""
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


def make_way(allowed_ms: float, forecast: Forecast, pressures: tuple[Pressure, ...]) -> float:
    """Return the milliseconds that a request may wait beside more urgent ones.

    Failure: urgent requests may wait a fifth of a second, less urgent ones half of one. In a burst
    the less urgent keep all queues between the two, urgent ones are sent back everywhere, and each
    of these decisions is right by itself. The more of the urgent are sent back, the nearer the less
    urgent come to joining only queues that stay short enough for the urgent after them.

    Args:
        allowed_ms: What it may wait by itself.
        forecast: What it would meet.
        pressures: More urgent requests that are being sent back.
    """
    least_ms = allowed_ms
    for pressure in pressures:
        room_ms = max(0.0, pressure.wait_ms - forecast.reading_ms)
        if room_ms < allowed_ms:
            least_ms = min(least_ms, allowed_ms + pressure.weight * (room_ms - allowed_ms))
    return least_ms


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
    return _admit_within(allowed_ms, forecast, random=random)


class AdmissionControl:
    """Admits the requests of all urgencies, so that none is sent back for a less urgent one.

    Args:
        history: Requests sent back lately.
        random: Source of the spread of times to come back.
    """

    __slots__ = ("_credits_ms", "_history", "_random")

    def __init__(self, *, history: RefusalHistory, random: Random) -> None:
        self._history = history
        self._random = random
        self._credits_ms: dict[tuple[str, int], float] = {}
        """Reading time that less urgent requests are owed, by service and urgency."""

    def admit(
        self, forecast: Forecast, terms: WaitTerms, *, service: str, urgency: int, now: float
    ) -> ComeBack | None:
        """Refuse a request that would wait too long, or that more urgent ones need room before.

        Args:
            forecast: What the request would meet at the best engine.
            terms: How long it may wait by itself.
            service: Where it goes.
            urgency: 0 goes first.
            now: The present time.

        Returns:
            When to come back, or None if the request is to be sent.
        """
        own_ms = compute_allowed_wait(forecast, terms)
        pressures = self._history.list_pressures(service, urgency, now=now)
        allowed_ms = make_way(own_ms, forecast, pressures)
        held_back = allowed_ms < forecast.waiting_ms <= own_ms
        if held_back and self._take_credit(service, urgency, forecast.reading_ms):
            allowed_ms = own_ms
        later = _admit_within(allowed_ms, forecast, random=self._random)
        if later is None:
            self._give_credit(service, urgency, forecast.reading_ms)
        if _may_be_in_time(forecast, terms):
            self._history.record(
                service, urgency, sent_back=later is not None, wait_ms=own_ms, now=now
            )
        return later

    def find_filter(
        self, terms: WaitTerms, *, service: str, urgency: int, now: float
    ) -> Callable[[Forecast], bool] | None:
        """Return what tells where a request would be admitted; None if any engine may be taken.

        Failure: where an urgent request costs least, all slots are taken; it is sent back from
        there while an engine that costs more has room. There its pauses are often too long, so only
        requests before which none goes are sent there, and only while too many are sent back.

        Args:
            terms: How long the request may wait.
            service: Where it goes.
            urgency: 0 goes first.
            now: The present time.
        """
        if not terms.first or not self._history.is_pressed(service, urgency, now=now):
            return None
        return lambda forecast: forecast.waiting_ms <= compute_allowed_wait(forecast, terms)

    def _take_credit(self, service: str, urgency: int, reading_ms: float) -> bool:
        """Return whether a request that is held back is let in for the share of its kind."""
        key = (service, urgency)
        credit_ms = self._credits_ms.setdefault(key, 0.0)
        if credit_ms <= 0.0:
            return False
        self._credits_ms[key] = credit_ms - reading_ms
        return True

    def _give_credit(self, service: str, urgency: int, reading_ms: float) -> None:
        """Credit less urgent requests with their share for a request that is let in."""
        for key, credit_ms in self._credits_ms.items():
            if key[0] == service and key[1] > urgency:
                more_ms = credit_ms + HELD_BACK_SHARE * reading_ms
                self._credits_ms[key] = min(MOST_CREDIT_MS, more_ms)


def _may_be_in_time(forecast: Forecast, terms: WaitTerms) -> bool:
    """Return whether a request would be in time if it had nothing to wait for."""
    return forecast.start_ms + forecast.reading_ms <= terms.objective_s * 1000.0


def _admit_within(allowed_ms: float, forecast: Forecast, *, random: Random) -> ComeBack | None:
    if forecast.waiting_ms <= allowed_ms:
        return None
    excess_s = (forecast.waiting_ms - allowed_ms) / 1000.0
    retry_after_s = min(LONGEST_RETRY_S, LEAST_RETRY_S + excess_s)
    return ComeBack(retry_after_s=retry_after_s * (1.0 + RETRY_SPREAD * random.random()))
