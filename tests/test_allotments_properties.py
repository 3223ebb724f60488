"""Properties of the split of a limit among entries."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.allotments import CAUTION_S, Allotment, AllotmentAsk, AllotmentDispatcher
from guavamast.world import Contract, Organisation

RATE = 3.0
CONCURRENT = 7
ORGANISATION = Organisation(
    name="bakers",
    key_sha256="",
    contract=Contract(requests_per_second=RATE, concurrent=CONCURRENT, classes={}),
)
STEPS = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.sampled_from([0.0, 0.2, 1.0, 3.0]),
        st.integers(0, CONCURRENT),
        st.sampled_from([0.0, 0.1, 1.0, 8.0]),
        st.booleans(),
    ),
    max_size=40,
)
"""Entry, rate and concurrency that it wants, seconds until it asks, whether its answer is lost."""

CUT_IS_LOST = [
    (0, 3.0, 7, 0.0, False),
    (1, 3.0, 7, 0.1, False),
    (0, 3.0, 7, 0.1, True),
    (1, 3.0, 7, 0.1, False),
]
"""Entry 0 holds all, and the answer that cuts its part for entry 1 is lost."""
SHORTER_VALIDITY_IS_LOST = [
    (0, 1.0, 3, 0.0, False),
    (1, 3.0, 7, 0.1, False),
    (0, 3.0, 7, 0.1, True),
    (1, 3.0, 7, 3.0, False),
]
"""The lost answer would have ended before the allotment that entry 0 goes on to use."""


class Holdings:
    """What each entry may use: its last answer that came, until that runs out."""

    def __init__(self) -> None:
        self.last: dict[int, tuple[float, Allotment]] = {}

    def find(self, entry: int, now: float) -> tuple[float, int]:
        until, allotment = self.last.get(entry, (float("-inf"), None))
        return (allotment.rate, allotment.concurrent) if now < until else (0.0, 0)

    def add_up(self, now: float) -> tuple[float, int]:
        held = [self.find(entry, now) for entry in self.last]
        return sum(rate for rate, _ in held), sum(concurrent for _, concurrent in held)


class AllotmentProperties(unittest.TestCase):
    """The allotments in use never add up to more than the limit."""

    @example(steps=CUT_IS_LOST, moved_after=None)
    @example(steps=SHORTER_VALIDITY_IS_LOST, moved_after=None)
    @given(steps=STEPS, moved_after=st.none() | st.integers(0, 40))
    def test_allotments_in_use_stay_within_the_limit(
        self, steps: list, moved_after: int | None
    ) -> None:
        """An organisation gets its limit twice.

        An answer that cuts an allotment is lost and its entry uses the old one to the end; or the
        home moves, and the new one doesn't know of the allotments that the last one gave.
        """
        home = AllotmentDispatcher()
        holdings = Holdings()
        now = 0.0
        moved = False
        for index, (entry, rate, concurrent, wait, lost) in enumerate(steps):
            now += wait
            if index == moved_after:
                home = AllotmentDispatcher()
                home.record_view_change(now=now)
                moved = True
            held_rate, held_concurrent = holdings.find(entry, now)
            ask = AllotmentAsk(
                organisation="bakers",
                entry=f"i{entry}",
                sequence=index,
                rate_wanted=rate,
                concurrent_wanted=concurrent,
                held_rate=held_rate,
                held_concurrent=held_concurrent,
            )
            answer = home.ask(ask, ORGANISATION, now=now)
            if not lost:
                holdings.last[entry] = (now + answer.valid_for_s, answer)
            factor = 2 if moved else 1
            total_rate, total_concurrent = holdings.add_up(now)
            self.assertLessEqual(total_rate, factor * RATE + 1e-6)
            self.assertLessEqual(total_concurrent, factor * CONCURRENT)

    @given(steps=STEPS)
    def test_first_home_after_a_move_is_exact_again_after_the_caution(self, steps: list) -> None:
        home = AllotmentDispatcher()
        home.record_view_change(now=0.0)
        total = 0.0
        for index, (_, rate, concurrent, _, _) in enumerate(steps):
            ask = AllotmentAsk(
                organisation="bakers",
                entry=f"i{index}",
                sequence=1,
                rate_wanted=rate,
                concurrent_wanted=concurrent,
                tokens_wanted=9.0,
            )
            total += home.ask(ask, ORGANISATION, now=CAUTION_S + 0.1).rate
        self.assertLessEqual(total, RATE + 1e-6)

    def test_older_ask_is_dropped(self) -> None:
        """An entry gets more than its part after its asks have crossed.

        Asks on an old and a new stream cross. If the older one were answered last, the home would
        book what the entry held before, not what it holds.
        """
        home = AllotmentDispatcher()
        ask = AllotmentAsk(
            organisation="bakers", entry="i", sequence=5, rate_wanted=1.0, concurrent_wanted=1
        )
        self.assertIsNotNone(home.ask(ask, ORGANISATION, now=0.0))
        self.assertIsNone(home.ask(replace(ask, sequence=4), ORGANISATION, now=0.0))
