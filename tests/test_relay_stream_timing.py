"""Tests of a stream's recorded event times and of its lateness."""

from __future__ import annotations

import unittest

from guavamast.relay.catalog import RouteKind
from guavamast.relay.stream_timing import Lateness, StreamTiming
from tests.relay_fixtures import build_route


class StreamTimingTest(unittest.TestCase):
    """A stream is late by its first event or its longest pause, from whichever endpoint."""

    def setUp(self) -> None:
        self.route = build_route(kind=RouteKind.STREAM, objective_s=0.25, longest_pause_s=0.12)
        self.timing = StreamTiming(received_at=10.0)

    def record_events(self, *times: float) -> None:
        for now in times:
            self.timing.record_event(uncached_tokens=int(now * 100), now=now)

    def test_in_time(self) -> None:
        self.record_events(10.2, 10.3, 10.41)
        self.assertIsNone(self.timing.classify_lateness(self.route, took_s=0.41))
        self.assertAlmostEqual(self.timing.first_event_s or 0.0, 0.2)

    def test_a_long_pause_is_the_cause_and_records_uncached_tokens(self) -> None:
        self.record_events(10.1, 10.2, 10.35, 10.4)
        self.assertEqual(self.timing.classify_lateness(self.route, took_s=0.4), Lateness.PAUSE)
        self.assertAlmostEqual(self.timing.longest_pause_s, 0.15)
        self.assertEqual(self.timing.uncached_tokens_at_longest_pause, 1035)

    def test_a_late_first_event_is_the_cause_before_later_pauses(self) -> None:
        self.record_events(10.3, 10.9)
        self.assertEqual(
            self.timing.classify_lateness(self.route, took_s=0.9), Lateness.FIRST_EVENT
        )

    def test_an_answer_without_events_is_due_as_a_whole(self) -> None:
        self.assertEqual(self.timing.classify_lateness(self.route, took_s=0.3), Lateness.ANSWER)
        self.assertIsNone(self.timing.classify_lateness(self.route, took_s=0.2))


if __name__ == "__main__":
    unittest.main()
