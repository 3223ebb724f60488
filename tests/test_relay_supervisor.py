"""Tests of the supervision of background tasks."""

from __future__ import annotations

import asyncio
import json
import os
import unittest
from itertools import pairwise

from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.supervisor import LONGEST_RESTART_S, SOUND_RUN_S, Supervisor
from tests.virtual_time import run_in_virtual_time


class SupervisorTest(unittest.TestCase):
    """A task that fails by an unexpected error neither ends the process nor stays ended."""

    def setUp(self) -> None:
        self.reader, writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, writer)
        self.counters = Counters()
        self.log = DecisionLog(instance="one", descriptor=writer)
        self.starts: list[float] = []

    def read_lines(self) -> list[dict[str, object]]:
        """Return the lines that were logged."""
        return [json.loads(line) for line in os.read(self.reader, 65_536).splitlines()]

    def play(self, failures: int, *, sound_s: float = 0.0, watched_s: float = 30.0) -> None:
        """Run a task that fails a number of times, each time after a while."""

        async def run() -> None:
            loop = asyncio.get_running_loop()
            self.starts.append(loop.time())
            await asyncio.sleep(sound_s)
            if len(self.starts) <= failures:
                async with asyncio.TaskGroup() as tasks:
                    tasks.create_task(fail())
            await asyncio.Event().wait()

        async def fail() -> None:
            raise RecursionError("too deep")

        async def main() -> None:
            loop = asyncio.get_running_loop()
            supervisor = Supervisor(log=self.log, counters=self.counters, read_time=loop.time)
            task = supervisor.start("store_watch", run)
            await asyncio.sleep(watched_s)
            self.assertFalse(task.done())
            task.cancel()

        run_in_virtual_time(main())

    def test_a_task_that_fails_is_restarted_and_logged_with_its_cause(self) -> None:
        """Guards against an instance that ends, or goes on without a task, and says nothing."""
        self.play(failures=3)
        self.assertEqual(len(self.starts), 4)
        lines = self.read_lines()
        self.assertEqual([line["event"] for line in lines], ["task_failed"] * 3)
        self.assertEqual(lines[0]["error"], "RecursionError: too deep")
        self.assertTrue(str(lines[0]["place"]).startswith("fail:"))

    def test_a_task_that_fails_for_ever_is_retried_at_a_bounded_rate(self) -> None:
        """Guards against a processor that only restarts tasks, and against giving one up."""
        self.play(failures=1_000, watched_s=30.0)
        self.assertGreaterEqual(len(self.starts), 30)
        gaps = [later - earlier for earlier, later in pairwise(self.starts)]
        self.assertAlmostEqual(max(gaps), LONGEST_RESTART_S)

    def test_after_a_sound_run_a_failure_counts_as_the_first(self) -> None:
        """Guards against long gaps in tasks that fail once a day."""
        self.play(failures=3, sound_s=SOUND_RUN_S, watched_s=60.0)
        self.assertEqual({line["restart_s"] for line in self.read_lines()}, {0.1})


if __name__ == "__main__":
    unittest.main()
