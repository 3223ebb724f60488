"""Builds the components that handle a request: admission, endpoint selection, attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.exchange import Exchanger
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.placement import EndpointChooser, RequestSizes, UnscheduledMemory
from guavamast.relay.prepared_send import SendPreparer
from guavamast.relay.relayer import Relayer
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.retry_budget import RetryBudget, RetryBudgetSettings
from guavamast.relay.retry_claims import RetryClaims
from guavamast.relay.scheduled_placer import ScheduledPlacer
from guavamast.relay.send_check import SendCheck
from guavamast.relay.stream_software import StreamSoftware
from guavamast.relay.unserved_ends import UnservedEnds
from guavamast.relay.work_accounting import WorkAccounting

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.departure_gate import DepartureGate
    from guavamast.relay.duties import Duties
    from guavamast.relay.endpoint_access import EndpointAccess
    from guavamast.relay.endpoint_statements import EndpointStatements
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.placer import Placer
    from guavamast.relay.quarantine import CrashGuard
    from guavamast.relay.rate_limits import RateLimitLedger
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.request_recorder import RequestRecorder
    from guavamast.relay.scheduling import Scheduling
    from guavamast.relay.stream_binding import SoftwareVersions, StreamBindings
    from guavamast.relay.work_accounting import PublishLoad
    from guavamast.relay.work_state import WorkState


def build_relayer(
    *,
    settings: NodeSettings,
    codec: HeaderCodec,
    fleet_state: FleetState,
    work: WorkState,
    departure: DepartureGate,
    admission: CallerAdmission,
    access: EndpointAccess,
    recorder: RequestRecorder,
    scheduling: Scheduling,
    bindings: StreamBindings,
    limits: RejectionLimits,
    rate_limits: RateLimitLedger,
    statements: EndpointStatements,
    guard: CrashGuard,
    duties: Duties | None,
    publish_load: PublishLoad,
    publish_waiting: Callable[[], None],
    memory: MemoryAccount,
    readers: SlowReaders,
    random: Random,
    read_time: Callable[[], float],
) -> Relayer:
    """Return the relayer of one instance.

    Args:
        settings: Limits of the retry budget.
        codec: Encodes and decodes headers.
        fleet_state: Configuration, endpoints and other instances.
        work: Known work at endpoints.
        departure: Keeps requests from endpoints that would outlast this instance.
        admission: Checks requests by the tables, on arrival and as they are sent.
        access: Connections to endpoints.
        recorder: Log lines and metrics of requests.
        scheduling: Queries the schedulers of endpoints.
        bindings: What binds streams to the software that began them.
        limits: Services whose endpoints bear few rejections.
        rate_limits: Rate limits that endpoints state.
        statements: Told what endpoints state about themselves.
        guard: Keeps requests that end endpoints from further ones.
        duties: Count what is reported to the provider; None if there are none.
        publish_load: Called when this instance's work at an endpoint has changed.
        publish_waiting: Called when a request waits for room by this instance's own decision.
        memory: Memory that this instance holds for others.
        readers: Callers that are written to.
        random: Source of all jitter and random choices.
        read_time: Reads the local clock.
    """
    budget = RetryBudget(settings=_build_budget_terms(settings))
    accounting = WorkAccounting(
        loads=work.loads,
        cache=work.cache,
        demand=duties.demand if duties is not None else None,
        publish=publish_load,
        read_time=read_time,
    )
    software = StreamSoftware(
        versions=bindings.versions, take_ups=bindings.take_ups, read_time=read_time
    )
    placer = _build_placer(
        settings=settings,
        fleet_state=fleet_state,
        work=work,
        scheduling=scheduling,
        versions=bindings.versions,
        limits=limits,
        rate_limits=rate_limits,
        random=random,
        read_time=read_time,
        publish_waiting=publish_waiting,
    )
    preparer = SendPreparer(
        accounting=accounting,
        check=SendCheck(
            admission=admission,
            departure=departure,
            guard=guard,
            rate_limits=rate_limits,
            recorder=recorder,
        ),
        codec=codec,
        connector=access.connector,
        memory=memory,
        reachability=access.monitor,
        recorder=recorder,
        software=software,
        statements=statements,
        read_time=read_time,
    )
    exchanger = Exchanger(
        fleet_state=fleet_state,
        preparer=preparer,
        accounting=accounting,
        end_check=ResponseEndCheck(
            probe=access.connector,
            admission=admission,
            fleet_state=fleet_state,
            read_time=read_time,
        ),
        loads=work.loads,
        software=software,
        departure=departure,
        claims=RetryClaims(
            budget=budget,
            fleet_state=fleet_state,
            limits=limits,
            admission=admission,
            departure=departure,
            guard=guard,
            versions=bindings.versions,
            placer=placer,
            preparer=preparer,
            loads=work.loads,
            read_time=read_time,
        ),
        guard=guard,
        usage=duties.usage if duties is not None else None,
        recorder=recorder,
        profiles=work.profiles,
        speeds=work.speeds,
        memory=memory,
        readers=readers,
        read_time=read_time,
    )
    ends = UnservedEnds(codec=codec, recorder=recorder, placer=placer, read_time=read_time)
    return Relayer(
        fleet_state=fleet_state,
        admission=admission,
        loads=work.loads,
        budget=budget,
        departure=departure,
        ends=ends,
        recorder=recorder,
        placer=placer,
        take_ups=bindings.take_ups,
        versions=bindings.versions,
        exchanger=exchanger,
        guard=guard,
        demand=work.demand,
        engine_demand=duties.demand if duties is not None else None,
        profiles=work.profiles,
        reachability=access.monitor,
        read_time=read_time,
    )


def _build_placer(
    *,
    settings: NodeSettings,
    fleet_state: FleetState,
    work: WorkState,
    scheduling: Scheduling,
    versions: SoftwareVersions,
    limits: RejectionLimits,
    rate_limits: RateLimitLedger,
    publish_waiting: Callable[[], None],
    random: Random,
    read_time: Callable[[], float],
) -> Placer:
    bounded = settings.memory_pressure
    own_placer = LocalPlacer(
        fleet_state=fleet_state,
        chooser=EndpointChooser(
            loads=work.loads,
            cache=work.cache,
            random=random,
            speeds=work.speeds,
        ),
        versions=versions,
        demand=work.demand,
        profiles=work.profiles,
        rejections=work.rejections,
        random=random,
        read_time=read_time,
        memory=_build_unscheduled_memory(settings, fleet_state, scheduling) if bounded else None,
        shares=work.shares,
    )
    return ScheduledPlacer(
        local_placer=own_placer,
        scheduling=scheduling,
        versions=versions,
        limits=limits,
        rate_limits=rate_limits,
        fleet_state=fleet_state,
        loads=work.loads,
        publish_waiting=publish_waiting,
        random=random,
        read_time=read_time,
        sizes=RequestSizes() if bounded else None,
    )


def _build_unscheduled_memory(
    settings: NodeSettings, fleet_state: FleetState, scheduling: Scheduling
) -> UnscheduledMemory:
    return UnscheduledMemory(
        own_name=settings.name,
        list_instances=lambda: (one.name for one in fleet_state.peers.list_targets()),
        read_held=scheduling.client.sum_ungranted,
    )


def _build_budget_terms(settings: NodeSettings) -> RetryBudgetSettings:
    return RetryBudgetSettings(
        ratio=settings.retry_ratio,
        slack=settings.retry_slack,
        window_s=settings.retry_window_s,
    )
