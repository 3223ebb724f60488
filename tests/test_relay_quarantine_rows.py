"""Tests of the rows of quarantines in the store."""

from __future__ import annotations

import asyncio
import os
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.quarantine import (
    PROMPT_PART,
    QuarantineLedger,
    QuarantineRows,
    Verdict,
    name_part,
)
from guavamast.relay.quarantine.ledger import MAX_TRIALS, TRIAL_AFTER_S
from guavamast.relay.quarantine.rows import ROW_READ_INTERVAL_S
from guavamast.relay.quarantine.upkeep import ROUND_INTERVAL_S
from guavamast.relay.store import QuarantineRow, StoreError
from tests.test_relay_caller_admission import AdmissionSimulation
from tests.test_relay_quarantine_evidence import build_end
from tests.test_relay_quarantine_ledger import end_three

if TYPE_CHECKING:
    from collections.abc import Callable

PART = name_part("p")
REPORT_DELAY_S = 0.4
"""Seconds from an end until an instance has found it."""
MAX_UNREAD_S = 1.5
"""Seconds in which an instance reads the rows of a store that is back: half of the window."""
TEST_TIMEOUT_S = 10.0


class RowStore(AdmissionSimulation):
    """A store that keeps rows of quarantines."""

    def __init__(self) -> None:
        super().__init__()
        self.rows: dict[str, QuarantineRow] = {}
        self.evidence: dict[int, bytes] = {}
        self.calls = 0
        self.loses_answers = False
        """Whether evidence is written and the write is never answered."""
        self.on_read: Callable[[], object] = lambda: None
        """Called before each read of the rows."""

    async def read_quarantine(self) -> list[QuarantineRow]:
        self.on_read()
        self.count_call()
        return list(self.rows.values())

    async def read_evidence(self) -> list[bytes]:
        self.count_call()
        return list(self.evidence.values())

    async def write_evidence(self, report: bytes | None, *, rank: int) -> None:
        self.count_call()
        if report is not None:
            self.evidence[rank] = report
        elif rank == 0:
            self.evidence.clear()
        else:
            self.evidence.pop(rank, None)
        if self.loses_answers:
            await asyncio.get_running_loop().create_future()

    async def write_quarantine(self, row: QuarantineRow) -> bool:
        self.count_call()
        known = self.rows.get(row.attribute)
        if row.version != (known.version if known is not None else 0):
            return False
        self.rows[row.attribute] = replace(row, version=row.version + 1)
        return True

    async def remove_quarantine(self, attribute: str) -> None:
        self.count_call()
        self.rows.pop(attribute, None)

    def count_call(self) -> None:
        """Count a call, or fail it while the store is away."""
        self.calls += 1
        if self.unavailable:
            raise StoreError("away")


