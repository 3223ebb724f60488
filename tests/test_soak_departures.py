"""Tests of the soak's checks of departures: what callers on kept connections may lose, and not."""

from __future__ import annotations

import unittest
from dataclasses import replace

from soak.departures import (
    ADDRESS_VALIDITY_S,
    DepartureRecord,
    Outcome,
    classify,
    find_departure_violations,
    find_run_ends,
)
from soak.guarantees import RequestKind, RequestRecord, RunRecord, SoakRecord, Span, find_violations
from soak.schedule import (
    LONGEST_ROLL_GAP_S,
    RECOVERY_S,
    SHORTEST_ROLL_GAP_S,
    plan_rolls,
)

from guavamast.platform.standins.engine import EngineStandIn, Run, RunTimes

SIGNALLED_AT = 100.0
GRACE_S = 8.0
LAST_SIXTH_AT = SIGNALLED_AT + GRACE_S * 5 / 6

CUT = RequestRecord(
    request_id="k1",
    kind=RequestKind.STREAM,
    organisation="bakery",
    sent_at=SIGNALLED_AT + 1.0,
    ended_at=LAST_SIXTH_AT + 0.2,
    status=200,
    response_id="k1",
    body=b"id: 1",
    expected_body=b"id: 1\n",
    complete=False,
    address="one",
    anywhere=True,
    kept=True,
)
RUN = RunRecord(
    request_id="k1",
    engine="pool-0",
    organisation="bakery",
    started_at=SIGNALLED_AT + 1.1,
    unmodified=True,
)


def build_record(request: RequestRecord, *, ran: bool = True) -> SoakRecord:
    """Return the record of a run with one request."""
    return SoakRecord(
        requests=[request],
        runs=[RUN] if ran else [],
        revoked={},
        drains={},
        disruptions=[],
        external_disruptions=[],
        instance_disruptions={},
        revoke_s=2.0,
        recovered_at=0.0,
        ended_at=SIGNALLED_AT + 100.0,
    )


def build_run(began: float) -> Run:
    """Return a run of the request, as its engine records it."""
    return Run(request_id="k1", tenant="bakery", target="/", body=b"", headers={}, began=began)


def build_end(began: float, ended: float) -> RunTimes:
    """Return the times of such a run."""
    return RunTimes(request_id="k1", began=began, ended=ended)


