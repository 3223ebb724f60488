"""Tests of the rate limits that endpoints state, and of the permits under them."""

from __future__ import annotations

import unittest
from dataclasses import replace
from itertools import permutations
from typing import TYPE_CHECKING
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_exchange import HeartbeatExchange
from guavamast.relay.peers import Peers
from guavamast.relay.rate_limits import (
    RATE_LIMIT_PREFIX,
    RateLimit,
    RateLimitLedger,
    RateLimitReport,
    RateLimitSharing,
    RatePermits,
    decode_rate_limits,
    encode_rate_limits,
)
from guavamast.relay.rate_limits.ledger import (
    ENDED_RETENTION_S,
    SETTLE_S,
    UNLISTED_RETENTION_S,
)
from guavamast.relay.rate_limits.permits import (
    ASK_INTERVAL_S,
    MAX_ASK_WAIT_S,
    PERMIT_VALID_S,
    WINDOW_S,
    compute_pace,
)
from tests.relay_fixtures import build_endpoint

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = "pool"
RECORD = replace(build_endpoint("x", service=SERVICE), started_ms=1000)
SLACK = 3.0
"""Requests in a window beyond what the limit allows."""


def build_limit(per_second: float | None, version: int, *, started_ms: int = 1000) -> RateLimit:
    """Return a statement of the endpoint of these tests."""
    return RateLimit(
        endpoint_id="x",
        service=SERVICE,
        started_ms=started_ms,
        per_second=per_second,
        version=version,
    )


LIMITS = st.builds(
    build_limit,
    st.sampled_from([None, 0.0, 0.2, 2.0]),
    st.integers(1, 3),
    started_ms=st.sampled_from([1000, 2000]),
)


class LedgerTest(unittest.TestCase):
    """A limit is in force from the first statement until its endpoint states otherwise."""

    def setUp(self) -> None:
        self.ledger = RateLimitLedger()

    def record(self, per_second: float | None, *, sent_at: float, now: float) -> RateLimit | None:
        return self.ledger.record(RECORD, per_second, sent_at=sent_at, now=now)

    def test_a_limit_outlasts_any_silence(self) -> None:
        """Guards against limits that lapse at endpoints that respond seldom."""
        self.record(0.2, sent_at=9.0, now=10.0)
        self.ledger.clean_up([RECORD], now=10_000.0)
        self.assertEqual(self.ledger.find(RECORD), 0.2)
        self.assertTrue(self.ledger.applies(SERVICE, now=10_000.0))
        self.assertFalse(self.ledger.applies("portal", now=10_000.0))

    def test_a_response_to_an_earlier_request_does_not_end_a_limit(self) -> None:
        """Guards against a response that was on its way when the endpoint stated its limit."""
        self.record(2.0, sent_at=9.0, now=10.0)
        self.assertIsNone(self.record(None, sent_at=9.9, now=11.0))
        self.assertIsNone(self.record(5.0, sent_at=9.9, now=11.0))
        self.assertEqual(self.ledger.find(RECORD), 2.0)

    def test_a_response_to_a_later_request_ends_a_limit(self) -> None:
        self.record(2.0, sent_at=9.0, now=10.0)
        ended = self.record(None, sent_at=10.1, now=11.0)
        assert ended is not None
        self.assertIsNone(ended.per_second)
        self.assertIsNone(self.ledger.find(RECORD))
        self.assertTrue(self.ledger.applies(SERVICE, now=11.0 + SETTLE_S))
        self.assertFalse(self.ledger.applies(SERVICE, now=11.1 + SETTLE_S))

    def test_a_confirmed_limit_needs_a_still_later_request(self) -> None:
        self.record(2.0, sent_at=9.0, now=10.0)
        self.assertIsNone(self.record(2.0, sent_at=10.0, now=12.0))
        self.assertIsNone(self.record(None, sent_at=11.0, now=12.5))
        self.assertEqual(self.ledger.find(RECORD), 2.0)

    def test_a_fall_counts_at_once_and_a_rise_after_a_later_request(self) -> None:
        self.record(5.0, sent_at=9.0, now=10.0)
        self.record(2.0, sent_at=9.5, now=10.2)
        self.assertEqual(self.ledger.find(RECORD), 2.0)
        self.record(3.0, sent_at=10.3, now=10.4)
        self.assertEqual(self.ledger.find(RECORD), 3.0)

    def test_a_restarted_endpoint_has_no_limit(self) -> None:
        """Guards against a limit that passes on to another incarnation of the endpoint."""
        self.record(2.0, sent_at=9.0, now=10.0)
        restarted = replace(RECORD, started_ms=2000)
        self.assertIsNone(self.ledger.find(restarted))
        self.ledger.clean_up([restarted], now=10.1)
        self.assertEqual(self.ledger.list_statements(), [])

    def test_what_is_over_is_forgotten(self) -> None:
        self.record(2.0, sent_at=9.0, now=10.0)
        self.ledger.clean_up([], now=10.0 + UNLISTED_RETENTION_S)
        self.assertEqual(len(self.ledger.list_statements()), 1)
        self.ledger.clean_up([], now=10.1 + UNLISTED_RETENTION_S)
        self.assertEqual(self.ledger.list_statements(), [])
        self.record(2.0, sent_at=29.0, now=30.0)
        self.record(None, sent_at=31.0, now=31.0)
        self.ledger.clean_up([RECORD], now=31.1 + ENDED_RETENTION_S)
        self.assertEqual(self.ledger.list_statements(), [])

    def test_without_a_statement_nothing_is_kept(self) -> None:
        self.assertIsNone(self.record(None, sent_at=1.0, now=2.0))
        self.assertEqual(self.ledger.list_statements(), [])
        self.assertEqual(self.ledger.list_due(now=2.0), [])

    def test_late_news_does_not_restore_a_limit(self) -> None:
        """Guards against datagrams that overtake each other."""
        stated = self.record(2.0, sent_at=9.0, now=10.0)
        self.record(None, sent_at=10.1, now=11.0)
        assert stated is not None
        self.assertFalse(self.ledger.receive(stated, now=11.1))
        self.assertIsNone(self.ledger.find(RECORD))

    @given(st.lists(LIMITS, min_size=1, max_size=4))
    def test_instances_agree_whatever_the_order_of_the_news(self, news: list[RateLimit]) -> None:
        """Guards against instances that hold different limits for good."""
        first = build_limit(2.0, 0, started_ms=0)
        results = set()
        for order in permutations(news):
            ledger = RateLimitLedger()
            for limit in (first, *order):
                ledger.receive(limit, now=1.0)
            results.add(ledger.get("x"))
        self.assertEqual(len(results), 1)


