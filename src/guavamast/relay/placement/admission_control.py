"""Admission by precedence, so that no request is rejected in favour of a less urgent one."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.placement.admission import admit_within, compute_allowed_wait

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.placement.admission import Rejection, WaitParameters
    from guavamast.relay.placement.engine_forecast import Forecast
    from guavamast.relay.placement.rejection_history import RejectionHistory, RejectionPressure

LESS_URGENT_CREDIT_SHARE: Final = 1 / 4
"""Share of the prefill time of admitted requests that is credited to less urgent ones that yield
to them, so that no precedence starves while more urgent requests are being rejected."""
SLOT_COST_MS: Final = 20.0
"""Milliseconds of prefill time that one slot counts for where slots are granted singly."""
MAX_CREDIT_MS: Final = 100.0
"""Milliseconds of prefill time that are credited at most: about one prompt."""


class AdmissionControl:
    """Admission of the requests to a set of endpoints.

    Args:
        history: Recent rejections by precedence.
        random: Source of the retry jitter.
    """

    __slots__ = ("_credits_ms", "_history", "_random")

    def __init__(self, *, history: RejectionHistory, random: Random) -> None:
        self._history = history
        self._random = random
        self._credits_ms: dict[tuple[str, int], float] = {}
        """Prefill time that requests which yield may still use, by service and precedence."""

    def admit(
        self,
        forecast: Forecast,
        parameters: WaitParameters,
        *,
        service: str,
        precedence: int,
        now: float,
    ) -> Rejection | None:
        """Reject a request that would wait too long or take capacity that more urgent ones need.

        Args:
            forecast: The request's forecast at the best engine.
            parameters: How long it may wait, regardless of other requests.
            service: Its service.
            precedence: Its rank; 0 goes first.
            now: The present time.

        Returns:
            The rejection, or None if the request is admitted.
        """
        own_ms = compute_allowed_wait(forecast, parameters)
        pressures = self._history.list_pressures(service, precedence, now=now)
        allowed_ms = reduce_wait_for_urgent(own_ms, forecast, pressures)
        yields = allowed_ms < forecast.waiting_ms <= own_ms
        if yields and self._spend_credit(service, precedence, forecast.prefill_ms):
            allowed_ms = own_ms
        rejection = admit_within(allowed_ms, forecast, random=self._random)
        if rejection is None:
            self._add_credit(service, precedence, forecast.prefill_ms)
        # Less urgent requests don't yield to one that would be late even at an idle engine.
        if _may_be_in_time(forecast, parameters):
            self._history.record(
                service, precedence, rejected=rejection is not None, wait_ms=own_ms, now=now
            )
        return rejection

    def admit_to_slot(
        self, *, free: bool, service: str, precedence: int, objective_s: float, now: float
    ) -> bool:
        """Return whether a request may take a slot, where nothing may wait for one.

        Failure: a slot goes to whoever asks first once it is free, and larger, less urgent
        requests, which may wait longer, ask more often than urgent ones. While more urgent requests
        find no slot, less urgent ones get a part of those that these were given.

        Args:
            free: Whether there is a free slot.
            service: The request's service.
            precedence: Its rank; 0 goes first.
            objective_s: Its objective.
            now: The present time.
        """
        yields = bool(self._history.list_pressures(service, precedence, now=now))
        admitted = free and (not yields or self._spend_credit(service, precedence, SLOT_COST_MS))
        if admitted:
            self._add_credit(service, precedence, SLOT_COST_MS)
        self._history.record(
            service, precedence, rejected=not admitted, wait_ms=objective_s * 1000.0, now=now
        )
        return admitted

    def create_room_filter(
        self, parameters: WaitParameters, *, service: str, precedence: int, now: float
    ) -> Callable[[Forecast], bool] | None:
        """Return a predicate for engines that would admit a request; None if any engine may do.

        Failure: an urgent request is rejected at the engine with the least cost, whose slots are
        full, while a more expensive engine has room. Pauses there are often too long, so only the
        most urgent requests use it, and only while too many of them are rejected.

        Args:
            parameters: How long the request may wait.
            service: Its service.
            precedence: Its rank; 0 goes first.
            now: The present time.
        """
        if not parameters.most_urgent or not self._history.exceeds_tolerance(
            service, precedence, now=now
        ):
            return None
        return lambda forecast: forecast.waiting_ms <= compute_allowed_wait(forecast, parameters)

    def _spend_credit(self, service: str, precedence: int, prefill_ms: float) -> bool:
        """Return whether a request that yields is admitted on credit, and spend the credit."""
        key = (service, precedence)
        credit_ms = self._credits_ms.setdefault(key, 0.0)
        if credit_ms <= 0.0:
            return False
        self._credits_ms[key] = credit_ms - prefill_ms
        return True

    def _add_credit(self, service: str, precedence: int, prefill_ms: float) -> None:
        """Credit less urgent requests with their share of an admitted request's prefill time."""
        for key, credit_ms in self._credits_ms.items():
            if key[0] == service and key[1] > precedence:
                raised_ms = credit_ms + LESS_URGENT_CREDIT_SHARE * prefill_ms
                self._credits_ms[key] = min(MAX_CREDIT_MS, raised_ms)


def _may_be_in_time(forecast: Forecast, parameters: WaitParameters) -> bool:
    """Return whether a request would be in time at an idle engine."""
    return forecast.start_ms + forecast.prefill_ms <= parameters.objective_s * 1000.0


def reduce_wait_for_urgent(
    allowed_ms: float, forecast: Forecast, pressures: tuple[RejectionPressure, ...]
) -> float:
    """Return the milliseconds that a request may wait, given the rejections of more urgent ones.

    Failure: urgent requests may wait a fifth of a second, less urgent ones half a second. In a
    burst the less urgent ones keep all queues between these two limits, and urgent ones are
    rejected everywhere although each decision is right by itself. The more urgent requests are
    rejected, the closer the limit moves to queues that stay short enough for urgent requests.

    Args:
        allowed_ms: Milliseconds that it may wait, regardless of other requests.
        forecast: Its forecast at the engine.
        pressures: Rejection pressure of more urgent requests.
    """
    reduced_ms = allowed_ms
    for pressure in pressures:
        room_ms = max(0.0, pressure.wait_ms - forecast.prefill_ms)
        if room_ms < allowed_ms:
            reduced_ms = min(reduced_ms, allowed_ms + pressure.weight * (room_ms - allowed_ms))
    return reduced_ms
