"""Placement of requests by this instance's own state, without a scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.placement import (
    FRESH_LOADS_LIMIT,
    SINGLE_CHECK,
    STALE_LOADS_LIMIT,
    AdmissionControl,
    Placement,
    WaitParameters,
    reject_for_memory,
)
from guavamast.relay.placer import PlacementDecision, Placer

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import (
        AdmissionHistory,
        Choice,
        EndpointChooser,
        EngineProfiles,
        PromptDemand,
        RoomCheck,
        UnscheduledMemory,
    )
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.sharing import ShareLedger
    from guavamast.relay.stream_binding import SoftwareVersions


class LocalPlacer(Placer):
    """Places requests by this instance's own state, without a scheduler.

    Args:
        fleet_state: Endpoints, services and other instances.
        chooser: Selects endpoints.
        versions: Software of the endpoints.
        demand: Work requested in each length bucket.
        profiles: Speed of the engines.
        rejections: Recently rejected requests.
        random: Spreads retry delays.
        read_time: Local clock.
        memory: Engine memory that may be taken without a scheduler; None where engines bear it if
            their memory runs out.
        shares: Work served and waiting by organisation; None for a ledger of its own.
    """

    __slots__ = (
        "_admission",
        "_chooser",
        "_demand",
        "_fleet_state",
        "_memory",
        "_profiles",
        "_read_time",
        "_rejections",
        "_versions",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        chooser: EndpointChooser,
        versions: SoftwareVersions,
        demand: PromptDemand,
        profiles: EngineProfiles,
        rejections: AdmissionHistory,
        random: Random,
        read_time: Callable[[], float],
        memory: UnscheduledMemory | None = None,
        shares: ShareLedger | None = None,
    ) -> None:
        self._fleet_state = fleet_state
        self._chooser = chooser
        self._versions = versions
        self._demand = demand
        self._profiles = profiles
        self._rejections = rejections
        self._admission = AdmissionControl(history=rejections, random=random, shares=shares)
        self._read_time = read_time
        self._memory = memory

    async def place(self, request: CallerRequest, progress: RequestProgress) -> PlacementDecision:
        """Return the endpoint with the least cost, or a rejection."""
        return self.decide(request, progress, SINGLE_CHECK)

    def record_unserved(self, progress: RequestProgress) -> None:
        """Record a request that was placed and got nothing, as its endpoint had no room in time."""
        self._rejections.record_rejection(
            progress.service, progress.admitted.precedence, now=self._read_time()
        )

    def decide(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        check: RoomCheck,
        *,
        withheld: frozenset[str] = frozenset(),
    ) -> PlacementDecision:
        """Return the endpoint with the least cost, or a rejection.

        Args:
            request: The request.
            progress: Its state.
            check: Which of its checks for room this is.
            withheld: Ids of endpoints that get nothing by this instance's own decision.
        """
        now = self._read_time()
        wait_parameters = WaitParameters(
            objective_s=progress.admitted.route.objective_s,
            latency_tolerant=progress.latency_tolerant,
            most_urgent=progress.most_urgent,
            least_urgent=progress.least_urgent,
            loads_stale=self._fleet_state.peers.aggregated,
            waited_s=check.waited_s,
            waited_share=check.waited_share,
            last_check=check.last and not check.first,
            first_attempt=check.first,
        )
        terms = self._admission.prepare(
            wait_parameters,
            service=progress.service,
            precedence=progress.admitted.precedence,
            check=check,
            now=now,
            organisation=progress.admitted.organisation_name,
        )
        ready = self._fleet_state.endpoints.list_ready(progress.service)
        with_memory = self._list_with_memory(request, progress, ready, now=now)
        placement = self._build_placement(request, progress, now=now)
        choice = self._chooser.choose(
            placement,
            with_memory or ready,
            exclude=progress.tried | self._list_others(progress) | withheld,
            now=now,
            terms=terms,
            needs_room=check.delayed or not progress.least_urgent,
        )
        if choice is not None and self._lacks_memory(choice, with_memory):
            rejection = reject_for_memory(objective_s=wait_parameters.objective_s)
            return PlacementDecision(choice=choice, rejection=rejection)
        if choice is None or progress.has_begun or not choice.forecast or not choice.survey:
            return PlacementDecision(choice=choice)
        rejection = self._admission.admit(
            choice.forecast,
            choice.survey,
            check=check,
            now=now,
            work_ms=choice.compute_work_ms(placement),
        )
        return PlacementDecision(choice=choice, rejection=rejection)

    def _list_with_memory(
        self,
        request: CallerRequest,
        progress: RequestProgress,
        ready: list[EndpointRecord],
        *,
        now: float,
    ) -> list[EndpointRecord]:
        """Return the endpoints with memory for a request; all where memory isn't bounded."""
        kv_capacity_tokens = self._fleet_state.find_kv_capacity_tokens(progress.service)
        if self._memory is None or not kv_capacity_tokens:
            return ready
        self._memory.update(now=now)
        excluded = progress.tried | self._list_others(progress)
        return self._memory.list_with_room(
            [record for record in ready if record.endpoint_id not in excluded],
            kv_tokens=request.prompt_tokens + request.output_tokens,
            kv_capacity_tokens=kv_capacity_tokens,
        )

    def _lacks_memory(self, choice: Choice, with_memory: list[EndpointRecord]) -> bool:
        """Return whether a request would exceed the memory of the engine chosen for it."""
        if self._memory is None or choice.forecast is None:
            return False
        return not with_memory

    def _list_others(self, progress: RequestProgress) -> set[str]:
        """Return the endpoints at which the request's stream can't go on."""
        return self._versions.list_others(progress.binding) if progress.binding else set()

    def _build_placement(
        self, request: CallerRequest, progress: RequestProgress, *, now: float
    ) -> Placement:
        return Placement(
            prompt_parts=request.prompt_parts,
            prompt_tokens=request.prompt_tokens,
            failure_domain=self._fleet_state.failure_domain,
            bucket=progress.bucket,
            bucket_shares=self._demand.compute_shares(),
            output_tokens=request.output_tokens,
            transfer_bytes=request.transfer_bytes,
            kv_capacity_tokens=self._fleet_state.find_kv_capacity_tokens(progress.service),
            profile=self._profiles.find(progress.service, now=now),
            objective_s=progress.admitted.route.objective_s,
            pause_sensitive=progress.pause_sensitive,
            shortest_pause_s=self._fleet_state.find_shortest_pause(progress.service),
            kv_limit=STALE_LOADS_LIMIT if self._fleet_state.peers.aggregated else FRESH_LOADS_LIMIT,
            loads_stale=self._fleet_state.peers.aggregated,
        )
