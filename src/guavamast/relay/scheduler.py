"""Scheduling of all instances' requests to one group of endpoints, whose load is known exactly."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_groups import find_service
from guavamast.relay.placement import (
    LESS_URGENT_LIMIT,
    MIN_RETRY_S,
    MOST_URGENT_LIMIT,
    STALE_LOADS_LIMIT,
    AdmissionControl,
    AdmissionHistory,
    EndpointChooser,
    EndsUnderLoad,
    ExpectedRetries,
    FreeSlots,
    Obstacle,
    ObstacleKind,
    Placement,
    PromptDemand,
    Rejection,
    WaitParameters,
    reject_for_memory,
)
from guavamast.relay.scheduled_work import ScheduledWork
from guavamast.relay.scheduling_messages import PlacementReply, Verdict, WorkPhase
from guavamast.relay.sharing import EQUAL_SHARES, SharingPolicy

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement import Choice, EngineProfile, KvLimit, MemoryReserve
    from guavamast.relay.scheduled_work import EndedStream
    from guavamast.relay.scheduling_messages import PlacementQuery, WorkUpdate

SLOT_RETRY_SHARE: Final = 0.25
"""Share of its objective after which a request that found no free slot is retried."""
SLOT_RETRY_JITTER: Final = 0.5
"""Share of that time that is added at random at most."""
MAX_PERMIT_RETRY_S: Final = 0.6
"""Seconds at most until a request without a permit is retried: other endpoints may be back, or a
limit have ended."""
LEARNING_S: Final = 1.0
"""Seconds after its start during which a scheduler may not know all work yet; each instance reports
within this time."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceParameters:
    """Properties that all endpoints of a group's service share."""

    profile: EngineProfile
    kv_capacity_tokens: int
    """Capacity of an engine's KV cache in tokens; 0 for plain services."""
    shortest_pause_s: float
    slots_only: bool = False
    """Whether nothing may wait at its endpoints, as they bear few rejections."""
    permit_waits: Mapping[str, float] = field(default_factory=dict)
    """Seconds until the next permit by endpoint, for those that state a rate limit; 0 if there is
    one."""


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
        memory: Bounds what engines hold; None where they bear it if their memory runs out.
        sharing: How organisations share the endpoints.
    """

    __slots__ = (
        "_admission",
        "_chooser",
        "_demand",
        "_ends",
        "_expected_retries",
        "_kv_capacity_tokens",
        "_memory",
        "_random",
        "_started_at",
        "slots",
        "work",
    )

    def __init__(
        self,
        *,
        random: Random,
        now: float,
        memory: MemoryReserve | None = None,
        sharing: SharingPolicy = EQUAL_SHARES,
    ) -> None:
        self._memory = memory
        self._ends = EndsUnderLoad()
        self._kv_capacity_tokens = 0
        self._random = random
        self.slots = FreeSlots()
        """Free slots, for services whose endpoints bear few rejections."""
        self.work = ScheduledWork(memory_bounded=memory is not None, sharing=sharing)
        """Requests at the endpoints of the group."""
        self._demand = PromptDemand()
        self._chooser = EndpointChooser(
            loads=self.work.loads,
            cache=self.work.cache,
            random=random,
            speeds=self.work.speeds,
        )
        self._admission = AdmissionControl(
            history=AdmissionHistory(),
            random=random,
            decides_alone=True,
            shares=self.work.shares,
        )
        self._started_at = now
        self._expected_retries = ExpectedRetries()

    def is_learning(self, *, now: float) -> bool:
        """Return whether the scheduler may not know all work yet."""
        return now - self._started_at < LEARNING_S

    def decide(
        self,
        query: PlacementQuery,
        candidates: list[EndpointRecord],
        parameters: ServiceParameters,
        *,
        now: float,
    ) -> PlacementReply:
        """Select an endpoint for a request, and count the request there if it is granted.

        Args:
            query: The request.
            candidates: Endpoints of the group that accept requests.
            parameters: Parameters that all of them share.
            now: Current time.
        """
        self.work.renew_lease(query.requester, now=now)
        self._kv_capacity_tokens = parameters.kv_capacity_tokens
        learning = self.is_learning(now=now)
        placement = self._build_placement(query, parameters, learning=learning, now=now)
        terms = self._admission.prepare(
            self._build_wait_parameters(query, learning=learning, now=now),
            service=query.service,
            precedence=query.precedence,
            check=query.check,
            now=now,
            organisation=query.organisation,
        )
        free = candidates
        if parameters.slots_only:
            free = self._list_free(candidates, query, now=now)
        unlearnt = self._list_unlearnt(free, parameters, learning=learning)
        considered = unlearnt or free or candidates
        permit_wait_s = _find_permit_wait(query, considered, parameters)
        choice = self._chooser.choose(
            placement,
            considered,
            exclude=_list_excluded(query, parameters, permit_wait_s=permit_wait_s),
            now=now,
            terms=terms,
            needs_room=query.check.delayed or not query.least_urgent,
        )
        if choice is None:
            return PlacementReply(
                requester=query.requester,
                number=query.number,
                verdict=Verdict.UNKNOWN,
                learning=learning,
            )
        rejection: Rejection | None
        if self._bounds_memory(parameters) and (_lacks_memory(choice) or (free and not unlearnt)):
            rejection = reject_for_memory(objective_s=query.objective_s)
        elif (
            parameters.slots_only or permit_wait_s is not None
        ) and not self._admission.admit_to_slot(
            free=bool(free) and not permit_wait_s,
            service=query.service,
            precedence=query.precedence,
            objective_s=query.objective_s,
            check=query.check,
            now=now,
        ):
            rejection = self._reject_in_turn(query, permit_wait_s=permit_wait_s or 0.0)
        else:
            rejection = self._admit(query, placement, choice, now=now)
        if rejection is not None:
            return _build_reply(
                query, choice, Verdict.REFUSED, learning=learning, rejection=rejection
            )
        work_ms = choice.compute_work_ms(placement) if choice.survey and query.rejectable else 0.0
        self.work.grant(query, choice, now=now, work_ms=work_ms)
        permitted = choice.record.endpoint_id in parameters.permit_waits
        return _build_reply(query, choice, Verdict.GRANTED, learning=learning, permitted=permitted)

    def apply_update(self, update: WorkUpdate, *, now: float) -> EndedStream | None:
        """Apply the progress of one request.

        Returns:
            Pauses and prefill load of the stream, if one has ended.
        """
        if update.phase is WorkPhase.REJECTED:
            endpoint_id = self.work.find_endpoint(update.requester, update.number)
            if endpoint_id is not None:
                running = self.work.count_at(endpoint_id) - 1
                self.slots.record_rejection(endpoint_id, running=running, now=now)
        self._record_failure(update, now=now)
        return self.work.apply_update(update, now=now)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the endpoints that are gone."""
        self.work.cache.retain(endpoint_ids)
        self.work.loads.retain(endpoint_ids)
        self.work.speeds.retain(endpoint_ids)
        self.slots.retain(endpoint_ids)
        self._ends.retain(endpoint_ids)

    def _record_failure(self, update: WorkUpdate, *, now: float) -> None:
        """Let the reserve grow if a failed request shows that its engine ended under load."""
        endpoint_id = self.work.find_endpoint(update.requester, update.number)
        if self._memory is None or endpoint_id is None or update.failure_weight <= 0.0:
            return
        load = self.work.loads.sum_up(endpoint_id)
        if self._ends.record_failure(
            endpoint_id,
            held_tokens=load.kv_tokens,
            requests=load.requests,
            kv_capacity_tokens=self._kv_capacity_tokens,
            now=now,
        ):
            self._memory.record_end(find_service(update.group), endpoint_id, now=now)

    def _list_free(
        self, candidates: list[EndpointRecord], query: PlacementQuery, *, now: float
    ) -> list[EndpointRecord]:
        """Return the endpoints with a free slot that a request may go to."""
        return [
            record
            for record in candidates
            if record.endpoint_id not in query.excluded
            and self.slots.has_one(record, running=self.work.count_at(record.endpoint_id), now=now)
        ]

    def _bounds_memory(self, parameters: ServiceParameters) -> bool:
        """Return whether an engine of a service ends that holds more than its KV cache."""
        return self._memory is not None and parameters.kv_capacity_tokens > 0

    def _list_unlearnt(
        self, candidates: list[EndpointRecord], parameters: ServiceParameters, *, learning: bool
    ) -> list[EndpointRecord]:
        """Return the engines whose work is known well enough for a grant.

        What a scheduler learns at first is half a second old, so where others have sent requests,
        more may have been granted since.
        """
        if not learning or not self._bounds_memory(parameters):
            return candidates
        return [one for one in candidates if not self.work.has_learnt_of(one.endpoint_id)]

    def _reject_in_turn(self, query: PlacementQuery, *, permit_wait_s: float) -> Rejection:
        """Return the rejection of a request that found no slot, or no permit at any endpoint."""
        jitter = 1.0 + SLOT_RETRY_JITTER * self._random.random()
        share_s = SLOT_RETRY_SHARE * query.objective_s
        retry_s = max(MIN_RETRY_S, share_s, min(MAX_PERMIT_RETRY_S, permit_wait_s))
        kind = ObstacleKind.RATE if permit_wait_s > 0.0 else ObstacleKind.SLOTS
        return Rejection(retry_after_s=retry_s * jitter, obstacle=Obstacle(kind=kind))

    def _build_placement(
        self, query: PlacementQuery, parameters: ServiceParameters, *, learning: bool, now: float
    ) -> Placement:
        if query.prompt_tokens and query.check.first:
            self._demand.record(
                query.bucket,
                prompt_tokens=query.prompt_tokens,
                output_tokens=query.output_tokens,
                profile=parameters.profile,
                now=now,
            )
        return Placement(
            prompt_parts=query.prompt_parts,
            prompt_tokens=query.prompt_tokens,
            failure_domain=query.failure_domain,
            bucket=query.bucket,
            bucket_shares=self._demand.compute_shares(),
            output_tokens=query.output_tokens,
            transfer_bytes=query.transfer_bytes,
            kv_capacity_tokens=parameters.kv_capacity_tokens,
            profile=parameters.profile,
            objective_s=query.objective_s,
            pause_sensitive=query.pause_sensitive,
            shortest_pause_s=parameters.shortest_pause_s,
            kv_limit=self._select_limit(query, learning=learning, now=now),
            # Blended loads of several engines are no bound for one of them.
            loads_stale=learning and not self._bounds_memory(parameters),
        )

    def _select_limit(self, query: PlacementQuery, *, learning: bool, now: float) -> KvLimit:
        if self._memory is None:
            return _select_memory_limit(query, learning=learning)
        return self._memory.compute_limit(
            query.service, most_urgent=query.most_urgent, learning=learning, now=now
        )

    def _build_wait_parameters(
        self, query: PlacementQuery, *, learning: bool, now: float
    ) -> WaitParameters:
        return WaitParameters(
            objective_s=query.objective_s,
            latency_tolerant=query.latency_tolerant,
            most_urgent=query.most_urgent,
            least_urgent=query.least_urgent,
            loads_stale=learning,
            waited_s=query.check.waited_s,
            waited_share=query.check.waited_share,
            last_check=query.check.last and not query.check.first,
            first_attempt=query.check.first and not self._expected_retries.is_retry(query, now=now),
        )

    def _admit(
        self, query: PlacementQuery, placement: Placement, choice: Choice, *, now: float
    ) -> Rejection | None:
        """Return the rejection of a request; None if it is admitted."""
        if not choice.forecast or not choice.survey or not query.rejectable:
            return None
        rejection = self._admission.admit(
            choice.forecast,
            choice.survey,
            check=query.check,
            now=now,
            work_ms=choice.compute_work_ms(placement),
        )
        if rejection is not None:
            self._expected_retries.record_rejection(query, now=now)
        return rejection


