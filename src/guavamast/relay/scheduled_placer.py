"""Placement of requests by the schedulers of the service's endpoints."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import Load
from guavamast.relay.placement import (
    CHECK_INTERVAL_S,
    MIN_RETRY_S,
    Choice,
    Forecast,
    Obstacle,
    ObstacleKind,
    PlacementWait,
    Rejection,
    begin_wait,
)
from guavamast.relay.placer import PlacementDecision, Placer
from guavamast.relay.scheduler import SLOT_RETRY_JITTER, SLOT_RETRY_SHARE
from guavamast.relay.scheduling_messages import PlacedWork, PlacementQuery, Verdict, WorkPhase

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.local_placer import LocalPlacer
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import RequestSizes, RoomCheck
    from guavamast.relay.rate_limits import RateLimitLedger
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.scheduling import Scheduling
    from guavamast.relay.scheduling_client import ScheduledReply
    from guavamast.relay.scheduling_messages import PlacementReply
    from guavamast.relay.stream_binding import SoftwareVersions

MAX_QUERY_INTERVAL_S: Final = 0.1
"""Seconds between two queries of a request that waits for room at a scheduler's engines at most."""
MOST_URGENT_WAIT_SHARE: Final = 0.5
"""Share of its objective for which a request that nothing precedes waits for a free slot."""
WAIT_SHARE: Final = 0.25
"""Share of its objective for which any other request waits for a free slot."""
UNSCHEDULED_SLOT_SHARE: Final = 0.7
"""Share of an endpoint's slots that are used without a scheduler if it bears few rejections."""
SLOT_RETRY_S: Final = 0.2
"""Seconds until a caller retries that found no free slot without a scheduler."""
PERMIT_RETRY_S: Final = 0.5
"""Seconds until a caller retries whose request got no permit, as no scheduler replied."""
MAX_GROUPS: Final = 3
"""Groups whose schedulers are queried for one request before it is rejected."""
FAILURE_THRESHOLD: Final = 1.0
"""Failures recorded by this instance from which on it excludes an endpoint: the path there may be
broken for this instance only."""


