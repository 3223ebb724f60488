"""Tests that urgent requests don't get nothing while less urgent work begins, with a margin.

Each test counts as callers do: a request counts once, over all its attempts, and what began less
urgently in the same five seconds is added up over all instances.
"""

from __future__ import annotations

import unittest

from guavamast.urgency_order import find_worst_windows
from tests.urgency_simulation import UrgencyWorld
from tests.urgency_workload import DIGEST, PHOTO, Burst, Scenario

MAX_USED_SHARE = 0.5
"""Share of what is allowed that may be used: half."""
MIN_SERVED_SHARE = 0.25
"""Share of the mean served share that each kind reaches at least."""
SEEDS = range(1, 3)

LONG_PROMPTS = (
    Burst(kind=DIGEST, factor=4.0, from_s=4.0, until_s=16.0),
    Burst(kind=PHOTO, factor=2.5, from_s=7.0, until_s=13.0),
)
"""A lasting burst of the least urgent kind, in it one of the kind between."""
ALL_AND_PHOTOS = (
    Burst(factor=1.7, from_s=4.0, until_s=16.0),
    Burst(kind=PHOTO, factor=2.0, from_s=7.0, until_s=13.0),
)
"""A burst of all kinds, in it one of the kind between."""


class MarginTestCase(unittest.TestCase):
    """Plays a scenario with several seeds."""

    def check(self, scenario: Scenario) -> None:
        """Check the order of urgencies with a margin, and that each kind is served."""
        for seed in SEEDS:
            world = UrgencyWorld(scenario, seed=seed)
            world.run()
            worst = find_worst_windows(world.list_outcomes(), world.work)[0]
            served = world.count_served()
            with self.subTest(seed=seed, worst=str(worst), served=str(served)):
                self.assertLessEqual(worst.used_share, MAX_USED_SHARE)
                mean = sum(served.values()) / len(served)
                self.assertGreaterEqual(min(served.values()), MIN_SERVED_SHARE * mean)


class LocalMarginTest(MarginTestCase):
    """Each of thirteen instances decides by what it knows."""

    def test_a_lasting_burst_of_long_prompts_takes_nothing_from_shorter_ones(self) -> None:
        """Guards against less urgent work that begins beside a steady share of rejections."""
        self.check(Scenario(bursts=LONG_PROMPTS))

    def test_fewer_engines_serve_the_urgent_kinds_first(self) -> None:
        """Guards against engines given to long prompts, out of reach of urgent requests."""
        self.check(Scenario(engines=4, bursts=ALL_AND_PHOTOS))

    def test_slow_engines_serve_the_urgent_kinds_first(self) -> None:
        """Guards against rejections for lateness beside long prompts that begin."""
        self.check(Scenario(speed=1 / 3))

    def test_engines_at_half_speed_serve_the_urgent_kinds_first_in_a_burst(self) -> None:
        """Guards against an order that holds at one speed of engines only."""
        self.check(Scenario(speed=1 / 2, bursts=ALL_AND_PHOTOS))


class ScheduledMarginTest(MarginTestCase):
    """One scheduler decides for 112 instances."""

    def test_a_lasting_burst_of_long_prompts_takes_nothing_from_shorter_ones(self) -> None:
        """Guards against less urgent work that begins beside a steady share of rejections."""
        self.check(Scenario(engines=24, load=4.0, bursts=LONG_PROMPTS, scheduled=True))

    def test_fewer_engines_serve_the_urgent_kinds_first(self) -> None:
        """Guards against engines given to long prompts, out of reach of urgent requests."""
        self.check(Scenario(engines=16, load=4.0, bursts=ALL_AND_PHOTOS, scheduled=True))

    def test_slow_engines_serve_the_urgent_kinds_first(self) -> None:
        """Guards against rejections for lateness beside long prompts that begin."""
        self.check(Scenario(engines=24, load=4.0, speed=1 / 3, scheduled=True))


if __name__ == "__main__":
    unittest.main()