def _select_memory_limit(query: PlacementQuery, *, learning: bool) -> KvLimit:
    if learning:
        return STALE_LOADS_LIMIT
    return MOST_URGENT_LIMIT if query.most_urgent else LESS_URGENT_LIMIT


def _lacks_memory(choice: Choice) -> bool:
    return choice.forecast is not None and choice.forecast.lacks_memory


def _find_permit_wait(
    query: PlacementQuery, candidates: list[EndpointRecord], parameters: ServiceParameters
) -> float | None:
    """Return the seconds until the next permit if each endpoint for a request needs one.

    None if one of them states no rate limit.
    """
    waits = parameters.permit_waits
    usable = [one.endpoint_id for one in candidates if one.endpoint_id not in query.excluded]
    if not usable or any(one not in waits for one in usable):
        return None
    return min(waits[one] for one in usable)


def _list_excluded(
    query: PlacementQuery, parameters: ServiceParameters, *, permit_wait_s: float | None
) -> frozenset[str]:
    """Return the endpoints that a request can't go to, now or at all.

    Without a permit at any endpoint, one is still chosen, to describe the rejection.
    """
    excluded = frozenset(query.excluded)
    if permit_wait_s:
        return excluded
    return excluded.union(one for one, wait_s in parameters.permit_waits.items() if wait_s > 0.0)


def _build_reply(
    query: PlacementQuery,
    choice: Choice,
    verdict: Verdict,
    *,
    learning: bool,
    permitted: bool = False,
    rejection: Rejection | None = None,
) -> PlacementReply:
    forecast = choice.forecast
    return PlacementReply(
        requester=query.requester,
        number=query.number,
        verdict=verdict,
        endpoint_id=choice.record.endpoint_id,
        uncached_tokens=choice.uncached_tokens,
        own_bucket=choice.own_bucket,
        start_ms=forecast.start_ms if forecast else 0.0,
        waiting_ms=forecast.waiting_ms if forecast else 0.0,
        prefill_ms=forecast.prefill_ms if forecast else 0.0,
        speed=choice.speed,
        endpoint_requests=choice.load.requests,
        endpoint_prefill_tokens=choice.load.prefill_tokens,
        retry_after_s=rejection.retry_after_s if rejection else 0.0,
        obstacle=rejection.obstacle if rejection else None,
        permitted=permitted,
        learning=learning,
    )
