"""Property tests of the age of tables, over generated clocks and faults."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.freshness import OUTAGE_GAP_S, Freshness, FreshnessStamp, StoreClock

SECONDS = st.floats(min_value=0.0, max_value=30.0)


class StoreClockTest(unittest.TestCase):
    """The age of a store time is never underestimated."""

    @given(
        offset=st.floats(min_value=-1e6, max_value=1e6),
        calls=st.lists(st.tuples(SECONDS, SECONDS, SECONDS), min_size=1, max_size=10),
        suspended_s=SECONDS,
    )
    def test_age_is_never_below_the_true_one(
        self, offset: float, calls: list[tuple[float, float, float]], suspended_s: float
    ) -> None:
        clock = StoreClock()
        now = 1000.0
        answered_at = now
        for pause, out, back in calls:
            now += pause
            sent = now
            answered_at = sent + out
            now = answered_at + back
            clock.record(sent=sent, store_time=answered_at - offset)
        # A message with the last store time waits in a socket while the machine is suspended.
        now += suspended_s
        true_age = now - answered_at
        self.assertGreaterEqual(clock.compute_age(answered_at - offset, now=now), true_age - 1e-6)

    def test_nothing_known_is_infinitely_old(self) -> None:
        self.assertEqual(StoreClock().compute_age(5.0, now=6.0), float("inf"))


class FreshnessTest(unittest.TestCase):
    """Freshness stamps only move forward, and only for the version that the instance holds."""

    def setUp(self) -> None:
        self.clock = StoreClock()
        self.clock.record(sent=100.0, store_time=0.0)
        self.freshness = Freshness(clock=self.clock)

    def test_stamp_of_another_version_is_ignored(self) -> None:
        """A peer's stamp of a newer version must not refresh the older version held here.

        Otherwise a revoked key stays accepted: the peer has read the revocation, and its heartbeats
        confirm only the new version.
        """
        self.freshness.record(FreshnessStamp(version="7", store_time=1.0))
        self.assertFalse(self.freshness.confirm(FreshnessStamp(version="8", store_time=5.0)))
        self.assertAlmostEqual(self.freshness.compute_age(now=106.0), 5.0)
        self.assertTrue(self.freshness.confirm(FreshnessStamp(version="7", store_time=2.0)))
        self.assertAlmostEqual(self.freshness.compute_age(now=106.0), 4.0)

    @given(readings=st.lists(SECONDS, min_size=1, max_size=20))
    def test_late_stamp_never_increases_the_age(self, readings: list[float]) -> None:
        freshness = Freshness(clock=self.clock)
        freshness.record(FreshnessStamp(version="7", store_time=0.0))
        for reading in readings:
            before = freshness.compute_age(now=200.0)
            freshness.confirm(FreshnessStamp(version="7", store_time=reading))
            self.assertLessEqual(freshness.compute_age(now=200.0), before)

    def test_entries_may_come_back_for_two_seconds_after_an_outage(self) -> None:
        self.freshness.record(FreshnessStamp(version="a", store_time=1.0))
        self.freshness.record_failure()
        self.freshness.record(FreshnessStamp(version="b", store_time=1.0 + OUTAGE_GAP_S + 0.1))
        self.assertTrue(self.freshness.is_recovering())
        self.freshness.record(FreshnessStamp(version="c", store_time=4.0))
        self.assertTrue(self.freshness.is_recovering())
        self.freshness.record(FreshnessStamp(version="c", store_time=4.8))
        self.assertFalse(self.freshness.is_recovering())

    def test_a_slow_instance_is_no_outage_of_the_store(self) -> None:
        """A gap between two stamps without a failed read is no outage.

        An instance that stalled for two seconds took the gap for a store outage and kept an
        endpoint that had left meanwhile, so a call reached it seconds after its entry was removed.
        """
        self.freshness.record(FreshnessStamp(version="a", store_time=1.0))
        self.freshness.record(FreshnessStamp(version="b", store_time=1.0 + OUTAGE_GAP_S + 0.4))
        self.assertFalse(self.freshness.is_recovering())

    def test_one_failed_read_is_no_outage(self) -> None:
        self.freshness.record(FreshnessStamp(version="a", store_time=1.0))
        self.freshness.record_failure()
        self.freshness.record(FreshnessStamp(version="b", store_time=1.0 + OUTAGE_GAP_S - 0.1))
        self.freshness.record(FreshnessStamp(version="c", store_time=9.0))
        self.assertFalse(self.freshness.is_recovering())


if __name__ == "__main__":
    unittest.main()
