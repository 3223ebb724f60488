"""Tests of how many lines callers' connections may write to the log."""

from __future__ import annotations

import os
import unittest

from guavamast.caller_connection import ConnectionTrace
from guavamast.relay.connection_log import log_connection
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import BURST_LINES, DecisionLog

CONNECTIONS = 2 * int(BURST_LINES)


class ConnectionLogTest(unittest.TestCase):
    """Many connections end at one moment, without a response."""

    def setUp(self) -> None:
        descriptor = os.open(os.devnull, os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        self.counters = Counters()
        self.log = DecisionLog(instance="one", descriptor=descriptor, counters=self.counters)

    def end_connections(self, *, request_complete: bool) -> str:
        """Log the ends; return the metrics."""
        for _ in range(CONNECTIONS):
            trace = ConnectionTrace(address="a:1", accepted_at=0.0, active_at=0.0)
            trace.request_complete = request_complete
            log_connection(self.log, "unanswered", trace, now=1.0)
        return self.counters.render()

    def test_connections_without_a_request_are_under_the_rate_limit(self) -> None:
        """Guards against callers without a key that fill the log by opening idle connections."""
        dropped = CONNECTIONS - int(BURST_LINES)
        line = f'log_lines_dropped_total{{event="unanswered"}} {dropped}'
        self.assertIn(line, self.end_connections(request_complete=False))

    def test_each_lost_request_has_a_line(self) -> None:
        """Guards against a cut of many requests at one moment that leaves no trace."""
        self.assertNotIn("log_lines_dropped", self.end_connections(request_complete=True))


if __name__ == "__main__":
    unittest.main()
