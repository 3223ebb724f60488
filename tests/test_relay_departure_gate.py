"""Tests of what a leaving instance still sends to endpoints."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.caller_addresses import VALIDITY_S
from guavamast.relay.departure_gate import DepartureGate
from guavamast.relay.departure_schedule import ADDRESS_CACHE_FACTOR, DepartureSchedule
from guavamast.relay.response_durations import ResponseDurations
from tests.test_relay_quarantine_guard import build_progress

ROUTE = "r"
SIGNAL_AT = 100.0


class DepartureGateTest(unittest.TestCase):
    """An instance with 8 s of grace time that is told to leave at 100 s."""

    def setUp(self) -> None:
        self.schedule = DepartureSchedule(grace_s=8.0)
        self.durations = ResponseDurations()
        self.gate = DepartureGate(schedule=self.schedule, durations=self.durations)

    def is_sent(self, *, now: float, time_left_s: float, output_tokens: int = 0) -> bool:
        """Return whether a request is sent that has some time left by itself."""
        progress = build_progress()
        progress.deadline = now + time_left_s
        progress.output_tokens = output_tokens
        return self.gate.find_denial(progress, now=now) is None

    def record(self, *durations_s: float, output_tokens: int = 0) -> None:
        for duration_s in durations_s:
            progress = build_progress()
            progress.output_tokens = output_tokens
            self.gate.record_response(progress, sent_at=50.0, now=50.0 + duration_s)

    def test_an_instance_that_stays_sends_everything(self) -> None:
        self.record(20.0)
        self.assertTrue(self.is_sent(now=99.0, time_left_s=60.0))

    def test_a_stream_that_lasts_longer_than_the_instance_is_not_sent(self) -> None:
        """Guards against streams that are taken after the signal only to be cut."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(6.0, 6.2, 5.9)
        self.assertTrue(self.is_sent(now=100.5, time_left_s=12.0))
        self.assertFalse(self.is_sent(now=101.5, time_left_s=12.0))

    def test_what_usually_ends_in_time_is_sent_while_callers_hold_the_address(self) -> None:
        """Guards against rejecting short streams for the deadline of the longest ones."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(0.5, 0.6, 3.0)
        self.assertTrue(self.is_sent(now=102.8, time_left_s=12.0))

    def test_a_long_request_is_not_judged_by_the_short_ones_of_its_route(self) -> None:
        """Guards against long streams that are sent since the short ones of their route end."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(*[0.3] * 60, output_tokens=30)
        self.assertFalse(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=600))
        self.assertTrue(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=40))

    def test_a_short_request_is_not_judged_by_the_long_ones_of_its_route(self) -> None:
        """Guards against rejecting short streams since the long ones of their route don't end."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(*[6.0] * 100, output_tokens=600)
        self.record(*[0.3] * 100, output_tokens=30)
        self.assertTrue(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=30))
        self.assertFalse(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=500))

    def test_a_request_that_states_no_tokens_is_not_judged_by_the_shortest_ones(self) -> None:
        """Guards against taking an unknown length for a short one, and cutting the stream.

        Half of a route's streams state 30 tokens and end at once, half state 600 and last 6 s. One
        that states none may be of either kind.
        """
        self.schedule.begin(now=SIGNAL_AT)
        for _ in range(100):
            self.record(6.0, output_tokens=600)
            self.record(0.3, output_tokens=30)
        self.assertFalse(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=0))
        self.assertTrue(self.is_sent(now=102.6, time_left_s=12.0, output_tokens=30))

    def test_without_any_response_yet_requests_are_sent_while_callers_hold_the_address(
        self,
    ) -> None:
        self.schedule.begin(now=SIGNAL_AT)
        self.assertTrue(self.is_sent(now=102.8, time_left_s=12.0))

    def test_nothing_is_sent_once_the_time_of_all_requests_is_ended(self) -> None:
        """Guards against a request that runs at an engine and is cut in the same moment.

        Callers hold the address of an instance with 2 s of grace time beyond its end. One that has
        waited for its admission until then would be sent, and its caller told that it may have run.
        """
        self.schedule = DepartureSchedule(grace_s=2.0)
        self.gate = DepartureGate(schedule=self.schedule, durations=self.durations)
        self.schedule.begin(now=SIGNAL_AT)
        self.assertTrue(self.is_sent(now=101.0, time_left_s=12.0))
        self.assertFalse(self.is_sent(now=self.schedule.requests_end_at, time_left_s=12.0))

    def test_a_request_whose_own_time_ends_first_is_always_sent(self) -> None:
        """Guards against rejecting calls that can't outlast the instance, whatever they take."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(30.0)
        for now in (100.0, 103.0, 103.4):
            self.assertTrue(self.is_sent(now=now, time_left_s=3.0))

    def test_a_stream_that_has_begun_goes_on(self) -> None:
        """Guards against a stream that is cut where it could be resumed at another endpoint."""
        self.schedule.begin(now=SIGNAL_AT)
        self.record(30.0)
        progress = build_progress()
        progress.deadline = 160.0
        progress.timing.record_event(now=104.0, uncached_tokens=0)
        self.assertIsNone(self.gate.find_denial(progress, now=104.0))

    @given(
        after_s=st.floats(0.0, 8.0),
        time_left_s=st.floats(0.0, 30.0),
        durations_s=st.lists(st.floats(0.0, 30.0), max_size=5),
    )
    def test_nothing_sent_late_can_outlast_the_instance(
        self, after_s: float, time_left_s: float, durations_s: list[float]
    ) -> None:
        """Guards against cuts that rest on a forecast once callers' addresses have expired."""
        self.setUp()
        self.schedule.begin(now=SIGNAL_AT)
        self.record(*durations_s)
        now = SIGNAL_AT + after_s
        if after_s >= ADDRESS_CACHE_FACTOR * VALIDITY_S and self.is_sent(
            now=now, time_left_s=time_left_s
        ):
            self.assertLessEqual(now + time_left_s, self.schedule.requests_end_at)


if __name__ == "__main__":
    unittest.main()
