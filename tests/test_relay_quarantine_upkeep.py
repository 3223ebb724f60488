"""Tests of the background work of the quarantines."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

from guavamast.relay.quarantine import PROMPT_PART, QuarantineLedger, name_part
from guavamast.relay.quarantine.upkeep import ROUND_INTERVAL_S, QuarantineUpkeep
from tests.test_relay_quarantine_evidence import build_end

PART = name_part("p")
MID_ROUND_S = 0.1
"""Seconds after the first round at which enough ends have settled."""
TIMER_SLACK_S = 0.01


class QuarantineUpkeepTest(unittest.IsolatedAsyncioTestCase):
    """Decisions are taken as soon as their evidence suffices."""

    def setUp(self) -> None:
        self.now = 100.0
        self.ledger = QuarantineLedger(domain="a", window_s=3.0)
        self.held_at: list[float] = []
        self.guard = mock.Mock()
        rows = mock.AsyncMock(loaded=True, has_leftovers=False)
        rows.forget = mock.Mock()
        self.upkeep = QuarantineUpkeep(
            ledger=self.ledger,
            losses=mock.MagicMock(),
            guard=self.guard,
            rows=rows,
            answered_parts=mock.Mock(is_common=mock.Mock(return_value=False)),
            log=mock.Mock(),
            counters=mock.Mock(),
            send=self.record_report,
            rank_sender=lambda: 1,
            read_time=lambda: self.now,
        )

    def record_report(self, _: bytes) -> None:
        """Record when other instances are told of the quarantine."""
        if self.ledger.find(PART) is not None:
            self.held_at.append(self.now)

    async def sleep(self, delay_s: float) -> None:
        """Let the clock go on; end the work after two rounds."""
        self.now += delay_s
        if self.now > 100.0 + 2 * ROUND_INTERVAL_S:
            raise asyncio.CancelledError

    async def test_a_decision_is_taken_once_its_evidence_has_settled(self) -> None:
        """Guards against a part that is sent until the next round, though all is known."""
        first_at = self.now + MID_ROUND_S - PROMPT_PART.settle_s
        for number in range(PROMPT_PART.min_ends):
            at = first_at - PROMPT_PART.min_ends + 1 + number
            self.ledger.record_end(build_end(number, PART, at=at), now=at)
        with (
            mock.patch("guavamast.relay.quarantine.upkeep.asyncio.sleep", self.sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.upkeep.run()
        self.assertLess(self.held_at[0], 100.0 + MID_ROUND_S + TIMER_SLACK_S)

    async def test_decisions_between_rounds_cost_no_further_round(self) -> None:
        for number in range(PROMPT_PART.min_ends):
            at = self.now - 1.5 + 0.1 * number
            self.ledger.record_end(build_end(number, PART, at=at), now=at)
        with (
            mock.patch("guavamast.relay.quarantine.upkeep.asyncio.sleep", self.sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.upkeep.run()
        self.assertLessEqual(self.guard.confirm_replaced.call_count, 3)


if __name__ == "__main__":
    unittest.main()
