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
        self.rank = 1
        self.rows = mock.AsyncMock(loaded=True, has_leftovers=False)
        self.rows.forget_rows = mock.Mock()
        self.rows.forget_evidence = mock.Mock()
        self.upkeep = QuarantineUpkeep(
            ledger=self.ledger,
            losses=mock.MagicMock(),
            guard=self.guard,
            rows=self.rows,
            answered_parts=mock.Mock(is_common=mock.Mock(return_value=False)),
            log=mock.Mock(),
            counters=mock.Mock(),
            send=self.record_report,
            rank_sender=lambda: min(self.rank, 1),
            rank_saver=lambda: self.rank,
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

    async def work(self) -> None:
        """Work for two rounds."""
        with (
            mock.patch("guavamast.relay.quarantine.upkeep.asyncio.sleep", self.sleep),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.upkeep.run()

    async def test_a_decision_is_taken_once_its_evidence_has_settled(self) -> None:
        """Guards against a part that is sent until the next round, though all is known."""
        first_at = self.now + MID_ROUND_S - PROMPT_PART.settle_s
        for number in range(PROMPT_PART.min_ends):
            at = first_at - PROMPT_PART.min_ends + 1 + number
            self.ledger.record_end(build_end(number, PART, at=at), now=at)
        await self.work()
        self.assertLess(self.held_at[0], 100.0 + MID_ROUND_S + TIMER_SLACK_S)

    async def test_decisions_between_rounds_cost_no_further_round(self) -> None:
        for number in range(PROMPT_PART.min_ends):
            at = self.now - 1.5 + 0.1 * number
            self.ledger.record_end(build_end(number, PART, at=at), now=at)
        await self.work()
        self.assertLessEqual(self.guard.confirm_replaced.call_count, 3)

    async def test_two_instances_save_evidence(self) -> None:
        """Guards against evidence that is lost as the one that saves it is killed before all."""
        for rank, saves in ((0, True), (1, True), (2, False)):
            with self.subTest(rank=rank):
                self.setUp()
                self.rank = rank
                self.ledger.record_end(build_end(1, PART, at=self.now), now=self.now)
                await self.work()
                self.assertEqual(self.rows.save_evidence.await_count > 0, saves)
                self.assertEqual(self.rows.synchronize.await_count > 0, rank == 0)


if __name__ == "__main__":
    unittest.main()
