"""Tests of the checks between the selection of an endpoint and the send to it."""

from __future__ import annotations

import os
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineStandIn
from guavamast.relay.attempt import AttemptFailed, FailureKind
from guavamast.relay.attempt_budget import AttemptBudget, BudgetTerms
from guavamast.relay.caller_gate import Admitted
from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.endpoint_choice import Choice, EndpointChooser
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.exchange import Exchanger
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.messages import ResponseWriter
from guavamast.relay.placing import OwnPlacer, Placed
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.prompt_lanes import PromptDemand
from guavamast.relay.refusal_history import RefusalHistory
from guavamast.relay.relayer import Relayer
from guavamast.relay.request_notes import RequestNotes
from guavamast.relay.request_progress import RequestProgress, begin_progress
from tests.relay_facts import PROFILE, make_endpoint, make_request, make_route
from tests.test_relay_caller_admission import World

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.http_connection import HttpConnection


class SlowPool(ConnectionPool):
    """A pool whose connections take long to acquire."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.delay_s = 0.0
        self.on_acquire: list[Callable[[], None]] = []
        """Called while the first connection is acquired; then only that one is slow."""

    def acquire(self, endpoint_id: str, *, now: float) -> HttpConnection | None:
        self._world.now += self.delay_s
        if self.on_acquire:
            self.delay_s = 0.0
        while self.on_acquire:
            self.on_acquire.pop(0)()
        return super().acquire(endpoint_id, now=now)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """A request is sent by the current configuration, however long the send is delayed."""

    async def asyncSetUp(self) -> None:
        self.world = World()
        self.engine = EngineStandIn(engine_id="x")
        port = await self.engine.listen()
        self.addAsyncCleanup(self.engine.stop)
        self.record = make_endpoint("x", port=port)
        self.world.change_endpoints(self.record)
        self.pool = SlowPool(self.world)
        self.exchanger = self.make_exchanger()

    def make_exchanger(self) -> Exchanger:
        counters = Counters()
        log = DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY))
        knowledge = self.world.knowledge
        return Exchanger(
            admission=self.world.admission,
            knowledge=knowledge,
            loads=EndpointLoads(),
            cache=PromptCache(),
            budget=AttemptBudget(terms=BudgetTerms(ratio=0.2, slack=20.0, window_s=10.0)),
            codec=PlatformHeaders(),
            pool=self.pool,
            recorder=RequestNotes(
                log=log, counters=counters, knowledge=knowledge, loop_delay=LoopDelay()
            ),
            profiles=EngineProfiles(),
            publish_load=mock.Mock(),
            read_time=lambda: self.world.now,
        )

    async def run_attempt(self) -> RequestProgress:
        """Admit a request and run one attempt."""
        admitted = await self.world.admit()
        assert isinstance(admitted, Admitted)
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        request = make_request(arrived=self.world.now, headers=headers)
        progress = begin_progress(
            request, admitted, service="portal", shortest_s=0.3, profile=PROFILE, first=True
        )
        choice = Choice(record=self.record, forecast=None, unread_tokens=0)
        writer = mock.create_autospec(ResponseWriter, instance=True, started=False)
        await self.exchanger.run(request, writer, progress, Placed(choice=choice))
        return progress

    def make_placer(self) -> OwnPlacer:
        """Return a placer that uses this instance's own data."""
        return OwnPlacer(
            knowledge=self.world.knowledge,
            chooser=EndpointChooser(
                loads=EndpointLoads(),
                cache=PromptCache(),
                random=Random(1),
            ),
            demand=PromptDemand(),
            profiles=EngineProfiles(),
            refusals=RefusalHistory(),
            random=Random(1),
            read_time=lambda: self.world.now,
        )

    async def relay(self) -> mock.Mock:
        """Relay a request; return the writer that received its response."""
        relayer = Relayer(
            knowledge=self.world.knowledge,
            admission=self.world.admission,
            loads=EndpointLoads(),
            budget=mock.Mock(),
            codec=PlatformHeaders(),
            recorder=mock.Mock(),
            placer=self.make_placer(),
            exchanger=self.exchanger,
            demand=PromptDemand(),
            profiles=EngineProfiles(),
            read_time=lambda: self.world.now,
        )
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        writer = mock.create_autospec(ResponseWriter, instance=True, started=False)
        request = make_request(arrived=self.world.now, headers=headers, patience_s=60.0)
        await relayer.relay(request, writer)
        return writer

    async def test_a_request_that_was_held_up_goes_by_the_new_route(self) -> None:
        """Guards against a request failing because its data went stale before the send.

        While its connection is acquired, the route moves to another service and the staleness bound
        passes. The request is admitted again and runs at the route's new service.
        """
        self.world.replace_routes(make_route(timeout_s=30.0))
        annex = EngineStandIn(engine_id="z")
        port = await annex.listen()
        self.addAsyncCleanup(annex.stop)
        moved = make_endpoint("z", service="annex", port=port)
        self.pool.on_acquire.append(self.world.move_route)
        self.pool.on_acquire.append(lambda: self.world.change_endpoints(self.record, moved))
        self.pool.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 200)
        self.assertEqual((len(self.engine.runs), len(annex.runs)), (0, 1))

    async def test_a_request_whose_route_is_gone_by_then_is_refused_as_not_run(self) -> None:
        self.world.replace_routes(make_route(timeout_s=30.0))
        other = make_route(path_prefix="/other/")
        self.pool.on_acquire.append(lambda: self.world.replace_routes(other))
        self.pool.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 404)
        self.assertEqual(self.engine.runs, [])

    async def test_a_request_is_sent(self) -> None:
        self.assertEqual((await self.run_attempt()).sent, 1)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_a_request_held_up_on_its_way_is_not_sent_by_old_knowledge(self) -> None:
        """Guards against a send to an endpoint that was selected too long ago.

        Acquiring the connection takes longer than the staleness bound, in which the endpoint may
        have left. No byte is sent, and the failure allows another admission.
        """
        for delay_s in (1.7, 3.0):
            self.pool.delay_s = delay_s
            with self.assertRaises(AttemptFailed) as caught:
                await self.run_attempt()
            self.assertEqual(caught.exception.kind, FailureKind.OUTDATED)
            self.assertTrue(caught.exception.unrun)
        self.assertEqual(self.engine.runs, [])


if __name__ == "__main__":
    unittest.main()
