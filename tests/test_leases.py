"""Tests of leases whose table has a clock: two holders, lost and late writes, tenure."""

from __future__ import annotations

import itertools
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from guavamast.leases import (
    HeldLease,
    LeaseHolder,
    LeaseParameters,
    LeaseRead,
    LeaseRecord,
    LeaseRow,
    LeaseTable,
    LeaseWrite,
)
from guavamast.platform_client import PlatformAnswerLost, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import Sequence

PARAMETERS = LeaseParameters(duration_s=3.0, margin_s=1.0, order_time_s=2.0, tenure_s=4.0)
RESOURCE = "duties"


class FakeTable(LeaseTable):
    """One lease in memory, with a clock that starts at another time than the holders'."""

    def __init__(self) -> None:
        self.now = 0.0
        self.row = LeaseRow(row_version=0)
        self.records: dict[str, str] = {}
        self.writes = 0
        self.loses_answers = False
        self.keeps_writes = False
        """Whether writes are not performed, and kept to be performed later."""
        self.kept: list[tuple[LeaseRow, Sequence[LeaseRecord]]] = []

    async def read(self, resource: str) -> LeaseRead:
        del resource
        return LeaseRead(row=self.row, table_time=500.0 + self.now)

    async def read_records(self, resource: str) -> list[LeaseRecord]:
        del resource
        return [LeaseRecord(key=key, text=text) for key, text in self.records.items()]

    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        del resource
        if self.keeps_writes:
            self.kept.append((row, records))
            raise PlatformAnswerLost("no answer")
        version = self.perform(row, records)
        if self.loses_answers:
            raise PlatformAnswerLost("no answer")
        return LeaseWrite(row_version=version, table_time=500.0 + self.now)

    def perform(self, row: LeaseRow, records: Sequence[LeaseRecord]) -> int:
        """Perform a write."""
        if row.row_version != self.row.row_version:
            raise TransactionConflict
        self.writes += 1
        self.row = replace(row, row_version=self.row.row_version + 7)
        for record in records:
            if record.text is None:
                self.records.pop(record.key, None)
            else:
                self.records[record.key] = record.text
        return self.row.row_version


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    """At most one instance may send, and each number belongs to one instance."""

    def setUp(self) -> None:
        self.table = FakeTable()
        self.one = self.build_holder("one", offset=10.0)
        self.two = self.build_holder("two", offset=9000.0)

    def build_holder(self, name: str, *, offset: float) -> LeaseHolder:
        numbers = itertools.count()
        return LeaseHolder(
            table=self.table,
            read_time=lambda: self.table.now + offset,
            holder=name,
            generate_nonce=lambda: f"{name}-{next(numbers)}",
            parameters=PARAMETERS,
        )

    async def acquire(self, holder: LeaseHolder, *, fenced: bool = True) -> HeldLease:
        """Return a lease that is free."""
        held = await holder.acquire(RESOURCE, fenced=fenced)
        assert held is not None
        return held

    async def test_another_instance_waits_for_the_end_and_not_longer(self) -> None:
        """Guards against two holders at a time, and against a hand-over that takes a second lease.

        The table's clock tells the end at the first read, without a wait from that read on.
        """
        held = await self.one.acquire(RESOURCE, fenced=True)
        assert held is not None
        self.table.now = 2.9
        self.assertIsNone(await self.two.acquire(RESOURCE, fenced=True))
        self.table.now = 4.1
        self.assertIsNone(self.one.get_valid(RESOURCE))
        taken = await self.two.acquire(RESOURCE, fenced=True)
        assert taken is not None
        self.assertGreater(taken.fencing, held.fencing)

    async def test_a_second_read_of_the_same_row_shortens_no_wait(self) -> None:
        """Guards against a wait that is counted from the first read with the last read's clock."""
        await self.one.acquire(RESOURCE, fenced=True)
        for moment in (1.0, 2.0, 2.8):
            self.table.now = moment
            self.assertIsNone(await self.two.acquire(RESOURCE, fenced=True), moment)

    async def test_where_numbers_are_not_checked_late_calls_are_waited_for(self) -> None:
        """Guards against a late call of the last holder that arrives after one of the next."""
        await self.one.acquire(RESOURCE, fenced=False)
        self.table.now = 4.9
        self.assertIsNone(await self.two.acquire(RESOURCE, fenced=False))
        self.table.now = 5.2
        self.assertIsNotNone(await self.two.acquire(RESOURCE, fenced=False))

    async def test_a_released_lease_does_not_pass_back_and_forth(self) -> None:
        """Guards against two instances that act in turns within a moment."""
        await self.one.acquire(RESOURCE, fenced=True)
        await self.one.release(RESOURCE)
        self.table.now = 4.1
        self.assertIsNotNone(await self.two.acquire(RESOURCE, fenced=True))
        await self.two.release(RESOURCE)
        self.table.now = 7.0
        self.assertIsNone(await self.one.acquire(RESOURCE, fenced=True))
        self.table.now = 8.3
        self.assertIsNotNone(await self.one.acquire(RESOURCE, fenced=True))

    async def test_a_renewal_writes_records_in_one_write(self) -> None:
        """Guards against records of a holder that is none any more."""
        former = await self.acquire(self.one)
        self.table.now = 9.0
        held = await self.acquire(self.two)
        record = LeaseRecord(key="k", text="late")
        self.assertIsNone(await self.one.renew(former, records=[record], advance=True))
        self.assertEqual(self.table.records, {})
        self.assertIsNotNone(await self.two.renew(held, records=[record], advance=True))
        self.assertEqual(self.table.records, {"k": "late"})

    async def test_a_renewal_without_an_answer_is_held_only_if_it_is_in_the_row(self) -> None:
        """Guards against a number that is used though the write of it failed."""
        held = await self.acquire(self.one)
        self.table.loses_answers = True
        renewed = await self.one.renew(held, advance=True)
        assert renewed is not None
        self.assertEqual(renewed.fencing, held.fencing + 1)
        self.table.loses_answers = False
        self.table.keeps_writes = True
        self.assertIsNone(await self.one.renew(renewed, advance=True))
        self.assertIsNone(self.one.find(RESOURCE))

    async def test_a_lease_that_was_acquired_anew_is_not_renewed_by_its_former_user(self) -> None:
        """Guards against records of a former tenure that are written under the next one."""
        former = await self.acquire(self.one)
        self.one.forget(RESOURCE)
        self.table.now = 9.0
        held = await self.acquire(self.one)
        self.assertIsNone(await self.one.renew(former, advance=True))
        self.assertIsNotNone(await self.one.renew(held, advance=True))

    async def test_a_write_that_is_performed_late_gives_no_number_to_two(self) -> None:
        """Guards against a late write that lets a former holder act with the next one's number."""
        held = await self.acquire(self.one)
        self.table.keeps_writes = True
        self.assertIsNone(await self.one.renew(held, advance=True))
        self.table.keeps_writes = False
        self.table.now = 9.0
        taken = await self.two.acquire(RESOURCE, fenced=True)
        row, records = self.table.kept[0]
        with self.assertRaises(TransactionConflict):
            self.table.perform(row, records)
        assert taken is not None
        self.assertEqual(self.table.row.holder, "two")

    async def test_without_checks_one_holder_keeps_its_number(self) -> None:
        """Guards against a repeat that arrives with a lower number than the call it repeats."""
        held = await self.acquire(self.one, fenced=False)
        renewed = await self.one.renew(held, advance=False)
        assert renewed is not None
        self.assertEqual(renewed.fencing, held.fencing)


if __name__ == "__main__":
    unittest.main()
