"""Property tests of orders: holders that pause at any point, late and lost orders."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from guavamast.fleet_objects import Fencing
from guavamast.order_issuer import OUT_OF_USE_KEY, ROLLOUT_TABLE, decode_out_of_use
from guavamast.platform_client import PlatformAnswerLost, PlatformError
from tests.order_simulation import PARAMETERS, Holder, OrderSimulation, build_fleet

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration

DELAYS = st.lists(
    st.sampled_from([*[0.0] * 12, 1.0, 9.0, 25.0, 40.0, 200.0]), min_size=20, max_size=60
)
FAULTS = st.lists(st.sampled_from([*["ok"] * 6, "down", "lost", "cut"]), max_size=20)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["a", "b", "both"]),
        st.sampled_from(["1", "2", "3"]),
        st.sampled_from([0.0, 1.0, 20.0, 31.0, 60.0, 155.0]),
    ),
    min_size=3,
    max_size=15,
)
IN_TIME = st.sampled_from(["ok", "lost", "limited", 1.0, 60.0, PARAMETERS.order_time_s])
ANY_TIME = st.sampled_from(["ok", "lost", "limited", 60.0, 500.0, 3000.0])
RATES = st.sampled_from([0.996, 1.0, 1.004])


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """One drawn sequence of events."""

    fencing: Fencing
    rates: tuple[float, float]
    delays: list[float]
    platform_faults: list[str]
    order_faults: list[str | float]
    steps: list[tuple[str, str, float]]


def draw_scenarios(order_faults: st.SearchStrategy) -> st.SearchStrategy[Scenario]:
    """Return a strategy for scenarios with these order faults."""
    return st.builds(
        Scenario,
        fencing=st.sampled_from(list(Fencing)),
        rates=st.tuples(RATES, RATES),
        delays=DELAYS,
        platform_faults=FAULTS,
        order_faults=st.lists(order_faults, min_size=2, max_size=12),
        steps=STEPS,
    )


class ScenarioRunner:
    """Runs one scenario with two holders."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.simulation = OrderSimulation(fencing=scenario.fencing, delays=scenario.delays)
        self.simulation.platform.faults.extend(scenario.platform_faults)
        self.holders = {
            "a": Holder(self.simulation, "a", rate=scenario.rates[0]),
            "b": Holder(self.simulation, "b", rate=scenario.rates[1], offset=5000.0),
        }
        for number, fault in enumerate(scenario.order_faults):
            self.holders["ab"[number % 2]].sender.faults.append(fault)

    def build_fleet(self, version: str) -> Configuration:
        """Return the fleet with this version of its model."""
        return build_fleet(engines=1, fencing=self.scenario.fencing, version=version)

    async def run_steps(self) -> None:
        """Take all steps; ``both`` interleaves the two holders at each message."""
        for who, version, pause_s in self.scenario.steps:
            names = ["a", "b"] if who == "both" else [who]
            fleet = self.build_fleet(version)
            await asyncio.gather(*(self.step(name, fleet) for name in names))
            self.simulation.advance(pause_s)

    async def step(self, name: str, fleet: Configuration) -> None:
        """Take one step of one holder; the platform may fail."""
        try:
            # The first of these steps takes the endpoint out of use, the second sends the order.
            await self.holders[name].run(fleet, steps=2, pause_s=0.0)
        except (PlatformError, PlatformAnswerLost):
            return

    async def converge(self) -> None:
        """End all faults and let one holder continue alone."""
        self.simulation.delays.clear()
        self.simulation.platform.faults.clear()
        self.holders["b"].sender.faults.clear()
        self.simulation.advance(5000.0)
        await self.holders["b"].run(self.build_fleet("9"), steps=120)


class OrderProperties(unittest.TestCase):
    """Invariants while holders pause and messages are late."""

    @given(draw_scenarios(IN_TIME))
    def test_no_order_takes_effect_after_one_of_a_later_holder(self, scenario: Scenario) -> None:
        # Orders in this test arrive within the longest order time that the deployment states.
        runner = ScenarioRunner(scenario)
        asyncio.run(runner.run_steps())
        runner.simulation.advance(5000.0)
        fencing = [arrival.order.fencing for arrival in runner.simulation.effects]
        self.assertEqual(fencing, sorted(fencing))

    @given(draw_scenarios(IN_TIME))
    def test_one_order_at_a_time_under_each_number(self, scenario: Scenario) -> None:
        runner = ScenarioRunner(scenario)
        asyncio.run(runner.run_steps())
        runner.simulation.advance(5000.0)
        owners: dict[int, str] = {}
        for name, holder in runner.holders.items():
            for order in holder.sender.sent:
                self.assertEqual(owners.setdefault(order.fencing, name), name)
        if scenario.fencing is Fencing.IGNORED:
            effects = sorted(runner.simulation.effects, key=lambda arrival: arrival.sent_at)
            for earlier, later in zip(effects, effects[1:], strict=False):
                self.assertLessEqual(earlier.at, later.sent_at)

    @given(draw_scenarios(ANY_TIME))
    def test_converges_to_the_configuration_after_any_faults(self, scenario: Scenario) -> None:
        runner = ScenarioRunner(scenario)

        async def play() -> None:
            await runner.run_steps()
            await runner.converge()

        asyncio.run(play())
        self.assertEqual(runner.simulation.reported["e0"], {"m": "9"})
        out = runner.simulation.platform.find_row(ROLLOUT_TABLE, OUT_OF_USE_KEY)
        self.assertEqual(decode_out_of_use(out), frozenset())
        self.assertFalse(runner.holders["b"].giver.is_out_of_use("e0"))
