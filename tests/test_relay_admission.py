"""Tests of which requests wait and when others are to come back, and of the forecasts behind it."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.admission import ComeBack, WaitTerms, admit
from guavamast.relay.endpoint_load import Load
from guavamast.relay.engine_model import (
    LATE_LIMIT,
    RECENT_LIMIT,
    Forecast,
    estimate_late_share,
    forecast,
)
from tests.relay_facts import PROFILE


class AdmissionTest(unittest.TestCase):
    """Requests that would be late are sent back at once; none is while little waits.

    The pattern: users come in a burst at twice what the engines can do. The figures are those of
    the engine model: 60 prompt tokens a millisecond, and objectives of 0.3 and 2 seconds.
    """

    def admit(self, waiting_ms: float, *, reading_ms: float = 10.0) -> ComeBack | None:
        expected = Forecast(start_ms=72.0, waiting_ms=waiting_ms, reading_ms=reading_ms)
        return admit(expected, WaitTerms(objective_s=0.3, patient=False), random=Random(1))

    def test_waiting_decides_and_not_the_length_of_the_request(self) -> None:
        self.assertIsNone(self.admit(224.0, reading_ms=900.0))
        self.assertIsNotNone(self.admit(226.0, reading_ms=1.0))

    def test_patient_requests_wait_a_smaller_share(self) -> None:
        for waiting_ms, refused in ((1000.0, False), (1001.0, True)):
            expected = Forecast(start_ms=72.0, waiting_ms=waiting_ms, reading_ms=10.0)
            refusal = admit(expected, WaitTerms(objective_s=2.0, patient=True), random=Random(1))
            self.assertEqual(refusal is not None, refused)

    def test_late_loads_leave_memory_for_what_nobody_has_heard_of(self) -> None:
        """No running answer is stopped for want of memory.

        Many instances send long prompts to the same engine before they hear of each other's; when
        its memory is full, it stops some answers and reads their prompts again.
        """
        full = Load(requests=40, prefill_tokens=600, memory_tokens=500_000)
        for loads_late in (False, True):
            expected = forecast(
                full,
                PROFILE,
                uncached_tokens=12_000,
                kv_tokens=12_300,
                slots=64,
                kv_capacity_tokens=611_000,
                kv_limit=LATE_LIMIT if loads_late else RECENT_LIMIT,
            )
            terms = WaitTerms(objective_s=2.0, patient=True, first=True, old_news=loads_late)
            refusal = admit(expected, terms, random=Random(1))
            self.assertEqual(refusal is not None, loads_late)

    def test_old_news_lets_wait_longer_above_all_the_most_urgent(self) -> None:
        """All instances heard a second ago that the engines of a lane are 300 ms behind.

        If all of them refused for it, the engines would idle until the next news, and all would
        come again. The most urgent go before others at an engine, whatever waits there; refused,
        they would get nothing while less urgent ones are served. A queue that is far too long still
        sends them back.
        """
        cases = (
            (300.0, WaitTerms(objective_s=0.3), True),
            (300.0, WaitTerms(objective_s=0.3, old_news=True), False),
            (500.0, WaitTerms(objective_s=0.3, old_news=True), True),
            (1_500.0, WaitTerms(objective_s=0.3, old_news=True, first=True), False),
            (1_850.0, WaitTerms(objective_s=0.3, old_news=True, first=True), True),
        )
        for waiting_ms, terms, refused in cases:
            expected = Forecast(start_ms=40.0, waiting_ms=waiting_ms, reading_ms=10.0)
            refusal = admit(expected, terms, random=Random(1))
            self.assertEqual(refusal is not None, refused, (waiting_ms, terms))

    def test_the_share_of_late_first_events_grows_with_their_forecast(self) -> None:
        shares = [estimate_late_share(ms, due_ms=600.0) for ms in (300.0, 420.0, 600.0, 900.0)]
        for share, expected in zip(shares, (0.0, 0.0, 0.5, 1.0), strict=True):
            self.assertAlmostEqual(share, expected)

    def test_nobody_is_refused_by_an_idle_engine(self) -> None:
        idle = forecast(
            Load(),
            PROFILE,
            uncached_tokens=60_000,
            kv_tokens=61_000,
            slots=64,
            kv_capacity_tokens=600_000,
        )
        self.assertIsNone(admit(idle, WaitTerms(objective_s=0.3, patient=False), random=Random(1)))

    @given(waiting_ms=st.floats(min_value=226.0, max_value=1e5))
    def test_the_time_to_come_back_grows_with_the_queue_within_bounds(
        self, waiting_ms: float
    ) -> None:
        refusal = self.admit(waiting_ms)
        assert refusal is not None
        self.assertGreaterEqual(refusal.retry_after_s, 0.1)
        self.assertLessEqual(refusal.retry_after_s, 2.25)

    def test_a_burst_at_twice_the_capacity_is_answered_in_time_up_to_the_capacity(self) -> None:
        """Ten seconds of twice the prompts that one engine can read, each 6,000 tokens.

        Without a bound the queue would be ten seconds long in the end. With it, nine in ten of the
        requests that the engine can read are admitted, and each waits a second at most.
        """
        engine = Load()
        admitted = 0
        longest_ms = 0.0
        for _ in range(200):
            engine.prefill_tokens = max(0, engine.prefill_tokens - 3_000)
            expected = forecast(
                engine, PROFILE, uncached_tokens=6_000, kv_tokens=0, slots=64, kv_capacity_tokens=0
            )
            if admit(expected, WaitTerms(objective_s=2.0, patient=True), random=Random(1)) is None:
                admitted += 1
                longest_ms = max(longest_ms, expected.waiting_ms)
                engine.prefill_tokens += 6_000
        self.assertGreaterEqual(admitted, 90)
        self.assertLessEqual(longest_ms, 1_000.0)


class EngineModelTest(unittest.TestCase):
    """The model follows what was measured of first events."""

    def test_measured_first_events(self) -> None:
        for waiting, own, measured_ms in ((0, 600, 78), (7_000, 500, 186), (28_000, 2_000, 550)):
            load = Load(requests=10, prefill_tokens=waiting, memory_tokens=0)
            found = forecast(
                load, PROFILE, uncached_tokens=own, kv_tokens=0, slots=64, kv_capacity_tokens=0
            )
            self.assertAlmostEqual(found.first_event_ms, measured_ms, delta=0.15 * measured_ms)

    def test_slots_and_memory(self) -> None:
        full = Load(requests=66, prefill_tokens=0, memory_tokens=550_000)
        found = forecast(
            full, PROFILE, uncached_tokens=0, kv_tokens=500, slots=64, kv_capacity_tokens=0
        )
        self.assertEqual(found.waiting_ms, 150.0)
        found = forecast(
            full, PROFILE, uncached_tokens=0, kv_tokens=9_000, slots=99, kv_capacity_tokens=600_000
        )
        self.assertEqual(found.waiting_ms, 1_000.0)


if __name__ == "__main__":
    unittest.main()
