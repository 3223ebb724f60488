"""Calls to the platform's store over persistent connections."""

from __future__ import annotations

import base64
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final, TypeVar
from urllib.parse import urlencode

from guavamast.decoding import Decoding, MalformedData, decode_json, decode_rows_json
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from guavamast.relay.loop_timeout import wait_in_steps
from guavamast.relay.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.node_settings import SocketAddress

REUSED_CONNECTION_TIMEOUT_S: Final = 0.3
"""Seconds for one call on a reused connection; short enough to retry an unresponsive one on a new
connection before any state gets too old."""
CALL_TIMEOUT_S: Final = 0.5
"""Seconds for connecting, and for one call on a new connection."""
BACKGROUND_TIMEOUT_S: Final = 2.0
"""Seconds for calls that no request waits for."""
STATUS_CONFLICT: Final = 412
MAX_RESPONSE_BYTES: Final = 4_194_304
"""Bytes of a response: far above one page of rows."""
PAGE_ROWS: Final = 500

Answer = TypeVar("Answer")
Result = TypeVar("Result")


class StoreConflict(StoreError):
    """A conditional write whose row has another version than expected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRow:
    """A row of a table, not decoded."""

    key: str
    version: int
    value: Any
    """As the response has it; Base64 if the row is valid."""

    def decode_text(self) -> bytes:
        """Return the value as bytes.

        Raises:
            MalformedData: The value is missing or not Base64.
        """
        with Decoding("row"):
            if not isinstance(self.value, str):
                raise ValueError("row has no value")
            return base64.b64decode(self.value, validate=True)

    def decode(self) -> Any:
        """Return the decoded value.

        Raises:
            MalformedData: The value is missing or malformed.
        """
        with Decoding("row"):
            return decode_json(self.decode_text())


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRows:
    """Rows of one table as of one moment."""

    rows: list[StoredRow]
    store_time: float
    """Store time in seconds; with several pages that of the first, the oldest."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A transaction that the store has performed."""

    version: int
    """The newest version of any row."""
    store_time: float
    """Store time in seconds."""


class Transaction:
    """Conditions and changes that the store applies together or not at all."""

    __slots__ = ("_expect", "_remove", "_writes")

    def __init__(self) -> None:
        self._expect: list[dict[str, Any]] = []
        self._writes: list[dict[str, Any]] = []
        self._remove: list[dict[str, Any]] = []

    def expect(self, table: str, key: str, version: int) -> None:
        """Require a version of a row; 0 for a row that does not exist."""
        self._expect.append(_name_row(table, key) | {"ver": version})

    def write(self, table: str, key: str, fields: Any) -> None:
        """Write a row."""
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._writes.append(_name_row(table, key) | {"value": value})

    def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        self._remove.append(_name_row(table, key))

    def encode(self) -> bytes:
        """Return the body of the call."""
        fields = {"expect": self._expect, "writes": self._writes, "remove": self._remove}
        return json.dumps(fields).encode()


class StoreCalls:
    """Makes calls to the store.

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

    async def commit(self, transaction: Transaction) -> Committed:
        """Perform a transaction.

        Raises:
            StoreConflict: A row has another version than expected.
            StoreError: It isn't known whether it was performed.
        """
        response = await self._call(
            "POST", "/v1/rows-tx", transaction.encode(), timeout_s=BACKGROUND_TIMEOUT_S
        )
        return _read_answer(response, _decode_committed)

    async def read_rows(
        self, table: str, *, start: str = "", end: str | None = None, limit: int | None = None
    ) -> StoredRows:
        """Read the rows of a table.

        Args:
            table: Its name.
            start: The first key.
            end: The key before which to end; None for all further ones.
            limit: Number of rows at most; None for all.
        """
        rows: list[StoredRow] = []
        store_time: float | None = None
        while True:
            query = {"table": table, "part": "", "from": start, "limit": limit or PAGE_ROWS}
            if end is not None:
                query["target"] = end
            target = f"/v1/rows-get?{urlencode(query, errors='surrogatepass')}"
            response = await self._call("GET", target, b"", timeout_s=CALL_TIMEOUT_S)
            page = _read_answer(response, _decode_page)
            store_time = page.store_time if store_time is None else store_time
            rows.extend(page.rows)
            if not page.has_more or not page.rows or limit is not None:
                return StoredRows(rows=rows, store_time=store_time)
            start = rows[-1].key + "\x00"

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
        response = _read_answer(data, _decode_answer)
        if "now_ms" in response:
            store_time = _read_answer(response, _decode_store_time)
            self._clock.record(sent=sent, store_time=store_time)
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
            if len(data) > MAX_RESPONSE_BYTES:
                raise MalformedAnswer("the response is too long")
        return head.status, bytes(data)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Page:
    """Rows of one response."""

    rows: list[StoredRow]
    store_time: float
    has_more: bool


def _read_answer(answer: Answer, decode: Callable[[Answer], Result]) -> Result:
    """Return what a decoder makes of an answer.

    Raises:
        StoreError: The answer is malformed.
    """
    try:
        with Decoding("answer"):
            return decode(answer)
    except MalformedData as error:
        raise StoreError(str(error)) from error


def _decode_answer(data: bytes) -> dict[str, Any]:
    response = decode_rows_json(data)
    if not isinstance(response, dict):
        raise ValueError("response is no object")
    return response


def _decode_committed(response: dict[str, Any]) -> Committed:
    version = int(response["ver"])
    return Committed(version=version, store_time=_decode_store_time(response))


def _decode_page(response: dict[str, Any]) -> _Page:
    rows = response.get("rows")
    if not isinstance(rows, list):
        raise ValueError("response has no list of rows")
    return _Page(
        rows=[_decode_row(row) for row in rows],
        store_time=_decode_store_time(response),
        has_more=bool(response.get("more_pages")),
    )


def _decode_store_time(response: dict[str, Any]) -> float:
    """Return the store time of a response in seconds; it is sent in milliseconds."""
    return float(response["now_ms"]) / 1000.0


def _name_row(table: str, key: str) -> dict[str, Any]:
    return {"table": table, "part": "", "key": key}


def _decode_row(row: dict[str, Any]) -> StoredRow:
    return StoredRow(key=str(row["key"]), version=int(row["ver"]), value=row.get("value"))