class ScheduledPlacer(Placer):
    """Queries the schedulers of the service's endpoints.

    A scheduler that does not reply or knows no endpoint costs one short timeout at most; the
    request is then placed by this instance's own state and reported to the scheduler.

    Args:
        local_placer: Places requests without a scheduler.
        scheduling: Queries schedulers.
        versions: Software of the endpoints.
        limits: Services whose endpoints bear few rejections.
        rate_limits: Rate limits that endpoints state.
        fleet_state: Endpoints and other instances.
        loads: Loads, and failures that this instance has recorded.
        publish_waiting: Called when a request waits for room by this instance's own decision.
        random: Spreads waits.
        read_time: Local clock.
        sizes: Sizes by which requests without stated tokens are counted; None if they aren't.
    """

    __slots__ = (
        "_client",
        "_fleet_state",
        "_groups",
        "_limits",
        "_loads",
        "_local_placer",
        "_publish_waiting",
        "_random",
        "_rate_limits",
        "_read_time",
        "_scheduling",
        "_sizes",
        "_versions",
    )

    def __init__(
        self,
        *,
        local_placer: LocalPlacer,
        scheduling: Scheduling,
        versions: SoftwareVersions,
        limits: RejectionLimits,
        rate_limits: RateLimitLedger,
        fleet_state: FleetState,
        loads: EndpointLoads,
        publish_waiting: Callable[[], None],
        random: Random,
        read_time: Callable[[], float],
        sizes: RequestSizes | None = None,
    ) -> None:
        self._sizes = sizes
        self._local_placer = local_placer
        self._scheduling = scheduling
        self._versions = versions
        self._client = scheduling.client
        self._groups = scheduling.groups
        self._limits = limits
        self._rate_limits = rate_limits
        self._random = random
        self._fleet_state = fleet_state
        self._loads = loads
        self._publish_waiting = publish_waiting
        self._read_time = read_time

    async def place(self, request: CallerRequest, progress: RequestProgress) -> PlacementDecision:
        """Return the next endpoint for a request, or its rejection."""
        request = self._complete_size(request, progress)
        wait = self._begin_wait(request, progress)
        while True:
            check = wait.begin_check(now=self._read_time())
            placed = await self._place_once(request, progress, check)
            if placed.rejection is not None and placed.scheduler_reply is None:
                self._publish_waiting()
            if (
                placed.rejection is None
                or check.last
                or self._outlasts_wait(placed, progress, wait)
            ):
                return placed
            await asyncio.sleep(self._draw_interval(placed))

    def record_unserved(self, progress: RequestProgress) -> None:
        """Record a request that was placed and got nothing, as its endpoint had no room in time."""
        self._local_placer.record_unserved(progress)

    def _complete_size(self, request: CallerRequest, progress: RequestProgress) -> CallerRequest:
        """Return a request with the tokens of its kind, if it states none."""
        if self._sizes is None or not self._fleet_state.find_kv_capacity_tokens(progress.service):
            return request
        kind = progress.admitted.route.name
        body_bytes = len(request.body)
        if request.prompt_tokens:
            self._sizes.record(
                kind,
                body_bytes=body_bytes,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
            )
            return request
        prompt_tokens, output_tokens = self._sizes.estimate(kind, body_bytes=body_bytes)
        return replace(request, prompt_tokens=prompt_tokens, output_tokens=output_tokens)

    async def _place_once(
        self, request: CallerRequest, progress: RequestProgress, check: RoomCheck
    ) -> PlacementDecision:
        if not self._scheduling.is_scheduled(progress.service):
            return self._decide_locally(request, progress, check)
        rejected: PlacementDecision | None = None
        patient = self._is_granted_in_turn(progress.service)
        for group in self._rank_groups(request, progress)[:MAX_GROUPS]:
            query = self._build_query(request, progress, group, check)
            scheduled_reply = await self._client.request_placement(query, patient=patient)
            placed = (
                self._apply_reply(request, progress, query, scheduled_reply)
                if scheduled_reply is not None
                else None
            )
            if placed is None:
                silent = scheduled_reply is None
                return self._decide_locally(request, progress, check, scheduler_silent=silent)
            if placed.rejection is None:
                return placed
            rejected = _select_earlier_retry(rejected, placed)
        return rejected or self._decide_locally(request, progress, check)

    def _rank_groups(self, request: CallerRequest, progress: RequestProgress) -> list[str]:
        """Return the groups to query, without those at which the request's stream can't go on."""
        service = progress.service
        groups = self._groups.rank(service, request.shared_part or request.request_id)
        if progress.binding is None:
            return groups
        others = self._versions.list_others(progress.binding)
        return [
            group
            for group in groups
            if any(
                record.endpoint_id not in others
                for record in self._groups.list_members(service, group)
            )
        ]

    def _begin_wait(self, request: CallerRequest, progress: RequestProgress) -> PlacementWait:
        """Return the wait of a request for room in an engine, or for a free slot or a permit.

        Nothing may wait at endpoints that bear few rejections, so what they usually queue is kept
        here for a moment, and so is what waits for permits. Less urgent requests wait for a smaller
        part of their objective.
        """
        objective_s = progress.admitted.route.objective_s
        if not self._is_granted_in_turn(progress.service):
            return begin_wait(
                attempt=request.request_id,
                received_at=request.received_at,
                objective_s=objective_s,
                least_urgent=progress.least_urgent,
                deadline=progress.deadline,
            )
        share = MOST_URGENT_WAIT_SHARE if progress.most_urgent else WAIT_SHARE
        return PlacementWait(
            attempt=request.request_id,
            began_at=request.received_at,
            wait_s=share * objective_s,
            delayed_s=share * objective_s,
        )

    def _draw_interval(self, placed: PlacementDecision) -> float:
        """Return the seconds until a waiting request checks for room again.

        A scheduler decides for many instances, so each asks it no sooner than it suggests.
        """
        interval_s = CHECK_INTERVAL_S * self._random.uniform(0.5, 1.5)
        scheduled = placed.scheduler_reply
        if scheduled is None or placed.choice is None or placed.choice.forecast is None:
            return interval_s
        return max(interval_s, min(MAX_QUERY_INTERVAL_S, scheduled.reply.retry_after_s))

    def _build_query(
        self, request: CallerRequest, progress: RequestProgress, group: str, check: RoomCheck
    ) -> PlacementQuery:
        return PlacementQuery(
            requester=self._client.requester,
            number=self._client.next_number(),
            group=group,
            service=progress.service,
            organisation=progress.admitted.organisation_name,
            prompt_parts=request.prompt_parts,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            transfer_bytes=request.transfer_bytes,
            bucket=progress.bucket,
            objective_s=progress.admitted.route.objective_s,
            pause_sensitive=progress.pause_sensitive,
            latency_tolerant=progress.latency_tolerant,
            most_urgent=progress.most_urgent,
            least_urgent=progress.least_urgent,
            precedence=progress.admitted.precedence,
            failure_domain=self._fleet_state.failure_domain,
            excluded=self._list_excluded(progress, group),
            rejectable=not progress.has_begun,
            check=check,
            knows_limits=self._rate_limits.applies(progress.service, now=self._read_time()),
            may_ask=progress.admitted.route.repeatable
            and (progress.least_urgent or not progress.most_urgent),
        )

    def _list_excluded(self, progress: RequestProgress, group: str) -> tuple[str, ...]:
        failing = self._loads.list_failing(min_failures=FAILURE_THRESHOLD, now=self._read_time())
        excluded = progress.tried.union(failing)
        if progress.binding is not None:
            members = self._groups.list_members(progress.service, group)
            others = self._versions.list_others(progress.binding)
            excluded |= others.intersection(record.endpoint_id for record in members)
        return tuple(excluded)

    def _apply_reply(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        query: PlacementQuery,
        scheduled_reply: ScheduledReply,
    ) -> PlacementDecision | None:
        """Return the decision in a reply; None if it names no usable endpoint."""
        reply = scheduled_reply.reply
        record = self._fleet_state.endpoints.find(reply.endpoint_id)
        usable = record is not None and record.ready and record.service == query.service
        if reply.verdict is Verdict.UNKNOWN or record is None or not usable:
            if reply.verdict is Verdict.GRANTED:
                self._client.withdraw(query)
            return None
        if reply.verdict is Verdict.GRANTED and not self._may_use(record, reply):
            self._client.withdraw(query)
            self._scheduling.tell_scheduler(query.group)
            return None
        choice = Choice(
            record=record,
            forecast=_build_forecast(query, reply),
            uncached_tokens=reply.uncached_tokens,
            own_bucket=reply.own_bucket,
            load=Load(
                requests=reply.endpoint_requests, prefill_tokens=reply.endpoint_prefill_tokens
            ),
            speed=reply.speed,
        )
        if reply.verdict is Verdict.REFUSED:
            rejection = Rejection(retry_after_s=reply.retry_after_s, obstacle=reply.obstacle)
            return PlacementDecision(
                choice=choice, rejection=rejection, scheduler_reply=scheduled_reply
            )
        work = _build_work(request, progress, choice, number=query.number)
        tracked = self._client.track(query.group, work, granted=True, permitted=reply.permitted)
        return PlacementDecision(choice=choice, work=tracked, scheduler_reply=scheduled_reply)

    def _may_use(self, record: EndpointRecord, reply: PlacementReply) -> bool:
        """Return whether a grant is a permit, if its endpoint states a rate limit.

        Failure: a scheduler that hasn't heard of a limit grants as before, the request is held back
        right before its send, and the same grant follows again and again.
        """
        return reply.permitted or self._rate_limits.find(record) is None

    def _is_granted_in_turn(self, service: str) -> bool:
        """Return whether the endpoints of a service get nothing beyond slots or permits."""
        if self._limits.applies(service, now=self._read_time()):
            return True
        limited = self._list_limited(service)
        return bool(limited) and len(limited) == len(
            self._fleet_state.endpoints.list_ready(service)
        )

    def _list_limited(self, service: str) -> frozenset[str]:
        """Return the endpoints of a service that state a rate limit."""
        if self._rate_limits.is_empty:
            return frozenset()
        return self._rate_limits.list_limited(self._fleet_state.endpoints.list_ready(service))

    def _outlasts_wait(
        self, placed: PlacementDecision, progress: RequestProgress, wait: PlacementWait
    ) -> bool:
        """Return whether the next permit comes after a request has to be rejected.

        The retry delay is the time until then, with jitter, unless the shortest delay that callers
        are told is longer: then the permit may be near.
        """
        rejection = placed.rejection
        if rejection is None or rejection.obstacle is None:
            return False
        if rejection.obstacle.kind is not ObstacleKind.RATE or placed.scheduler_reply is None:
            return False
        permit_wait_s = rejection.retry_after_s / (1.0 + SLOT_RETRY_JITTER)
        objective_s = progress.admitted.route.objective_s
        if permit_wait_s <= max(MIN_RETRY_S, SLOT_RETRY_SHARE * objective_s):
            return False
        return wait.ends_by(self._read_time() + permit_wait_s)

    def _decide_locally(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        check: RoomCheck,
        *,
        scheduler_silent: bool = False,
    ) -> PlacementDecision:
        withheld = self._list_limited(progress.service)
        placed = self._local_placer.decide(request, progress, check, withheld=withheld)
        if placed.choice is None and withheld:
            return self._reject_for_rate(request, progress, check)
        if placed.choice is None or placed.rejection is not None:
            return placed
        if self._lacks_slot(placed.choice, progress, scheduler_silent=scheduler_silent):
            retry_after_s = SLOT_RETRY_S * self._random.uniform(1.0, 1.5)
            return PlacementDecision(
                choice=placed.choice,
                rejection=Rejection(
                    retry_after_s=retry_after_s, obstacle=Obstacle(kind=ObstacleKind.SLOTS)
                ),
            )
        number = self._client.next_number()
        work = _build_work(request, progress, placed.choice, number=number)
        group = self._groups.find_group(placed.choice.record)
        tracked = self._client.track(group, work, granted=False)
        return PlacementDecision(choice=placed.choice, work=tracked)

    def _reject_for_rate(
        self, request: CallerRequest, progress: RequestProgress, check: RoomCheck
    ) -> PlacementDecision:
        """Return the decision on a request if all its endpoints need a permit.

        Permits are granted in one place; an instance that gets no reply from there grants none.
        """
        placed = self._local_placer.decide(request, progress, check)
        if placed.choice is None:
            return placed
        return PlacementDecision(
            choice=placed.choice,
            rejection=Rejection(
                retry_after_s=PERMIT_RETRY_S * self._random.uniform(1.0, 1.5),
                obstacle=Obstacle(kind=ObstacleKind.RATE),
            ),
        )

    def _lacks_slot(
        self, choice: Choice, progress: RequestProgress, *, scheduler_silent: bool
    ) -> bool:
        """Return whether a request found no slot without a scheduler's help.

        While the scheduler is silent, it asks again, soon the next one. If the scheduler knows no
        endpoint for it, several instances may take the same slot, so only a part of them counts.
        """
        if not self._limits.applies(progress.service, now=self._read_time()):
            return False
        if scheduler_silent:
            return True
        running = self._loads.sum_up(choice.record.endpoint_id).requests
        return running >= UNSCHEDULED_SLOT_SHARE * choice.record.slots


