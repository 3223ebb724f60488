"""Tests that the order of urgencies costs no work, beside one queue in strict order.

An organisation goes before all others with requests of all lengths, so that its long prompts go
before the others' short ones. The engines are slow, or few, or both.
"""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from guavamast.urgency_order import find_worst_windows
from tests.test_relay_urgency_margin import (
    ALL_AND_PHOTOS,
    LONG_PROMPTS,
    MAX_USED_SHARE,
    MarginTestCase,
)
from tests.urgency_oracle import StrictQueue
from tests.urgency_simulation import UrgencyWorld
from tests.urgency_workload import Scenario

if TYPE_CHECKING:
    from collections.abc import Mapping

MIN_SERVED_SHARE = 0.9
"""Share of what one queue in strict order serves that is served at least."""
MAX_IDLE_SHARE = 1.0 - MIN_SERVED_SHARE
"""Share of the engines' time in which they may idle while a request waits."""
SEED = 1

SCENARIOS = {
    "four engines at a third of their speed": Scenario(engines=4, speed=1 / 3, urgent_share=0.3),
    "four engines at full speed": Scenario(engines=4, urgent_share=0.2, bursts=ALL_AND_PHOTOS),
    "half speed": Scenario(engines=12, speed=1 / 2, urgent_share=0.3, bursts=LONG_PROMPTS),
    "quarter speed": Scenario(engines=12, speed=1 / 4, urgent_share=0.3, bursts=LONG_PROMPTS),
    "quarter speed, callers that don't return": Scenario(
        engines=12, speed=1 / 4, urgent_share=0.3, bursts=LONG_PROMPTS, returning_share=0.3
    ),
    "half of all requests go before the others": Scenario(
        engines=8, speed=1 / 4, urgent_share=0.5, bursts=ALL_AND_PHOTOS
    ),
    "a scheduler at half speed": Scenario(
        engines=12,
        speed=1 / 2,
        load=1.5,
        urgent_share=0.2,
        bursts=ALL_AND_PHOTOS,
        scheduled=True,
    ),
    "a scheduler at a third of the speed": Scenario(
        engines=12,
        speed=1 / 3,
        load=1.5,
        urgent_share=0.3,
        bursts=LONG_PROMPTS,
        scheduled=True,
    ),
}


def compute_least_share(served: Mapping[int, int], by_queue: Mapping[int, int]) -> float:
    """Return the least share of what the queue serves up to any precedence that is served."""
    least = float("inf")
    served_sum = queue_sum = 0
    for precedence in sorted(by_queue):
        served_sum += served.get(precedence, 0)
        queue_sum += by_queue[precedence]
        least = min(least, served_sum / queue_sum)
    return least


class OrderAndWorkTest(MarginTestCase):
    """Plays scenarios in which more is asked for than can be served."""

    def check_work(self, scenario: Scenario) -> None:
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

    def test_order_and_work_hold_where_more_is_asked_for_than_can_be_served(self) -> None:
        """Guards against engines that idle, or less urgent work, while urgent requests wait."""
        for name, scenario in SCENARIOS.items():
            with self.subTest(name):
                self.check_work(scenario)
        with self.subTest("urgent kinds alone exceed two slow engines"):
            self.check(Scenario(engines=2, speed=1 / 3, bursts=ALL_AND_PHOTOS))


if __name__ == "__main__":
    unittest.main()
