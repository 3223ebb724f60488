"""Tests of services whose endpoints end when they have to reject many requests."""

from __future__ import annotations

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.relay.placement.free_slots import PAUSE_S, REDUCED_S, RESERVED_SLOTS, FreeSlots
from guavamast.relay.rejection_limits import (
    ANNOUNCE_AFTER_S,
    LIMIT_LIFETIME_S,
    RejectionLimit,
    RejectionLimits,
    decode_rejection_limit,
    encode_rejection_limit,
)
from guavamast.relay.scheduler import GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import Verdict, WorkPhase, WorkUpdate
from tests.relay_fixtures import PROFILE, build_endpoint
from tests.scheduling_simulation import POOL, make_query

SLOTS = 8
RECORD = build_endpoint("x", slots=SLOTS, service=POOL)


class RejectionLimitsTest(unittest.TestCase):
    """A limit applies while any endpoint of its service states it."""

    def test_a_limit_applies_until_nothing_states_it(self) -> None:
        limits = RejectionLimits()
        self.assertFalse(limits.applies("pool", now=10.0))
        self.assertTrue(limits.record("pool", now=10.0))
        self.assertFalse(limits.record("pool", now=10.1))
        self.assertTrue(limits.record("pool", now=10.1 + ANNOUNCE_AFTER_S))
        end = 10.1 + 2 * ANNOUNCE_AFTER_S + LIMIT_LIFETIME_S
        self.assertTrue(limits.applies("pool", now=end))
        self.assertFalse(limits.applies("pool", now=end + 0.1))
        self.assertFalse(limits.applies("portal", now=10.0))

    def test_a_limit_survives_the_datagram(self) -> None:
        limit = RejectionLimit(service="pool", rejections_per_s=2, failure_domain="a")
        self.assertEqual(decode_rejection_limit(encode_rejection_limit(limit)), limit)
        for data in (b"l", b'l["pool"]', b'l["pool","x","a"]'):
            with self.assertRaises(MalformedData):
                decode_rejection_limit(data)

    def test_responses_state_a_limit(self) -> None:
        codec = PlatformHeaders()
        for value, expected in (("2", 2), ("x", None), ("", None)):
            head = codec.decode_response(200, [("Server-Brittle", value)])
            self.assertEqual(head.rejection_limit, expected)
        self.assertIsNone(codec.decode_response(200, []).rejection_limit)


class FreeSlotsTest(unittest.TestCase):
    """An endpoint that has rejected a request gets nothing until it may have room."""

    def setUp(self) -> None:
        self.slots = FreeSlots()

    def test_one_slot_is_reserved_unless_there_are_few(self) -> None:
        self.assertTrue(self.slots.has_one(RECORD, running=SLOTS - 2, now=1.0))
        self.assertFalse(self.slots.has_one(RECORD, running=SLOTS - 1, now=1.0))
        single = build_endpoint("y", slots=1)
        self.assertTrue(self.slots.has_one(single, running=0, now=1.0))

    def test_a_rejection_closes_an_endpoint_and_then_reduces_it(self) -> None:
        """Guards against requests that are sent on while an endpoint rejects them."""
        self.slots.record_rejection("x", running=3, now=10.0)
        self.assertFalse(self.slots.has_one(RECORD, running=0, now=10.0 + PAUSE_S - 0.1))
        self.assertTrue(self.slots.has_one(RECORD, running=2, now=10.0 + PAUSE_S))
        self.assertFalse(self.slots.has_one(RECORD, running=3, now=10.0 + PAUSE_S))
        self.assertTrue(self.slots.has_one(RECORD, running=3, now=10.0 + REDUCED_S))

    def test_an_endpoint_that_rejects_all_gets_one_at_a_time(self) -> None:
        self.slots.record_rejection("x", running=0, now=10.0)
        self.assertTrue(self.slots.has_one(RECORD, running=0, now=10.0 + PAUSE_S))
        self.assertFalse(self.slots.has_one(RECORD, running=1, now=10.0 + PAUSE_S))


class SlotsOnlyTest(unittest.TestCase):
    """A scheduler grants no more than there are slots, whatever the order of its messages."""

    def decide(
        self, scheduler: GroupScheduler, number: int, *, now: float, precedence: int = 0
    ) -> Verdict:
        parameters = ServiceParameters(
            profile=PROFILE, kv_capacity_tokens=0, shortest_pause_s=1.0, slots_only=True
        )
        query = make_query(number=number, prompt_tokens=0, prompt_parts=(), precedence=precedence)
        return scheduler.decide(query, [RECORD], parameters, now=now).verdict

    def update(self, number: int, phase: WorkPhase) -> WorkUpdate:
        query = make_query(number=number)
        return WorkUpdate(requester=query.requester, group=query.group, number=number, phase=phase)

    @given(st.lists(st.booleans(), max_size=60))
    def test_never_more_than_the_slots_are_granted(self, steps: list[bool]) -> None:
        """Guards against endpoints that have to reject what instances send at the same time."""
        scheduler = GroupScheduler(random=Random(1), now=0.0)
        running: list[int] = []
        for number, asks in enumerate(steps):
            now = 10.0 + number * 0.01
            if asks:
                free = len(running) < SLOTS - RESERVED_SLOTS
                verdict = self.decide(scheduler, number, now=now)
                self.assertEqual(verdict, Verdict.GRANTED if free else Verdict.REFUSED)
                if free:
                    running.append(number)
            elif running:
                scheduler.apply_update(self.update(running.pop(0), WorkPhase.ENDED), now=now)

    def test_urgent_requests_go_first_and_others_are_not_starved(self) -> None:
        """Guards against slots that go to less urgent requests, as these ask more often."""
        scheduler = GroupScheduler(random=Random(1), now=0.0)
        running = list(range(SLOTS - RESERVED_SLOTS))
        for number in running:
            self.assertEqual(self.decide(scheduler, number, now=10.0), Verdict.GRANTED)
        counts = {0: 0, 20: 0}
        number = 100
        for turn in range(200):
            now = 11.0 + turn * 0.05
            self.decide(scheduler, number, now=now)
            scheduler.apply_update(self.update(running.pop(0), WorkPhase.ENDED), now=now)
            for precedence in (20, 20, 0):
                number += 1
                verdict = self.decide(scheduler, number, now=now, precedence=precedence)
                if verdict is Verdict.GRANTED:
                    running.append(number)
                    counts[precedence] += 1
                    break
            number += 1
        self.assertGreater(counts[0], 3 * counts[20])
        self.assertGreater(counts[20], 10)

    def test_a_rejected_request_closes_its_endpoint(self) -> None:
        scheduler = GroupScheduler(random=Random(1), now=0.0)
        self.assertEqual(self.decide(scheduler, 1, now=10.0), Verdict.GRANTED)
        self.assertEqual(self.decide(scheduler, 2, now=10.0), Verdict.GRANTED)
        scheduler.apply_update(self.update(2, WorkPhase.REJECTED), now=10.0)
        self.assertEqual(self.decide(scheduler, 3, now=10.0 + PAUSE_S - 0.1), Verdict.REFUSED)
        self.assertEqual(self.decide(scheduler, 4, now=10.0 + PAUSE_S), Verdict.REFUSED)
        scheduler.apply_update(self.update(1, WorkPhase.ENDED), now=10.0 + PAUSE_S)
        self.assertEqual(self.decide(scheduler, 5, now=10.0 + PAUSE_S), Verdict.GRANTED)


if __name__ == "__main__":
    unittest.main()
