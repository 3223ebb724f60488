"""Tests of when a table of the store is read."""

from __future__ import annotations

import asyncio
import unittest
from random import Random

from guavamast.relay.counters import Counters
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.read_schedule import READ_INTERVAL_S, TICK_S, ReadSchedule
from guavamast.relay.store_reader import SharedRead
from guavamast.relay.table_watch import CatalogWatch
from tests.test_relay_caller_admission import AdmissionSimulation

EVENT_TIMEOUT_S = 20.0
"""Timeout in seconds for an immediate event, generous for a busy machine."""


class UpdateOnlySchedule(ReadSchedule):
    """Reads on updates only, and pauses for an hour otherwise."""

    def __init__(self) -> None:
        super().__init__(random=Random(1), bound_s=60.0, count_instances=lambda: 14)

    def is_due(self, *, age_s: float, rank: int, has_update: bool, now: float) -> bool:
        del age_s, rank, now
        return has_update

    def compute_pause(self, *, age_s: float, has_update: bool) -> float:
        del age_s, has_update
        return 3600.0


class TableWatchTest(unittest.IsolatedAsyncioTestCase):
    """The watch sleeps while no read can be due, and wakes for updates."""

    async def asyncSetUp(self) -> None:
        self.simulation = AdmissionSimulation()
        self.reads = 0
        self.was_read = asyncio.Event()
        self.watch = CatalogWatch(
            read=SharedRead(read=self.read),
            schedule=UpdateOnlySchedule(),
            fleet_state=self.simulation.knowledge,
            counters=Counters(),
            loop_delay=LoopDelay(),
            read_time=lambda: self.simulation.now,
        )
        task = asyncio.create_task(self.watch.run())
        self.addCleanup(task.cancel)
        await asyncio.sleep(0.01)

    async def read(self) -> bool:
        self.reads += 1
        self.simulation.knowledge.newer_catalog_known = False
        self.was_read.set()
        return True

    async def test_update_wakes_the_watch(self) -> None:
        """A changed configuration is read although the next round is far away."""
        self.simulation.knowledge.newer_catalog_known = True
        self.watch.wake_for_update()
        await asyncio.wait_for(self.was_read.wait(), EVENT_TIMEOUT_S)

    async def test_heartbeat_without_update_does_not_wake_the_watch(self) -> None:
        self.watch.wake_for_update()
        await asyncio.sleep(0.05)
        self.assertEqual(self.reads, 0)


class PauseTest(unittest.TestCase):
    """The pause ends as soon as a read may be due."""

    def test_it_sleeps_until_a_reader_may_be_due(self) -> None:
        schedule = ReadSchedule(random=Random(1), bound_s=1.6, count_instances=lambda: 14)
        self.assertEqual(schedule.compute_pause(age_s=0.2, has_update=False), READ_INTERVAL_S - 0.2)
        for age_s, news in ((0.2, True), (READ_INTERVAL_S, False), (float("inf"), False)):
            self.assertEqual(schedule.compute_pause(age_s=age_s, has_update=news), TICK_S)


if __name__ == "__main__":
    unittest.main()
