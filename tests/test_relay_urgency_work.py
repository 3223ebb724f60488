"""Tests that the order of urgencies costs no work, beside one queue in strict order.

An organisation goes before all others with requests of all lengths, so that its long prompts go
before the others' short ones. The engines are slow, or few, or both.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from guavamast.urgency_order import find_worst_windows
from tests.urgency_oracle import StrictQueue
from tests.urgency_simulation import UrgencyWorld
from tests.urgency_workload import DIGEST, PHOTO, Burst, Scenario

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_USED_SHARE = 0.5
"""Share of what the order of urgencies allows that may be used: half."""
MIN_SERVED_SHARE = 0.9
"""Share of what one queue in strict order serves that is served at least."""
MAX_IDLE_SHARE = 1.0 - MIN_SERVED_SHARE
"""Share of the engines' time in which they may idle while a request waits."""
SEED = 1

LONG_PROMPTS = (
    Burst(kind=DIGEST, factor=4.0, from_s=4.0, until_s=16.0),
    Burst(kind=PHOTO, factor=2.5, from_s=7.0, until_s=13.0),
)
"""A lasting burst of long prompts, in it one of shorter ones."""
ALL_AND_PHOTOS = (
    Burst(factor=1.7, from_s=4.0, until_s=16.0),
    Burst(kind=PHOTO, factor=2.0, from_s=7.0, until_s=13.0),
)
"""A burst of all kinds, in it one of shorter prompts."""


def compute_least_share(served: Mapping[int, int], by_queue: Mapping[int, int]) -> float:
    """Return the least share of what the queue serves up to any precedence that is served."""
    least = float("inf")
    served_sum = queue_sum = 0
    for precedence in sorted(by_queue):
        served_sum += served.get(precedence, 0)
        queue_sum += by_queue[precedence]
        least = min(least, served_sum / queue_sum)
    return least


class WorkTestCase(unittest.TestCase):
    """Plays a scenario and compares it with one queue."""

    def check(self, scenario: Scenario) -> None:
        """Check order, idle engines, and what is served beside the queue."""
        world = UrgencyWorld(scenario, seed=SEED)
        world.run()
        worst = find_worst_windows(world.list_outcomes(), world.work)[0]
        by_queue = StrictQueue(scenario).serve(world.asked)
        with self.subTest("order", worst=str(worst)):
            self.assertLessEqual(worst.used_share, MAX_USED_SHARE)
        with self.subTest("idle engines"):
            self.assertLessEqual(world.idle.idle_share, MAX_IDLE_SHARE)
        with self.subTest("served"):
            share = compute_least_share(world.sum_up_served(), by_queue)
            self.assertGreaterEqual(share, MIN_SERVED_SHARE)


class LocalWorkTest(WorkTestCase):
    """Each of thirteen instances decides by what it knows."""

    def test_few_slow_engines_don_t_idle_for_long_prompts_that_go_first(self) -> None:
        """Guards against engines that idle between two prompts while others wait."""
        self.check(Scenario(engines=4, speed=1 / 3, urgent_share=0.3))

    def test_few_engines_at_full_speed_don_t_idle_in_a_burst(self) -> None:
        """Guards against engines that are kept for requests that don't come."""
        self.check(Scenario(engines=4, urgent_share=0.2, bursts=ALL_AND_PHOTOS))

    def test_engines_at_half_speed_don_t_idle_beside_long_prompts(self) -> None:
        """Guards against engines that are kept for requests that don't come."""
        self.check(Scenario(engines=12, speed=1 / 2, urgent_share=0.3, bursts=LONG_PROMPTS))

    def test_engines_at_a_quarter_of_their_speed_serve_in_order(self) -> None:
        """Guards against long urgent prompts that shut out all others at idle engines."""
        self.check(Scenario(engines=12, speed=1 / 4, urgent_share=0.3, bursts=LONG_PROMPTS))

    def test_callers_that_don_t_return_keep_no_engine(self) -> None:
        """Guards against engines that are kept for callers that were refused and don't return."""
        self.check(
            Scenario(
                engines=12,
                speed=1 / 4,
                urgent_share=0.3,
                bursts=LONG_PROMPTS,
                returning_share=0.3,
            )
        )

    def test_an_organisation_with_half_of_all_requests_leaves_no_engine_idle(self) -> None:
        """Guards against as many claims as engines, each for one short request."""
        self.check(Scenario(engines=8, speed=1 / 4, urgent_share=0.5, bursts=ALL_AND_PHOTOS))


class ScheduledWorkTest(WorkTestCase):
    """One scheduler decides for all instances."""

    def test_engines_at_half_speed_don_t_idle_in_a_burst(self) -> None:
        """Guards against engines that are kept for requests that don't come."""
        self.check(
            Scenario(
                engines=12,
                speed=1 / 2,
                load=1.5,
                urgent_share=0.2,
                bursts=ALL_AND_PHOTOS,
                scheduled=True,
            )
        )

    def test_engines_at_a_third_of_their_speed_serve_in_order(self) -> None:
        """Guards against long urgent prompts that shut out all others at idle engines."""
        self.check(
            Scenario(
                engines=12,
                speed=1 / 3,
                load=1.5,
                urgent_share=0.3,
                bursts=LONG_PROMPTS,
                scheduled=True,
            )
        )


if __name__ == "__main__":
    unittest.main()
