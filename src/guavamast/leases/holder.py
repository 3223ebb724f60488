"""Acquires, renews and releases leases; each write of a new holder gets a greater number."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from guavamast.leases.lease import HeldLease, LeasedRecords, TableTime
from guavamast.leases.watch import LeaseWatch
from guavamast.platform_client import PlatformAnswerLost, PlatformError, TransactionConflict

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from guavamast.leases.lease import LeaseParameters, LeaseRecord, LeaseRow
    from guavamast.leases.table import LeaseRead, LeaseTable


class LeaseHolder:
    """Acquires and releases leases for one instance.

    A fencing number is counted in the row itself, under the condition that the row is unchanged,
    and is used only once the row is known to bear the nonce of that write. So no two instances ever
    use the same number, also when the answer to a write is lost or the write is performed late.

    Args:
        table: Stores the leases.
        read_time: Returns the local monotonic time in seconds.
        holder: Name of this instance.
        generate_nonce: Returns a unique nonce.
        parameters: Durations of leases.
    """

    __slots__ = (
        "_generate_nonce",
        "_held",
        "_holder",
        "_parameters",
        "_read_time",
        "_table",
        "_watches",
    )

    def __init__(
        self,
        *,
        table: LeaseTable,
        read_time: Callable[[], float],
        holder: str,
        generate_nonce: Callable[[], str],
        parameters: LeaseParameters,
    ) -> None:
        self._table = table
        self._read_time = read_time
        self._holder = holder
        self._generate_nonce = generate_nonce
        self._parameters = parameters
        self._held: dict[str, HeldLease] = {}
        self._watches: dict[str, LeaseWatch] = {}

    def find(self, resource: str) -> HeldLease | None:
        """Return the lease on a resource that this instance acquired last, valid or not."""
        return self._held.get(resource)

    def get_valid(self, resource: str) -> HeldLease | None:
        """Return the lease on a resource if an order may be sent under it now."""
        held = self._held.get(resource)
        now = self._read_time()
        if held is not None and held.allows_sending(now=now, parameters=self._parameters):
            return held
        return None

    async def acquire(self, resource: str, *, fenced: bool) -> HeldLease | None:
        """Acquire the lease on a resource, unless another holds it or it isn't free yet.

        Only call this while no order of this instance to the resource can still take effect.

        Args:
            resource: Name of the leased resource.
            fenced: Whether the receiver of orders rejects older fencing numbers.

        Returns:
            The lease, or None when it isn't free yet; retry later.

        Raises:
            PlatformError: The platform is down.
        """
        held = self.get_valid(resource)
        if held is not None:
            return held
        sent_at = self._read_time()
        read = await self._table.read(resource)
        clock = _build_clock(read.table_time, sent_at=sent_at)
        if not self._is_free(resource, read, clock, fenced=fenced):
            return None
        return await self._write(
            resource, read.row, clock, records=(), fencing=read.row.fencing + 1
        )

    async def renew(
        self, held: HeldLease, *, records: Sequence[LeaseRecord] = (), advance: bool
    ) -> HeldLease | None:
        """Extend a lease that this instance acquired last, and write records with it.

        It need not be valid any more: as long as its row is unchanged, no other instance has
        acquired it. A lease that this instance has forgotten or acquired anew isn't renewed: what
        its user knows is of a former tenure.

        Args:
            held: The lease, as it was acquired or renewed last.
            records: Records to write in the same transaction.
            advance: Whether what is sent from now on gets a greater fencing number.

        Returns:
            The lease; None if it is lost, or if it isn't known whether it is still held.

        Raises:
            PlatformError: The platform is down; nothing was written.
        """
        if self._held.get(held.resource) is not held:
            return None
        fencing = held.row.fencing + advance
        return await self._write(
            held.resource, held.row, held.clock, records=records, fencing=fencing
        )

    async def read_records(self, held: HeldLease) -> LeasedRecords:
        """Return the records of a resource, read after its lease was acquired.

        Another holder's write changes the lease's row, too. So a renewal that succeeds shows that
        they were current.

        Raises:
            PlatformError: The platform is down.
        """
        records = await self._table.read_records(held.resource)
        return LeasedRecords(lease=held, records=tuple(records))

    async def release(self, resource: str) -> None:
        """Release the lease, so that the next holder need not wait until it expires.

        Only call this when no order sent under it can still take effect. A failure is harmless:
        the lease then expires by itself.
        """
        held = self._held.pop(resource, None)
        if held is None:
            return
        row = replace(held.row, released=True)
        try:
            await self._table.write(resource, row)
        except (PlatformError, PlatformAnswerLost):
            return

    def forget(self, resource: str) -> None:
        """Stop using a lease without releasing it; it expires by itself."""
        self._held.pop(resource, None)

    def _is_free(
        self, resource: str, read: LeaseRead, clock: TableTime | None, *, fenced: bool
    ) -> bool:
        now = self._read_time()
        watch = self._watches.setdefault(resource, LeaseWatch(parameters=self._parameters))
        watch.observe(read.row, now=now, clock=clock)
        held = self._held.get(resource)
        if held is not None and held.row.nonce == read.row.nonce:
            # No other instance acquired it since, and the caller has no pending order of its own.
            return True
        return now >= watch.compute_free_at(fenced=fenced)

    async def _write(
        self,
        resource: str,
        previous: LeaseRow,
        clock: TableTime | None,
        *,
        records: Sequence[LeaseRecord],
        fencing: int,
    ) -> HeldLease | None:
        """Write the row on the condition that it is still the previous one."""
        started_at = self._read_time()
        row = self._build_row(previous, clock, fencing=fencing, now=started_at)
        try:
            written = await self._table.write(resource, row, records)
            row_version, table_time = written.row_version, written.table_time
        except TransactionConflict:
            self.forget(resource)
            return None
        except PlatformAnswerLost:
            self.forget(resource)
            read = await self._table.read(resource)
            if read.row.nonce != row.nonce:
                return None
            row_version, table_time = read.row.row_version, None
        held = HeldLease(
            resource=resource,
            row=replace(row, row_version=row_version),
            expires_at=started_at + self._parameters.duration_s,
            clock=_build_clock(table_time, sent_at=started_at) or clock,
        )
        self._held[resource] = held
        return held

    def _build_row(
        self, previous: LeaseRow, clock: TableTime | None, *, fencing: int, now: float
    ) -> LeaseRow:
        latest = clock.compute_latest(now) if clock is not None else None
        kept = previous.holder == self._holder and previous.acquired_at is not None
        return replace(
            previous,
            fencing=fencing,
            holder=self._holder,
            nonce=self._generate_nonce(),
            released=False,
            expires_at=None if latest is None else latest + self._parameters.duration_s,
            acquired_at=previous.acquired_at if kept else latest,
        )


def _build_clock(table_time: float | None, *, sent_at: float) -> TableTime | None:
    return None if table_time is None else TableTime(table_time=table_time, sent_at=sent_at)
