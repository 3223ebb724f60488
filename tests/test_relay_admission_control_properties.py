"""Tests that less urgent requests yield to more urgent ones that wait or are being rejected."""

from __future__ import annotations

import os
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.placement.admission import Rejection, WaitParameters
from guavamast.relay.placement.admission_control import AdmissionControl
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.engine_forecast import Forecast
from guavamast.relay.placement.obstacle import ObstacleKind
from guavamast.relay.placement.waiting import RoomCheck
from guavamast.relay.placement.yield_credits import ADMITTED_SHARE, MAX_CREDIT_MS, REJECTED_SHARE

EXAMPLES = int(os.environ.get("GUAVAMAST_EXAMPLES", "100"))
POOL = "pool"
OBJECTIVES_S = (0.25, 0.6, 0.2)
"""Objectives by precedence; the least urgent requests are due first."""
MAX_PREFILL_MS = 150.0

requests = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.floats(0.0, 700.0),
        st.floats(1.0, MAX_PREFILL_MS),
        st.integers(0, 300),
    ),
    min_size=20,
    max_size=120,
)


class AdmissionControlTest(unittest.TestCase):
    """Less urgent requests yield to more urgent ones."""

    def setUp(self) -> None:
        self.history = AdmissionHistory()
        self.control = AdmissionControl(history=self.history, random=Random(1), decides_alone=True)
        self.number = 0

    def admit(
        self,
        precedence: int,
        waiting_ms: float,
        *,
        prefill_ms: float = 60.0,
        others_ms: tuple[float, ...] = (),
        now: float = 0.0,
        last: bool = True,
    ) -> bool:
        """Return whether a request is admitted to an engine beside others."""
        rejection = self.decide(
            precedence,
            waiting_ms,
            prefill_ms=prefill_ms,
            others_ms=others_ms,
            now=now,
            last=last,
        )
        return rejection is None

    def decide(
        self,
        precedence: int,
        waiting_ms: float,
        *,
        prefill_ms: float = 60.0,
        others_ms: tuple[float, ...] = (),
        now: float = 0.0,
        last: bool = True,
    ) -> Rejection | None:
        """Return the rejection of a request at an engine beside others."""
        self.number += 1
        check = RoomCheck(
            attempt=str(self.number), waited_s=0.0, delayed=True, newly_delayed=True, last=last
        )
        terms = self.control.prepare(
            WaitParameters(objective_s=OBJECTIVES_S[precedence], most_urgent=precedence == 0),
            service=POOL,
            precedence=precedence,
            check=check,
            now=now,
        )
        forecast = Forecast(start_ms=40.0, waiting_ms=waiting_ms, prefill_ms=prefill_ms)
        survey = terms.survey((waiting_ms, *others_ms))
        return self.control.admit(forecast, survey, check=check, now=now)

    def reject_requests(self, precedence: int = 0, *, prefill_ms: float = 10.0) -> None:
        for _ in range(40):
            self.admit(precedence, 5_000.0, prefill_ms=prefill_ms)

    def test_less_urgent_requests_leave_engines_open(self) -> None:
        """Guards against less urgent requests that keep all queues too long for urgent ones."""
        self.admit(0, 0.0)
        self.assertTrue(self.admit(1, 300.0, others_ms=(0.0, 0.0, 0.0)))
        self.assertTrue(self.admit(1, 40.0, others_ms=(400.0, 400.0, 400.0)))
        self.assertFalse(self.admit(1, 300.0, others_ms=(400.0, 400.0, 400.0)))
        self.assertFalse(self.admit(1, 0.0, prefill_ms=400.0, others_ms=(400.0, 400.0, 400.0)))

    def test_a_rejection_tells_what_held_the_request_back(self) -> None:
        """Guards against rejections at idle engines whose reason can't be told afterwards."""
        self.admit(0, 5_000.0, last=False)
        rejection = self.decide(1, 0.0)
        assert rejection is not None
        assert rejection.obstacle is not None
        self.assertEqual(
            (rejection.obstacle.kind, rejection.obstacle.precedence, rejection.obstacle.waiting),
            (ObstacleKind.CLAIM, 0, 1),
        )

    def test_a_service_of_one_engine_serves_less_urgent_requests_too(self) -> None:
        """Guards against an engine that is kept open for urgent requests that don't come."""
        self.admit(0, 0.0)
        self.assertTrue(self.admit(1, 0.0, prefill_ms=400.0))

    def test_no_less_urgent_request_begins_while_a_more_urgent_one_waits(self) -> None:
        """Guards against an idle engine that goes to whoever checks for room first."""
        self.admit(0, 5_000.0, last=False)
        self.assertFalse(self.admit(1, 0.0, last=False))
        self.assertFalse(self.admit(2, 0.0, last=False))
        self.assertTrue(self.admit(0, 0.0, last=False))

    def test_less_urgent_requests_begin_where_an_engine_is_left_to_each_that_waits(self) -> None:
        """Guards against a large fleet, where someone always waits, that begins nothing else."""
        self.admit(0, 5_000.0, last=False)
        self.assertFalse(self.admit(1, 0.0, others_ms=(400.0,), last=False))
        self.assertTrue(self.admit(1, 0.0, others_ms=(0.0,), last=False))

    def test_the_room_of_a_rejected_request_is_kept_until_its_caller_returns(self) -> None:
        """Guards against callers who return when told, and find the room taken meanwhile."""
        self.admit(0, 200.0)
        self.assertFalse(self.admit(1, 0.0, now=0.1, last=False))
        self.assertTrue(self.admit(1, 0.0, now=1.0, last=False))

    def test_the_room_of_a_rejected_request_is_used_while_its_caller_stays_away(self) -> None:
        """Guards against idle engines that are left to callers told to return much later."""
        rejection = self.decide(0, 5_000.0)
        assert rejection is not None
        self.assertGreater(rejection.retry_after_s, 1.0)
        self.assertFalse(self.admit(1, 0.0, now=0.2, last=False))
        self.assertTrue(self.admit(1, 0.0, now=0.5, last=False))

    def test_long_prompts_that_go_before_others_use_an_idle_engine_before_they_are_rejected(
        self,
    ) -> None:
        """Guards against an urgent organisation's long prompts rejected beside idle engines."""
        self.admit(0, 0.0)
        self.admit(2, 0.0)
        check = RoomCheck(attempt="long", waited_share=1.0, delayed=True, last=True)
        terms = self.control.prepare(
            WaitParameters(objective_s=2.0, least_urgent=True, waited_share=1.0, last_check=True),
            service=POOL,
            precedence=1,
            check=check,
            now=0.0,
        )
        forecast = Forecast(start_ms=40.0, waiting_ms=0.0, prefill_ms=400.0)
        survey = terms.survey((0.0, 400.0, 400.0, 400.0))
        self.assertIsNone(self.control.admit(forecast, survey, check=check, now=0.0))

    def test_requests_that_are_late_everywhere_press_too_but_starve_nobody(self) -> None:
        """Guards against slow engines at which urgent requests count for nothing, or for all."""
        self.reject_requests(prefill_ms=400.0)
        self.assertFalse(self.admit(1, 0.0, last=False))
        admitted = 0
        for _ in range(200):
            self.reject_requests(prefill_ms=400.0)
            admitted += self.admit(1, 0.0)
        self.assertGreater(admitted, 0)

    def test_less_urgent_requests_keep_a_share(self) -> None:
        """Guards against starving a precedence while more urgent requests wait all the time."""
        admitted = 0
        for _ in range(160):
            self.admit(0, 5_000.0, prefill_ms=10.0, last=False)
            self.assertTrue(self.admit(0, 0.0, last=False))
            admitted += self.admit(1, 300.0)
        self.assertAlmostEqual(admitted, ADMITTED_SHARE * 160, delta=3.0)

    def test_while_urgent_requests_are_rejected_what_passes_them_is_a_part_of_them(self) -> None:
        """Guards against a share of what is served, which exceeds twice what is rejected."""
        passed_ms = 0.0
        rejected_ms = 0.0
        for _ in range(200):
            self.assertFalse(self.admit(0, 5_000.0, prefill_ms=10.0))
            rejected_ms += 10.0
            self.assertTrue(self.admit(0, 0.0))
            passed_ms += 60.0 * self.admit(1, 300.0)
        self.assertLessEqual(passed_ms, REJECTED_SHARE * rejected_ms + MAX_CREDIT_MS + 60.0)

    def test_rejections_of_the_kind_between_earn_nothing_before_the_most_urgent(self) -> None:
        """Guards against the least urgent kind that begins on what the kind between has lost."""
        for _ in range(40):
            self.admit(0, 5_000.0, prefill_ms=1.0, last=False)
            self.reject_requests(1, prefill_ms=100.0)
            self.assertFalse(self.admit(2, 0.0))

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(requests)
    def test_no_order_of_requests_lets_more_pass_than_the_share(self, sequence: list) -> None:
        """Guards against any order in which less urgent requests pass more urgent ones that wait.

        Each request has a precedence, a wait, a prefill time and the time since the one before it.
        """
        self.setUp()
        now = 0.0
        earned_ms = {1: 0.0, 2: 0.0}
        passed_ms = {1: 0.0, 2: 0.0}
        for precedence, waiting_ms, prefill_ms, pause_ms in sequence:
            now += pause_ms / 1000.0
            demands = self.history.list_more_urgent(POOL, precedence, now=now)
            waits = any(demand.waiting for demand in demands)
            admitted = self.admit(precedence, waiting_ms, prefill_ms=prefill_ms, now=now)
            if waits:
                passed_ms[precedence] += prefill_ms * admitted
            share = ADMITTED_SHARE if admitted else REJECTED_SHARE
            for later in range(precedence + 1, 3):
                earned_ms[later] += share * prefill_ms
        for precedence, most_ms in earned_ms.items():
            self.assertLessEqual(passed_ms[precedence], most_ms + MAX_PREFILL_MS + 1e-6)


if __name__ == "__main__":
    unittest.main()
