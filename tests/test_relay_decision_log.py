"""Tests of the log lines that are left out under load."""

from __future__ import annotations

import json
import os
import unittest

from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import BURST_LINES, RESERVED_LINES, DecisionLog

PIPE_BYTES = 1_000_000
"""More than a pipe holds."""


class DecisionLogTest(unittest.TestCase):
    """Lines that tell how a request ended outlast those that tell its way."""

    def setUp(self) -> None:
        self.read_end, self.write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, self.write_end)
        self.counters = Counters()
        self.log = DecisionLog(instance="one", descriptor=self.write_end, counters=self.counters)

    def read_events(self) -> list[str]:
        lines = os.read(self.read_end, PIPE_BYTES).splitlines()
        return [json.loads(line)["event"] for line in lines]

    def test_the_ends_of_requests_are_logged_after_routine_lines_are_dropped(self) -> None:
        """Guards against a burst whose rejections are dropped while its sends are logged."""
        for _ in range(int(BURST_LINES)):
            self.log.write("sent", now=1.0)
        for _ in range(int(RESERVED_LINES)):
            self.log.write("refused", now=1.0)
        events = self.read_events()
        self.assertEqual(events.count("refused"), int(RESERVED_LINES))
        self.assertEqual(events.count("sent"), int(BURST_LINES - RESERVED_LINES))
        dropped = f'guavamast_log_lines_dropped_total{{event="sent"}} {RESERVED_LINES:g}'
        self.assertIn(dropped, self.counters.render())

    def test_lines_that_no_reader_takes_are_kept_but_for_routine_ones(self) -> None:
        """Guards against a reader that pauses for a moment and misses how requests ended."""
        filled = 0
        try:
            while True:
                filled += os.write(self.write_end, b"x" * 4_096)
        except BlockingIOError:
            pass
        for _ in range(5):
            self.log.write("refused", now=1.0)
            self.log.write("sent", now=1.0)
        while filled:
            filled -= len(os.read(self.read_end, filled))
        self.log.write("stopped", now=1.0)
        self.assertEqual(self.read_events(), ["refused"] * 5 + ["stopped"])

    def test_lines_that_a_gone_reader_never_takes_are_counted_as_dropped(self) -> None:
        """Guards against metrics by which a log that nobody gets is in order."""
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, write_end)
        os.close(read_end)
        log = DecisionLog(instance="one", descriptor=write_end, counters=self.counters)
        for _ in range(3):
            log.write("refused", now=1.0)
        self.assertIn('log_lines_dropped_total{event="refused"} 3', self.counters.render())

    def test_a_full_disk_does_not_fail_what_is_logged(self) -> None:
        """Guards against requests, and a whole departure, that end as their log can't be written.

        The log goes to a file and its disk is full. Each line is written in the middle of what it
        tells of, so an error there ends a request, or at SIGTERM the process with all its streams.
        """
        descriptor = os.open("/dev/full", os.O_WRONLY)
        self.addCleanup(os.close, descriptor)
        log = DecisionLog(instance="one", descriptor=descriptor, counters=self.counters)
        for _ in range(int(BURST_LINES)):
            log.write("refused", now=1.0, reason="x" * 400)
        self.assertIn('log_lines_dropped_total{event="refused"}', self.counters.render())


if __name__ == "__main__":
    unittest.main()
