"""Tests of one order of events each, for failures that generated histories reach too seldom."""

from __future__ import annotations

import unittest

from guavamast.errors import Outcome
from tests.operation_fakes import make_world
from tests.operation_world import Fault


class SingleRunsTest(unittest.IsolatedAsyncioTestCase):
    """What is told of a key is what is known of it."""

    async def test_slot_refused_after_another_request_ran(self) -> None:
        # Two requests of one key. The second finds no row and waits for a slot; meanwhile the first
        # runs, its answer is lost and it is told "outcome unknown". If the refusal of the second's
        # slot were told as "not run", the caller would pay again under a new key.
        world = make_world("a", "b")
        second = world.ask("b", "k", b"100")
        await world.run_to("b", "slot")
        first = world.ask("a", "k", b"100")
        await world.run_to("a", "ran")
        await world.resume(world.find_step("a", "ran"), Fault.LOST_AFTER)
        self.assertEqual(first.refusal.outcome, Outcome.OUTCOME_UNKNOWN)
        await world.resume(world.find_step("b", "slot"), Fault.BEFORE)
        await world.finish(late_last=False)
        self.assertEqual(second.refusal.outcome, Outcome.OUTCOME_UNKNOWN)

    async def test_late_insert_of_a_refused_request(self) -> None:
        # The insert's answer is lost and the row can't be read, so the caller is told "not run".
        # The platform carries the insert out long after: the key would be blocked as started for
        # good, though nothing was sent, by a row that nobody is left to give up.
        for given_up in (False, True):
            world = make_world("a")
            if given_up:
                world.add_given_up_row("k", b"100")
            asked = world.ask("a", "k", b"100")
            await world.run_to("a", "write")
            if given_up:
                await world.resume(world.find_step("a", "write"), Fault.NONE)
                await world.run_to("a", "write")
            await world.resume(world.find_step("a", "write"), Fault.LATE)
            await world.resume(world.find_step("a", "read"), Fault.BEFORE)
            self.assertEqual(asked.refusal.outcome, Outcome.NOT_RUN)
            await world.finish(late_last=True)
            self.assertEqual(world.find_violations(), [])
            again = world.ask("a", "k", b"100")
            await world.finish(late_last=True)
            self.assertIsNotNone(again.answer)

    async def test_timer_that_fires_early(self) -> None:
        # The deadline's timer fires a moment before the deadline by the clock (loops allow for the
        # clock's resolution). The caller is told "not run"; the last check, a moment later, still
        # finds time left and would send.
        world = make_world("a")
        asked = world.ask("a", "k", b"100")
        await world.run_to("a", "connect")
        timer = world.find_step("a", "timer")
        timer.due = 0.0
        await world.resume(timer, Fault.NONE)
        self.assertEqual(asked.refusal.outcome, Outcome.NOT_RUN)
        await world.finish(late_last=False)
        self.assertEqual(world.runs, [])

    async def test_caller_that_is_gone_does_not_stop_the_run(self) -> None:
        # The caller's connection breaks in mid-send and its handler is cancelled. The run must go
        # on to its record, else the key stays started and nobody ever gets the answer.
        world = make_world("a", "b")
        first = world.ask("a", "k", b"100")
        await world.run_to("a", "sent")
        first.task.cancel()
        await world.run_to("a", "written")
        again = world.ask("b", "k", b"100")
        await world.finish(late_last=False)
        self.assertIsNotNone(again.answer)
        self.assertEqual(len(world.runs), 1)

    async def test_pause_between_grant_and_send(self) -> None:
        # The entry stops for two seconds while it connects. Its deadline holds, its configuration
        # looks as before, but the endpoint may have been drained meanwhile: nothing is sent.
        world = make_world("a")
        asked = world.ask("a", "k", b"100")
        await world.run_to("a", "connect")
        world.paused.add("a")
        world.advance(2.0)
        world.paused.clear()
        await world.finish(late_last=False)
        self.assertEqual(asked.refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(world.runs, [])
