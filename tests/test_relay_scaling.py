"""Tests of the orders for engines under the loads that they answer."""

from __future__ import annotations

import math
import unittest
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.relay.provider import CallOutcome, EngineOrder
from guavamast.relay.scaling import GroupState, MarginalPolicy, OrderBook
from tests.scaling_policies import StaticPolicy
from tests.scaling_simulation import DOMAINS, SETTINGS, ScalingSimulation, build_group

if TYPE_CHECKING:
    from collections.abc import Callable

BEGIN_S = 12.0
"""Seconds after the start at which callers come."""
DAY_S = 60.0


def play(
    find_load: Callable[[float], float], *, policy: MarginalPolicy | StaticPolicy | None = None
) -> ScalingSimulation:
    """Return a simulation of a load that begins some seconds after the start."""
    return ScalingSimulation(
        policy=policy or MarginalPolicy(),
        find_load=lambda now: find_load(now - BEGIN_S) if now >= BEGIN_S else 0.0,
    )


class LoadPatternTest(unittest.TestCase):
    """Each pattern of load gets its engines, for less than the engines found at the start cost."""

    def setUp(self) -> None:
        self.standing_cost = 32 * DAY_S * sum(SETTINGS.domain_prices.values()) / len(DOMAINS)

    def test_a_burst_within_the_time_to_start_is_served(self) -> None:
        """Guards against engines that come only when the burst is over."""
        simulation = play(lambda now: 24.0 if 10.0 <= now < 14.0 else 8.0)
        outcome = simulation.run(DAY_S)
        self.assertGreater(outcome.served_share, 0.99)
        self.assertLess(outcome.cost, 0.5 * self.standing_cost)

    def test_a_wave_is_served(self) -> None:
        """Guards against engines that are given back in each trough and missing at each crest."""
        simulation = play(lambda now: 12.0 * (1.0 + 0.5 * math.sin(now * 2 * math.pi / 11.0)))
        outcome = simulation.run(DAY_S)
        self.assertGreater(outcome.served_share, 0.999)
        self.assertLess(outcome.orders, 60)

    def test_a_domain_taken_away_in_a_burst_leaves_enough(self) -> None:
        """Guards against reclaimable engines of which one failure domain's loss can't be borne."""
        simulation = play(lambda now: 20.0 if 10.0 <= now < 20.0 else 10.0)
        simulation.run(BEGIN_S + 12.0)
        simulation.reclaim("b", for_s=9.5)
        outcome = simulation.run(DAY_S)
        self.assertGreater(outcome.served_share, 0.99)

    def test_lasting_engines_step_in_where_no_others_are_to_be_had(self) -> None:
        """Guards against a load that grows while no reclaimable engines are to be had anywhere."""
        simulation = play(lambda now: 6.0 if now < 12.0 else 40.0)
        simulation.run(BEGIN_S + 11.0)
        for domain in DOMAINS:
            simulation.reclaim(domain, for_s=20.0, everywhere=True)
        simulation.run(BEGIN_S + 25.0)
        self.assertGreater(simulation.count_ready(reclaimable=False), 30)

    def test_a_long_quiet_gives_engines_back(self) -> None:
        """Guards against engines that are paid for and do nothing."""
        simulation = play(lambda _: 3.0)
        outcome = simulation.run(3 * DAY_S)
        self.assertLess(simulation.count_ready(), 14)
        self.assertGreater(simulation.count_ready(), 5)
        self.assertEqual(outcome.served_share, 1.0)

    def test_no_engine_goes_before_its_successor_serves(self) -> None:
        """Guards against a gap while the kind of engines changes."""
        simulation = play(lambda _: 10.0)
        while simulation.now < 30.0:
            simulation.run(simulation.now + 0.25)
            self.assertGreaterEqual(simulation.count_ready(), 24, simulation.now)

    def test_engines_found_one_after_another_are_all_counted(self) -> None:
        """Guards against orders by a table that is not complete yet, just after the start."""
        simulation = play(lambda _: 8.0)
        late = simulation.engines[12:]
        for place, engine in enumerate(late):
            engine.ready_at = 0.5 + 0.1 * place
        simulation.run(BEGIN_S)
        self.assertGreaterEqual(simulation.count_ready(), 32)

    def test_the_next_holder_goes_on_with_what_is_ordered(self) -> None:
        """Guards against a next holder that gives engines back, or never orders any again."""
        simulation = play(lambda now: 14.0 if now < 40.0 else 25.0)
        simulation.run(BEGIN_S + 25.0)
        before = simulation.count_ready()
        simulation.replace_holder(MarginalPolicy())
        while simulation.now < BEGIN_S + 39.0:
            simulation.run(simulation.now + 0.25)
            self.assertGreaterEqual(simulation.count_ready(), 0.85 * before)
        simulation.run(BEGIN_S + 60.0)
        self.assertGreater(simulation.count_ready(), 1.1 * before)

    def test_the_standing_number_costs_more_and_serves_less_of_a_burst(self) -> None:
        """Guards against a policy that is worse than the engines found at the start."""

        def find_load(now: float) -> float:
            return 40.0 if 5.0 <= now < 14.0 else 14.0

        outcome = play(find_load).run(DAY_S)
        standing = play(find_load, policy=StaticPolicy(lasting=8, reclaimable=0)).run(DAY_S)
        self.assertLess(outcome.cost, standing.cost)
        self.assertGreater(outcome.served_share, standing.served_share)