class QuarantineRowsTest(unittest.IsolatedAsyncioTestCase):
    """Quarantines outlast all instances, and trials are granted once."""

    async def asyncSetUp(self) -> None:
        self.store = RowStore()
        self.ledger, self.rows = await self.start_instance()
        self.store.now = end_three(self.ledger)
        self.ledger.decide(now=self.store.now)

    async def start_instance(self) -> tuple[QuarantineLedger, QuarantineRows]:
        ledger = QuarantineLedger(domain="a", window_s=3.0)
        rows = QuarantineRows(
            store=self.store,
            ledger=ledger,
            log=DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY)),
            read_time=lambda: self.store.now,
        )
        await rows.load()
        return ledger, rows

    async def test_a_new_instance_reads_what_is_held(self) -> None:
        """Guards against a fleet that is killed all at once and ends as many endpoints again."""
        await self.rows.synchronize()
        ledger, _ = await self.start_instance()
        self.assertIs(ledger.assess("x", now=self.store.now), Verdict.QUARANTINED)

    async def test_a_quarantine_costs_one_write(self) -> None:
        await self.rows.synchronize()
        calls = self.store.calls
        for _ in range(8):
            self.store.now += 0.5
            await self.rows.synchronize()
        self.assertEqual(self.store.calls, calls)

    async def test_a_write_that_failed_is_repeated(self) -> None:
        self.store.unavailable = True
        await self.rows.synchronize()
        self.assertEqual(self.store.rows, {})
        self.store.unavailable = False
        await self.rows.synchronize()
        self.assertIn("x", self.store.rows)

    async def test_one_of_two_instances_gets_the_trial(self) -> None:
        await self.rows.synchronize()
        other_ledger, other_rows = await self.start_instance()
        self.store.now += TRIAL_AFTER_S
        self.assertTrue(await self.rows.claim_trial("x"))
        self.assertFalse(await other_rows.claim_trial("x"))
        self.assertIs(other_ledger.assess("x", now=self.store.now), Verdict.QUARANTINED)

    async def test_no_more_trials_are_granted_than_allowed(self) -> None:
        granted = 0
        for _ in range(6):
            self.store.now += TRIAL_AFTER_S
            _, rows = await self.start_instance()
            for one in (self.rows, rows):
                granted += await one.claim_trial("x")
        self.assertEqual(granted, MAX_TRIALS)

    async def test_no_trial_without_the_store(self) -> None:
        self.store.unavailable = True
        self.assertFalse(await self.rows.claim_trial("x"))

    async def test_an_operator_releases_a_content(self) -> None:
        await self.rows.synchronize()
        self.store.rows["x"] = replace(self.store.rows["x"], lifted_by="ana")
        self.store.now += ROW_READ_INTERVAL_S
        await self.rows.synchronize()
        self.assertIsNone(self.ledger.find("x"))
        self.assertEqual(self.store.rows, {})

    async def test_the_row_of_an_answered_content_is_removed(self) -> None:
        """Guards against a row that puts an innocent content back after a restart."""
        await self.rows.synchronize()
        self.ledger.clear("x", now=self.store.now)
        self.assertTrue(self.rows.has_leftovers)
        self.store.now += ROW_READ_INTERVAL_S
        await self.rows.synchronize()
        self.assertIsNone(self.ledger.find("x"))
        self.assertEqual(self.store.rows, {})
        self.assertFalse(self.rows.has_leftovers)

    async def test_evidence_below_a_decision_outlasts_all_instances(self) -> None:
        """Guards against a fleet that is killed after two ends and allows three more."""
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=1.0), now=1.0)
        ledger.record_end(build_end(2, "y", at=4.0), now=4.0)
        self.store.now = 4.1
        await rows.save_evidence(rank=0)
        self.store.now = 8.0
        restarted, _ = await self.start_instance()
        self.assertEqual(restarted.count_ends("y"), 2)
        restarted.record_end(build_end(3, "y", at=9.0), now=9.0)
        self.assertEqual([one.attribute for one in restarted.decide(now=10.0).held], ["y"])

    async def test_saved_ends_have_settled_as_long_as_the_fleet_knew_them(self) -> None:
        """Guards against a fleet that is killed before a decision and lets all settle once more."""
        ledger, rows = await self.start_instance()
        for number in range(4):
            at = 1.0 + number
            ledger.record_end(build_end(number, PART, at=at - REPORT_DELAY_S), now=at)
        self.store.now = 5.0
        await rows.save_evidence(rank=0)
        self.store.now = 9.0
        restarted, _ = await self.start_instance()
        left_s = PROMPT_PART.settle_s - 1.0
        self.assertEqual(restarted.decide(now=9.0 + left_s - 0.1).held, [])
        held = restarted.decide(now=9.0 + left_s + 0.1).held
        self.assertEqual([one.attribute for one in held], [PART])

    async def test_evidence_is_saved_in_each_round_that_changes_it(self) -> None:
        """Guards against instances that are killed a second after an end and forget it."""
        ledger, rows = await self.start_instance()
        for number in range(2):
            ledger.record_end(build_end(number, PART, at=self.store.now), now=self.store.now)
        await rows.save_evidence(rank=0)
        ledger.record_end(build_end(2, PART, at=self.store.now), now=self.store.now)
        self.store.now += ROUND_INTERVAL_S
        await rows.save_evidence(rank=0)
        restarted, _ = await self.start_instance()
        self.assertEqual(restarted.count_ends(PART), 3)

    async def test_a_write_without_an_answer_holds_up_no_later_evidence(self) -> None:
        """Guards against a store that loses answers and keeps later ends from being saved."""
        ledger, rows = await self.start_instance()
        for number in range(2):
            ledger.record_end(build_end(number, PART, at=self.store.now), now=self.store.now)
        self.store.loses_answers = True
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await rows.save_evidence(rank=0)
            ledger.record_end(build_end(2, PART, at=self.store.now), now=self.store.now)
            self.store.now += 2 * ROUND_INTERVAL_S
            await rows.save_evidence(rank=0)
        restarted, _ = await self.start_instance()
        self.assertEqual(restarted.count_ends(PART), 3)

    async def test_evidence_is_written_when_it_changes(self) -> None:
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=1.0), now=1.0)
        calls = self.store.calls
        for _ in range(6):
            self.store.now += 1.0
            await rows.save_evidence(rank=0)
        self.assertEqual(self.store.calls, calls + 1)

    async def test_evidence_that_was_cleared_is_removed(self) -> None:
        """Guards against evidence against innocent requests that a restart brings back."""
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=1.0), now=1.0)
        self.store.now += 1.0
        await rows.save_evidence(rank=0)
        self.assertTrue(self.store.evidence)
        self.assertTrue(rows.has_leftovers)
        ledger.clear("y", now=self.store.now)
        self.store.now += 1.0
        await rows.save_evidence(rank=0)
        self.assertEqual(self.store.evidence, {})
        self.assertFalse(rows.has_leftovers)

    async def test_evidence_that_another_instance_saved_is_removed(self) -> None:
        """Guards against old evidence that an instance leaves behind which has ended."""
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=1.0), now=1.0)
        self.store.now += 1.0
        await rows.save_evidence(rank=0)
        ledger, rows = await self.start_instance()
        rows.forget_evidence()
        ledger.clear("y", now=self.store.now)
        self.store.now += 1.0
        await rows.save_evidence(rank=0)
        self.assertEqual(self.store.evidence, {})

    async def test_one_instance_replaces_nothing_that_another_saved(self) -> None:
        """Guards against the repeat of an older write that removes an end saved meanwhile."""
        instances = [await self.start_instance() for _ in range(2)]
        for ledger, _ in instances:
            ledger.record_end(build_end(1, PART, at=1.0), now=1.0)
        first, _ = instances[0]
        first.record_end(build_end(2, PART, at=2.0), now=2.0)
        for rank, (_, rows) in enumerate(instances):
            await rows.save_evidence(rank=rank)
        restarted, _ = await self.start_instance()
        self.assertEqual(restarted.count_ends(PART), 2)

    async def test_the_second_row_is_removed_where_one_instance_is_left(self) -> None:
        """Guards against old evidence of an instance that no longer exists."""
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=1.0), now=1.0)
        for rank in (1, 0):
            self.store.now += 1.0
            await rows.save_evidence(rank=rank)
        ledger.clear("y", now=self.store.now)
        self.store.now += 1.0
        await rows.save_evidence(rank=0)
        self.assertEqual(self.store.evidence, {})

    async def test_what_was_just_lost_once_is_not_saved(self) -> None:
        ledger, rows = await self.start_instance()
        ledger.record_end(build_end(1, "y", at=self.store.now), now=self.store.now)
        await rows.save_evidence(rank=0)
        self.assertEqual(self.store.evidence, {})

    async def test_evidence_that_was_not_read_is_not_removed(self) -> None:
        """Guards against an instance that starts without the store and removes what is saved."""
        ledger, rows = await self.start_instance()
        for number in range(3):
            ledger.record_end(build_end(number, PART, at=self.store.now), now=self.store.now)
        await rows.save_evidence(rank=0)
        self.store.unavailable = True
        ledger, rows = await self.start_instance()
        self.store.unavailable = False
        await rows.save_evidence(rank=0)
        self.store.now += ROW_READ_INTERVAL_S
        await rows.load()
        self.assertEqual(ledger.count_ends(PART), 3)

    async def test_evidence_in_another_form_is_ignored(self) -> None:
        self.store.evidence = {0: b"?"}
        ledger, rows = await self.start_instance()
        self.assertTrue(rows.loaded)
        self.assertFalse(ledger.active)

    async def test_requests_wait_for_the_first_read(self) -> None:
        await self.rows.wait_first_read()

    async def test_an_instance_that_starts_without_the_store_reads_soon_after_its_return(
        self,
    ) -> None:
        """Guards against instances in touch that don't know for seconds what is held."""
        await self.rows.synchronize()
        self.store.unavailable = True
        ledger, rows = await self.start_instance()
        self.store.unavailable = False
        self.store.now += MAX_UNREAD_S
        await rows.load()
        self.assertIs(ledger.assess("x", now=self.store.now), Verdict.QUARANTINED)

    async def test_an_instance_that_starts_without_the_store_reads_later(self) -> None:
        """Guards against instances that were killed in an outage and never learn what is held."""
        await self.rows.synchronize()
        self.store.unavailable = True
        ledger, rows = await self.start_instance()
        await rows.wait_first_read()
        self.assertFalse(ledger.active)
        self.store.unavailable = False
        calls = self.store.calls
        await rows.load()
        self.assertEqual(self.store.calls, calls)
        self.store.now += ROW_READ_INTERVAL_S
        await rows.load()
        self.assertIs(ledger.assess("x", now=self.store.now), Verdict.QUARANTINED)


if __name__ == "__main__":
    unittest.main()
