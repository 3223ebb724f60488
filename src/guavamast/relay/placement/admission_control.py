"""Admission by precedence, so that no request is rejected in favour of a less urgent one."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.placement.admission import WaitParameters, compute_allowed_wait, reject
from guavamast.relay.placement.obstacle import Obstacle, ObstacleKind
from guavamast.relay.placement.waiting import CHECK_INTERVAL_S
from guavamast.relay.placement.yield_credits import YieldCredits
from guavamast.relay.sharing import NO_CLAIMS, Claims, ShareKey, ShareLedger

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from guavamast.relay.placement.admission import Rejection
    from guavamast.relay.placement.admission_history import AdmissionHistory, UrgentDemand
    from guavamast.relay.placement.engine_forecast import Forecast
    from guavamast.relay.placement.waiting import RoomCheck

MAX_KEPT_SHARE: Final = 1 / 2
"""Share of the engines that are kept open for more urgent requests at most while none is delayed;
the least urgent ones have the rest to themselves."""
MAX_ABSENCE_S: Final = 0.3
"""Seconds for which a rejected request counts as waiting at most; who returns later waits again."""
SLOT_COST_MS: Final = 20.0
"""Milliseconds of prefill time that one slot counts for where slots are granted singly."""

BUSY_MS: Final = 100.0
"""Milliseconds of queued work below which no request yields for fairness: some intervals of checks,
so that engines don't idle until waiting attempts check again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionTerms:
    """What the admission of one request depends on beside the engines' queues."""

    service: str
    precedence: int
    """Rank; 0 goes first."""
    parameters: WaitParameters
    more_urgent: tuple[UrgentDemand, ...]
    """Demand of the more urgent requests to the service, one entry for each precedence."""
    goes_last: bool = False
    """Whether no less urgent request of its service is in use, by organisation and route."""
    own_rejected: bool = False
    """Whether requests of its own precedence are being rejected."""
    competitors: int = 0
    """Other requests of its precedence that may take the same room before it is known here."""
    organisation: str = ""
    """Name of the organisation that asks; empty without one."""
    claims: Claims = NO_CLAIMS
    """What waits of other organisations of its precedence."""

    @property
    def share_key(self) -> ShareKey:
        """Its organisation among those that compete for the service with its precedence."""
        return ShareKey(self.service, self.precedence, self.organisation)

    def survey(self, waits_ms: Iterable[float]) -> RoomSurvey:
        """Return where there is room for the request.

        Args:
            waits_ms: Milliseconds of wait at each engine that can be used.
        """
        waits = tuple(waits_ms)
        return RoomSurvey(
            terms=self,
            waits_ms=waits,
            open_engines=tuple(
                sum(wait_ms <= demand.wait_ms for wait_ms in waits) for demand in self.more_urgent
            ),
        )

    def count_kept(self, demand: UrgentDemand, *, engines: int) -> int:
        """Return how many engines are kept open for more urgent requests.

        The more precedences go before a request, the more engines it leaves to them, so that the
        least urgent requests don't use up what is left to those between. While more urgent requests
        are delayed it leaves up to twice as many. Unless it goes last, it leaves fewer the longer
        it waits, as it would be rejected for engines that nobody uses.

        Args:
            demand: The demand of the more urgent requests.
            engines: Engines that can be used.
        """
        share = MAX_KEPT_SHARE * (1.0 - 0.5 ** len(self.more_urgent)) * (1.0 + demand.pressure)
        if not self.goes_last:
            share *= 1.0 - self.parameters.waited_share
        return min(engines - 1, math.ceil(share * engines))


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomSurvey:
    """The engines' queues, as far as they matter for the admission of one request."""

    terms: AdmissionTerms
    waits_ms: tuple[float, ...]
    """Milliseconds of wait at each engine that can be used."""
    open_engines: tuple[int, ...]
    """For each more urgent precedence, the engines that its requests may still join."""

    def has_room(self, forecast: Forecast) -> bool:
        """Return whether an engine has room for the request."""
        return self.find_obstacle(forecast) is None

    def find_obstacle(self, forecast: Forecast) -> Obstacle | None:
        """Return what keeps the request from an engine; None if there is room for it.

        Failure: urgent requests may wait for a fifth of a second, less urgent ones for longer, and
        one long prompt takes longer than that at a slow engine. The less urgent ones keep all
        queues beyond the limit of the urgent ones, which are rejected everywhere although each
        decision is right by itself. So a less urgent request closes an engine to more urgent ones
        only if enough others stay open to them, and leaves an engine to each of them that waits.

        Args:
            forecast: Its forecast at the engine.
        """
        if forecast.waiting_ms > compute_allowed_wait(forecast, self.terms.parameters):
            kind = ObstacleKind.MEMORY if forecast.lacks_memory else ObstacleKind.QUEUE
            return Obstacle(kind=kind, engines=len(self.waits_ms))
        joined_ms = forecast.waiting_ms + forecast.prefill_ms
        for demand, open_engines in zip(self.terms.more_urgent, self.open_engines, strict=True):
            open_elsewhere = open_engines - (forecast.waiting_ms <= demand.wait_ms)
            if open_elsewhere < demand.waiting:
                return self._describe_yield(ObstacleKind.CLAIM, demand, open_engines, kept=0)
            if joined_ms <= demand.wait_ms:
                continue
            kept = self.terms.count_kept(demand, engines=len(self.waits_ms))
            if open_elsewhere < kept:
                return self._describe_yield(ObstacleKind.RESERVE, demand, open_engines, kept=kept)
        return None

    def _describe_yield(
        self, kind: ObstacleKind, demand: UrgentDemand, open_engines: int, *, kept: int
    ) -> Obstacle:
        """Return the obstacle of a request that leaves an engine to more urgent ones."""
        return Obstacle(
            kind=kind,
            precedence=demand.precedence,
            waiting=demand.waiting,
            open_engines=open_engines,
            kept_engines=kept,
            engines=len(self.waits_ms),
        )

    def count_places(self, forecast: Forecast) -> float:
        """Return how many requests like this one find room at present.

        Args:
            forecast: Its forecast at the engine selected for it.
        """
        own_ms = compute_allowed_wait(forecast, self.terms.parameters)
        prefill_ms = max(1.0, forecast.prefill_ms)
        places = _count_places(self.waits_ms, own_ms, prefill_ms=prefill_ms)
        for demand, open_engines in zip(self.terms.more_urgent, self.open_engines, strict=True):
            if forecast.waiting_ms + forecast.prefill_ms <= demand.wait_ms:
                continue
            closed = [wait_ms for wait_ms in self.waits_ms if wait_ms > demand.wait_ms]
            kept = self.terms.count_kept(demand, engines=len(self.waits_ms))
            closable = max(0, open_engines - kept)
            places = min(places, closable + _count_places(closed, own_ms, prefill_ms=prefill_ms))
        return max(1.0, places)


