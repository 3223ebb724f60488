"""Base of tests that relay requests to stand-in engines, without a listener for callers."""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import TYPE_CHECKING, Any
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineStandIn
from guavamast.relay.buffering import MemoryAccount, SlowReaders
from guavamast.relay.caller_gate import Admitted
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure_gate import DepartureGate
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.endpoint_connector import EndpointConnector
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.endpoint_statements import EndpointStatements
from guavamast.relay.exchange import Exchanger
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.messages import ResponseWriter
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.endpoint_choice import Choice, EndpointChooser
from guavamast.relay.placement.endpoint_speeds import EndpointSpeeds
from guavamast.relay.placement.engine_profile import EngineProfiles
from guavamast.relay.placement.length_buckets import PromptDemand
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.relay.placer import PlacementDecision
from guavamast.relay.prepared_send import SendPreparer
from guavamast.relay.quarantine import (
    AnsweredParts,
    CrashGuard,
    PendingLosses,
    QuarantineLedger,
    QuarantineRows,
)
from guavamast.relay.rate_limits import RateLimitLedger
from guavamast.relay.reachability import ReachabilityMonitor
from guavamast.relay.rejection_limits import RejectionLimits
from guavamast.relay.relayer import Relayer
from guavamast.relay.request_metrics import RequestMetrics
from guavamast.relay.request_progress import RequestProgress, begin_progress
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.requester import Requester
from guavamast.relay.response_durations import ResponseDurations
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.retry_budget import RetryBudget, RetryBudgetSettings
from guavamast.relay.retry_claims import RetryClaims
from guavamast.relay.send_check import SendCheck
from guavamast.relay.stream_binding import StreamTakeUps, TakeUpRecorder
from guavamast.relay.stream_software import StreamSoftware
from guavamast.relay.unserved_ends import UnservedEnds
from guavamast.relay.work_accounting import WorkAccounting
from tests.binding_fixtures import FakeBindingStore, build_directory
from tests.relay_fixtures import (
    PROFILE,
    build_connector,
    build_endpoint,
    build_instance,
    build_request,
)
from tests.test_relay_caller_admission import AdmissionSimulation

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from guavamast.relay.endpoint_connection import AcquiredConnection
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import Header
    from guavamast.relay.response_end_check import ListenState
    from guavamast.relay.scheduling_client import PlacedRequest
    from guavamast.relay.stream_binding import StreamBinding


class RecordingWriter(ResponseWriter):
    """Records the response to one caller."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = b""
        self.completed = False
        self.aborted = False

    @property
    def started(self) -> bool:
        return self.status is not None

    async def send(self, status: int, headers: list[Header], body: bytes) -> None:
        self.start(status, headers)
        self.body = body
        self.completed = True

    def start(self, status: int, headers: list[Header]) -> None:
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}

    def begin_write(self, chunk: bytes) -> asyncio.Future[None] | None:
        self.body += chunk
        return None

    async def write(self, chunk: bytes) -> None:
        self.body += chunk

    async def end(self) -> None:
        self.completed = True

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        callback()

    def abort(self) -> None:
        self.aborted = True


def make_writer() -> Any:
    """Return a mock of a caller's response whose connection takes all at once."""
    writer = mock.create_autospec(ResponseWriter, instance=True, started=False)
    writer.begin_write.return_value = None
    return writer


class SlowConnector(EndpointConnector):
    """A connector whose connections take long to acquire."""

    def __init__(self, simulation: AdmissionSimulation) -> None:
        self._world = simulation
        self._connector = build_connector(simulation.fleet_state, read_time=lambda: simulation.now)
        self.delay_s = 0.0
        self.on_connect: list[Callable[[], None]] = []
        """Called while the first connection is acquired; then only that one is slow."""

    async def connect(
        self,
        record: EndpointRecord,
        *,
        request_id: str,
        row_version: int,
        binding: StreamBinding | None = None,
        permitted: bool = False,
    ) -> AcquiredConnection:
        self._world.now += self.delay_s
        if self.on_connect:
            self.delay_s = 0.0
        while self.on_connect:
            self.on_connect.pop(0)()
        return await self._connector.connect(
            record,
            request_id=request_id,
            row_version=row_version,
            binding=binding,
            permitted=permitted,
        )

    async def check_listening(self, record: EndpointRecord, *, timeout_s: float) -> ListenState:
        return await self._connector.check_listening(record, timeout_s=timeout_s)

    async def is_refused(self, record: EndpointRecord, *, row_version: int) -> bool:
        return await self._connector.is_refused(record, row_version=row_version)

    async def is_accepting(self, record: EndpointRecord, *, row_version: int) -> bool:
        return await self._connector.is_accepting(record, row_version=row_version)


class RelayTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests that relay requests to stand-in engines, without a listener for callers."""

    request_changes: dict[str, Any] = {}
    """Fields in which the requests differ from those of `build_request`."""

    async def asyncSetUp(self) -> None:
        self.simulation = AdmissionSimulation()
        self.engine = EngineStandIn(engine_id="x")
        self.memory = MemoryAccount()
        port = await self.engine.listen()
        self.addAsyncCleanup(self.engine.stop)
        self.record = build_endpoint("x", port=port)
        self.simulation.change_endpoints(self.record)
        self.connector = SlowConnector(self.simulation)
        self.ledger = QuarantineLedger(domain="a", window_s=3.0)
        self.losses = PendingLosses()
        self.loads = EndpointLoads()
        self.profiles = EngineProfiles()
        self.rejections = AdmissionHistory()
        self.rate_limits = RateLimitLedger()
        self.limits = RejectionLimits()
        self.statements = mock.create_autospec(EndpointStatements, instance=True)
        self.budget = RetryBudget(
            settings=RetryBudgetSettings(ratio=0.2, slack=20.0, window_s=10.0)
        )
        self.schedule = DepartureSchedule(grace_s=8.0)
        self.durations = ResponseDurations()
        self.departure = DepartureGate(schedule=self.schedule, durations=self.durations)
        counters = Counters()
        log = DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY))
        self.recorder = RequestRecorder(
            log=log,
            metrics=RequestMetrics(counters=counters),
            fleet_state=self.simulation.fleet_state,
            loop_delay=LoopDelay(),
            schedule=self.schedule,
        )
        self.bindings, _ = build_directory(
            Requester(instance="one", incarnation=1),
            record=build_instance("one"),
            peers=self.simulation.fleet_state.peers,
            store=FakeBindingStore(),
            send=mock.Mock(),
            read_time=lambda: self.simulation.now,
            counters=counters,
        )
        self.take_ups = StreamTakeUps(
            directory=self.bindings,
            versions=self.simulation.versions,
            recorder=TakeUpRecorder(log=log, counters=counters),
            read_time=lambda: self.simulation.now,
        )
        self.guard = await self.make_guard()
        self.memory = MemoryAccount()
        self.speeds = EndpointSpeeds()
        self.exchanger = self.make_exchanger()

    def make_exchanger(self) -> Exchanger:
        fleet_state = self.simulation.fleet_state
        accounting = WorkAccounting(
            loads=self.loads,
            cache=PromptCache(),
            demand=None,
            publish=mock.Mock(),
            read_time=lambda: self.simulation.now,
        )
        software = StreamSoftware(
            versions=self.simulation.versions,
            take_ups=self.take_ups,
            read_time=lambda: self.simulation.now,
        )
        preparer = SendPreparer(
            accounting=accounting,
            check=SendCheck(
                admission=self.simulation.admission,
                departure=self.departure,
                guard=self.guard,
                rate_limits=self.rate_limits,
                recorder=self.recorder,
            ),
            codec=PlatformHeaders(),
            connector=self.connector,
            memory=self.memory,
            reachability=ReachabilityMonitor(),
            recorder=self.recorder,
            software=software,
            statements=self.statements,
            read_time=lambda: self.simulation.now,
        )
        return Exchanger(
            fleet_state=fleet_state,
            preparer=preparer,
            accounting=accounting,
            end_check=ResponseEndCheck(
                probe=self.connector,
                admission=self.simulation.admission,
                fleet_state=fleet_state,
                read_time=lambda: self.simulation.now,
            ),
            loads=self.loads,
            software=software,
            departure=self.departure,
            claims=RetryClaims(
                budget=self.budget,
                fleet_state=fleet_state,
                limits=self.limits,
                admission=self.simulation.admission,
                departure=self.departure,
                guard=self.guard,
                versions=self.simulation.versions,
                placer=self.make_placer(),
                preparer=preparer,
                loads=self.loads,
                read_time=lambda: self.simulation.now,
            ),
            guard=self.guard,
            usage=None,
            recorder=self.recorder,
            profiles=self.profiles,
            speeds=self.speeds,
            memory=self.memory,
            readers=SlowReaders(account=self.memory),
            read_time=lambda: self.simulation.now,
        )

    async def run_attempt(
        self, *, work: PlacedRequest | None = None, writer: ResponseWriter | None = None
    ) -> RequestProgress:
        """Admit a request and run one attempt, with the work of a scheduler's grant if given."""
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        request = build_request(
            received_at=self.simulation.now, headers=headers, **self.request_changes
        )
        until = self.simulation.now + (request.timeout_s or 0.0)
        admitted = await self.simulation.admission.admit(request, until=until)
        assert isinstance(admitted, Admitted)
        progress = begin_progress(
            request,
            admitted,
            service="portal",
            shortest_objective_s=0.3,
            profile=PROFILE,
            most_urgent=True,
        )
        self.addCleanup(progress.discard_retry)
        choice = Choice(record=self.record, forecast=None, uncached_tokens=0)
        if writer is None:
            writer = make_writer()
        placed = PlacementDecision(choice=choice, work=work)
        await self.exchanger.run(request, writer, progress, placed)
        await self.exchanger.deliver(request, progress)
        return progress

    def make_placer(self) -> LocalPlacer:
        """Return a placer that uses this instance's own data."""
        return LocalPlacer(
            fleet_state=self.simulation.fleet_state,
            chooser=EndpointChooser(
                loads=EndpointLoads(),
                cache=PromptCache(),
                random=Random(1),
            ),
            versions=self.simulation.versions,
            demand=PromptDemand(),
            profiles=EngineProfiles(),
            rejections=self.rejections,
            random=Random(1),
            read_time=lambda: self.simulation.now,
        )

    async def make_guard(self) -> CrashGuard:
        def read_time() -> float:
            return self.simulation.now

        log = DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY))
        rows = QuarantineRows(
            store=self.simulation, ledger=self.ledger, log=log, read_time=read_time
        )
        await rows.load()
        return CrashGuard(
            ledger=self.ledger,
            losses=self.losses,
            rows=rows,
            answered_parts=AnsweredParts(),
            fleet_state=self.simulation.fleet_state,
            loads=self.loads,
            connector=self.connector,
            limits=RejectionLimits(),
            log=log,
            counters=Counters(),
            wake=mock.Mock(),
            publish=mock.Mock(),
            read_time=read_time,
        )

    async def relay(
        self, *, headers: tuple[Header, ...] = (), writer: ResponseWriter | None = None
    ) -> Any:
        """Relay a request, by a new relayer; return the writer that received its response."""
        recorder, placer = mock.Mock(), self.make_placer()
        ends = UnservedEnds(
            codec=PlatformHeaders(),
            recorder=recorder,
            placer=placer,
            read_time=lambda: self.simulation.now,
        )
        self.relayer = Relayer(
            fleet_state=self.simulation.fleet_state,
            admission=self.simulation.admission,
            loads=self.loads,
            budget=self.budget,
            departure=self.departure,
            ends=ends,
            recorder=recorder,
            placer=placer,
            take_ups=self.take_ups,
            versions=self.simulation.versions,
            exchanger=self.exchanger,
            guard=self.guard,
            engine_demand=None,
            demand=PromptDemand(),
            profiles=self.profiles,
            reachability=ReachabilityMonitor(),
            read_time=lambda: self.simulation.now,
        )
        writer = writer or make_writer()
        request = build_request(
            received_at=self.simulation.now,
            headers=(("Host", "portal.example"), ("X-Attempt-Id", "r1"), *headers),
            timeout_s=60.0,
            **self.request_changes,
        )
        await self.relayer.relay(request, writer)
        return writer
