"""The platform's store as the relay uses it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final, TypeVar

from guavamast.decoding import (
    Decoding,
    MalformedData,
    decode_ip,
    decode_json,
    decode_name,
    decode_port,
)
from guavamast.platform.binding_wire import (
    decode_binding_row,
    encode_binding_key,
    encode_binding_row,
    name_shard,
)
from guavamast.platform.catalog_wire import decode_catalog
from guavamast.platform.endpoint_wire import decode_endpoint
from guavamast.platform.quarantine_wire import (
    decode_evidence,
    decode_quarantine_row,
    encode_evidence,
    encode_quarantine_row,
)
from guavamast.platform.store_calls import StoreCalls, StoreConflict, StoredRow, Transaction
from guavamast.relay.endpoint_table import compute_digest
from guavamast.relay.store import (
    BindingRow,
    CatalogSnapshot,
    EndpointSnapshot,
    InstanceRecord,
    QuarantineRow,
    Store,
    StoreError,
)
from guavamast.relay.unreadable_rows import UnreadableRow, UnreadableRows

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from guavamast.relay.catalog import Catalog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.node_settings import SocketAddress

INSTANCES_TABLE: Final = "instances"
QUARANTINE_TABLE: Final = "quarantine"
EVIDENCE_TABLE: Final = "quarantine_evidence"
EVIDENCE_KEYS: Final = ("latest", "second")
"""Keys of the evidence by the rank of the instance that saves it. In one row, the repeat of a write
whose answer was lost would replace what the other instance has saved since."""
AUDIT_TABLE: Final = "quarantine_audit"
BINDINGS_TABLE: Final = "stream_bindings"
_OPERATOR_TABLE: Final = "op"
_CONFIGURATION_KEY: Final = "config"
_ENDPOINT_TABLE: Final = "servers"


Decoded = TypeVar("Decoded")


class StoreClient(Store):
    """Reads and writes the store's rows.

    Args:
        address: The store's address.
        clock: Receives the store time of each response.
        read_time: Returns the local time in seconds.
    """

    __slots__ = ("_registered_versions", "calls", "unreadable")

    def __init__(
        self,
        *,
        address: SocketAddress,
        clock: StoreClock,
        read_time: Callable[[], float],
    ) -> None:
        self.calls = StoreCalls(address=address, clock=clock, read_time=read_time)
        """Makes the calls."""
        self.unreadable = UnreadableRows()
        """Rows that are skipped, as they can't be decoded."""
        self._registered_versions: dict[str, int] = {}
        """Versions of the rows of instances that were registered here, by name."""

    async def read_catalog(self, *, known: Catalog | None) -> CatalogSnapshot:
        """Read the operators' configuration."""
        read = await self.calls.read_rows(_OPERATOR_TABLE, start=_CONFIGURATION_KEY, limit=1)
        store_time = read.store_time
        rows = [row for row in read.rows if row.key == _CONFIGURATION_KEY]
        if not rows:
            return CatalogSnapshot(catalog=None, store_time=store_time)
        version = rows[0].version
        if known is not None and known.row_version == version:
            return CatalogSnapshot(catalog=known, store_time=store_time)
        try:
            text = rows[0].decode_text()
        except MalformedData as error:
            raise StoreError(f"configuration: {error.reason}") from error
        catalog = self.decode_catalog(text, row_version=version)
        return CatalogSnapshot(catalog=catalog, store_time=store_time, text=text)

    def decode_catalog(self, text: bytes, *, row_version: int) -> Catalog:
        """Decode the configuration of a row."""
        try:
            with Decoding("configuration"):
                return decode_catalog(decode_json(text), row_version=row_version)
        except MalformedData as error:
            raise StoreError(str(error)) from error

    async def read_endpoints(self) -> EndpointSnapshot:
        """Read the table of endpoints; rows that can't be decoded are skipped."""
        read = await self.calls.read_rows(_ENDPOINT_TABLE)
        decoded = self._decode_rows(_ENDPOINT_TABLE, read.rows, _decode_endpoint)
        records = [record for record in decoded if record is not None]
        digest = compute_digest((row.key, row.version) for row in read.rows)
        return EndpointSnapshot(records=records, digest=digest, store_time=read.store_time)

    async def read_instances(self) -> list[InstanceRecord]:
        """Read all registered instances; rows that can't be decoded are skipped."""
        read = await self.calls.read_rows(INSTANCES_TABLE)
        return self._decode_rows(INSTANCES_TABLE, read.rows, _decode_instance)

    async def register_instance(self, record: InstanceRecord) -> None:
        """Write an instance's own record."""
        fields = {
            "ip": record.ip,
            "failure_domain": record.failure_domain,
            "region": record.region,
            "callers_address": record.callers_address,
            "peer_port": record.peer_port,
            "link_mbps": record.link_mbps,
            "processor_share": record.processor_share,
        }
        transaction = Transaction()
        transaction.write(INSTANCES_TABLE, record.name, fields)
        committed = await self.calls.commit(transaction)
        self._registered_versions[record.name] = committed.version

    async def remove_instance(self, name: str) -> None:
        """Remove an instance's record.

        A call that the store delays may be carried out after the next process of the instance has
        registered. Without the condition, that one would be missing from the list for good.

        Raises:
            StoreConflict: Another process has registered since this one did, or since this call.
        """
        version = self._registered_versions.get(name) or await self._read_instance_version(name)
        if version is None:
            return
        transaction = Transaction()
        transaction.expect(INSTANCES_TABLE, name, version)
        transaction.remove(INSTANCES_TABLE, name)
        await self.calls.commit(transaction)

    async def _read_instance_version(self, name: str) -> int | None:
        """Return the version of an instance's row; None if there is no row."""
        read = await self.calls.read_rows(INSTANCES_TABLE, start=name, limit=1)
        return next((row.version for row in read.rows if row.key == name), None)

    async def read_quarantine(self) -> list[QuarantineRow]:
        """Read the rows of all attributes in quarantine; rows that can't be decoded are skipped."""
        read = await self.calls.read_rows(QUARANTINE_TABLE)
        return self._decode_rows(QUARANTINE_TABLE, read.rows, _decode_quarantine)

    async def read_evidence(self) -> list[bytes]:
        """Read the evidence below a decision; rows that can't be decoded are skipped."""
        read = await self.calls.read_rows(EVIDENCE_TABLE)
        return self._decode_rows(EVIDENCE_TABLE, read.rows, _decode_report)

    async def write_evidence(self, report: bytes | None, *, rank: int) -> None:
        """Save evidence below a decision, or remove it; the first instance by rank removes all."""
        transaction = Transaction()
        if report is not None:
            transaction.write(EVIDENCE_TABLE, EVIDENCE_KEYS[rank], encode_evidence(report))
        else:
            for key in EVIDENCE_KEYS if rank == 0 else EVIDENCE_KEYS[rank : rank + 1]:
                transaction.remove(EVIDENCE_TABLE, key)
        await self.calls.commit(transaction)

    async def write_quarantine(self, row: QuarantineRow) -> bool:
        """Write a row unless its version has changed."""
        return await self._commit_quarantine(row, Transaction())

    async def lift_quarantine(self, row: QuarantineRow, *, at: float) -> bool:
        """Write a row that an operator has released, and a line of the audit trail with it.

        Args:
            row: The row, with the operator's name.
            at: Wall-clock time in Unix seconds.

        Returns:
            False if the row no longer has the version that it states.
        """
        fields = {"at": at, "by": row.lifted_by, "lifted": row.attribute}
        transaction = Transaction()
        transaction.write(AUDIT_TABLE, f"{at:.3f} {row.attribute}", fields)
        return await self._commit_quarantine(row, transaction)

    async def remove_quarantine(self, attribute: str) -> None:
        """Remove the row of an attribute."""
        transaction = Transaction()
        transaction.remove(QUARANTINE_TABLE, attribute)
        await self.calls.commit(transaction)

    async def read_bindings(self, *, shard: int | None) -> list[BindingRow]:
        """Read saved streams; rows that can't be decoded are skipped."""
        start, end = ("", None) if shard is None else name_shard(shard)
        read = await self.calls.read_rows(BINDINGS_TABLE, start=start, end=end)
        return self._decode_rows(BINDINGS_TABLE, read.rows, _decode_binding)

    async def write_bindings(self, rows: Sequence[BindingRow]) -> int:
        """Write or remove rows in one transaction."""
        transaction = Transaction()
        for row in rows:
            key = encode_binding_key(row)
            transaction.expect(BINDINGS_TABLE, key, row.version)
            if row.streams is None:
                transaction.remove(BINDINGS_TABLE, key)
            else:
                transaction.write(BINDINGS_TABLE, key, encode_binding_row(row.streams))
        committed = await self.calls.commit(transaction)
        return committed.version

    async def _commit_quarantine(self, row: QuarantineRow, transaction: Transaction) -> bool:
        """Add a quarantine's row to a transaction; perform it if the row has the stated version."""
        transaction.expect(QUARANTINE_TABLE, row.attribute, row.version)
        transaction.write(QUARANTINE_TABLE, row.attribute, encode_quarantine_row(row))
        try:
            await self.calls.commit(transaction)
        except StoreConflict:
            return False
        return True

    def _decode_rows(
        self, table: str, rows: Iterable[StoredRow], decode: Callable[[StoredRow], Decoded]
    ) -> list[Decoded]:
        """Return the decoded rows of a table; one that can't be decoded doesn't hide the others."""
        decoded = []
        unreadable = []
        for row in rows:
            try:
                decoded.append(decode(row))
            except MalformedData as error:
                unreadable.append(
                    UnreadableRow(
                        table=table, key=row.key, version=row.version, reason=error.reason
                    )
                )
        self.unreadable.replace(table, unreadable)
        return decoded

    def close_idle(self) -> None:
        """Close all idle connections."""
        self.calls.close_idle()


def _decode_endpoint(row: StoredRow) -> EndpointRecord | None:
    return decode_endpoint(row.key, row.decode(), row_version=row.version)


def _decode_quarantine(row: StoredRow) -> QuarantineRow:
    return decode_quarantine_row(row.key, row.decode(), version=row.version)


def _decode_report(row: StoredRow) -> bytes:
    return decode_evidence(row.decode())


def _decode_binding(row: StoredRow) -> BindingRow:
    return decode_binding_row(row.key, row.decode(), version=row.version)


def _decode_instance(row: StoredRow) -> InstanceRecord:
    with Decoding("instance"):
        fields = row.decode()
        return InstanceRecord(
            name=decode_name(row.key),
            ip=decode_ip(fields["ip"]),
            failure_domain=str(fields["failure_domain"]),
            region=str(fields["region"]),
            callers_address=str(fields["callers_address"]),
            peer_port=decode_port(fields["peer_port"]),
            link_mbps=float(fields.get("link_mbps", 0.0)),
            processor_share=float(fields.get("processor_share", 0.0)),
        )
