"""Leases in the tables of the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from guavamast.decoding import Decoding, MalformedData
from guavamast.leases import LeaseRead, LeaseRecord, LeaseRow, LeaseTable, LeaseWrite
from guavamast.platform.store_calls import StoreCalls, StoredRow, Transaction
from guavamast.platform_client import PlatformAnswerLost, PlatformUnavailable
from guavamast.relay.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Sequence

LEASE_TABLE: Final = "leases"
RECORD_TABLE: Final = "lease_records"
_NEVER_ACQUIRED: Final = LeaseRow(row_version=0)


class StoreLeaseTable(LeaseTable):
    """Stores each lease as one row, with the times of the store's clock.

    Args:
        calls: Makes calls to the store.
    """

    __slots__ = ("_calls",)

    def __init__(self, *, calls: StoreCalls) -> None:
        self._calls = calls

    async def read(self, resource: str) -> LeaseRead:
        """Return the lease of a resource."""
        try:
            rows = await self._calls.read_rows(LEASE_TABLE, start=resource, end=f"{resource}\x00")
            row = _decode_lease(rows.rows[0]) if rows.rows else _NEVER_ACQUIRED
        except StoreError as error:
            raise PlatformUnavailable(error.reason) from error
        except MalformedData as error:
            raise PlatformUnavailable(f"{resource}: {error}") from error
        return LeaseRead(row=row, table_time=rows.store_time)

    async def read_records(self, resource: str) -> list[LeaseRecord]:
        """Return all records of a resource."""
        prefix = f"{resource}/"
        try:
            rows = await self._calls.read_rows(RECORD_TABLE, start=prefix, end=f"{resource}0")
            with Decoding("record of a lease"):
                return [
                    LeaseRecord(key=row.key.removeprefix(prefix), text=str(row.decode()["text"]))
                    for row in rows.rows
                ]
        except StoreError as error:
            raise PlatformUnavailable(error.reason) from error
        except MalformedData as error:
            raise PlatformUnavailable(f"{resource}: {error}") from error

    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        """Write a lease and records of its resource in one transaction."""
        transaction = Transaction()
        transaction.expect(LEASE_TABLE, resource, row.row_version)
        transaction.write(LEASE_TABLE, resource, _encode_lease(row))
        for record in records:
            key = f"{resource}/{record.key}"
            if record.text is None:
                transaction.remove(RECORD_TABLE, key)
            else:
                transaction.write(RECORD_TABLE, key, {"text": record.text})
        try:
            written = await self._calls.commit(transaction)
        except StoreError as error:
            # Also for a conflict or a rejection: the same write may have been sent before on a
            # connection that became unresponsive. Only reading the row tells.
            raise PlatformAnswerLost(error.reason) from error
        return LeaseWrite(row_version=written.version, table_time=written.store_time)


def _encode_lease(row: LeaseRow) -> dict[str, Any]:
    return {
        "holder": row.holder,
        "fencing": row.fencing,
        "nonce": row.nonce,
        "released": row.released,
        "expires_at": row.expires_at,
        "acquired_at": row.acquired_at,
    }


def _decode_lease(row: StoredRow) -> LeaseRow:
    with Decoding("lease"):
        fields = row.decode()
        return LeaseRow(
            row_version=row.version,
            fencing=int(fields["fencing"]),
            holder=str(fields["holder"]),
            nonce=str(fields["nonce"]),
            released=bool(fields["released"]),
            expires_at=_decode_time(fields.get("expires_at")),
            acquired_at=_decode_time(fields.get("acquired_at")),
        )


def _decode_time(value: Any) -> float | None:
    return None if value is None else float(value)
