"""Property tests of orders: holders that pause anywhere, late and lost orders."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from guavamast.order_giver import OUT_KEY, ROLLOUT_TABLE, read_out_row
from guavamast.platform_client import PlatformAnswerLost, PlatformError
from guavamast.world import Fencing
from tests.order_world import TERMS, Holder, World, make_fleet

if TYPE_CHECKING:
    from guavamast.world import Configuration

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
IN_TIME = st.sampled_from(["ok", "lost", "limited", 1.0, 60.0, TERMS.order_time_s])
ANY_TIME = st.sampled_from(["ok", "lost", "limited", 60.0, 500.0, 3000.0])
RATES = st.sampled_from([0.996, 1.0, 1.004])


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One drawn course of events."""

    fencing: Fencing
    rates: tuple[float, float]
    delays: list[float]
    faults: list[str]
    fates: list[str | float]
    steps: list[tuple[str, str, float]]


def draw_runs(fates: st.SearchStrategy) -> st.SearchStrategy[Run]:
    """Return courses whose orders meet these fates."""
    return st.builds(
        Run,
        fencing=st.sampled_from(list(Fencing)),
        rates=st.tuples(RATES, RATES),
        delays=DELAYS,
        faults=FAULTS,
        fates=st.lists(fates, min_size=2, max_size=12),
        steps=STEPS,
    )


class Course:
    """Plays one course of events with two holders."""

    def __init__(self, run: Run) -> None:
        self.run = run
        self.world = World(fencing=run.fencing, delays=run.delays)
        self.world.platform.faults.extend(run.faults)
        self.holders = {
            "a": Holder(self.world, "a", rate=run.rates[0]),
            "b": Holder(self.world, "b", rate=run.rates[1], offset=5000.0),
        }
        for number, fate in enumerate(run.fates):
            self.holders["ab"[number % 2]].sender.fates.append(fate)

    def make_fleet(self, version: str) -> Configuration:
        """Return the fleet with this version of its model."""
        return make_fleet(engines=1, fencing=self.run.fencing, version=version)

    async def play(self) -> None:
        """Take all steps; ``both`` runs the two holders in turns at each message."""
        for who, version, pause_s in self.run.steps:
            names = ["a", "b"] if who == "both" else [who]
            fleet = self.make_fleet(version)
            await asyncio.gather(*(self.step(name, fleet) for name in names))
            self.world.advance(pause_s)

    async def step(self, name: str, fleet: Configuration) -> None:
        """Take one step of one holder, whose platform may fail."""
        try:
            # The endpoint is taken out by the first of these steps and ordered by the second.
            await self.holders[name].run(fleet, steps=2, pause_s=0.0)
        except (PlatformError, PlatformAnswerLost):
            return

    async def settle(self) -> None:
        """Let all faults end and one holder go on alone."""
        self.world.delays.clear()
        self.world.platform.faults.clear()
        self.holders["b"].sender.fates.clear()
        self.world.advance(5000.0)
        await self.holders["b"].run(self.make_fleet("9"), steps=120)


class OrderProperties(unittest.TestCase):
    """What holds whenever holders pause and messages are late."""

    @given(draw_runs(IN_TIME))
    def test_no_order_takes_effect_after_one_of_a_later_holder(self, run: Run) -> None:
        # Orders here arrive within the longest order time that the deployment states.
        course = Course(run)
        asyncio.run(course.play())
        course.world.advance(5000.0)
        fencing = [arrival.order.fencing for arrival in course.world.effects]
        self.assertEqual(fencing, sorted(fencing))

    @given(draw_runs(IN_TIME))
    def test_one_order_at_a_time_under_each_number(self, run: Run) -> None:
        course = Course(run)
        asyncio.run(course.play())
        course.world.advance(5000.0)
        owners: dict[int, str] = {}
        for name, holder in course.holders.items():
            for order in holder.sender.sent:
                self.assertEqual(owners.setdefault(order.fencing, name), name)
        if run.fencing is Fencing.IGNORED:
            effects = sorted(course.world.effects, key=lambda arrival: arrival.sent_at)
            for earlier, later in zip(effects, effects[1:], strict=False):
                self.assertLessEqual(earlier.at, later.sent_at)

    @given(draw_runs(ANY_TIME))
    def test_ends_with_the_configuration_whatever_happened(self, run: Run) -> None:
        course = Course(run)

        async def play() -> None:
            await course.play()
            await course.settle()

        asyncio.run(play())
        self.assertEqual(course.world.reported["e0"], {"m": "9"})
        out = course.world.platform.find_row(ROLLOUT_TABLE, OUT_KEY)
        self.assertEqual(read_out_row(out), frozenset())
        self.assertFalse(course.holders["b"].giver.is_out("e0"))
