"""Tests of the rolls of a fleet: their workload, their judge, and a short seeded run."""

from __future__ import annotations

import tempfile
import time
import unittest
from collections import Counter
from dataclasses import replace
from random import Random
from typing import Final

from soak.departures import DepartureRecord, Outcome, classify
from soak.roll_callers import RollCaller, RollRequest
from soak.roll_run import RollRun, RollSize, count_wrong_runs
from soak.roll_workload import KINDS, draw_work

from tests.test_soak_departures import CUT, GRACE_S, LAST_SIXTH_AT, SIGNALLED_AT

SMALL: Final = RollSize(instances=5, callers=24, rolls=2, length_s=12.0)
SEED: Final = 1
DRAWS: Final = 2_000


class WorkloadTest(unittest.TestCase):
    """Streams of one kind differ in length, as those of the deployment do."""

    def test_lengths_have_the_mean_and_the_bound_of_their_kind(self) -> None:
        random = Random(SEED)
        for kind in KINDS:
            if kind.events is None:
                continue
            events = [kind.events.draw(random) for _ in range(DRAWS)]
            self.assertLessEqual(max(events), kind.events.longest)
            self.assertAlmostEqual(sum(events) / DRAWS / kind.events.mean, 1.0, delta=0.15)

    def test_some_streams_state_their_length_and_others_the_longest(self) -> None:
        random = Random(SEED)
        work = [draw_work(KINDS[0], random) for _ in range(DRAWS)]
        stating = sum(one.states_output for one in work)
        self.assertGreater(stating, DRAWS // 3)
        self.assertLess(stating, DRAWS * 2 // 3)


class CallerTest(unittest.IsolatedAsyncioTestCase):
    """A caller takes its addresses from any instance's list."""

    async def test_a_caller_that_no_instance_has_answered_yet_sends_nothing(self) -> None:
        """Guards against a run that ends with an error, as a caller connects to no address."""
        tries: list[RollRequest] = []
        caller = RollCaller(
            name="c",
            share=1.0,
            directories=[],
            on_work=lambda _id, _work: None,
            tries=tries,
            random=Random(SEED),
        )
        await caller.run(time.monotonic() + 0.3)
        self.assertEqual(tries, [])


class OutcomeTest(unittest.TestCase):
    """The rule tells lost requests from those that may be cut, and counts both."""

    departures = DepartureRecord(signals={"one": [SIGNALLED_AT]}, grace_s=GRACE_S)

    def test_a_cut_that_is_allowed_is_counted_as_such(self) -> None:
        self.assertIs(classify(CUT, self.departures, has_run=True), Outcome.EXCUSED)

    def test_a_request_whose_own_time_is_up_is_not_lost(self) -> None:
        late = replace(CUT, sent_at=SIGNALLED_AT + 3.2, ended_at=LAST_SIXTH_AT - 0.5)
        self.assertIs(classify(late, self.departures, has_run=True), Outcome.LOST)
        timeouts_s = {late.request_id: late.ended_at - late.sent_at}
        timed = replace(self.departures, timeouts_s=timeouts_s)
        self.assertIs(classify(late, timed, has_run=True), Outcome.EXPIRED)

    def test_a_rejection_is_no_loss(self) -> None:
        rejected = replace(CUT, status=503, body=b"", complete=True)
        self.assertIs(classify(rejected, self.departures, has_run=False), Outcome.REJECTED)

    def test_a_request_that_ran_is_wrong_with_each_status_that_says_it_did_not(self) -> None:
        """Guards against requests that ran although 408, 421, 429 or 503 said they never would."""
        work = draw_work(KINDS[0], Random(SEED))
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                rejected = replace(CUT, status=status, body=b"", complete=True)
                one = RollRequest(work=work, record=rejected, retry_after_s=0.0)
                self.assertEqual(count_wrong_runs([one], Counter({CUT.request_id: 1})), 1)
                self.assertEqual(count_wrong_runs([one], Counter()), 0)

    def test_a_cut_answer_does_not_say_that_nothing_ran(self) -> None:
        """Guards against connections that end inside an answer, counted as rejections.

        A caller without the whole answer is left as one without any.
        """
        for status in (408, 421, 429, 503):
            with self.subTest(status=status):
                cut = replace(CUT, status=status, address="two")
                self.assertIs(classify(cut, self.departures, has_run=False), Outcome.LOST)
                at_once = replace(cut, ended_at=cut.sent_at + 0.1)
                self.assertIs(classify(at_once, self.departures, has_run=True), Outcome.LOST)
                self.assertIs(classify(at_once, self.departures, has_run=False), Outcome.REJECTED)


class SmallRollTest(unittest.IsolatedAsyncioTestCase):
    """Five instances are replaced in two overlapping rolls while 24 callers go on."""

    async def test_a_roll_loses_no_request_and_takes_none_that_it_cuts_late(self) -> None:
        """Guards against requests lost around planned work, by the times of callers and engines.

        Callers hold addresses for 3 s, keep connections, and send five kinds of requests, whose
        streams last up to some seconds, to instances that get SIGTERM one after the other.
        """
        with tempfile.TemporaryDirectory() as directory:
            verdict = await RollRun(seed=SEED, directory=directory, size=SMALL).run()
        self.assertEqual(verdict.lost, [])
        self.assertEqual(verdict.wrong_runs, 0)
        self.assertGreater(verdict.outcomes[Outcome.SERVED], 100)


if __name__ == "__main__":
    unittest.main()
