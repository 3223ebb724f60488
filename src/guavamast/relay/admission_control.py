"""Admits requests by urgency, so that none is sent back for a less urgent one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.admission import admit_within, compute_allowed_wait

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.admission import ComeBack, WaitTerms
    from guavamast.relay.engine_model import Forecast
    from guavamast.relay.refusal_history import Pressure, RefusalHistory

HELD_BACK_SHARE: Final = 1 / 4
"""Share of the reading time of more urgent requests that is given to those held back for them, so
that no kind starves while these go on being sent back."""
MOST_CREDIT_MS: Final = 100.0
"""Milliseconds of reading time that are kept for them at most: about one prompt."""


class AdmissionControl:
    """Admits the requests to some endpoints.

    Args:
        history: Requests sent back lately.
        random: Source of the spread of times to come back.
    """

    __slots__ = ("_credits_ms", "_history", "_random")

    def __init__(self, *, history: RefusalHistory, random: Random) -> None:
        self._history = history
        self._random = random
        self._credits_ms: dict[tuple[str, int], float] = {}
        """Reading time that requests which are held back may still have, by service and urgency."""

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
        later = admit_within(allowed_ms, forecast, random=self._random)
        if later is None:
            self._give_credit(service, urgency, forecast.reading_ms)
        # Nothing is held back for a request that would be late at an idle engine, too.
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