class OrderBookTest(unittest.TestCase):
    """Orders stay within their bounds, and are repeated until they are carried out."""

    def place(
        self, book: OrderBook, wanted: list[EngineOrder], ready: dict[bool, int], *, now: float
    ) -> list[EngineOrder]:
        states = [
            GroupState(
                group=build_group("a", reclaimable=reclaimable),
                ready=count,
                leaving=0,
                ordered=book.find_order(build_group("a", reclaimable=reclaimable)),
            )
            for reclaimable, count in ready.items()
        ]
        return book.place(wanted, states, SETTINGS, now=now)

    @given(
        steps=st.lists(
            st.tuples(
                st.booleans(),
                st.integers(min_value=0, max_value=40),
                st.sampled_from((CallOutcome.DONE, CallOutcome.UNKNOWN, CallOutcome.CONFLICT)),
            ),
            min_size=1,
            max_size=12,
        ),
        present=st.integers(min_value=0, max_value=15),
    )
    @settings(max_examples=200)
    def test_both_kinds_together_stay_within_the_bounds(
        self, steps: list[tuple[bool, int, CallOutcome]], present: int
    ) -> None:
        """Guards against two orders under way that together exceed what a domain may have."""
        book = OrderBook()
        now = 0.0
        possible = {False: {present}, True: {0}}
        ready = {False: present, True: 0}
        for reclaimable, engines, outcome in steps:
            now += 10.0
            order = EngineOrder(group=build_group("a", reclaimable=reclaimable), engines=engines)
            for placed in self.place(book, [order], ready, now=now):
                book.record_written()
                kind = placed.group.reclaimable
                possible[kind].add(placed.engines)
                most = max(possible[not kind] | {ready[not kind]}) + placed.engines
                if placed.engines > ready[kind]:
                    self.assertLessEqual(most, SETTINGS.max_engines)
                book.record_outcome(placed, outcome, now=now)
                if outcome is CallOutcome.CONFLICT:
                    possible[kind] = {ready[kind]}
                if outcome is CallOutcome.DONE:
                    ready[kind] = placed.engines
                    possible[kind] = {placed.engines}

    def test_the_next_holder_repeats_what_may_not_have_been_carried_out(self) -> None:
        """Guards against an order that was written, and whose call nobody has made."""
        book = OrderBook()
        order = EngineOrder(group=build_group("a", reclaimable=True), engines=4)
        self.assertEqual(self.place(book, [order], {False: 2, True: 0}, now=1.0), [order])
        successor = OrderBook()
        successor.load(book.build_records())
        self.assertEqual(self.place(successor, [order], {False: 2, True: 0}, now=2.0), [order])

    def test_an_order_without_engines_to_be_had_waits(self) -> None:
        """Guards against a call in each step while none are to be had."""
        book = OrderBook()
        order = EngineOrder(group=build_group("a", reclaimable=True), engines=4)
        calls = 0
        for step in range(40):
            now = 0.25 * step
            for placed in self.place(book, [order], {False: 2, True: 0}, now=now):
                calls += 1
                book.record_outcome(placed, CallOutcome.CONFLICT, now=now)
        self.assertFalse(book.is_available(order.group))
        self.assertLess(calls, 7)


if __name__ == "__main__":
    unittest.main()
