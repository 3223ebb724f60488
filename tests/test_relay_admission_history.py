"""Tests of the counts of delays and rejections that instances keep and publish."""

from __future__ import annotations

import unittest

from guavamast.relay.placement.admission_history import (
    WAITING_MARGIN_S,
    AdmissionHistory,
    UrgentDemand,
)

POOL = "pool"


class AdmissionHistoryTest(unittest.TestCase):
    """Many recent delays put pressure on less urgent requests."""

    def setUp(self) -> None:
        self.history = AdmissionHistory()

    def record(self, precedence: int, *, requests: int, delayed: int, now: float = 0.0) -> None:
        for number in range(requests):
            self.history.record_request(POOL, precedence, wait_ms=180.0, now=now)
            if number < delayed:
                self.history.record_delay(POOL, precedence, now=now)

    def list_pressures(self, precedence: int, *, now: float = 0.0) -> list[float]:
        return [demand.pressure for demand in self.list_demands(precedence, now=now)]

    def list_demands(self, precedence: int, *, now: float = 0.0) -> tuple[UrgentDemand, ...]:
        return self.history.list_more_urgent(POOL, precedence, now=now)

    def wait(self, history: AdmissionHistory, *, delayed: bool = True) -> None:
        history.record_waiting(POOL, 0, attempt="a", delayed=delayed, wait_s=0.03, now=0.0)

    def test_pressure_applies_only_to_less_urgent_requests_of_the_service(self) -> None:
        self.record(1, requests=40, delayed=40)
        self.assertEqual(self.list_pressures(2), [1.0])
        self.assertEqual(self.list_pressures(1), [])
        self.assertEqual(self.list_pressures(0), [])
        self.assertEqual(self.history.list_more_urgent("other", 2, now=0.0), ())

    def test_few_delays_change_nothing(self) -> None:
        self.record(0, requests=40, delayed=1)
        self.assertEqual(self.list_pressures(1), [0.0])

    def test_a_single_delay_decays_sooner_than_many(self) -> None:
        """Guards against restricting less urgent requests for long after one delay."""
        self.record(0, requests=1, delayed=1)
        self.assertLess(max(self.list_pressures(1, now=0.5)), 1.0)
        self.assertEqual(max(self.list_pressures(1, now=2.5), default=0.0), 0.0)
        self.record(0, requests=40, delayed=40, now=2.5)
        self.assertEqual(self.list_pressures(1, now=4.0), [1.0])

    def test_rejections_press_as_delays_do(self) -> None:
        """Guards against requests that are rejected at once and count for nothing."""
        self.record(0, requests=40, delayed=0)
        for _ in range(20):
            self.history.record_rejection(POOL, 0, now=0.0)
        self.assertEqual(self.list_pressures(1), [1.0])
        self.assertTrue(self.history.are_rejected(POOL, 0, now=0.0))
        self.assertFalse(self.history.are_rejected(POOL, 0, now=8.0))

    def test_demand_ends_when_requests_stop(self) -> None:
        """Guards against capacity that is kept for callers who have left."""
        self.record(0, requests=40, delayed=40)
        self.assertEqual(self.list_pressures(1, now=8.0), [])

    def test_peer_counts_add_up_until_the_peer_is_gone(self) -> None:
        """Guards against delays that are spread over so many instances that none sees many."""
        for name in ("i1", "i2", "i3", "i4"):
            other = AdmissionHistory()
            for number in range(3):
                other.record_request(POOL, 0, wait_ms=180.0, now=0.0)
                if number == 0:
                    other.record_delay(POOL, 0, now=0.0)
            self.history.replace_peer(name, other.list_own(now=0.0), now=0.0)
        self.assertEqual(self.list_pressures(1), [1.0])
        self.history.retain_peers({"i1"})
        self.assertLess(self.list_pressures(1)[0], 1.0)
        self.history.retain_peers(set())
        self.assertEqual(self.list_pressures(1), [])

    def test_repeated_counts_count_once(self) -> None:
        self.record(0, requests=20, delayed=2)
        counts = self.history.list_own(now=0.0)
        receiver = AdmissionHistory()
        for _ in range(5):
            receiver.replace_peer("i1", counts, now=0.0)
        self.assertEqual(receiver.list_more_urgent(POOL, 1, now=0.0), self.list_demands(1))

    def test_a_delayed_request_is_known_to_wait_until_its_end(self) -> None:
        """Guards against less urgent requests that wait for one that was served long ago."""
        self.wait(self.history, delayed=False)
        self.assertFalse(any(demand.waiting for demand in self.list_demands(1)))
        self.wait(self.history)
        self.assertTrue(self.list_demands(1)[0].waiting)
        self.history.end_waiting(POOL, 0, attempt="a")
        self.assertFalse(any(demand.waiting for demand in self.list_demands(1)))

    def test_a_request_that_ends_unseen_is_forgotten(self) -> None:
        """Guards against an attempt whose caller has left and that holds others back for good."""
        self.wait(self.history)
        after = 0.03 + WAITING_MARGIN_S + 0.001
        self.assertFalse(any(demand.waiting for demand in self.list_demands(1, now=after)))

    def test_what_waits_at_another_instance_holds_back_here(self) -> None:
        """Guards against long prompts that begin here while photos wait at other instances."""
        other = AdmissionHistory()
        self.wait(other)
        self.history.update_peer_waiting("i1", other.list_waiting(now=0.0), now=0.0)
        self.history.replace_peer("i1", other.list_own(now=0.0), now=0.0)
        self.assertTrue(any(demand.waiting for demand in self.list_demands(1)))
        self.assertEqual(self.history.count_waiting(POOL, 0, now=0.0), 1)
        self.history.update_peer_waiting("i1", [], now=0.0)
        self.assertFalse(any(demand.waiting for demand in self.list_demands(1)))


if __name__ == "__main__":
    unittest.main()
