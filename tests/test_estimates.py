"""Tests of the estimates that a keeper learns from releases."""

from __future__ import annotations

import random
import unittest

from guavamast.estimates import (
    MAX_LENGTH_KEYS,
    WEIGHT_FLOOR,
    LengthEstimates,
    ReleaseRate,
    StragglerWeight,
)
from guavamast.slots import Ask, Release


def make_ask(organisation: str = "o", *, max_tokens: int = 100_000) -> Ask:
    """Return an ask of a model."""
    return Ask(
        ask_id="r",
        entry="a",
        endpoint="e",
        organisation=organisation,
        class_name="c",
        tier=1,
        kind="chat",
        model="m",
        prompt_tokens=1,
        max_tokens=max_tokens,
        deadline=1e9,
    )


def make_release(*, interval_s: float = 0.02, failed: bool = False) -> Release:
    """Return the end of a run of 101 tokens at that pace."""
    return Release(
        ask_id="r",
        endpoint="e",
        used=True,
        failed=failed,
        tokens=101,
        first_token_s=0.2,
        duration_s=0.2 + 100 * interval_s,
    )


class LengthEstimatesTest(unittest.TestCase):
    """Quantiles are close to the true ones and are updated for a running request."""

    def setUp(self) -> None:
        self.lengths = LengthEstimates()
        rng = random.Random(3)
        self.samples = sorted(int(rng.lognormvariate(5.0, 1.0)) for _ in range(250))
        for tokens in rng.sample(self.samples, len(self.samples)):
            self.lengths.observe(make_ask(), tokens)

    def test_quantiles(self) -> None:
        for quantile in (0.1, 0.5, 0.9):
            true = self.samples[int(quantile * len(self.samples))]
            estimate = self.lengths.estimate(make_ask(), quantile=quantile)
            self.assertLess(abs(estimate / true - 1.0), 0.25)

    def test_running_request_is_compared_with_longer_ones(self) -> None:
        for produced in (50, 400, 1000, 50_000):
            estimate = self.lengths.estimate(make_ask(), quantile=0.5, produced=produced)
            self.assertGreater(estimate, produced)
        self.assertEqual(self.lengths.estimate(make_ask(max_tokens=60), quantile=0.9), 60)

    def test_new_organisation_uses_shared_lengths_then_its_own(self) -> None:
        other = make_ask("other")
        before = self.lengths.estimate(other, quantile=0.5)
        self.assertAlmostEqual(before, self.samples[125], delta=0.25 * before)
        for _ in range(60):
            self.lengths.observe(other, 8)
        self.assertLess(self.lengths.estimate(other, quantile=0.5), 16)

    def test_memory_is_bounded(self) -> None:
        for number in range(MAX_LENGTH_KEYS + 500):
            self.lengths.observe(make_ask(f"o{number}"), 10)
        self.assertEqual(len(self.lengths), MAX_LENGTH_KEYS)


class StragglerWeightTest(unittest.TestCase):
    """Slow releases gradually lower the weight and good releases raise it again."""

    def test_slow_releases_lower_it_and_good_ones_raise_it(self) -> None:
        weight = StragglerWeight(now=0.0)
        for _ in range(20):
            weight.observe(make_ask(), make_release(), now=0.0)
        falling = []
        for _ in range(10):
            weight.observe(make_ask(), make_release(interval_s=0.1), now=0.0)
            falling.append(weight.get(now=0.0))
        self.assertEqual(falling, sorted(falling, reverse=True))
        self.assertGreater(falling[0], 0.7)
        self.assertLess(falling[-1], 0.25)
        for _ in range(10):
            weight.observe(make_ask(), make_release(), now=0.0)
        self.assertEqual(weight.get(now=0.0), 1.0)

    def test_failures_keep_minimum_weight_and_idle_time_raises_it(self) -> None:
        # Failure: an endpoint that failed gets no more requests, so nothing shows its recovery. Its
        # weight must not reach 0 and must rise while the endpoint is idle.
        weight = StragglerWeight(now=0.0)
        for _ in range(20):
            weight.observe(make_ask(), make_release(failed=True), now=0.0)
        self.assertEqual(weight.get(now=0.0), WEIGHT_FLOOR)
        self.assertGreater(weight.get(now=60.0), 0.5)


class ReleaseRateTest(unittest.TestCase):
    """The rate follows releases while all slots are held."""

    def test_steady_rate_and_stall(self) -> None:
        rate = ReleaseRate()
        for number in range(200):
            now = 0.25 * number
            rate.observe(full=False, released=True, now=now)
            rate.observe(full=True, released=False, now=now)
        end = 0.25 * 199
        self.assertAlmostEqual(rate.estimate(slots=8, service_s=2.0, now=end), 4.0, delta=0.3)
        self.assertLess(rate.estimate(slots=8, service_s=2.0, now=end + 60.0), 2.0)

    def test_idle_time_does_not_count(self) -> None:
        rate = ReleaseRate()
        rate.observe(full=False, released=True, now=0.0)
        self.assertAlmostEqual(rate.estimate(slots=8, service_s=2.0, now=900.0), 4.0)


if __name__ == "__main__":
    unittest.main()
