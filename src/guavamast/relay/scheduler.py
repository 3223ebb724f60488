"""Scheduling of all instances' requests to one group of endpoints, whose load is known exactly."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.admission import WaitTerms
from guavamast.relay.admission_control import AdmissionControl
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.engine_model import FIRST_LIMIT, LATE_LIMIT, PATIENT_LIMIT
from guavamast.relay.expected_returns import ExpectedReturns
from guavamast.relay.placement import Placement
from guavamast.relay.prompt_lanes import PromptDemand
from guavamast.relay.refusal_history import RefusalHistory
from guavamast.relay.scheduled_work import ScheduledWork
from guavamast.relay.scheduling_messages import PlacementReply, Verdict

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.endpoint_choice import Choice
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_model import MemoryLimit
    from guavamast.relay.engine_profile import EngineProfile
    from guavamast.relay.scheduling_messages import PlacementQuery

LEARNING_S: Final = 1.0
"""Seconds after its start during which a scheduler may not know all work yet; each instance reports
within this time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceFacts:
    """Properties that all endpoints of a group's service share."""

    profile: EngineProfile
    memory_tokens: int
    """Capacity of an engine's KV cache in tokens; 0 for plain services."""
    shortest_pause_s: float


class GroupScheduler:
    """Grants or rejects the requests to one group of endpoints.

    Failure: when each instance decides on loads that are a second old, all send to the same idle
    engine and reject callers because of queues that no longer exist. The scheduler is queried
    before each send, counts the request at once, and receives an update when it begins and ends.

    Its state is soft: work of an instance that stops reporting or does not confirm it is dropped,
    and a new scheduler learns of the running work from the reports of all instances.

    Args:
        random: Breaks ties between equal endpoints and spreads retry delays.
        now: Current time, at which the learning period starts.
    """

    __slots__ = ("_admission", "_started_at", "_chooser", "_demand", "_expected_retries", "work")

    def __init__(self, *, random: Random, now: float) -> None:
        self.work = ScheduledWork()
        """Requests at the endpoints of the group."""
        self._demand = PromptDemand()
        self._chooser = EndpointChooser(loads=self.work.loads, cache=self.work.cache, random=random)
        self._admission = AdmissionControl(history=RefusalHistory(), random=random)
        self._started_at = now
        self._expected_retries = ExpectedReturns()

    def is_learning(self, *, now: float) -> bool:
        """Return whether the scheduler may not know all work yet."""
        return now - self._started_at < LEARNING_S

    def decide(
        self,
        query: PlacementQuery,
        candidates: list[EndpointRecord],
        facts: ServiceFacts,
        *,
        now: float,
    ) -> PlacementReply:
        """Select an endpoint for a request, and count the request there if it is granted.

        Args:
            query: The request.
            candidates: Endpoints of the group that accept requests.
            facts: Parameters that all of them share.
            now: Current time.
        """
        self.work.renew_lease(query.asker, now=now)
        learning = self.is_learning(now=now)
        placement = self._build_placement(query, facts, learning=learning, now=now)
        wait_parameters = self._build_wait_parameters(query, learning=learning, now=now)
        choice = self._chooser.choose(
            placement,
            candidates,
            exclude=frozenset(query.excluded),
            now=now,
            has_room=self._admission.find_filter(
                wait_parameters, service=query.service, urgency=query.urgency, now=now
            ),
        )
        if choice is None:
            return PlacementReply(number=query.number, verdict=Verdict.UNKNOWN, learning=learning)
        retry_after_s = self._admit(query, choice, wait_parameters, now=now)
        if retry_after_s is not None:
            return _build_reply(
                query, choice, Verdict.REFUSED, learning=learning, retry_after_s=retry_after_s
            )
        self.work.grant(query, choice, now=now)
        return _build_reply(query, choice, Verdict.GRANTED, learning=learning)

    def _build_placement(
        self, query: PlacementQuery, facts: ServiceFacts, *, learning: bool, now: float
    ) -> Placement:
        if query.prompt_tokens:
            self._demand.record(
                query.lane,
                prompt_tokens=query.prompt_tokens,
                output_tokens=query.output_tokens,
                profile=facts.profile,
                now=now,
            )
        return Placement(
            prompt_parts=query.prompt_parts,
            prompt_tokens=query.prompt_tokens,
            failure_domain=query.failure_domain,
            lane=query.lane,
            lane_shares=self._demand.compute_shares(),
            output_tokens=query.output_tokens,
            memory_tokens=facts.memory_tokens,
            profile=facts.profile,
            objective_s=query.objective_s,
            delicate=query.delicate,
            shortest_pause_s=facts.shortest_pause_s,
            memory_limit=_select_memory_limit(query, learning=learning),
            loads_late=learning,
        )

    def _build_wait_parameters(
        self, query: PlacementQuery, *, learning: bool, now: float
    ) -> WaitTerms:
        return WaitTerms(
            objective_s=query.objective_s,
            patient=query.patient,
            first=query.first,
            old_news=learning,
            fresh=not self._expected_retries.recall(query, now=now),
        )

    def _admit(
        self, query: PlacementQuery, choice: Choice, wait_parameters: WaitTerms, *, now: float
    ) -> float | None:
        """Return the seconds after which to retry a rejected request; None if it is admitted."""
        if choice.forecast is None or not query.refusable:
            return None
        rejection = self._admission.admit(
            choice.forecast, wait_parameters, service=query.service, urgency=query.urgency, now=now
        )
        if rejection is None:
            return None
        self._expected_retries.note(query, now=now)
        return rejection.retry_after_s


def _select_memory_limit(query: PlacementQuery, *, learning: bool) -> MemoryLimit:
    if learning:
        return LATE_LIMIT
    return FIRST_LIMIT if query.first else PATIENT_LIMIT


def _build_reply(
    query: PlacementQuery,
    choice: Choice,
    verdict: Verdict,
    *,
    learning: bool,
    retry_after_s: float = 0.0,
) -> PlacementReply:
    forecast = choice.forecast
    return PlacementReply(
        number=query.number,
        verdict=verdict,
        endpoint_id=choice.record.endpoint_id,
        uncached_tokens=choice.unread_tokens,
        own_bucket=choice.own_lane,
        start_ms=forecast.start_ms if forecast else 0.0,
        waiting_ms=forecast.waiting_ms if forecast else 0.0,
        prefill_ms=forecast.reading_ms if forecast else 0.0,
        endpoint_requests=choice.load.requests,
        endpoint_prefill_tokens=choice.load.prefill_tokens,
        retry_after_s=retry_after_s,
        learning=learning,
    )
