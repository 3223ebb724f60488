"""Tests of the log lines of requests."""

from __future__ import annotations

import json
import os
import unittest
from unittest import mock

from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.placement import Choice, Obstacle, ObstacleKind, Rejection
from guavamast.relay.request_metrics import RequestMetrics
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.response_end import BodyEnding, BodyFraming, ResponseEnd
from guavamast.relay.unserved_cause import UnservedCause
from tests.relay_fixtures import build_endpoint, build_request
from tests.test_relay_quarantine_guard import build_progress


class RequestRecorderTest(unittest.TestCase):
    """Lines tell an engineer on call what belongs together."""

    def setUp(self) -> None:
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        self.counters = Counters()
        self.schedule = DepartureSchedule(grace_s=8.0)
        self.recorder = RequestRecorder(
            log=DecisionLog(instance="one", descriptor=write_end),
            metrics=RequestMetrics(counters=self.counters),
            fleet_state=mock.Mock(),
            loop_delay=LoopDelay(),
            schedule=self.schedule,
        )

    def read_line(self) -> dict[str, object]:
        return dict(json.loads(os.read(self.read_end, 4096)))

    def test_a_lost_attempt_names_the_content(self) -> None:
        """Guards against losses of one content that look unrelated, as each has its own id."""
        failure = AttemptFailed(FailureKind.LOST, "reset")
        self.recorder.record_failure(
            build_request(),
            build_endpoint("x"),
            failure,
            attributes=("c0ffee",),
            silence_s=None,
            now=101.0,
        )
        line = self.read_line()
        self.assertEqual((line["event"], line["attributes"]), ("attempt_failed", "c0ffee"))

    def test_a_failed_attempt_tells_since_when_the_service_is_silent(self) -> None:
        """Guards against a lost path of an instance that looks like a failed endpoint."""
        failure = AttemptFailed(FailureKind.NOT_CONNECTED, "connect: TimeoutError")
        self.recorder.record_failure(
            build_request(),
            build_endpoint("x", service="portal"),
            failure,
            attributes=None,
            silence_s=1.204,
            now=101.0,
        )
        line = self.read_line()
        self.assertEqual(
            (line["service"], line["connection"], line["service_silent_s"]),
            ("portal", "none", 1.2),
        )

    def test_a_refusal_tells_what_held_the_request_back(self) -> None:
        """Guards against refusals at idle engines that look like those at full ones."""
        obstacle = Obstacle(
            kind=ObstacleKind.CLAIM, precedence=2, waiting=12, open_engines=12, engines=12
        )
        self.recorder.record_capacity_rejection(
            build_request(),
            Rejection(retry_after_s=0.5, obstacle=obstacle),
            Choice(record=build_endpoint("x"), forecast=None, uncached_tokens=10),
            scheduled=None,
            progress=build_progress(),
            now=101.0,
        )
        line = self.read_line()
        self.assertEqual(
            (line["held_by"], line["held_for_precedence"], line["held_for_waiting"]),
            ("claim", 2, 12),
        )
        self.assertIn('held_back_total{precedence="22",by="claim"} 1', self.counters.render())

    def test_a_failed_attempt_tells_how_its_response_was_framed_and_ended(self) -> None:
        """Guards against an ordered end, a reset and a forwarder's end that look alike."""
        failure = AttemptFailed(FailureKind.LOST, "stream ended inside an event")
        failure.end = ResponseEnd(
            framing=BodyFraming.CONNECTION,
            ending=BodyEnding.CLOSED,
            held_bytes=9,
            inside_event=True,
            forwarder="two",
        )
        self.recorder.record_failure(
            build_request(),
            build_endpoint("x"),
            failure,
            attributes=None,
            silence_s=None,
            now=101.0,
        )
        line = self.read_line()
        self.assertEqual((line["framing"], line["ending"]), ("connection", "closed"))
        self.assertEqual((line["held_bytes"], line["forwarder"]), (9, "two"))
        self.assertIs(line["inside_event"], True)
        labels = 'framing="connection",ending="closed",inside_event="true"'
        self.assertIn(f"response_ends_total{{{labels}}} 1", self.counters.render())

    def test_a_request_cut_by_a_departure_tells_when_it_was_received(self) -> None:
        """Guards against a cut request that looks as if its own time had been up."""
        request = build_request(received_at=104.0)
        self.schedule.begin(now=101.5)
        self.recorder.record_end(
            request,
            build_progress(),
            cause=UnservedCause.INSTANCE_LEFT,
            outcome="broken_off",
            now=108.0,
        )
        line = self.read_line()
        self.assertEqual((line["cause"], line["received_after_signal_s"]), ("instance_left", 2.5))
        self.assertIn('ended_by_leaving_total{received="after"} 1', self.counters.render())

    def test_a_failed_attempt_tells_the_software_of_its_endpoint(self) -> None:
        """Guards against endpoints of several versions that look alike in the log."""
        endpoint = build_endpoint("x", software_version="v1.2", started_ms=17)
        failure = AttemptFailed(FailureKind.LOST, "reset")
        self.recorder.record_failure(
            build_request(), endpoint, failure, attributes=None, silence_s=None, now=101.0
        )
        line = self.read_line()
        self.assertEqual((line["software_version"], line["started_ms"]), ("v1.2", 17))

    def test_a_response_that_never_began_has_no_end(self) -> None:
        failure = AttemptFailed(FailureKind.LOST, "reset")
        self.recorder.record_failure(
            build_request(),
            build_endpoint("x"),
            failure,
            attributes=None,
            silence_s=None,
            now=101.0,
        )
        self.assertIsNone(self.read_line()["framing"])
        self.assertNotIn("response_ends_total", self.counters.render())


if __name__ == "__main__":
    unittest.main()
