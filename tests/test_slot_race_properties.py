"""Properties of a request's asks at several keepers."""

from __future__ import annotations

import unittest

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.slot_race import RaceRules, SlotRace
from guavamast.slots import Ask, Queued

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["queued", "granted", "refused", "close"]),
        st.integers(0, 5),
        st.sampled_from([0.0, 0.01, 1.0]),
    ),
    max_size=30,
)
CROSSED_GRANTS = [("queued", 0, 1.0), ("granted", 1, 0.0), ("close", 0, 0.0), ("granted", 0, 0.0)]


def make_ask(number: int) -> Ask:
    """Return the ask of a number, at the endpoint of the same number."""
    return Ask(
        ask_id=str(number),
        entry="i",
        endpoint=f"e{number}",
        organisation="o",
        class_name="c",
        tier=1,
        kind="chat",
        model="m",
        prompt_tokens=1,
        max_tokens=1,
        deadline=10.0,
    )


class SlotRaceProperties(unittest.TestCase):
    """No grant is used twice or leaked, whatever messages cross in transit."""

    @example(steps=CROSSED_GRANTS)
    @given(steps=STEPS)
    def test_one_grant_is_used_and_all_others_are_released(self, steps: list) -> None:
        """Guards against a request that runs at two engines.

        Two keepers grant at nearly the same time, the second while its withdrawal is in transit.
        """
        rules = RaceRules(max_open_asks=2, wait_s=0.05, ask_limit=4)
        race = SlotRace(rules=rules)
        race.record_ask("0", "e0")
        asked = 1
        used: list[str] = []
        withdrawn: set[str] = set()
        for step, number, wait_s in steps:
            ask = make_ask(number % asked)
            another = False
            if step == "queued":
                another = race.record_queued(Queued(ask=ask, estimated_wait_s=wait_s))
            elif step == "refused":
                another = race.record_refused(ask.ask_id)
            elif step == "close":
                withdrawn |= set(race.close())
            elif race.record_granted(ask.ask_id):
                self.assertNotIn(ask.ask_id, withdrawn)
                used.append(ask.ask_id)
            if another:
                self.assertFalse(used)
                race.record_ask(str(asked), f"e{asked}")
                asked += 1
            self.assertLessEqual(len(used), 1)
            self.assertLessEqual(asked, rules.ask_limit)
            self.assertEqual(race.winner, used[0] if used else "")

    def test_short_wait_is_not_raced(self) -> None:
        race = SlotRace(rules=RaceRules(wait_s=0.05))
        race.record_ask("0", "e0")
        self.assertFalse(race.record_queued(Queued(ask=make_ask(0), estimated_wait_s=0.01)))
        self.assertTrue(race.record_queued(Queued(ask=make_ask(0), estimated_wait_s=0.06)))

    def test_rejected_ask_waits_for_the_other_open_ask(self) -> None:
        race = SlotRace(rules=RaceRules())
        race.record_ask("0", "e0")
        race.record_ask("1", "e1")
        self.assertFalse(race.record_refused("0"))
        self.assertTrue(race.is_waiting)
        self.assertTrue(race.record_refused("1"))
