"""Properties of the limits with several entries and one home dispatcher."""

from __future__ import annotations

import unittest
from bisect import bisect_right
from random import Random

from hypothesis import example, given
from hypothesis import strategies as st

from guavamast.allotments import BURST_S, PREFETCH_S, VALIDITY_S, Allotment, AllotmentDispatcher
from guavamast.errors import ErrorCode
from guavamast.fleet_objects import Contract, FailureDomain, Instance, Organisation
from guavamast.limits import (
    ASK_RETRY_INTERVAL_S,
    ASK_TIMEOUT_S,
    LOW_TOKENS_S,
    AdmissionState,
    EntryLimiter,
)
from guavamast.members import Member, MembershipView, MemberState

ENTRIES = 4
RATE = 3.0
CONCURRENT = 7
ORGANISATION = Organisation(
    name="florists",
    key_sha256="",
    contract=Contract(requests_per_second=RATE, concurrent=CONCURRENT, classes={}),
)


def make_view() -> MembershipView:
    """Return a view of all entries' instances."""
    return MembershipView(
        members=tuple(
            Member(
                instance=Instance(
                    name=f"i{number}",
                    failure_domain=FailureDomain(name="a", region="r"),
                    caller_address="",
                    peer_address="",
                ),
                incarnation=1,
                state=MemberState.LIVE,
                heartbeat=1,
                configuration_version=1,
            )
            for number in range(ENTRIES)
        )
    )


TICK_S = 0.05
PREFETCHED_S = PREFETCH_S + LOW_TOKENS_S
"""Seconds of their demand for which entries may hold prefetched tokens."""
PHASES = st.lists(
    st.tuples(
        st.lists(st.sampled_from([0, 0, 1, 5]), min_size=ENTRIES, max_size=ENTRIES),
        st.sampled_from([1, 20, 200]),
        st.sampled_from([1, 20, 100]),
    ),
    min_size=1,
    max_size=5,
)
"""Requests at each entry per tick, duration of the phase and of a request in ticks."""


class Fleet:
    """Entries and one home whose answers arrive late, out of order or never."""

    def __init__(self, *, random: Random, delay_ticks: int, loss: float) -> None:
        self.random = random
        self.delay_ticks = delay_ticks
        self.loss = loss
        self.tick = 0
        self.home = AllotmentDispatcher()
        self.entries = [EntryLimiter(entry=f"i{n}", first_sequence=0) for n in range(ENTRIES)]
        for entry in self.entries:
            entry.configure(make_view())
        self.answers: list[tuple[int, int, Allotment]] = []
        self.running: list[tuple[int, int]] = []
        self.admitted: list[int] = []

    def run(self, demands: list[int], run_ticks: int) -> None:
        self.tick += 1
        now = self.tick * TICK_S
        for end, number in [each for each in self.running if each[0] <= self.tick]:
            self.entries[number].release(ORGANISATION.name, now=now)
            self.running.remove((end, number))
        for _, number, answer in [each for each in self.answers if each[0] <= self.tick]:
            self.entries[number].record_allotment(answer, now=now)
        self.answers = [each for each in self.answers if each[0] > self.tick]
        for number, demand in enumerate(demands):
            for _ in range(demand):
                if self.entries[number].admit(ORGANISATION, now=now).granted:
                    self.running.append((self.tick + run_ticks, number))
                    self.admitted.append(self.tick)
            self.exchange(number, now)

    def exchange(self, number: int, now: float) -> None:
        for ask in self.entries[number].collect_asks(now=now):
            answer = self.home.ask(ask, ORGANISATION, now=now)
            if answer is not None and self.random.random() >= self.loss:
                arrival = self.tick + self.random.randint(1, self.delay_ticks)
                self.answers.append((arrival, number, answer))

    def count_admitted(self, seconds: float) -> int:
        start = self.tick - round(seconds / TICK_S)
        return len(self.admitted) - bisect_right(self.admitted, start)


class LimitProperties(unittest.TestCase):
    """The limits hold in each time window of each generated history."""

    def check(self, fleet: Fleet, phases: list, factor: int) -> None:
        for demands, ticks, run_ticks in phases:
            for _ in range(ticks):
                fleet.run(demands, run_ticks)
                self.assertLessEqual(len(fleet.running), factor * CONCURRENT)
                for seconds in (1.0, 5.0, 20.0):
                    bound = factor * RATE * (seconds + BURST_S + PREFETCHED_S)
                    self.assertLessEqual(fleet.count_admitted(seconds), bound)

    @example(phases=[([1, 1, 1, 1], 200, 1)], seed=1, delay_ticks=2)
    @example(phases=[([5, 0, 0, 0], 20, 200), ([0, 5, 5, 5], 200, 200)], seed=1, delay_ticks=2)
    @given(phases=PHASES, seed=st.integers(0, 99), delay_ticks=st.integers(1, 8))
    def test_limits_hold_while_the_home_answers(
        self, phases: list, seed: int, delay_ticks: int
    ) -> None:
        self.assertLess(delay_ticks * TICK_S, ASK_TIMEOUT_S)
        fleet = Fleet(random=Random(seed), delay_ticks=delay_ticks, loss=0.0)
        self.check(fleet, phases, 1)

    @given(
        phases=PHASES,
        seed=st.integers(0, 99),
        delay_ticks=st.integers(1, 100),
        loss=st.sampled_from([0.0, 0.3, 0.9]),
    )
    def test_late_and_lost_answers_exceed_the_limit_by_at_most_the_even_shares(
        self, phases: list, seed: int, delay_ticks: int, loss: float
    ) -> None:
        """An organisation gets more than its limit.

        An answer is lost or overtaken by a later one. The entry keeps its old allotment or falls
        back to its even share, while the home may already have allotted it to others. The even
        shares add up to one limit, so the total stays within two limits.
        """
        fleet = Fleet(random=Random(seed), delay_ticks=delay_ticks, loss=loss)
        self.check(fleet, phases, 2)