def _build_forecast(query: PlacementQuery, reply: PlacementReply) -> Forecast | None:
    if query.prompt_tokens == 0:
        return None
    return Forecast(
        start_ms=reply.start_ms, waiting_ms=reply.waiting_ms, prefill_ms=reply.prefill_ms
    )


def _build_work(
    request: CallerRequest, progress: RequestProgress, choice: Choice, *, number: int
) -> PlacedWork:
    return PlacedWork(
        number=number,
        endpoint_id=choice.record.endpoint_id,
        phase=WorkPhase.WAITING,
        shared_part=request.shared_part,
        uncached_tokens=choice.uncached_tokens,
        kv_tokens=request.prompt_tokens + request.output_tokens,
        # On an endpoint of another length bucket it is late anyway; long prompts need not avoid it.
        pause_sensitive=progress.pause_sensitive and choice.own_bucket,
        organisation=progress.admitted.organisation_name,
        precedence=progress.admitted.precedence,
    )


def _select_earlier_retry(
    one: PlacementDecision | None, other: PlacementDecision
) -> PlacementDecision:
    """Return the rejection with the shorter retry delay."""
    if one is None or one.rejection is None or other.rejection is None:
        return other
    return one if one.rejection.retry_after_s <= other.rejection.retry_after_s else other
