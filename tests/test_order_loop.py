"""Tests of the loop that issues a dispatcher's orders."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.fleet_objects import Fencing
from guavamast.order_loop import KeptEndpoints, OrderLoop
from tests.order_simulation import Holder, OrderSimulation, build_fleet

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.orders import EndpointReport


class FakeKeptEndpoints(KeptEndpoints):
    """The endpoints that a dispatcher keeps."""

    def __init__(self, fleet: Configuration) -> None:
        self.fleet = fleet
        self.kept = set(fleet.endpoints)
        self.out: set[str] = set()
        self.running = 0
        self.max_out = 0

    def read_configuration(self) -> Configuration:
        return self.fleet

    def list_kept(self) -> list[Endpoint]:
        return [item for item in self.fleet.endpoints.values() if item.name in self.kept]

    def count_running(self, endpoint: str) -> int:
        assert endpoint in self.kept
        return self.running

    def set_out_of_use(self, endpoint: str, *, out: bool) -> None:
        self.out = self.out | {endpoint} if out else self.out - {endpoint}
        self.max_out = max(self.max_out, len(self.out))


class OrderLoopTest(unittest.IsolatedAsyncioTestCase):
    """Rounds load the wanted versions on every kept engine and end with all of them in use."""

    def setUp(self) -> None:
        self.simulation = OrderSimulation(fencing=Fencing.CHECKED)
        self.holder = Holder(self.simulation, "a")
        self.kept = FakeKeptEndpoints(build_fleet(engines=4))
        self.loop = OrderLoop(issuer=self.holder.giver, kept=self.kept, clock=self.holder.clock)

    async def run_rounds(self, count: int) -> None:
        """Run rounds with a pause after each."""
        for _ in range(count):
            busy = await self.loop.run_round()
            self.assertEqual(busy, bool(self.kept.out))
            self.simulation.advance(5.0)

    async def test_all_engines_load_a_few_at_a_time(self) -> None:
        await self.run_rounds(20)
        self.assertEqual(len(self.simulation.reported), 4)
        self.assertEqual((self.kept.out, self.kept.max_out), (set(), 1))

    async def test_unresponsive_engines_are_polled_concurrently(self) -> None:
        # Each engine that doesn't respond costs a timeout. Polled one after another, such engines
        # would delay the loading of the others by the sum of the timeouts.
        sender, waiting, most = self.holder.sender, 0, 0
        read_report = sender.read_report

        async def wait_and_read(endpoint: Endpoint) -> EndpointReport | None:
            nonlocal waiting, most
            waiting += 1
            most = max(most, waiting)
            await asyncio.sleep(0)
            waiting -= 1
            return await read_report(endpoint)

        with mock.patch.object(sender, "read_report", wait_and_read):
            await self.loop.run_round()
        self.assertEqual(most, 4)

    async def test_rollout_resumes_after_a_platform_outage(self) -> None:
        # The platform fails for a while during a rollout. The loop must continue, and an endpoint
        # that has loaded gets work again although its list entry can't be removed.
        await self.run_rounds(2)
        self.assertEqual(len(self.kept.out), 1)
        self.simulation.platform.down_calls = 1000
        await self.run_rounds(5)
        self.assertEqual(self.kept.out, set())
        self.simulation.platform.down_calls = 0
        await self.run_rounds(20)
        self.assertEqual(len(self.simulation.reported), 4)

    async def test_endpoint_kept_by_another_instance_is_released(self) -> None:
        self.kept.running = 1
        await self.run_rounds(3)
        self.assertEqual(self.kept.out, {"e0"})
        self.kept.kept.discard("e0")
        await self.run_rounds(1)
        self.assertNotIn("e0", self.kept.out)