class WireTest(unittest.TestCase):
    """Reports survive the datagram, and others are malformed."""

    def test_reports_survive_the_datagram(self) -> None:
        limits = (build_limit(1.8, 1), build_limit(None, 2), build_limit(1e9, 3))
        report = RateLimitReport(instance="one", failure_domain="a", limits=limits)
        self.assertEqual(decode_rate_limits(encode_rate_limits(report)), report)

    def test_other_datagrams_are_malformed(self) -> None:
        for text in ("", "[]", '["a","b",[1]]', '["a","b",[["x","p",1,NaN,1]]]', "[1,2,3,4]"):
            with self.subTest(text=text), self.assertRaises(MalformedData):
                decode_rate_limits(RATE_LIMIT_PREFIX + text.encode())


class PermitsTest(unittest.TestCase):
    """One place grants no more than the limit, whoever asks how often."""

    def setUp(self) -> None:
        self.permits = RatePermits()
        self.granted: list[float] = []

    def ask(self, limit: float, *, now: float, share: float = 1.0, may_ask: bool = True) -> float:
        """Take a permit if there is one; return the seconds until the next otherwise."""
        wait_s = self.permits.compute_wait("x", limit, share=share, may_ask=may_ask, now=now)
        if wait_s <= 0.0:
            self.permits.take("x", now=now)
            self.granted.append(now)
        return wait_s

    def ask_steadily(self, limit: float, *, since: float, until: float) -> None:
        for step in range(int((until - since) * 500)):
            self.ask(limit, now=since + step / 500)

    def count_most(self, window_s: float = WINDOW_S) -> int:
        return max(
            sum(start <= at < start + window_s for at in self.granted) for start in self.granted
        )

    def test_permits_fit_the_limit_even_if_used_late(self) -> None:
        """Guards against permits of a longer time that arrive within one window."""
        for limit in (0.0, 0.2, 1.8, 2.0, 10.0, 100.0):
            with self.subTest(limit=limit):
                self.setUp()
                self.ask_steadily(limit, since=10.0, until=40.0)
                most = self.count_most(WINDOW_S + PERMIT_VALID_S)
                self.assertLessEqual(most, WINDOW_S * limit + SLACK)
                self.assertGreaterEqual(len(self.granted), int(0.8 * limit * 30.0))

    def test_nothing_is_saved_up_while_nobody_asks(self) -> None:
        """Guards against a burst after a quiet time."""
        self.ask_steadily(2.0, since=10.0, until=12.0)
        self.granted.clear()
        self.ask_steadily(2.0, since=100.0, until=100.4)
        self.assertEqual(len(self.granted), 1)

    def test_permits_under_a_higher_limit_count_after_its_fall(self) -> None:
        """Guards against an endpoint that gets more right after it has stated less."""
        self.ask_steadily(10.0, since=10.0, until=20.0)
        self.granted.clear()
        self.ask_steadily(1.0, since=20.0, until=23.0)
        self.assertEqual(self.granted, [])
        self.ask_steadily(1.0, since=23.0, until=30.0)
        self.assertGreaterEqual(len(self.granted), 4)

    def test_a_new_place_has_no_permit_in_hand(self) -> None:
        """Guards against one more burst at each change of the place that grants."""
        self.assertAlmostEqual(self.ask(2.0, now=10.0), 0.5)
        self.permits.release(["x"])
        self.assertAlmostEqual(self.ask(2.0, now=10.4), 0.5)

    def test_a_share_of_the_limit_is_granted_by_a_part_of_the_fleet(self) -> None:
        for step in range(5000):
            self.ask(10.0, share=0.1, now=10.0 + step / 500)
        self.assertLessEqual(len(self.granted), 10)

    def test_an_endpoint_that_takes_nothing_is_asked_now_and_then(self) -> None:
        """Guards against a limit of zero that nobody sees end."""
        self.ask_steadily(0.0, since=10.0, until=31.0)
        self.assertEqual(len(self.granted), int(21.0 / ASK_INTERVAL_S))

    def test_requests_that_should_not_ask_do_so_only_if_no_other_does(self) -> None:
        self.ask(0.0, now=10.0, may_ask=False)
        wait_s = self.ask(0.0, now=10.0 + ASK_INTERVAL_S, may_ask=False)
        self.assertAlmostEqual(wait_s, MAX_ASK_WAIT_S - ASK_INTERVAL_S)
        self.assertEqual(self.ask(0.0, now=10.0 + MAX_ASK_WAIT_S, may_ask=False), 0.0)

    def test_the_pace_uses_most_of_any_limit(self) -> None:
        for limit in (0.2, 1.8, 10.0, 100.0, 1e9):
            self.assertGreaterEqual(compute_pace(limit), 0.85 * limit)