class EntryLimiterTest(unittest.TestCase):
    """One entry and its home."""

    def setUp(self) -> None:
        self.home = AllotmentDispatcher()
        self.entry = EntryLimiter(entry="i0", first_sequence=0)
        self.entry.configure(make_view())

    def exchange(self, *, now: float) -> None:
        for ask in self.entry.collect_asks(now=now):
            answer = self.home.ask(ask, ORGANISATION, now=now)
            self.entry.record_allotment(answer, now=now)

    def test_first_request_waits_for_the_home_and_is_granted(self) -> None:
        first = self.entry.admit(ORGANISATION, now=0.0)
        self.assertEqual(first.state, AdmissionState.PENDING)
        self.exchange(now=0.001)
        self.assertTrue(self.entry.admit(ORGANISATION, now=0.001).granted)

    def test_lone_entry_gets_the_whole_limit(self) -> None:
        granted = 0
        for step in range(2000):
            now = step / 50
            granted += self.entry.admit(ORGANISATION, now=now).granted
            self.entry.release(ORGANISATION.name, now=now)
            self.exchange(now=now)
        self.assertGreaterEqual(granted, 0.95 * RATE * 40)

    def test_concurrency_is_rejected_with_its_code(self) -> None:
        for _ in range(CONCURRENT + 1):
            self.entry.admit(ORGANISATION, now=0.0)
        self.exchange(now=0.0)
        states = [self.entry.admit(ORGANISATION, now=0.1) for _ in range(3)]
        self.assertTrue(all(state.granted for state in states))
        now = 1.0
        while now < 20.0:
            self.entry.admit(ORGANISATION, now=now)
            self.exchange(now=now)
            last = self.entry.admit(ORGANISATION, now=now)
            now += 0.5
        self.assertEqual(last.state, AdmissionState.REFUSED)
        self.assertEqual(last.code, ErrorCode.CONCURRENCY_LIMITED)

    def test_unreachable_home_leaves_an_even_share(self) -> None:
        """All callers are rejected, or an organisation gets its limit many times over.

        The home is unreachable. Rejecting all requests would be an outage, and admitting all would
        be no limit; the even shares of all entries add up to the limit.
        """
        self.entry.admit(ORGANISATION, now=0.0)
        self.entry.collect_asks(now=0.0)
        granted = 0
        for step in range(400):
            now = ASK_TIMEOUT_S + step / 10
            granted += self.entry.admit(ORGANISATION, now=now).granted
            self.entry.release(ORGANISATION.name, now=now)
            self.entry.collect_asks(now=now)
        share = RATE / ENTRIES * 40
        self.assertLessEqual(granted, share + 1)
        self.assertGreaterEqual(granted, share * 0.9 - 1)

    def test_running_requests_are_reported_after_their_allotment_expired(self) -> None:
        """An organisation runs more concurrent requests than its limit.

        The entry's allotment expired while the home was unreachable. If the next ask did not
        report the requests that still run, the home would allot their concurrency to others.
        """
        for _ in range(3):
            self.entry.admit(ORGANISATION, now=0.0)
        self.exchange(now=0.0)
        granted = sum(self.entry.admit(ORGANISATION, now=0.0).granted for _ in range(3))
        (ask,) = self.entry.collect_asks(now=VALIDITY_S + 1.0)
        self.assertEqual(granted, 3)
        self.assertEqual(ask.held_concurrent, granted)

    def test_restarted_entry_is_answered(self) -> None:
        self.entry.admit(ORGANISATION, now=0.0)
        self.exchange(now=0.0)
        self.entry = EntryLimiter(entry="i0", first_sequence=100)
        self.entry.admit(ORGANISATION, now=1.0)
        self.exchange(now=1.0)
        self.assertTrue(self.entry.admit(ORGANISATION, now=1.0).granted)

    def test_answer_to_an_older_ask_is_dropped(self) -> None:
        """The entry admits more than its allotment.

        An ask times out and is retried; then the answer to the first ask arrives, whose allotment
        the home has given to others since.
        """
        for _ in range(CONCURRENT):
            self.entry.admit(ORGANISATION, now=0.0)
        (first,) = self.entry.collect_asks(now=0.0)
        late = self.home.ask(first, ORGANISATION, now=0.0)
        self.entry.admit(ORGANISATION, now=ASK_RETRY_INTERVAL_S)
        self.assertEqual(len(self.entry.collect_asks(now=ASK_RETRY_INTERVAL_S)), 1)
        self.entry.record_allotment(late, now=ASK_RETRY_INTERVAL_S)
        held = [self.entry.admit(ORGANISATION, now=ASK_RETRY_INTERVAL_S) for _ in range(CONCURRENT)]
        self.assertLessEqual(sum(each.granted for each in held), 2)
