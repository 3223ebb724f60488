"""Tests of the checks between the selection of an endpoint and the send to it."""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineFault, EngineStandIn
from guavamast.relay.attempt import AttemptFailed, FailureKind
from guavamast.relay.caller_gate import Admitted
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.endpoint_choice import Choice, EndpointChooser
from guavamast.relay.endpoint_connector import EndpointConnector
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.exchange import Exchanger
from guavamast.relay.length_buckets import PromptDemand
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.messages import ResponseWriter
from guavamast.relay.placer import LocalPlacer, PlacementDecision
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.quarantine import (
    CrashGuard,
    PendingLosses,
    Quarantine,
    QuarantineLedger,
    QuarantineRows,
)
from guavamast.relay.reachability import ReachabilityMonitor
from guavamast.relay.rejection_history import RejectionHistory
from guavamast.relay.rejection_limits import RejectionLimits
from guavamast.relay.relayer import Relayer
from guavamast.relay.request_digest import compute_request_digest
from guavamast.relay.request_progress import RequestProgress, begin_progress
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.retry_budget import RetryBudget, RetryBudgetSettings
from tests.relay_fixtures import (
    PROFILE,
    build_connector,
    build_endpoint,
    build_request,
    build_route,
)
from tests.test_relay_caller_admission import AdmissionSimulation

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_connection import AcquiredConnection
    from guavamast.relay.endpoint_table import EndpointRecord


