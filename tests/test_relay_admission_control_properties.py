"""Tests that less urgent requests make way for more urgent ones that are being sent back."""

from __future__ import annotations

import os
import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.admission import WaitTerms
from guavamast.relay.admission_control import LESS_URGENT_CREDIT_SHARE, AdmissionControl
from guavamast.relay.engine_model import Forecast
from guavamast.relay.refusal_history import RefusalHistory

EXAMPLES = int(os.environ.get("GUAVAMAST_EXAMPLES", "100"))
POOL = "pool"
OBJECTIVES_S = (0.25, 0.6, 0.2)
"""By urgency; the least urgent requests are due first."""
LONGEST_READING_MS = 150.0

requests = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.floats(0.0, 700.0),
        st.floats(1.0, LONGEST_READING_MS),
        st.integers(0, 300),
    ),
    min_size=20,
    max_size=120,
)


class AdmissionControlTest(unittest.TestCase):
    """Less urgent requests make way for more urgent ones that are being sent back."""

    def setUp(self) -> None:
        self.history = RefusalHistory()
        self.control = AdmissionControl(history=self.history, random=Random(1))

    def admit(
        self, urgency: int, waiting_ms: float, *, reading_ms: float = 60.0, now: float = 0.0
    ) -> bool:
        forecast = Forecast(start_ms=40.0, waiting_ms=waiting_ms, reading_ms=reading_ms)
        terms = WaitTerms(objective_s=OBJECTIVES_S[urgency], first=urgency == 0)
        later = self.control.admit(forecast, terms, service=POOL, urgency=urgency, now=now)
        return later is None

    def press(self, urgency: int = 0, *, reading_ms: float = 10.0, now: float = 0.0) -> None:
        for _ in range(40):
            self.admit(urgency, 5_000.0, reading_ms=reading_ms, now=now)

    def test_less_urgent_requests_join_only_what_stays_short_enough(self) -> None:
        """Guards against queues that less urgent requests keep too long for urgent ones."""
        self.assertTrue(self.admit(1, 300.0))
        self.press()
        self.assertFalse(self.admit(1, 300.0))
        self.assertFalse(self.admit(1, 140.0))
        self.assertTrue(self.admit(1, 100.0))

    def test_what_could_not_be_in_time_anywhere_holds_nothing(self) -> None:
        """Guards against starving others for requests that are too long to be served in time."""
        self.press(reading_ms=400.0)
        self.assertTrue(self.admit(1, 300.0))

    def test_the_first_go_wherever_there_is_room_while_too_many_are_sent_back(self) -> None:
        """Guards against requests sent back from the engine where they usually go alone."""
        first = WaitTerms(objective_s=0.25, first=True)
        self.assertIsNone(self.control.find_filter(first, service=POOL, urgency=0, now=0.0))
        self.press()
        has_room = self.control.find_filter(first, service=POOL, urgency=0, now=0.0)
        assert has_room is not None
        for waiting_ms in (0.0, 100.0, 300.0):
            expected = Forecast(start_ms=40.0, waiting_ms=waiting_ms, reading_ms=10.0)
            self.assertEqual(has_room(expected), waiting_ms < 150.0)
        later = WaitTerms(objective_s=0.25)
        self.assertIsNone(self.control.find_filter(later, service=POOL, urgency=1, now=0.0))

    def test_a_share_is_let_in_all_the_same(self) -> None:
        """Guards against starving a kind while more urgent requests exceed all there is."""
        let_in = 0
        for _ in range(160):
            self.press()
            self.assertTrue(self.admit(0, 0.0))
            let_in += self.admit(1, 300.0)
        self.assertAlmostEqual(let_in, LESS_URGENT_CREDIT_SHARE * 160, delta=2.0)

    def test_a_greater_overload_lets_no_more_in(self) -> None:
        """Guards against a share of what is asked for, which alone can be all there is."""
        let_in = 0
        for _ in range(40):
            self.press()
            self.admit(0, 0.0)
            let_in += sum(self.admit(1, 300.0) for _ in range(40))
        self.assertLessEqual(let_in, LESS_URGENT_CREDIT_SHARE * 40 + 2)

    @settings(max_examples=EXAMPLES, deadline=None)
    @given(requests)
    def test_no_order_of_requests_lets_more_than_the_share_in(self, story: list) -> None:
        """Guards against any order in which later ranks pass earlier ones that are sent back.

        Each request states its urgency, wait, reading time and the time since the one before it.
        """
        self.setUp()
        now = 0.0
        given_ms = {1: 0.0, 2: 0.0}
        let_in_ms = {1: 0.0, 2: 0.0}
        for urgency, waiting_ms, reading_ms, pause_ms in story:
            now += pause_ms / 1000.0
            pressures = self.history.list_pressures(POOL, urgency, now=now)
            full = [one.wait_ms for one in pressures if one.weight == 1.0]
            admitted = self.admit(urgency, waiting_ms, reading_ms=reading_ms, now=now)
            if full and waiting_ms > max(0.0, min(full) - reading_ms) + 1e-6:
                let_in_ms[urgency] += reading_ms * admitted
            for later in range(urgency + 1, 3):
                given_ms[later] += reading_ms * admitted
        for urgency, most_ms in given_ms.items():
            most = LESS_URGENT_CREDIT_SHARE * most_ms + LONGEST_READING_MS
            self.assertLessEqual(let_in_ms[urgency], most + 1e-6)


if __name__ == "__main__":
    unittest.main()