class DepartureCheckTest(unittest.TestCase):
    """A request on a kept connection may be lost at the end of the grace time only."""

    def find(self, record: SoakRecord, **departures: dict[str, float]) -> list[str]:
        known = DepartureRecord(signals={"one": [SIGNALLED_AT]}, grace_s=GRACE_S, **departures)
        return find_departure_violations(record, known)

    def assert_lost(self, record: SoakRecord, **departures: dict[str, float]) -> None:
        self.assertEqual(len(self.find(record, **departures)), 1)

    def test_a_stream_of_an_engine_that_works_in_the_last_sixth_may_be_cut(self) -> None:
        self.assertEqual(self.find(build_record(CUT)), [])
        before = replace(CUT, sent_at=SIGNALLED_AT - 1.0)
        self.assertEqual(self.find(build_record(before)), [])

    def test_a_stream_that_ends_as_complete_without_its_last_events_is_lost(self) -> None:
        """Guards against a cut that its caller can't tell from the end, counted as served."""
        request = replace(CUT, complete=True)
        departures = DepartureRecord(signals={"one": [SIGNALLED_AT]}, grace_s=GRACE_S)
        self.assertIs(classify(request, departures, has_run=True), Outcome.LOST)
        whole = replace(request, body=request.expected_body)
        self.assertIs(classify(whole, departures, has_run=True), Outcome.SERVED)

    def test_a_stream_sent_after_addresses_expired_may_not_be_cut(self) -> None:
        late = replace(CUT, sent_at=SIGNALLED_AT + ADDRESS_VALIDITY_S)
        self.assert_lost(build_record(late))

    def test_a_stream_may_not_be_cut_before_the_last_sixth(self) -> None:
        self.assert_lost(build_record(replace(CUT, ended_at=LAST_SIXTH_AT - 0.1)))

    def test_a_stream_whose_engine_was_done_before_may_not_be_cut(self) -> None:
        self.assert_lost(build_record(CUT), run_ends={"k1": LAST_SIXTH_AT - 0.1})
        self.assertEqual(self.find(build_record(CUT), run_ends={"k1": LAST_SIXTH_AT + 0.1}), [])

    def test_a_run_ends_when_its_engine_saw_the_end(self) -> None:
        """Guards against streams given up early, and excused as their callers' ends came later.

        An instance closes its connection to the engine before the last sixth, and tells its caller
        in the last sixth. The engine wasn't at work any more.
        """
        engine = EngineStandIn(engine_id="x")
        late_s = LAST_SIXTH_AT + 0.1
        engine.runs = [build_run(RUN.started_at)]
        self.assertEqual(find_run_ends([engine]), {})
        engine.aborted = [build_end(RUN.started_at, LAST_SIXTH_AT - 0.1)]
        self.assert_lost(build_record(CUT), run_ends=find_run_ends([engine]))
        other = EngineStandIn(engine_id="y")
        other.runs = [build_run(RUN.started_at + 0.5)]
        self.assertEqual(find_run_ends([engine, other]), {})
        other.completed = [build_end(RUN.started_at + 0.5, late_s)]
        self.assertEqual(find_run_ends([engine, other]), {"k1": late_s})
        self.assertEqual(find_run_ends([other, engine]), {"k1": late_s})
        self.assertEqual(self.find(build_record(CUT), run_ends={"k1": late_s}), [])

    def test_a_request_that_no_engine_worked_on_is_not_excused(self) -> None:
        """Guards against requests that wait until the end of their instance, and count as cut."""
        closed = replace(CUT, status=None)
        self.assert_lost(build_record(closed, ran=False))
        self.assertEqual(self.find(build_record(closed)), [])

    def test_a_stream_of_an_instance_that_does_not_leave_may_not_be_cut(self) -> None:
        self.assert_lost(build_record(replace(CUT, address="two")))

    def test_a_connection_may_not_close_without_an_answer(self) -> None:
        closed = replace(CUT, status=None, ended_at=CUT.sent_at + 0.1)
        self.assert_lost(build_record(closed))
        self.assertEqual(self.find(build_record(closed, ran=False)), [])
        late = replace(closed, ended_at=CUT.sent_at + 0.3)
        self.assert_lost(build_record(late, ran=False))

    def test_failures_are_losses_and_refusals_are_not(self) -> None:
        failed = replace(CUT, status=504, complete=True, ended_at=CUT.sent_at + 0.1)
        self.assert_lost(build_record(failed))
        self.assertEqual(self.find(build_record(replace(failed, status=503), ran=False)), [])

    def test_unplanned_disruptions_excuse_all(self) -> None:
        late = replace(CUT, sent_at=SIGNALLED_AT + ADDRESS_VALIDITY_S)
        span = Span(started_at=SIGNALLED_AT + 4.0, ended_at=SIGNALLED_AT + 4.5)
        self.assertEqual(self.find(replace(build_record(late), disruptions=[span])), [])

    def test_a_refused_request_that_ran_is_found_among_the_others(self) -> None:
        refused = replace(CUT, status=503, body=b"", complete=True)
        texts = find_violations(build_record(refused))
        self.assertTrue(any("refused as not run" in text for text in texts), texts)


class RollScheduleTest(unittest.TestCase):
    """Rolls are determined by the seed, overlap, and leave time to recover."""

    def test_same_seed_same_rolls(self) -> None:
        self.assertEqual(plan_rolls(3, length_s=20.0), plan_rolls(3, length_s=20.0))
        self.assertNotEqual(plan_rolls(3, length_s=20.0), plan_rolls(4, length_s=20.0))

    def test_instances_are_back_before_the_recovery(self) -> None:
        for seed in range(40):
            for roll in plan_rolls(seed, length_s=30.0, instances=6, grace_s=GRACE_S):
                self.assertGreaterEqual(roll.duration_s, SHORTEST_ROLL_GAP_S)
                self.assertLessEqual(roll.duration_s, LONGEST_ROLL_GAP_S)
                back_s = roll.start_s + 5 * roll.duration_s + GRACE_S
                self.assertLessEqual(back_s, 30.0 - RECOVERY_S)

    def test_rolls_of_a_run_overlap(self) -> None:
        overlapping = 0
        for seed in range(40):
            rolls = sorted(one.start_s for one in plan_rolls(seed, length_s=20.0))
            overlapping += any(
                later - earlier < GRACE_S for earlier, later in zip(rolls, rolls[1:], strict=False)
            )
        self.assertGreater(overlapping, 20)


if __name__ == "__main__":
    unittest.main()
