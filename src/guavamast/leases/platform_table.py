"""Leases in the table service of the product's own platform interface."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.leases.lease import LeaseRecord, LeaseRow
from guavamast.leases.table import LeaseRead, LeaseTable, LeaseWrite
from guavamast.platform_client import Check, Write

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.platform_client import PlatformClient

LEASE_TABLE: Final = "leases"
RECORD_TABLE: Final = "lease_records"


class PlatformLeaseTable(LeaseTable):
    """Stores each lease as one row.

    Args:
        platform: The table service; it has no clock that its clients can read.
    """

    __slots__ = ("_platform",)

    def __init__(self, *, platform: PlatformClient) -> None:
        self._platform = platform

    async def read(self, resource: str) -> LeaseRead:
        """Return the lease of a resource."""
        row = await self._platform.read(LEASE_TABLE, resource)
        return LeaseRead(row=LeaseRow(row_version=row.version, **(row.value or {})))

    async def read_records(self, resource: str) -> list[LeaseRecord]:
        """Return all records of a resource."""
        prefix = f"{resource}/"
        rows = await self._platform.scan(RECORD_TABLE, prefix)
        return [
            LeaseRecord(key=row.key.removeprefix(prefix), text=str((row.value or {})["text"]))
            for row in rows
        ]

    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        """Write a lease and records of its resource in one transaction."""
        check = Check(table=LEASE_TABLE, key=resource, version=row.row_version)
        value = {
            "holder": row.holder,
            "fencing": row.fencing,
            "nonce": row.nonce,
            "released": row.released,
        }
        writes = [Write(table=LEASE_TABLE, key=resource, value=value)]
        for record in records:
            text = None if record.text is None else {"text": record.text}
            key = f"{resource}/{record.key}"
            writes.append(Write(table=RECORD_TABLE, key=key, value=text))
        versions = await self._platform.transact([check], writes)
        return LeaseWrite(row_version=versions[0])
