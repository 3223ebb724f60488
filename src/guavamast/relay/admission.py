"""Whether a request is worth sending now, or should come back when there is room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.engine_model import Forecast

URGENT_WAITING_SHARE: Final = 0.75
"""The same for requests that are due soon. What waits before them is mostly less urgent, and
engines serve them first: of 799 short prompts with a forecast wait of 75 to 225 ms, the first event
came after some 95 ms in the middle, and within 235 ms for nine in ten of the longest waits."""
WAITING_SHARE: Final = 0.5
"""Share of the objective for which a request may wait behind others; the rest is for its own
prompt and the first event. The request's own length does not count, so that long ones are refused
no sooner than short ones of their kind."""
UNSURE_FACTOR: Final = 4.0
"""Times as long may the most urgent requests wait by forecasts that rest on old news. Nothing goes
before them at an engine, and where some are refused by mistake, less urgent ones are served."""
LEAST_RETRY_S: Final = 0.1
"""Shortest time to come back: below it the room that was missing is not there yet."""
LONGEST_RETRY_S: Final = 1.5
"""Longest time to come back: bursts last some seconds, and a caller's answer is late by it."""
RETRY_SPREAD: Final = 0.5
"""Times to come back are spread by so much of themselves, so that callers don't come together."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ComeBack:
    """A request that is refused for now."""

    retry_after_s: float


def compute_allowed_wait(objective_s: float, *, patient: bool, unsure: bool = False) -> float:
    """Return the milliseconds that a request may wait by the forecast.

    Args:
        objective_s: Time to the first event that is promised.
        patient: Whether that is far more than the most urgent requests have.
        unsure: Whether it is one of the most urgent and the forecast rests on old news.
    """
    share = WAITING_SHARE if patient else URGENT_WAITING_SHARE
    if unsure:
        share *= UNSURE_FACTOR
    return share * objective_s * 1000.0


def admit(
    forecast: Forecast,
    *,
    objective_s: float,
    patient: bool,
    unsure: bool = False,
    random: Random,
) -> ComeBack | None:
    """Refuse a request that would wait too long where it would wait the least.

    Failure: more is asked for than the engines can do, every request is queued, and after some
    seconds every answer is late, those of the work that could have been done in time included.
    What would be late is refused at once, so the queues stay shorter than the objective and as many
    answers as the engines can give are in time.

    Args:
        forecast: What the request would meet at the best engine.
        objective_s: Time to the first event that is promised.
        patient: Whether that is far more than the most urgent requests have.
        unsure: Whether it is one of the most urgent and the forecast rests on old news.
        random: Source of the spread.

    Returns:
        When to come back, or None if the request is to be sent.
    """
    allowed_ms = compute_allowed_wait(objective_s, patient=patient, unsure=unsure)
    if forecast.waiting_ms <= allowed_ms:
        return None
    excess_s = (forecast.waiting_ms - allowed_ms) / 1000.0
    retry_after_s = min(LONGEST_RETRY_S, LEAST_RETRY_S + excess_s)
    return ComeBack(retry_after_s=retry_after_s * (1.0 + RETRY_SPREAD * random.random()))
