"""Tests of specific event orders that generated histories reach too rarely."""

from __future__ import annotations

import unittest

from guavamast.errors import Outcome
from tests.operation_fakes import create_simulation
from tests.operation_simulation import Fault


class AtMostOnceRunsTest(unittest.IsolatedAsyncioTestCase):
    """The reported outcome of a key matches what is known about its run."""

    async def test_slot_rejected_after_another_request_ran(self) -> None:
        # Two requests of one key. The second finds no row and waits for a slot; meanwhile the first
        # runs, its response is lost and it gets "outcome unknown". If the second's rejection for
        # lack of a slot said "not run", the caller would pay again under a new key.
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

    async def test_late_insert_of_a_rejected_request(self) -> None:
        # The insert's response is lost and the row can't be read, so the caller gets "not run". The
        # platform applies the insert much later: the row would stay started and block the key for
        # good though nothing was sent, as no attempt is left to mark it as not run.
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
            retry = simulation.send_request("a", "k", b"100")
            await simulation.finish(late_last=True)
            self.assertIsNotNone(retry.response)

    async def test_timer_that_fires_early(self) -> None:
        # The deadline's timer fires slightly before the deadline, as event loops round by the
        # clock's resolution. The caller gets "not run", but the last check right after it still
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

    async def test_disconnected_caller_does_not_stop_the_run(self) -> None:
        # The caller disconnects during the send and its handler is cancelled. The run must continue
        # until it is recorded, else the key stays started and no caller ever gets the response.
        simulation = create_simulation("a", "b")
        first = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "sent")
        first.task.cancel()
        await simulation.run_to("a", "written")
        retry = simulation.send_request("b", "k", b"100")
        await simulation.finish(late_last=False)
        self.assertIsNotNone(retry.response)
        self.assertEqual(len(simulation.runs), 1)

    async def test_pause_between_grant_and_send(self) -> None:
        # The entry is paused for two seconds during the connect. The deadline has not passed and
        # its configuration is unchanged, but the endpoint may have been drained meanwhile: nothing
        # is sent.
        simulation = create_simulation("a")
        request = simulation.send_request("a", "k", b"100")
        await simulation.run_to("a", "connect")
        simulation.paused.add("a")
        simulation.advance(2.0)
        simulation.paused.clear()
        await simulation.finish(late_last=False)
        self.assertEqual(request.refusal.outcome, Outcome.NOT_RUN)
        self.assertEqual(simulation.runs, [])
