"""Tests of the loop delay, which distinguishes a slow process from a slow store."""

from __future__ import annotations

import unittest

from guavamast.relay.loop_delay import DELAY_WINDOW_S, LoopDelay


class LoopDelayTest(unittest.TestCase):
    """The greatest recent delay is reported, and none from long ago."""

    def test_the_greatest_delay_is_returned_until_it_expires(self) -> None:
        delay = LoopDelay()
        delay.record(0.4, now=10.0)
        delay.record(0.1, now=10.1)
        self.assertEqual(delay.read(now=10.2), 0.4)
        self.assertEqual(delay.read(now=10.0 + DELAY_WINDOW_S), 0.4)
        self.assertEqual(delay.read(now=10.0 + 2 * DELAY_WINDOW_S), 0.0)

    def test_a_long_pause_discards_earlier_delays(self) -> None:
        delay = LoopDelay()
        delay.record(0.4, now=10.0)
        delay.record(0.2, now=10.0 + 5 * DELAY_WINDOW_S)
        self.assertEqual(delay.read(now=10.0 + 5 * DELAY_WINDOW_S), 0.2)

    def test_what_is_overdue_counts_before_it_has_run(self) -> None:
        """Guards against taking a process for punctual that hasn't run since its loop was late.

        The first code that runs after the pause asks, and nothing has recorded the delay yet.
        """
        delay = LoopDelay()
        delay.record(0.1, now=10.0)
        with delay.expect(10.2), delay.expect(10.5):
            self.assertEqual(delay.read_present(now=10.2), 0.1)
            self.assertAlmostEqual(delay.read_present(now=10.9), 0.7)
        self.assertEqual(delay.read_present(now=10.9), 0.1)


if __name__ == "__main__":
    unittest.main()
