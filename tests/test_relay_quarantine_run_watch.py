"""Tests of when an answer has gone on long enough."""

from __future__ import annotations

import unittest

from guavamast.relay.quarantine import RunWatch
from guavamast.relay.quarantine.run_watch import LASTING_S


class RunWatchTest(unittest.TestCase):
    """An answer that goes on shows that its endpoint outlived its begin."""

    def setUp(self) -> None:
        self.began: list[float] = []
        self.watch = RunWatch(on_lasting=self.began.append)

    def record(self, *times: float) -> None:
        for now in times:
            self.watch.record_event(now=now)

    def test_events_over_a_second_show_it_once(self) -> None:
        self.record(*(10.0 + 0.1 * number for number in range(30)))
        self.assertEqual(self.began, [10.0])

    def test_a_short_answer_shows_nothing(self) -> None:
        self.record(10.0, 10.1, 10.0 + LASTING_S - 0.1)
        self.assertEqual(self.began, [])

    def test_a_suspended_process_shows_nothing(self) -> None:
        """Guards against the last events of an ended endpoint that are read seconds later."""
        self.record(10.0, 10.1, 15.0)
        self.assertEqual(self.began, [])


if __name__ == "__main__":
    unittest.main()
