"""Tests of the group commit of transactions."""

from __future__ import annotations

import asyncio
import unittest

from guavamast.group_commit import GroupCommit
from guavamast.platform_client import Check, PlatformAnswerLost, TransactionConflict, Write
from tests.operation_fakes import SimulatedClock, SimulatedPlatform
from tests.operation_simulation import Fault, OperationSimulation


class GroupCommitTest(unittest.IsolatedAsyncioTestCase):
    """Callers share a write, but not each other's conflicts."""

    def setUp(self) -> None:
        self.simulation = OperationSimulation()
        client = SimulatedPlatform(self.simulation, "a")
        self.group = GroupCommit(client=client, clock=SimulatedClock(self.simulation, "a"))

    def insert(self, key: str) -> asyncio.Task[list[int]]:
        check, write = Check(table="t", key=key, version=0), Write(table="t", key=key, value={})
        return asyncio.ensure_future(self.group.transact([check], [write]))

    async def go_on(self, fault: Fault = Fault.NONE) -> None:
        for step in list(self.simulation.steps):
            await self.simulation.resume(step, fault)

    async def run_to_end(self) -> None:
        while self.simulation.steps:
            await self.go_on()

    async def test_lone_transaction_is_sent_at_once(self) -> None:
        self.insert("k")
        await self.simulation.settle()
        self.assertEqual([step.label for step in self.simulation.steps], ["write"])

    async def test_one_conflict_fails_only_its_caller(self) -> None:
        self.simulation.tables.transact([], [Write(table="t", key="k3", value={})])
        tasks = [self.insert(f"k{number}") for number in range(8)]
        await self.simulation.settle()
        await self.run_to_end()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertIsInstance(results.pop(3), TransactionConflict)
        self.assertEqual(results, [[1]] * 7)

    async def test_same_row_never_twice_in_a_group(self) -> None:
        # Two callers insert one key at the same moment. In one merged transaction both checks for
        # an absent row would hold, and both callers would succeed.
        tasks = [self.insert("k"), self.insert("k"), self.insert("other")]
        await self.simulation.settle()
        await self.run_to_end()
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual([type(result) for result in results], [list, TransactionConflict, list])

    async def test_lost_response_is_lost_for_each(self) -> None:
        tasks = [self.insert("k1"), self.insert("k2")]
        await self.simulation.settle()
        self.assertEqual(len(self.simulation.steps), 1)
        await self.go_on(Fault.LOST_AFTER)
        results = await asyncio.gather(*tasks, return_exceptions=True)
        self.assertEqual([type(result) for result in results], [PlatformAnswerLost] * 2)
