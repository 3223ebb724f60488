"""Properties of the allotment of a limit to entries."""

from __future__ import annotations

import unittest
from dataclasses import replace

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.allotments import BURST_S, HANDOVER_S, Allotment, AllotmentAsk, AllotmentDispatcher
from guavamast.fleet_objects import Contract, Organisation

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
"""Entry, wanted rate and concurrency, seconds until its ask, and whether the answer is lost."""

LOST_REDUCTION = [
    (0, 3.0, 7, 0.0, False),
    (1, 3.0, 7, 0.1, False),
    (0, 3.0, 7, 0.1, True),
    (1, 3.0, 7, 0.1, False),
]
"""Entry 0 holds the limit, and the answer that reduces its allotment for entry 1 is lost."""
LOST_WITHDRAWAL = [
    (0, 3.0, 7, 0.0, False),
    (0, 3.0, 0, 8.0, True),
    (1, 3.0, 7, 3.0, False),
]
"""Entry 0 keeps its first allotment, as the answer that withdraws it is lost."""


class Holdings:
    """What each entry may use: its last received allotment, until it expires."""

    def __init__(self) -> None:
        self.last: dict[int, tuple[float, Allotment]] = {}

    def find(self, entry: int, now: float) -> int:
        until, allotment = self.last.get(entry, (float("-inf"), None))
        return allotment.concurrent if now < until else 0

    def sum_concurrent(self, now: float) -> int:
        return sum(self.find(entry, now) for entry in self.last)


class AllotmentProperties(unittest.TestCase):
    """The allotments in use never add up to more than the limit."""

    @example(steps=LOST_REDUCTION, moved_after=None)
    @example(steps=LOST_WITHDRAWAL, moved_after=None)
    @given(steps=STEPS, moved_after=st.none() | st.integers(0, 40))
    def test_allotments_in_use_stay_within_the_limit(
        self, steps: list, moved_after: int | None
    ) -> None:
        """An organisation gets its limit twice.

        An answer that reduces an allotment is lost and the entry uses the old one until it
        expires; or the home moves, and the new one doesn't know its predecessor's allotments.
        """
        home = AllotmentDispatcher()
        holdings = Holdings()
        now = 0.0
        factor = 1
        tokens = 0
        for index, (entry, rate, concurrent, wait, lost) in enumerate(steps):
            now += wait
            if index == moved_after:
                home = AllotmentDispatcher()
                home.record_view_change(now=now)
                factor = 2
            ask = AllotmentAsk(
                organisation="bakers",
                entry=f"i{entry}",
                sequence=index,
                rate_wanted=rate,
                concurrent_wanted=concurrent,
                tokens_wanted=concurrent,
                held_concurrent=holdings.find(entry, now),
            )
            answer = home.ask(ask, ORGANISATION, now=now)
            tokens += answer.tokens
            if not lost:
                holdings.last[entry] = (now + answer.valid_for_s, answer)
            self.assertLessEqual(holdings.sum_concurrent(now), factor * CONCURRENT)
            self.assertLessEqual(tokens, RATE * now + factor * RATE * BURST_S)

    @given(steps=STEPS)
    def test_home_allots_the_exact_limit_after_the_handover(self, steps: list) -> None:
        home = AllotmentDispatcher()
        home.record_view_change(now=0.0)
        answers = [
            home.ask(
                AllotmentAsk(
                    organisation="bakers",
                    entry=f"i{index}",
                    sequence=1,
                    rate_wanted=rate,
                    concurrent_wanted=concurrent,
                    tokens_wanted=9,
                ),
                ORGANISATION,
                now=HANDOVER_S + 0.1,
            )
            for index, (_, rate, concurrent, _, _) in enumerate(steps)
        ]
        wanted = sum(concurrent for _, _, concurrent, _, _ in steps)
        allotted = sum(answer.concurrent for answer in answers)
        self.assertLessEqual(allotted, CONCURRENT)
        self.assertGreaterEqual(allotted, min(wanted, CONCURRENT))
        self.assertLessEqual(sum(answer.tokens for answer in answers), RATE * BURST_S)

    def test_older_ask_is_dropped(self) -> None:
        """An entry gets more than its allotment after its asks were reordered.

        Asks on an old and a new stream arrive out of order. If the older one were answered last,
        the home would reserve what the entry held before, not what it holds.
        """
        home = AllotmentDispatcher()
        ask = AllotmentAsk(
            organisation="bakers",
            entry="i",
            sequence=5,
            rate_wanted=1.0,
            concurrent_wanted=1,
            tokens_wanted=1,
        )
        self.assertIsNotNone(home.ask(ask, ORGANISATION, now=0.0))
        self.assertIsNone(home.ask(replace(ask, sequence=4), ORGANISATION, now=0.0))
