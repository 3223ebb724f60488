"""Tests of the check that less urgent work doesn't begin where more urgent requests get nothing."""

from __future__ import annotations

import unittest

from guavamast.urgency_order import BegunWork, RequestOutcome, find_worst_windows

POOL = "pool"


def build_outcomes(
    count: int, unserved: int, *, spread_s: float = 1.0, from_s: float = 0.0
) -> list[RequestOutcome]:
    """Return requests that are asked for one after the other, the unserved ones first."""
    return [
        RequestOutcome(
            service=POOL,
            kind="photo",
            precedence=1,
            tokens=1_000,
            asked_at=from_s + spread_s * number / count,
            served=number >= unserved,
        )
        for number in range(count)
    ]


def build_work(tokens: int, *, began_at: float = 0.5, precedence: int = 2) -> BegunWork:
    """Return one request that an endpoint began to work on."""
    return BegunWork(service=POOL, precedence=precedence, tokens=tokens, began_at=began_at)


class UrgencyOrderTest(unittest.TestCase):
    """Ten requests, over a twelfth, and twice their tokens: all three, within five seconds."""

    def test_all_three_bounds_together_are_a_violation(self) -> None:
        """Guards against a check that sees no violation."""
        (window,) = find_worst_windows(build_outcomes(100, 10), [build_work(25_000)])
        self.assertGreaterEqual(window.used_share, 1.0)
        self.assertEqual((window.requests, window.unserved), (100, 10))
        self.assertEqual(window.less_urgent_tokens, 25_000)

    def test_each_bound_alone_is_allowed(self) -> None:
        """Guards against a violation that is reported where one bound is kept."""
        for outcomes, work in (
            (build_outcomes(40, 9), build_work(100_000)),
            (build_outcomes(300, 20), build_work(100_000)),
            (build_outcomes(100, 20), build_work(18_000)),
            (build_outcomes(100, 20), build_work(100_000, precedence=1)),
            (build_outcomes(100, 20), build_work(100_000, began_at=7.0)),
            (build_outcomes(20, 20, spread_s=30.0), build_work(100_000)),
        ):
            (window,) = find_worst_windows(outcomes, [work])
            self.assertLess(window.used_share, 1.0, window)

    def test_the_worst_window_is_found_wherever_it_begins(self) -> None:
        """Guards against windows at fixed times, which split a violation in two."""
        outcomes = [
            *build_outcomes(100, 6, spread_s=0.1, from_s=4.5),
            *build_outcomes(100, 6, spread_s=0.1, from_s=5.5),
        ]
        (window,) = find_worst_windows(outcomes, [build_work(50_000, began_at=5.0)])
        self.assertEqual(window.unserved, 12)
        self.assertAlmostEqual(window.used_share, 12 / (200 / 12))


if __name__ == "__main__":
    unittest.main()
