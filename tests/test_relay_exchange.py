"""Tests of what is checked between the choice of an endpoint and the send to it."""

from __future__ import annotations

import os
import unittest
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
from guavamast.relay.endpoint_choice import Choice
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.exchange import Exchanger
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.messages import AnswerWriter
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.request_notes import RequestNotes
from guavamast.relay.request_progress import RequestProgress, begin_progress
from tests.relay_facts import PROFILE, make_endpoint, make_request
from tests.test_relay_caller_admission import World

if TYPE_CHECKING:
    from guavamast.relay.http_connection import HttpConnection


class SlowPool(ConnectionPool):
    """A pool from which a connection takes long to get."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self._world = world
        self.delay_s = 0.0

    def take(self, endpoint_id: str, *, now: float) -> HttpConnection | None:
        self._world.now += self.delay_s
        return super().take(endpoint_id, now=now)


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    """A request leaves by what is in force at that moment, however long the way to the send."""

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
            notes=RequestNotes(
                log=log, counters=counters, knowledge=knowledge, loop_delay=LoopDelay()
            ),
            profiles=EngineProfiles(),
            tell_load=mock.Mock(),
            read_time=lambda: self.world.now,
        )

    async def run_attempt(self) -> RequestProgress:
        """Admit a request and make one attempt."""
        admitted = await self.world.admit()
        assert isinstance(admitted, Admitted)
        headers = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
        request = make_request(arrived=self.world.now, headers=headers)
        progress = begin_progress(
            request, admitted, service="portal", shortest_s=0.3, profile=PROFILE, first=True
        )
        choice = Choice(record=self.record, forecast=None, unread_tokens=0)
        writer = mock.create_autospec(AnswerWriter, instance=True, begun=False)
        await self.exchanger.run(request, writer, progress, choice)
        return progress

    async def test_a_request_is_sent(self) -> None:
        self.assertEqual((await self.run_attempt()).sent, 1)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_a_request_held_up_on_its_way_is_not_sent_by_old_knowledge(self) -> None:
        """A call does not reach an endpoint by a choice that was made too long ago.

        It is chosen in time, then the connection takes longer than the bound, in which the
        endpoint may have left. No byte is sent, and the request is decided anew.
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
