"""Properties of the queue that generated histories of a keeper rarely reach."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast._round_robin import QUANTUM, RoundRobin, WaitingAsk
from guavamast.fleet_objects import Configuration, ServiceClass
from guavamast.queues import MAX_CREDIT, MAX_WORK, Start, WaitingQueue
from guavamast.slots import Ask

COST_LIMIT = 5_000.0


def make_ask(number: int, *, organisation: str = "o", class_name: str = "c", tier: int = 1) -> Ask:
    """Return an ask."""
    return Ask(
        ask_id=f"{class_name}{organisation}{number}",
        entry="a",
        endpoint="e",
        organisation=organisation,
        class_name=class_name,
        tier=tier,
        kind="chat",
        model="m",
        prompt_tokens=1,
        max_tokens=1,
        deadline=1e9,
    )


def make_waiting(number: int, *, organisation: str, cost: float) -> WaitingAsk:
    """Return a waiting ask of that cost."""
    return WaitingAsk(
        ask=make_ask(number, organisation=organisation),
        sequence=number,
        arrived_at=0.0,
        cost=cost,
        latest_start=0.0,
        target_start=0.0,
    )


class RoundRobinPropertiesTest(unittest.TestCase):
    """Backlogged organisations get the same work, whatever their asks cost."""

    @given(
        st.lists(
            st.lists(st.floats(1.0, COST_LIMIT), min_size=1, max_size=5), min_size=2, max_size=5
        ),
        st.integers(1, 200),
    )
    def test_backlogged_organisations_share_work(
        self, costs: list[list[float]], starts: int
    ) -> None:
        round_robin = RoundRobin()
        served = dict.fromkeys(map(str, range(len(costs))), 0.0)
        number = 0
        for organisation, ask_costs in enumerate(costs):
            for _ in range(2):
                number += 1
                round_robin.add(
                    make_waiting(number, organisation=str(organisation), cost=ask_costs[0])
                )
        for _ in range(starts):
            waiting = round_robin.pop_next()
            organisation = waiting.ask.organisation
            served[organisation] += waiting.cost
            number += 1
            ask_costs = costs[int(organisation)]
            round_robin.add(
                make_waiting(
                    number, organisation=organisation, cost=ask_costs[number % len(ask_costs)]
                )
            )
            for deficit in round_robin.list_deficits():
                self.assertTrue(-COST_LIMIT < deficit <= QUANTUM)
        spread = max(served.values()) - min(served.values())
        self.assertLessEqual(spread, COST_LIMIT + 2 * QUANTUM)


def make_queue(share: float) -> WaitingQueue:
    """Return a queue with two classes of the same share."""
    classes = {
        name: ServiceClass(
            name=name,
            tier=tier,
            first_token_ms=1.0,
            token_interval_ms=1.0,
            completion_s=1.0,
            guaranteed_share=share,
            queue_limit=1000,
        )
        for tier, name in enumerate(["high", "low"], start=1)
    }
    return WaitingQueue(configuration=Configuration(version=1, classes=classes))


class WaitingQueuePropertiesTest(unittest.TestCase):
    """The credit of a class is bounded."""

    @given(
        st.lists(st.tuples(st.sampled_from(["high", "low"]), st.booleans()), max_size=60),
        st.sampled_from([0.1, 0.5, 1.0]),
    )
    def test_credit_is_bounded(self, starts: list[tuple[str, bool]], share: float) -> None:
        queue = make_queue(share)
        for number, (name, strict) in enumerate([("low", True), *starts]):
            ask = make_ask(number, class_name=name)
            queue.add(ask, cost=1.0, latest_start=1e9, target_start=1e9, now=0.0)
            high = make_ask(number, organisation="other", class_name="high")
            queue.add(high, cost=1.0, latest_start=1e9, target_start=1e9, now=0.0)
            start = queue.pop_next(rate=1.0, slots=4, now=0.0, strict=strict)
            self.assertFalse(strict and start.by_share)
            for service_class in queue.list_classes():
                self.assertTrue(-MAX_WORK <= service_class.credit <= MAX_CREDIT)

    @given(
        st.lists(
            st.tuples(st.floats(1.0, COST_LIMIT), st.integers(0, 3)), min_size=150, max_size=150
        ),
        st.sampled_from([0.1, 0.3, 0.5]),
        st.integers(1, 40),
        st.sampled_from([0.0, 1e9]),
    )
    def test_waiting_class_does_not_starve(
        self, starts: list[tuple[float, int]], share: float, slots: int, latest_start: float
    ) -> None:
        queue = make_queue(share)
        running: list[Start] = []
        gap = 0
        for number, (cost, finished) in enumerate([(1.0, 0), *starts]):
            for name in ("high", "low"):
                ask = make_ask(number, class_name=name)
                low_cost = cost if name == "low" else 1.0
                queue.add(ask, cost=low_cost, latest_start=latest_start, target_start=0.5, now=0.0)
            start = queue.pop_next(rate=1.0, slots=slots, now=0.0)
            running += [start] if start.by_share else []
            gap = 0 if start.waiting.ask.class_name == "low" else gap + 1
            if len(running) < max(1.0, share * slots):
                self.assertLessEqual(gap, (MAX_CREDIT + MAX_WORK) / share + 1)
            else:
                gap = 0
            for _ in range(min(finished, len(running))):
                queue.finish(running.pop(), cost=1.0)
            self.assertLess(len(running), max(1.0, share * slots) + 1)

    def test_long_start_is_charged_its_work_and_refunded_when_unused(self) -> None:
        queue = make_queue(0.5)
        for number in range(9):
            ask = make_ask(number, class_name="high")
            queue.add(ask, cost=10.0, latest_start=1e9, target_start=1e9, now=0.0)
        ask = make_ask(0, class_name="low")
        queue.add(ask, cost=50.0, latest_start=1e9, target_start=1e9, now=0.0)
        (low,) = [
            service_class for service_class in queue.list_classes() if service_class.tier == 2
        ]
        start = queue.pop_next(rate=1.0, slots=4, now=0.0)
        while not start.by_share:
            start = queue.pop_next(rate=1.0, slots=4, now=0.0)
        self.assertAlmostEqual(start.charged, 5.0)
        credit = low.credit
        queue.finish(start, cost=0.0)
        self.assertAlmostEqual(low.credit, credit + 5.0)


if __name__ == "__main__":
    unittest.main()
