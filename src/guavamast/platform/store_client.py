"""HTTP client of the platform's store."""

from __future__ import annotations

import base64
import json
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import urlencode

from guavamast.platform.catalog_wire import decode_catalog
from guavamast.platform.endpoint_wire import decode_endpoint
from guavamast.platform.quarantine_wire import (
    decode_evidence,
    decode_quarantine_row,
    encode_evidence,
    encode_quarantine_row,
)
from guavamast.relay.endpoint_table import compute_digest
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from guavamast.relay.loop_timeout import wait_in_steps
from guavamast.relay.store import (
    CatalogSnapshot,
    EndpointSnapshot,
    InstanceRecord,
    QuarantineRow,
    Store,
    StoreError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.catalog import Catalog
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.node_settings import SocketAddress

REUSED_CONNECTION_TIMEOUT_S: Final = 0.3
"""Seconds for one call on a reused connection; short enough to retry an unresponsive one on a new
connection before any state gets too old."""
CALL_TIMEOUT_S: Final = 0.5
"""Seconds for connecting, and for one call on a new connection."""
BACKGROUND_TIMEOUT_S: Final = 2.0
"""Seconds for calls that no request waits for."""
INSTANCES_TABLE: Final = "instances"
QUARANTINE_TABLE: Final = "quarantine"
EVIDENCE_TABLE: Final = "quarantine_evidence"
EVIDENCE_KEY: Final = "latest"
"""Key of the only row of its table."""
AUDIT_TABLE: Final = "quarantine_audit"
STATUS_CONFLICT: Final = 412
PAGE_ROWS: Final = 500
_OPERATOR_TABLE: Final = "op"
_CONFIGURATION_KEY: Final = "config"
_ENDPOINT_TABLE: Final = "servers"


class StoreConflict(StoreError):
    """A conditional write whose row has another version than expected."""


class StoreClient(Store):
    """Calls the store over persistent connections.

    Args:
        address: The store's address.
        clock: Receives the store time of each response.
        read_time: Returns the local time in seconds.
    """

    __slots__ = ("_address", "_clock", "_idle", "_read_time")

    def __init__(
        self,
        *,
        address: SocketAddress,
        clock: StoreClock,
        read_time: Callable[[], float],
    ) -> None:
        self._address = address
        self._clock = clock
        self._read_time = read_time
        self._idle: list[HttpConnection] = []

    async def read_catalog(self, *, known: Catalog | None) -> CatalogSnapshot:
        """Read the operators' configuration."""
        query = {"table": _OPERATOR_TABLE, "part": "", "from": _CONFIGURATION_KEY, "limit": 1}
        response = await self._get("/v1/rows-get", query)
        store_time = _decode_store_time(response)
        rows = [row for row in response["rows"] if row.get("key") == _CONFIGURATION_KEY]
        if not rows:
            return CatalogSnapshot(catalog=None, store_time=store_time)
        version = int(rows[0]["ver"])
        if known is not None and known.row_version == version:
            return CatalogSnapshot(catalog=known, store_time=store_time)
        try:
            text = _decode_text(rows[0])
        except ValueError as error:
            raise StoreError(f"configuration: {error}") from error
        catalog = self.decode_catalog(text, row_version=version)
        return CatalogSnapshot(catalog=catalog, store_time=store_time, text=text)

    def decode_catalog(self, text: bytes, *, row_version: int) -> Catalog:
        """Decode the configuration of a row."""
        try:
            return decode_catalog(json.loads(text), row_version=row_version)
        except (KeyError, TypeError, ValueError) as error:
            reason = f"configuration: {type(error).__name__}: {error}"
            raise StoreError(reason) from error

    async def read_endpoints(self) -> EndpointSnapshot:
        """Read the table of endpoints; rows that can't be decoded are skipped."""
        rows, store_time = await self._get_all(_ENDPOINT_TABLE)
        records = []
        for row in rows:
            try:
                fields = _decode_value(row)
            except ValueError:
                continue
            record = decode_endpoint(str(row["key"]), fields, row_version=int(row["ver"]))
            if record is not None:
                records.append(record)
        digest = compute_digest((str(row["key"]), int(row["ver"])) for row in rows)
        return EndpointSnapshot(records=records, digest=digest, store_time=store_time)

    async def read_instances(self) -> list[InstanceRecord]:
        """Read all registered instances."""
        rows, _ = await self._get_all(INSTANCES_TABLE)
        records = []
        for row in rows:
            try:
                records.append(_decode_instance(str(row["key"]), _decode_value(row)))
            except (KeyError, TypeError, ValueError):
                continue
        return records

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
        row = {
            "table": INSTANCES_TABLE,
            "part": "",
            "key": record.name,
            "value": _encode_value(fields),
        }
        await self._transact({"expect": [], "writes": [row], "remove": []})

    async def remove_instance(self, name: str) -> None:
        """Remove an instance's record."""
        row = {"table": INSTANCES_TABLE, "part": "", "key": name}
        await self._transact({"expect": [], "writes": [], "remove": [row]})

    async def read_quarantine(self) -> list[QuarantineRow]:
        """Read the rows of all attributes in quarantine; rows that can't be decoded are skipped."""
        rows, _ = await self._get_all(QUARANTINE_TABLE)
        decoded = []
        for row in rows:
            try:
                fields = _decode_value(row)
                key, version = str(row["key"]), int(row["ver"])
                decoded.append(decode_quarantine_row(key, fields, version=version))
            except (KeyError, TypeError, ValueError):
                continue
        return decoded

    async def read_evidence(self) -> bytes | None:
        """Read the evidence below a decision; None if there is none that can be decoded."""
        rows, _ = await self._get_all(EVIDENCE_TABLE)
        for row in rows:
            with suppress(KeyError, TypeError, ValueError):
                return decode_evidence(_decode_value(row))
        return None

    async def write_evidence(self, report: bytes | None) -> None:
        """Save evidence below a decision, or remove it."""
        name = {"table": EVIDENCE_TABLE, "part": "", "key": EVIDENCE_KEY}
        if report is None:
            await self._transact({"expect": [], "writes": [], "remove": [name]})
            return
        row = name | {"value": _encode_value(encode_evidence(report))}
        await self._transact({"expect": [], "writes": [row], "remove": []})

    async def write_quarantine(self, row: QuarantineRow) -> bool:
        """Write a row unless its version has changed."""
        return await self._transact_quarantine(row, [])

    async def lift_quarantine(self, row: QuarantineRow, *, at: float) -> bool:
        """Write a row that an operator has released, and a line of the audit trail with it.

        Args:
            row: The row, with the operator's name.
            at: Wall-clock time in Unix seconds.

        Returns:
            False if the row no longer has the version that it states.
        """
        fields = {"at": at, "by": row.lifted_by, "lifted": row.attribute}
        audit = {
            "table": AUDIT_TABLE,
            "part": "",
            "key": f"{at:.3f} {row.attribute}",
            "value": _encode_value(fields),
        }
        return await self._transact_quarantine(row, [audit])

    async def remove_quarantine(self, attribute: str) -> None:
        """Remove the row of an attribute."""
        row = {"table": QUARANTINE_TABLE, "part": "", "key": attribute}
        await self._transact({"expect": [], "writes": [], "remove": [row]})

    async def _transact_quarantine(self, row: QuarantineRow, further: list[dict[str, Any]]) -> bool:
        """Write a quarantine's row and further rows if it has the version that it states."""
        name = {"table": QUARANTINE_TABLE, "part": "", "key": row.attribute}
        value = _encode_value(encode_quarantine_row(row))
        fields = {
            "expect": [name | {"ver": row.version}],
            "writes": [name | {"value": value}, *further],
            "remove": [],
        }
        try:
            await self._transact(fields)
        except StoreConflict:
            return False
        return True

    async def _transact(self, fields: dict[str, Any]) -> None:
        body = json.dumps(fields).encode()
        await self._call("POST", "/v1/rows-tx", body, timeout_s=BACKGROUND_TIMEOUT_S)

    async def _get_all(self, table: str) -> tuple[list[dict[str, Any]], float]:
        """Return all rows of a table and the store time of the first page, the oldest."""
        rows: list[dict[str, Any]] = []
        store_time: float | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "from": start, "limit": PAGE_ROWS}
            response = await self._get("/v1/rows-get", query)
            store_time = _decode_store_time(response) if store_time is None else store_time
            rows.extend(response["rows"])
            if not response.get("more_pages") or not response["rows"]:
                return rows, store_time
            start = response["rows"][-1]["key"] + "\x00"

    async def _get(self, path: str, query: dict[str, str | int]) -> dict[str, Any]:
        target = f"{path}?{urlencode(query)}"
        response = await self._call("GET", target, b"", timeout_s=CALL_TIMEOUT_S)
        if not isinstance(response.get("rows"), list):
            raise StoreError("response has no list of rows")
        return response

    async def _call(
        self, method: str, target: str, body: bytes, *, timeout_s: float
    ) -> dict[str, Any]:
        """Make one call on an idle connection or, if that fails, on a new one.

        After a failure, all idle connections are closed, so that only a new one decides whether the
        store is unavailable. Without this, idle connections that became unresponsive while new ones
        work would make the store look unavailable.
        """
        idle = self._pop_idle()
        if idle is not None:
            try:
                return await self._call_on(
                    idle, method, target, body, timeout_s=REUSED_CONNECTION_TIMEOUT_S
                )
            except (ConnectionLost, MalformedAnswer, TimeoutError):
                self.close_idle()
        try:
            ip, port = self._address.ip, self._address.port
            connection = await HttpConnection.open(ip, port, timeout_s=timeout_s)
            return await self._call_on(connection, method, target, body, timeout_s=timeout_s)
        except (ConnectionLost, MalformedAnswer, TimeoutError) as error:
            raise StoreError(f"{type(error).__name__}: {error}") from error

    async def _call_on(
        self, connection: HttpConnection, method: str, target: str, body: bytes, *, timeout_s: float
    ) -> dict[str, Any]:
        """Make one call on a connection and keep it for reuse if the response was complete."""
        sent = self._read_time()
        exchange = self._exchange(connection, method, target, body)
        try:
            status, data = await wait_in_steps(exchange, timeout_s=timeout_s)
        finally:
            if not connection.reusable:
                connection.close()
        self._idle.append(connection)
        if status == STATUS_CONFLICT:
            raise StoreConflict("a row has another version")
        if status != 200:
            raise StoreError(f"status {status}")
        try:
            response = json.loads(data)
        except ValueError as error:
            raise StoreError(f"answer: {error}") from error
        if "now_ms" in response:
            self._clock.record(sent=sent, store_time=_decode_store_time(response))
        return response

    def _pop_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
        return None

    def close_idle(self) -> None:
        """Close all idle connections."""
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    async def _exchange(
        self, connection: HttpConnection, method: str, target: str, body: bytes
    ) -> tuple[int, bytes]:
        headers = [("Host", str(self._address))]
        if body:
            headers.append(("Content-Type", "application/json"))
            headers.append(("Content-Length", str(len(body))))
        await connection.send(method, target, headers, body)
        head = await connection.read_head()
        data = bytearray()
        while (chunk := await connection.read_chunk()) is not None:
            data += chunk
        return head.status, bytes(data)


