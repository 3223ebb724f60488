"""Tests that less urgent requests yield to more urgent ones that are being rejected."""

from __future__ import annotations

import os
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.placement.admission import WaitParameters
from guavamast.relay.placement.admission_control import LESS_URGENT_CREDIT_SHARE, AdmissionControl
from guavamast.relay.placement.engine_forecast import Forecast
from guavamast.relay.placement.rejection_history import RejectionHistory

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
    """Less urgent requests yield to more urgent ones that are being rejected."""

    def setUp(self) -> None:
        self.history = RejectionHistory()
        self.control = AdmissionControl(history=self.history, random=Random(1))

    def admit(
        self, precedence: int, waiting_ms: float, *, prefill_ms: float = 60.0, now: float = 0.0
    ) -> bool:
        forecast = Forecast(start_ms=40.0, waiting_ms=waiting_ms, prefill_ms=prefill_ms)
        parameters = WaitParameters(
            objective_s=OBJECTIVES_S[precedence], most_urgent=precedence == 0
        )
        rejection = self.control.admit(
            forecast, parameters, service=POOL, precedence=precedence, now=now
        )
        return rejection is None

    def reject_requests(
        self, precedence: int = 0, *, prefill_ms: float = 10.0, now: float = 0.0
    ) -> None:
        for _ in range(40):
            self.admit(precedence, 5_000.0, prefill_ms=prefill_ms, now=now)

    def test_less_urgent_requests_join_only_what_stays_short_enough(self) -> None:
        """Guards against less urgent requests that keep queues too long for urgent ones."""
        self.assertTrue(self.admit(1, 300.0))
        self.reject_requests()
        self.assertFalse(self.admit(1, 300.0))
        self.assertFalse(self.admit(1, 140.0))
        self.assertTrue(self.admit(1, 100.0))

    def test_requests_that_are_late_everywhere_cause_no_rejections(self) -> None:
        """Guards against starving others for prompts that are too long to be served in time."""
        self.reject_requests(prefill_ms=400.0)
        self.assertTrue(self.admit(1, 300.0))

    def test_most_urgent_requests_use_any_engine_with_room_while_too_many_are_rejected(
        self,
    ) -> None:
        """Guards against considering only the engine with the least cost, and rejecting there."""
        first = WaitParameters(objective_s=0.25, most_urgent=True)
        self.assertIsNone(
            self.control.create_room_filter(first, service=POOL, precedence=0, now=0.0)
        )
        self.reject_requests()
        has_room = self.control.create_room_filter(first, service=POOL, precedence=0, now=0.0)
        assert has_room is not None
        for waiting_ms in (0.0, 100.0, 300.0):
            expected = Forecast(start_ms=40.0, waiting_ms=waiting_ms, prefill_ms=10.0)
            self.assertEqual(has_room(expected), waiting_ms < 150.0)
        later = WaitParameters(objective_s=0.25)
        self.assertIsNone(
            self.control.create_room_filter(later, service=POOL, precedence=1, now=0.0)
        )

    def test_less_urgent_requests_keep_a_share(self) -> None:
        """Guards against starving a precedence while more urgent requests exceed the capacity."""
        admitted = 0
        for _ in range(160):
            self.reject_requests()
            self.assertTrue(self.admit(0, 0.0))
            admitted += self.admit(1, 300.0)
        self.assertAlmostEqual(admitted, LESS_URGENT_CREDIT_SHARE * 160, delta=2.0)

    def test_a_greater_overload_admits_no_more(self) -> None:
        """Guards against a share of the requests received, which can exceed the capacity alone."""
        admitted = 0
        for _ in range(40):
            self.reject_requests()
            self.admit(0, 0.0)
            admitted += sum(self.admit(1, 300.0) for _ in range(40))
        self.assertLessEqual(admitted, LESS_URGENT_CREDIT_SHARE * 40 + 2)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(requests)
    def test_no_order_of_requests_admits_more_than_the_share(self, sequence: list) -> None:
        """Guards against any order in which less urgent requests pass more urgent rejected ones.

        Each request has a precedence, a wait, a prefill time and the time since the one before it.
        """
        self.setUp()
        now = 0.0
        more_urgent_ms = {1: 0.0, 2: 0.0}
        on_credit_ms = {1: 0.0, 2: 0.0}
        for precedence, waiting_ms, prefill_ms, pause_ms in sequence:
            now += pause_ms / 1000.0
            pressures = self.history.list_pressures(POOL, precedence, now=now)
            full = [one.wait_ms for one in pressures if one.weight == 1.0]
            admitted = self.admit(precedence, waiting_ms, prefill_ms=prefill_ms, now=now)
            if full and waiting_ms > max(0.0, min(full) - prefill_ms) + 1e-6:
                on_credit_ms[precedence] += prefill_ms * admitted
            for later in range(precedence + 1, 3):
                more_urgent_ms[later] += prefill_ms * admitted
        for precedence, most_ms in more_urgent_ms.items():
            most = LESS_URGENT_CREDIT_SHARE * most_ms + MAX_PREFILL_MS
            self.assertLessEqual(on_credit_ms[precedence], most + 1e-6)


if __name__ == "__main__":
    unittest.main()
