"""Tests of the log lines of requests."""

from __future__ import annotations

import json
import os
import unittest
from unittest import mock

from guavamast.relay.attempt import AttemptFailed, FailureKind
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.request_recorder import RequestRecorder
from tests.relay_fixtures import build_endpoint, build_request


class RequestRecorderTest(unittest.TestCase):
    """Lines tell an engineer on call what belongs together."""

    def test_a_lost_attempt_names_the_content(self) -> None:
        """Guards against losses of one content that look unrelated, as each has its own id."""
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        self.addCleanup(os.close, write_end)
        recorder = RequestRecorder(
            log=DecisionLog(instance="one", descriptor=write_end),
            counters=Counters(),
            fleet_state=mock.Mock(),
            loop_delay=LoopDelay(),
        )
        failure = AttemptFailed(FailureKind.LOST, "reset")
        recorder.record_failure(
            build_request(), build_endpoint("x"), failure, content="c0ffee", now=101.0
        )
        line = json.loads(os.read(read_end, 4096))
        self.assertEqual((line["event"], line["content"]), ("attempt_failed", "c0ffee"))


if __name__ == "__main__":
    unittest.main()