class SlowConnector(EndpointConnector):
    """A connector whose connections take long to acquire."""

    def __init__(self, simulation: AdmissionSimulation) -> None:
        self._world = simulation
        self._connector = build_connector(simulation.fleet_state, read_time=lambda: simulation.now)
        self.delay_s = 0.0
        self.on_connect: list[Callable[[], None]] = []
        """Called while the first connection is acquired; then only that one is slow."""

    async def connect(
        self, record: EndpointRecord, *, request_id: str, row_version: int
    ) -> AcquiredConnection:
        self._world.now += self.delay_s
        if self.on_connect:
            self.delay_s = 0.0
        while self.on_connect:
            self.on_connect.pop(0)()
        return await self._connector.connect(record, request_id=request_id, row_version=row_version)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """A request is sent by the current configuration, however long the send is delayed."""

    async def asyncSetUp(self) -> None:
        self.simulation = AdmissionSimulation()
        self.engine = EngineStandIn(engine_id="x")
        port = await self.engine.listen()
        self.addAsyncCleanup(self.engine.stop)
        self.record = build_endpoint("x", port=port)
        self.simulation.change_endpoints(self.record)
        self.connector = SlowConnector(self.simulation)
        self.ledger = QuarantineLedger(domain="a", window_s=3.0)
        self.exchanger = self.make_exchanger()

    def make_exchanger(self) -> Exchanger:
        counters = Counters()
        log = DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY))
        fleet_state = self.simulation.fleet_state
        return Exchanger(
            admission=self.simulation.admission,
            fleet_state=fleet_state,
            loads=EndpointLoads(),
            cache=PromptCache(),
            budget=RetryBudget(settings=RetryBudgetSettings(ratio=0.2, slack=20.0, window_s=10.0)),
            codec=PlatformHeaders(),
            connector=self.connector,
            recorder=RequestRecorder(
                log=log, counters=counters, fleet_state=fleet_state, loop_delay=LoopDelay()
            ),
            profiles=EngineProfiles(),
            reachability=ReachabilityMonitor(),
            limits=mock.Mock(),
            publish_load=mock.Mock(),
            read_time=lambda: self.simulation.now,
        )

    async def run_attempt(self) -> RequestProgress:
        """Admit a request and run one attempt."""
        admitted = await self.simulation.admit()
        assert isinstance(admitted, Admitted)
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        request = build_request(received_at=self.simulation.now, headers=headers)
        progress = begin_progress(
            request,
            admitted,
            service="portal",
            shortest_objective_s=0.3,
            profile=PROFILE,
            most_urgent=True,
        )
        choice = Choice(record=self.record, forecast=None, uncached_tokens=0)
        writer = mock.create_autospec(ResponseWriter, instance=True, started=False)
        await self.exchanger.run(request, writer, progress, PlacementDecision(choice=choice))
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
            demand=PromptDemand(),
            profiles=EngineProfiles(),
            rejections=RejectionHistory(),
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
            losses=PendingLosses(),
            rows=rows,
            fleet_state=self.simulation.fleet_state,
            loads=EndpointLoads(),
            connector=self.connector,
            limits=RejectionLimits(),
            log=log,
            counters=Counters(),
            wake=mock.Mock(),
            publish=mock.Mock(),
            read_time=read_time,
        )

    async def relay(self) -> mock.Mock:
        """Relay a request; return the writer that received its response."""
        relayer = Relayer(
            fleet_state=self.simulation.fleet_state,
            admission=self.simulation.admission,
            loads=EndpointLoads(),
            budget=mock.Mock(),
            codec=PlatformHeaders(),
            recorder=mock.Mock(),
            placer=self.make_placer(),
            exchanger=self.exchanger,
            guard=await self.make_guard(),
            demand=PromptDemand(),
            profiles=EngineProfiles(),
            reachability=ReachabilityMonitor(),
            read_time=lambda: self.simulation.now,
        )
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        writer = mock.create_autospec(ResponseWriter, instance=True, started=False)
        request = build_request(received_at=self.simulation.now, headers=headers, timeout_s=60.0)
        await relayer.relay(request, writer)
        return writer

    async def test_a_delayed_request_uses_the_new_route(self) -> None:
        """Guards against a request failing because its data went stale before the send.

        While its connection is acquired, the route moves to another service and the staleness bound
        passes. The request is admitted again and runs at the route's new service.
        """
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        annex = EngineStandIn(engine_id="z")
        port = await annex.listen()
        self.addAsyncCleanup(annex.stop)
        moved = build_endpoint("z", service="annex", port=port)
        self.connector.on_connect.append(self.simulation.move_route)
        self.connector.on_connect.append(
            lambda: self.simulation.change_endpoints(self.record, moved)
        )
        self.connector.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 200)
        self.assertEqual((len(self.engine.runs), len(annex.runs)), (0, 1))

    async def test_a_delayed_request_without_route_is_rejected_as_not_run(self) -> None:
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        other = build_route(path_prefix="/other/")
        self.connector.on_connect.append(lambda: self.simulation.replace_routes(other))
        self.connector.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 404)
        self.assertEqual(self.engine.runs, [])

    async def test_a_request_is_not_sent_again_once_its_content_is_held(self) -> None:
        """Guards against a request under way that goes on to further endpoints.

        The first endpoint is full. Meanwhile another instance reports that the content is kept from
        endpoints.
        """
        other = EngineStandIn(engine_id="y")
        port = await other.listen()
        self.addAsyncCleanup(other.stop)
        self.engine.fault = other.fault = EngineFault.FULL
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=port))
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        content = compute_request_digest(build_request(), organisation="bakery")
        quarantine = Quarantine(
            content=content,
            organisation="bakery",
            ends=3,
            since=self.simulation.now,
            requested_at=self.simulation.now,
            trials_left=2,
            next_trial_at=self.simulation.now + 60.0,
        )
        self.connector.on_connect.append(lambda: self.ledger.restore(quarantine))
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 503)
        self.assertEqual(self.engine.connections + other.connections, 1)

    async def test_a_request_is_sent(self) -> None:
        self.assertEqual((await self.run_attempt()).sends, 1)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_a_delayed_request_is_not_sent_with_stale_data(self) -> None:
        """Guards against a send to an endpoint that was selected too long ago.

        Acquiring the connection takes longer than the staleness bound, in which the endpoint may
        have left. No byte is sent, and the failure allows another admission.
        """
        for delay_s in (1.7, 3.0):
            self.connector.delay_s = delay_s
            with self.assertRaises(AttemptFailed) as caught:
                await self.run_attempt()
            self.assertEqual(caught.exception.kind, FailureKind.OUTDATED)
            self.assertTrue(caught.exception.not_run)
        self.assertEqual(self.engine.runs, [])


if __name__ == "__main__":
    unittest.main()
