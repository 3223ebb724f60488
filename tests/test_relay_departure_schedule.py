"""Tests of the moments of a departure when its signal is received late."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.caller_addresses import VALIDITY_S
from guavamast.relay.departure_schedule import (
    ADDRESS_CACHE_FACTOR,
    LAST_SHARE,
    STOP_MARGIN_S,
    DepartureSchedule,
)

RECEIVED_AT = 100.0
TOLERANCE_S = 1e-6


def begin(*, grace_s: float, delay_s: float) -> DepartureSchedule:
    """Return the schedule of an instance that has received its signal."""
    schedule = DepartureSchedule(grace_s=grace_s)
    schedule.begin(now=RECEIVED_AT, delay_s=delay_s)
    return schedule


class LateSignalTest(unittest.TestCase):
    """An instance receives its signal later than it was sent."""

    def test_forecasts_end_before_the_addresses_of_callers_do(self) -> None:
        """Guards against relying on a forecast for a request that callers may no longer send."""
        schedule = begin(grace_s=8.0, delay_s=0.4)
        expire_at = RECEIVED_AT - 0.4 + ADDRESS_CACHE_FACTOR * VALIDITY_S
        self.assertLess(schedule.forecasts_until, expire_at)

    @given(grace_s=st.floats(1.0, 60.0), delay_s=st.floats(0.0, 10.0))
    def test_no_delay_is_too_long_for_forecasts_to_end_in_time(
        self, grace_s: float, delay_s: float
    ) -> None:
        """Guards against a long delay that counts in part only, as for the end of requests.

        Callers may no longer send from 3 s after the signal on, and what passes on a forecast then
        and is cut is lost. To rely on no forecast costs a rejection, however long the delay was.
        """
        schedule = begin(grace_s=grace_s, delay_s=delay_s)
        expire_at = RECEIVED_AT - delay_s + ADDRESS_CACHE_FACTOR * VALIDITY_S
        self.assertLess(schedule.forecasts_until, expire_at)

    def test_the_process_ends_before_it_is_killed(self) -> None:
        """Guards against a process that is killed before it has said what it cut."""
        schedule = begin(grace_s=8.0, delay_s=STOP_MARGIN_S)
        killed_at = RECEIVED_AT - STOP_MARGIN_S + 8.0
        self.assertLess(schedule.ends_at, killed_at)
        self.assertLess(schedule.exits_at, killed_at)

    @given(grace_s=st.floats(1.0, 60.0), delay_s=st.floats(0.0, 10.0))
    def test_the_last_lines_are_written_after_the_last_connection_and_before_the_end(
        self, grace_s: float, delay_s: float
    ) -> None:
        """Guards against connections that are waited for until the process is killed."""
        schedule = begin(grace_s=grace_s, delay_s=delay_s)
        self.assertGreaterEqual(schedule.closes_at, schedule.ends_at)
        self.assertLessEqual(schedule.closes_at, schedule.exits_at + TOLERANCE_S)

    def test_requests_are_accepted_as_long_as_without_a_delay(self) -> None:
        """Guards against closing to callers that still hold the address, for a delay supposed."""
        late = begin(grace_s=8.0, delay_s=0.4)
        self.assertEqual(late.accepts_until, begin(grace_s=8.0, delay_s=0.0).accepts_until)

    @given(grace_s=st.floats(1.0, 60.0), delay_s=st.floats(0.0, 10.0))
    def test_no_request_ends_before_the_last_share_of_the_grace_time(
        self, grace_s: float, delay_s: float
    ) -> None:
        """Guards against cutting streams early for a supposed delay, or in a short grace time.

        The margins before the end count from the end. Where the grace time is short, fixed ones
        would reach back beyond its last sixth, before which the platform lets no stream be cut.
        """
        schedule = begin(grace_s=grace_s, delay_s=delay_s)
        begins_at = RECEIVED_AT + (1.0 - LAST_SHARE) * grace_s
        self.assertGreaterEqual(schedule.requests_end_at, begins_at - TOLERANCE_S)
        self.assertLess(schedule.requests_end_at, schedule.ends_at)


if __name__ == "__main__":
    unittest.main()
