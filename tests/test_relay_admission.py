"""Tests of admission, of retry delays and of the forecasts that they are based on."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.endpoint_load import Load
from guavamast.relay.placement.admission import Rejection, WaitParameters, admit
from guavamast.relay.placement.engine_forecast import (
    FRESH_LOADS_LIMIT,
    STALE_LOADS_LIMIT,
    Forecast,
    estimate_late_share,
    forecast,
)
from tests.relay_fixtures import PROFILE


class AdmissionTest(unittest.TestCase):
    """Requests that would be late are rejected at once, and none is while queues are short.

    The scenario is a burst at twice the engines' capacity. The engines prefill 60 tokens per
    millisecond; the objectives are 0.3 and 2 seconds.
    """

    def admit(self, waiting_ms: float, *, prefill_ms: float = 10.0) -> Rejection | None:
        expected = Forecast(start_ms=72.0, waiting_ms=waiting_ms, prefill_ms=prefill_ms)
        return admit(
            expected, WaitParameters(objective_s=0.3, latency_tolerant=False), random=Random(1)
        )

    def test_waiting_decides_and_not_the_length_of_the_request(self) -> None:
        self.assertIsNone(self.admit(224.0, prefill_ms=900.0))
        self.assertIsNotNone(self.admit(226.0, prefill_ms=1.0))

    def test_latency_tolerant_requests_wait_a_smaller_share(self) -> None:
        for waiting_ms, is_rejected in ((1000.0, False), (1001.0, True)):
            expected = Forecast(start_ms=72.0, waiting_ms=waiting_ms, prefill_ms=10.0)
            rejection = admit(
                expected, WaitParameters(objective_s=2.0, latency_tolerant=True), random=Random(1)
            )
            self.assertEqual(rejection is not None, is_rejected)

    def test_stale_loads_reserve_kv_cache_for_unreported_requests(self) -> None:
        """Guards against running answers that are preempted for lack of KV cache.

        Many instances send long prompts to the same engine before they learn of each other's. When
        its KV cache is full, it preempts some answers and prefills their prompts again.
        """
        full = Load(requests=40, prefill_tokens=600, kv_tokens=500_000)
        for loads_late in (False, True):
            expected = forecast(
                full,
                PROFILE,
                uncached_tokens=12_000,
                kv_tokens=12_300,
                slots=64,
                kv_capacity_tokens=611_000,
                kv_limit=STALE_LOADS_LIMIT if loads_late else FRESH_LOADS_LIMIT,
            )
            parameters = WaitParameters(
                objective_s=2.0, latency_tolerant=True, most_urgent=True, loads_stale=loads_late
            )
            rejection = admit(expected, parameters, random=Random(1))
            self.assertEqual(rejection is not None, loads_late)

    def test_stale_loads_allow_longer_waits_most_of_all_for_the_most_urgent(self) -> None:
        """Guards against idle engines after rejections that are based on stale loads.

        All instances received a second ago that the engines of a bucket are 300 ms behind. If all
        rejected requests for it, the engines would idle until the next update, and all callers
        would retry. Engines serve the most urgent requests first, whatever is queued; rejected,
        they would get nothing while less urgent ones are served. A far too long queue still rejects
        them.
        """
        cases = (
            (300.0, WaitParameters(objective_s=0.3), True),
            (300.0, WaitParameters(objective_s=0.3, loads_stale=True), False),
            (500.0, WaitParameters(objective_s=0.3, loads_stale=True), True),
            (1_500.0, WaitParameters(objective_s=0.3, loads_stale=True, most_urgent=True), False),
            (1_850.0, WaitParameters(objective_s=0.3, loads_stale=True, most_urgent=True), True),
        )
        for waiting_ms, parameters, is_rejected in cases:
            expected = Forecast(start_ms=40.0, waiting_ms=waiting_ms, prefill_ms=10.0)
            rejection = admit(expected, parameters, random=Random(1))
            self.assertEqual(rejection is not None, is_rejected, (waiting_ms, parameters))

    def test_the_share_of_late_first_events_grows_with_their_forecast(self) -> None:
        shares = [estimate_late_share(ms, due_ms=600.0) for ms in (300.0, 420.0, 600.0, 900.0)]
        for share, expected in zip(shares, (0.0, 0.0, 0.5, 1.0), strict=True):
            self.assertAlmostEqual(share, expected)

    def test_idle_engine_rejects_no_request(self) -> None:
        idle = forecast(
            Load(),
            PROFILE,
            uncached_tokens=60_000,
            kv_tokens=61_000,
            slots=64,
            kv_capacity_tokens=600_000,
        )
        self.assertIsNone(
            admit(idle, WaitParameters(objective_s=0.3, latency_tolerant=False), random=Random(1))
        )

    @given(waiting_ms=st.floats(min_value=226.0, max_value=1e5))
    def test_the_retry_delay_grows_with_the_queue_within_bounds(self, waiting_ms: float) -> None:
        rejection = self.admit(waiting_ms)
        assert rejection is not None
        self.assertGreaterEqual(rejection.retry_after_s, 0.1)
        self.assertLessEqual(rejection.retry_after_s, 2.25)

    def test_a_burst_at_twice_the_capacity_is_answered_in_time_up_to_the_capacity(self) -> None:
        """Guards against a queue that grows without bound under overload.

        For ten seconds, twice the prompts that one engine can prefill arrive, 6,000 tokens each.
        Without a bound the queue would end up ten seconds long. With it, nine in ten of the
        requests within the engine's capacity are admitted, and each waits a second at most.
        """
        engine = Load()
        admitted = 0
        longest_ms = 0.0
        for _ in range(200):
            engine.prefill_tokens = max(0, engine.prefill_tokens - 3_000)
            expected = forecast(
                engine, PROFILE, uncached_tokens=6_000, kv_tokens=0, slots=64, kv_capacity_tokens=0
            )
            if (
                admit(
                    expected,
                    WaitParameters(objective_s=2.0, latency_tolerant=True),
                    random=Random(1),
                )
                is None
            ):
                admitted += 1
                longest_ms = max(longest_ms, expected.waiting_ms)
                engine.prefill_tokens += 6_000
        self.assertGreaterEqual(admitted, 90)
        self.assertLessEqual(longest_ms, 1_000.0)


class EngineModelTest(unittest.TestCase):
    """The model matches measured times to the first event."""

    def test_measured_first_events(self) -> None:
        for waiting, own, measured_ms in ((0, 600, 78), (7_000, 500, 186), (28_000, 2_000, 550)):
            load = Load(requests=10, prefill_tokens=waiting, kv_tokens=0)
            found = forecast(
                load, PROFILE, uncached_tokens=own, kv_tokens=0, slots=64, kv_capacity_tokens=0
            )
            self.assertAlmostEqual(found.first_event_ms, measured_ms, delta=0.15 * measured_ms)

    def test_slots_and_memory(self) -> None:
        full = Load(requests=66, prefill_tokens=0, kv_tokens=550_000)
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
