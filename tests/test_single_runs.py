"""Tests of one order of events each, for failures that generated histories reach too seldom."""

from __future__ import annotations

import unittest

from guavamast.errors import Outcome
from tests.operation_fakes import create_simulation
from tests.operation_world import Fault


class SingleRunsTest(unittest.IsolatedAsyncioTestCase):
    """What is told of a key is what is known of it."""

    async def test_slot_refused_after_another_request_ran(self) -> None:
        # Two requests of one key. The second finds no row and waits for a slot; meanwhile the first
        # runs, its answer is lost and it is told "outcome unknown". If the refusal of the second's
        # slot were told as "not run", the caller would pay again under a new key.
        simulation = create_simulation("a", "b")
        second = simulation.send_request("b", "k", b"100")
        await simulation.run_to("b", "slot")
        first = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "ran")
        await simulation.resume(simulation.find_step("a", "ran"), Fault.LOST_AFTER)
        self.assertEqual(first.refusal.outcome, Outcome.OUTCOME_UNKNOWN)
        await simulation.resume(simulation.find_step("b", "slot"), Fault.BEFORE)
        await simulation.finish(late_last=False)
        self.assertEqual(second.refusal.outcome, Outcome.OUTCOME_UNKNOWN)

    async def test_late_insert_of_a_refused_request(self) -> None:
        # The insert's answer is lost and the row can't be read, so the caller is told "not run".
        # The platform carries the insert out long after: the key would be blocked as started for
        # good, though nothing was sent, by a row that nobody is left to give up.
        for not_run_row in (False, True):
            simulation = create_simulation("a")
            if not_run_row:
                simulation.add_not_run_row("k", b"100")
            request = simulation.send_request("a", "k", b"100")
            await simulation.run_to("a", "write")
            if not_run_row:
                await simulation.resume(simulation.find_step("a", "write"), Fault.NONE)
                await simulation.run_to("a", "write")
            await simulation.resume(simulation.find_step("a", "write"), Fault.LATE)
            await simulation.resume(simulation.find_step("a", "read"), Fault.BEFORE)
            self.assertEqual(request.refusal.outcome, Outcome.NOT_RUN)
            await simulation.finish(late_last=True)
            self.assertEqual(simulation.find_violations(), [])
            repeat = simulation.send_request("a", "k", b"100")
            await simulation.finish(late_last=True)
            self.assertIsNotNone(repeat.response)

    async def test_timer_that_fires_early(self) -> None:
        # The deadline's timer fires a moment before the deadline by the clock (loops allow for the
        # clock's resolution). The caller is told "not run"; the last check, a moment later, still
        # finds time left and would send.
        simulation = create_simulation("a")
        request = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "connect")
        timer = simulation.find_step("a", "timer")
        timer.due = 0.0
        await simulation.resume(timer, Fault.NONE)
        self.assertEqual(request.refusal.outcome, Outcome.NOT_RUN)
        await simulation.finish(late_last=False)
        self.assertEqual(simulation.runs, [])

    async def test_caller_that_is_gone_does_not_stop_the_run(self) -> None:
        # The caller's connection breaks in mid-send and its handler is cancelled. The run must go
        # on to its record, else the key stays started and nobody ever gets the answer.
        simulation = create_simulation("a", "b")
        first = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "sent")
        first.task.cancel()
        await simulation.run_to("a", "written")
        repeat = simulation.send_request("b", "k", b"100")
        await simulation.finish(late_last=False)
        self.assertIsNotNone(repeat.response)
        self.assertEqual(len(simulation.runs), 1)

    async def test_pause_between_grant_and_send(self) -> None:
        # The entry stops for two seconds while it connects. Its deadline holds, its configuration
        # looks as before, but the endpoint may have been drained meanwhile: nothing is sent.
        simulation = create_simulation("a")
        request = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "connect")
        simulation.paused.add("a")
        simulation.advance(2.0)
        simulation.paused.clear()
        await simulation.finish(late_last=False)
        self.assertEqual(request.refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(simulation.runs, [])