class SharingTest(unittest.TestCase):
    """What an endpoint states reaches all instances, and is repeated only while it holds."""

    def setUp(self) -> None:
        self.now = 10.0
        self.exchange = mock.create_autospec(HeartbeatExchange, instance=True)
        self.send = mock.Mock()
        self.log = mock.create_autospec(DecisionLog, instance=True)
        fleet_state = FleetState(
            failure_domain="a", peers=Peers(own_name="one"), clock=StoreClock()
        )
        fleet_state.endpoints.apply([RECORD], digest="d", recovering=False)
        self.sharing = RateLimitSharing(
            ledger=RateLimitLedger(),
            name="one",
            fleet_state=fleet_state,
            exchange=self.exchange,
            is_granter=lambda _: True,
            send=self.send,
            log=self.log,
            counters=Counters(),
            read_time=lambda: self.now,
        )

    def list_spread(self) -> Sequence[RateLimitReport]:
        return [decode_rate_limits(call.args[0]) for call in self.exchange.spread.call_args_list]

    def test_news_is_told_once(self) -> None:
        for sent_at in (9.0, 9.5, 9.9):
            self.sharing.record(RECORD, 2.0, sent_at=sent_at, request_id="r1")
        self.assertEqual(len(self.list_spread()), 1)
        self.assertEqual(self.list_spread()[0].limits[0].per_second, 2.0)
        self.log.write.assert_called_once()

    def test_where_no_engine_names_a_limit_nothing_is_sent(self) -> None:
        """Guards against a cost for fleets whose endpoints state nothing."""
        self.sharing.record(RECORD, None, sent_at=9.0, request_id="r1")
        self.sharing.repeat(now=10.0)
        self.sharing.tell(SERVICE, ("10.0.0.2", 1))
        self.exchange.spread.assert_not_called()
        self.send.assert_not_called()

    def test_limits_are_repeated_until_their_end_has_been_told(self) -> None:
        """Guards against instances that start later, or lose a datagram."""
        self.sharing.record(RECORD, 2.0, sent_at=9.0, request_id="r1")
        self.sharing.repeat(now=100.0)
        self.assertEqual(len(self.list_spread()), 2)
        self.now = 101.0
        self.sharing.record(RECORD, None, sent_at=100.5, request_id="r2")
        self.sharing.repeat(now=101.5)
        self.assertIsNone(self.list_spread()[-1].limits[0].per_second)
        told = len(self.list_spread())
        self.sharing.repeat(now=101.1 + SETTLE_S)
        self.assertEqual(len(self.list_spread()), told)

    def test_who_tells_something_older_is_told_what_is_known(self) -> None:
        """Guards against an instance that holds back requests for a limit that has ended."""
        self.sharing.record(RECORD, 2.0, sent_at=9.0, request_id="r1")
        self.sharing.record(RECORD, None, sent_at=10.5, request_id="r2")
        report = RateLimitReport(instance="two", failure_domain="a", limits=(build_limit(2.0, 1),))
        self.sharing.receive(encode_rate_limits(report), ("10.0.0.2", 1))
        data, address = self.send.call_args.args
        self.assertIsNone(decode_rate_limits(data).limits[0].per_second)
        self.assertEqual(address, ("10.0.0.2", 1))


if __name__ == "__main__":
    unittest.main()