def _count_places(waits_ms: Iterable[float], limit_ms: float, *, prefill_ms: float) -> float:
    """Return how many prompts can join engines before each wait reaches a limit."""
    return sum(
        1.0 + (limit_ms - wait_ms) / prefill_ms for wait_ms in waits_ms if wait_ms <= limit_ms
    )


def _find_share(forecast: Forecast, survey: RoomSurvey, *, work_ms: float) -> Obstacle | None:
    """Return the obstacle of a request that leaves the room to organisations that were served less.

    Failure: under shortage the room goes to the organisation that requests most, whose attempts
    check for it most often. A request yields only as far as attempts wait that will take the room,
    and not at an engine that would be without work until they check, so no engine idles for it.

    Args:
        forecast: Its forecast at the engine selected for it.
        survey: Where there is room for it.
        work_ms: Its engine milliseconds.
    """
    claims = survey.terms.claims
    if not claims.attempts or forecast.waiting_ms <= BUSY_MS:
        return None
    if survey.count_places(forecast) > max(claims.attempts, claims.work_ms / max(1.0, work_ms)):
        return None
    return Obstacle(kind=ObstacleKind.SHARE, waiting=claims.attempts, engines=len(survey.waits_ms))


class AdmissionControl:
    """Admission of the requests to a set of endpoints.

    Args:
        history: Recent requests by precedence.
        random: Source of the retry jitter, and chooses among requests that compete for room.
        decides_alone: Whether no other instance admits requests to the same endpoints.
        shares: Work served and waiting by organisation; None for a ledger of its own.
    """

    __slots__ = ("_credits", "_decides_alone", "_history", "_random", "_shares")

    def __init__(
        self,
        *,
        history: AdmissionHistory,
        random: Random,
        decides_alone: bool = False,
        shares: ShareLedger | None = None,
    ) -> None:
        self._shares = shares if shares is not None else ShareLedger()
        self._history = history
        self._decides_alone = decides_alone
        self._random = random
        self._credits = YieldCredits()

    def prepare(
        self,
        parameters: WaitParameters,
        *,
        service: str,
        precedence: int,
        check: RoomCheck,
        now: float,
        organisation: str = "",
    ) -> AdmissionTerms:
        """Return the terms on which a request is admitted.

        Args:
            parameters: How long it may wait, regardless of other requests.
            service: Its service.
            precedence: Its rank; 0 goes first.
            check: Which of its checks for room this is.
            now: The present time.
            organisation: Name of the organisation that asks; empty without one.
        """
        key = ShareKey(service, precedence, organisation)
        self._shares.record_request(key, now=now)
        claims = self._shares.find_claims(key, now=now)
        waiting = self._history.count_waiting(service, precedence, now=now)
        # Those that were served more yield to it, so they don't take the same room.
        competitors = 0 if self._decides_alone else waiting - (not check.first) - claims.behind
        return AdmissionTerms(
            service=service,
            precedence=precedence,
            parameters=parameters,
            more_urgent=self._history.list_more_urgent(service, precedence, now=now),
            goes_last=not self._history.has_less_urgent(service, precedence, now=now),
            own_rejected=self._history.are_rejected(service, precedence, now=now),
            competitors=max(0, competitors),
            organisation=organisation,
            claims=claims,
        )

    def admit(
        self,
        forecast: Forecast,
        survey: RoomSurvey,
        *,
        check: RoomCheck,
        now: float,
        work_ms: float | None = None,
    ) -> Rejection | None:
        """Reject a request that would wait too long or take capacity that more urgent ones need.

        Args:
            forecast: The request's forecast at the engine selected for it.
            survey: Where there is room for it.
            check: Which of its checks for room this is.
            now: The present time.
            work_ms: Engine milliseconds that its organisation is charged for; None for its prefill.

        Returns:
            The rejection, or None if the request is admitted.
        """
        terms = survey.terms
        work_ms = forecast.prefill_ms if work_ms is None else work_ms
        service, precedence = terms.service, terms.precedence
        own_ms = compute_allowed_wait(forecast, terms.parameters)
        if check.first:
            self._history.record_request(service, precedence, wait_ms=own_ms, now=now)
        if check.newly_delayed:
            self._history.record_delay(service, precedence, now=now)
        obstacle = (
            survey.find_obstacle(forecast)
            or _find_share(forecast, survey, work_ms=work_ms)
            or self._find_competition(forecast, survey)
        )
        admitted = obstacle is None
        # Credit is shared like room: it is left to organisations that were served less.
        on_credit = check.last and not terms.claims.attempts and forecast.waiting_ms <= own_ms
        if not admitted and on_credit:
            admitted = self._credits.spend(terms, forecast.prefill_ms)
        if admitted:
            self._record_admitted(terms, forecast, check=check, work_ms=work_ms, now=now)
            return None
        excess_ms = max(0.0, forecast.waiting_ms - own_ms)
        if obstacle is not None and obstacle.kind is ObstacleKind.SHARE:
            excess_ms += terms.claims.work_ms / max(1, len(survey.waits_ms))
        rejection = reject(
            objective_s=terms.parameters.objective_s,
            excess_ms=excess_ms,
            random=self._random,
            obstacle=obstacle,
        )
        wait_s = CHECK_INTERVAL_S
        if check.last:
            # Until its caller returns, less urgent requests would take the room that it needs then.
            wait_s = min(MAX_ABSENCE_S, rejection.retry_after_s)
            self._history.record_rejection(service, precedence, now=now)
            self._credits.add_rejected(terms, forecast.prefill_ms)
        self._record_waiting(terms, check=check, work_ms=work_ms, wait_s=wait_s, now=now)
        return rejection

    def _record_admitted(
        self,
        terms: AdmissionTerms,
        forecast: Forecast,
        *,
        check: RoomCheck,
        work_ms: float,
        now: float,
    ) -> None:
        """Charge an admitted request, and count it as waiting no longer."""
        self._shares.end_waiting(terms.share_key, attempt=check.attempt)
        self._shares.charge(terms.share_key, work_ms, now=now)
        self._history.end_waiting(terms.service, terms.precedence, attempt=check.attempt)
        self._credits.add_admitted(terms, forecast.prefill_ms)

    def _record_waiting(
        self,
        terms: AdmissionTerms,
        *,
        check: RoomCheck,
        work_ms: float,
        wait_s: float,
        now: float,
    ) -> None:
        """Count a request as waiting until it checks for room again, or its caller returns."""
        self._history.record_waiting(
            terms.service,
            terms.precedence,
            attempt=check.attempt,
            delayed=check.delayed,
            wait_s=wait_s,
            now=now,
        )
        self._shares.record_waiting(
            terms.share_key, attempt=check.attempt, work_ms=work_ms, wait_s=wait_s, now=now
        )

    def _find_competition(self, forecast: Forecast, survey: RoomSurvey) -> Obstacle | None:
        """Return the obstacle of a request that isn't among those that take the room there is.

        Failure: many requests wait at many instances for the same room, all see it within the time
        that a load update takes, and all take it. The queue grows to several times its limit, and
        more urgent requests wait for all of them. Each takes it with the probability that there is
        a place for it, so that about as many go as there are places.
        """
        competing = survey.terms.competitors + 1
        if competing == 1 or self._random.random() * competing < survey.count_places(forecast):
            return None
        return Obstacle(
            kind=ObstacleKind.COMPETITION, waiting=competing, engines=len(survey.waits_ms)
        )

    def admit_to_slot(
        self,
        *,
        free: bool,
        service: str,
        precedence: int,
        objective_s: float,
        check: RoomCheck,
        now: float,
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
            check: Which of its checks for a slot this is.
            now: The present time.
        """
        terms = AdmissionTerms(
            service=service,
            precedence=precedence,
            parameters=WaitParameters(objective_s=objective_s),
            more_urgent=self._history.list_more_urgent(service, precedence, now=now),
        )
        yields = any(demand.waiting or demand.pressure > 0.0 for demand in terms.more_urgent)
        admitted = free and (not yields or self._credits.spend(terms, SLOT_COST_MS))
        if check.first:
            wait_ms = objective_s * 1000.0
            self._history.record_request(service, precedence, wait_ms=wait_ms, now=now)
        if admitted:
            self._credits.add_admitted(terms, SLOT_COST_MS)
        elif check.first:
            self._history.record_delay(service, precedence, now=now)
        return admitted
