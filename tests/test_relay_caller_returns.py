"""Tests of telling callers that come back, and of what they are granted."""

from __future__ import annotations

import unittest
from random import Random

from guavamast.relay.admission import admit
from guavamast.relay.caller_returns import CallerReturns
from guavamast.relay.engine_model import Forecast


class CallerReturnsTest(unittest.TestCase):
    """A caller that waits clearly less long than others of its route has been here before."""

    def setUp(self) -> None:
        self.returns = CallerReturns()
        self.returns.measure_spent("digest", 5.004, now=0.0)

    def measure(self, patience_s: float | None, *, now: float = 1.0) -> float:
        return self.returns.measure_spent("digest", patience_s, now=now)

    def test_first_attempts_differ_by_their_way_alone(self) -> None:
        self.assertEqual(self.measure(5.001), 0.0)
        self.assertEqual(self.measure(None), 0.0)

    def test_time_spent_shows_in_what_is_left(self) -> None:
        self.assertAlmostEqual(self.measure(4.6), 0.404)

    def test_routes_are_apart(self) -> None:
        self.assertEqual(self.returns.measure_spent("query", 1.5, now=1.0), 0.0)

    def test_a_shorter_time_limit_of_callers_is_learnt(self) -> None:
        """Callers change to 3 s; after a minute these count as first attempts."""
        for now in range(1, 70):
            last = self.measure(3.0, now=float(now))
        self.assertEqual(last, 0.0)


class ReturnedAdmissionTest(unittest.TestCase):
    """Callers that were refused once find room sooner than new ones.

    The pattern: long prompts come at twice the usual rate for five seconds, one in three is sent
    back, and callers come back once. Refused again, their answer is lost; let in behind a queue of
    450 to 700 ms, it comes a little late.
    """

    def admit(self, waiting_ms: float, *, returned: bool) -> bool:
        expected = Forecast(start_ms=40.0, waiting_ms=waiting_ms, reading_ms=70.0)
        refusal = admit(
            expected, objective_s=0.6, patient=False, returned=returned, random=Random(1)
        )
        return refusal is None

    def test_who_came_back_waits_in_a_longer_queue(self) -> None:
        self.assertFalse(self.admit(600.0, returned=False))
        self.assertTrue(self.admit(600.0, returned=True))

    def test_the_queue_stays_bounded(self) -> None:
        self.assertFalse(self.admit(800.0, returned=True))


if __name__ == "__main__":
    unittest.main()