def _decode_store_time(response: dict[str, Any]) -> float:
    """Return the store time of a response in seconds; it is sent in milliseconds."""
    return float(response["now_ms"]) / 1000.0


def _encode_value(fields: dict[str, Any]) -> str:
    """Return the value of a row as the store keeps it."""
    return base64.b64encode(json.dumps(fields).encode()).decode()


def _decode_value(row: dict[str, Any]) -> Any:
    """Return the decoded value of a row.

    Raises:
        ValueError: The value is missing or malformed.
    """
    return json.loads(_decode_text(row))


def _decode_text(row: dict[str, Any]) -> bytes:
    """Return the value of a row as bytes.

    Raises:
        ValueError: The value is missing or not Base64.
    """
    value = row.get("value")
    if not isinstance(value, str):
        raise ValueError("row has no value")
    return base64.b64decode(value, validate=True)


def _decode_instance(name: str, fields: dict[str, Any]) -> InstanceRecord:
    return InstanceRecord(
        name=name,
        ip=str(fields["ip"]),
        failure_domain=str(fields["failure_domain"]),
        region=str(fields["region"]),
        callers_address=str(fields["callers_address"]),
        peer_port=int(fields["peer_port"]),
        link_mbps=float(fields.get("link_mbps", 0.0)),
        processor_share=float(fields.get("processor_share", 0.0)),
    )
