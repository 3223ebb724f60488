"""Tests of the rejection counts that instances keep and publish."""

from __future__ import annotations

import unittest

from guavamast.relay.placement.rejection_history import RejectionHistory

POOL = "pool"


class RejectionHistoryTest(unittest.TestCase):
    """Many recent rejections put pressure on less urgent requests."""

    def setUp(self) -> None:
        self.history = RejectionHistory()

    def record(self, precedence: int, *, requests: int, rejected: int, now: float = 0.0) -> None:
        for number in range(requests):
            is_rejected = number < rejected
            self.history.record(POOL, precedence, rejected=is_rejected, wait_ms=180.0, now=now)

    def list_weights(self, precedence: int, *, now: float = 0.0) -> list[float]:
        pressures = self.history.list_pressures(POOL, precedence, now=now)
        return [pressure.weight for pressure in pressures]

    def test_pressure_applies_only_to_less_urgent_requests_of_the_service(self) -> None:
        self.record(1, requests=40, rejected=40)
        self.assertEqual(self.list_weights(2), [1.0])
        self.assertEqual(self.list_weights(1), [])
        self.assertEqual(self.list_weights(0), [])
        self.assertEqual(self.history.list_pressures("other", 2, now=0.0), ())

    def test_few_rejections_change_nothing(self) -> None:
        self.record(0, requests=40, rejected=3)
        self.assertEqual(self.list_weights(1), [])

    def test_a_single_rejection_decays_sooner_than_many(self) -> None:
        """Guards against restricting less urgent requests for long after one rejection."""
        self.record(0, requests=1, rejected=1)
        self.assertLess(self.list_weights(1, now=0.5)[0], 1.0)
        self.assertEqual(self.list_weights(1, now=1.5), [])
        self.record(0, requests=40, rejected=40)
        self.assertEqual(self.list_weights(1, now=1.5), [1.0])

    def test_pressure_ends_when_requests_stop(self) -> None:
        """Guards against capacity that is reserved for callers who have left."""
        self.record(0, requests=40, rejected=40)
        self.assertEqual(self.list_weights(1, now=7.0), [])

    def test_peer_counts_add_up_until_the_peer_is_gone(self) -> None:
        """Guards against rejections that are spread over so many instances that none sees many."""
        for name in ("i1", "i2", "i3", "i4"):
            other = RejectionHistory()
            for number in range(3):
                other.record(POOL, 0, rejected=number == 0, wait_ms=180.0, now=0.0)
            self.history.replace_peer(name, other.list_own(now=0.0), now=0.0)
        self.assertEqual(self.list_weights(1), [1.0])
        self.history.retain_peers({"i1"})
        self.assertLess(self.list_weights(1)[0], 1.0)
        self.history.retain_peers(set())
        self.assertEqual(self.list_weights(1), [])

    def test_repeated_counts_count_once(self) -> None:
        self.record(0, requests=20, rejected=3)
        counts = self.history.list_own(now=0.0)
        receiver = RejectionHistory()
        for _ in range(5):
            receiver.replace_peer("i1", counts, now=0.0)
        self.assertEqual(
            receiver.list_pressures(POOL, 1, now=0.0), self.history.list_pressures(POOL, 1, now=0.0)
        )


if __name__ == "__main__":
    unittest.main()
