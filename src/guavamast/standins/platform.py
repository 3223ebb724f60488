"""Stand-in for the platform: table service, object store and instance list."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tornado.web import Application

from guavamast.platform_client import Check, ListedInstance, Row, TransactionConflict, Write
from guavamast.standins.listener import FaultHandler, Standin, StandinHandler

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class TableState:
    """The tables' rows.

    A deleted row keeps its last version as a tombstone, so that versions continue to increase when
    the row is written again, and an old version never matches a newer row.
    """

    __slots__ = ("_rows", "rows_written", "transactions")

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Row] = {}
        self.transactions = 0
        """Transactions that took effect since the start."""
        self.rows_written = 0
        """Rows that these transactions wrote."""

    def read(self, table: str, key: str) -> Row:
        """Return a row, with version 0 and no value when it is absent."""
        row = self._rows.get((table, key))
        if row is None or row.value is None:
            return Row(table=table, key=key, version=0, value=None)
        return row

    def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the present rows whose key starts with ``prefix``, ordered by key."""
        rows = [row for row in self._rows.values() if row.table == table and row.value is not None]
        return sorted((r for r in rows if r.key.startswith(prefix)), key=lambda row: row.key)

    def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Write all rows if all checks pass.

        Raises:
            TransactionConflict: A check failed; nothing is written.
        """
        if any(self.read(c.table, c.key).version != c.version for c in checks):
            raise TransactionConflict
        self.transactions += 1
        self.rows_written += len(writes)
        return [self._write(write) for write in writes]

    def _write(self, write: Write) -> int:
        last = self._rows.get((write.table, write.key))
        version = 1 if last is None else last.version + 1
        row = Row(table=write.table, key=write.key, version=version, value=write.value)
        self._rows[(write.table, write.key)] = row
        return 0 if write.value is None else version


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceEvent:
    """A change of the instance list and the time from which it is visible."""

    visible_at: float
    listed: ListedInstance


class InstanceList:
    """The list of instances, in which changes become visible after a delay."""

    __slots__ = ("_events", "_lag_s")

    def __init__(self, *, lag_s: float) -> None:
        self._lag_s = lag_s
        self._events: list[InstanceEvent] = []

    def register(self, listed: ListedInstance, *, now: float) -> None:
        """Add a change; state ``gone`` removes the instance."""
        self._events.append(InstanceEvent(visible_at=now + self._lag_s, listed=listed))

    def list_visible(self, *, now: float) -> list[ListedInstance]:
        """Return the instances according to the changes that are visible by now."""
        latest: dict[str, ListedInstance] = {}
        for event in self._events:
            if event.visible_at <= now:
                latest[event.listed.name] = event.listed
        return [listed for listed in latest.values() if listed.state != "gone"]


class RateLimit:
    """Admits a limited number of requests per second."""

    __slots__ = ("_second", "_used")

    def __init__(self) -> None:
        self._second = 0
        self._used = 0

    def try_acquire(self, per_s: float, *, now: float) -> bool:
        """Count a request; return whether it is within the limit of this second."""
        if int(now) != self._second:
            self._second, self._used = int(now), 0
        self._used += 1
        return self._used <= per_s


class PlatformStandin(Standin):
    """The platform on one port.

    Faults: ``down`` responds with 503 (or closes the connection, with ``"cut": true``) before any
    effect; ``slow`` waits ``delay_s`` before the effect; ``lose_answers`` closes the connection
    after the effect; ``rate_limit`` responds with 429 beyond ``per_s`` requests per second.

    Args:
        instance_lag_s: Time after which a change of the instance list becomes visible.
    """

    def __init__(self, *, instance_lag_s: float = 1.0) -> None:
        super().__init__()
        self.tables = TableState()
        self.objects: dict[str, bytes] = {}
        self.instances = InstanceList(lag_s=instance_lag_s)
        self.rate = RateLimit()

    def create_application(self) -> Application:
        """Return the application."""
        arguments = {"standin": self}
        return Application(
            [
                (r"/tables/transact", TransactHandler, arguments),
                (r"/tables/([^/]+)/([^/]+)", RowHandler, arguments),
                (r"/tables/([^/]+)", ScanHandler, arguments),
                (r"/objects/([^/]+)", ObjectHandler, arguments),
                (r"/instances", InstancesHandler, arguments),
                (r"/counts", CountsHandler, arguments),
                (r"/fault", FaultHandler, arguments),
            ],
            log_function=lambda _: None,
        )


class PlatformHandler(StandinHandler):
    """Base of the handlers that are subject to faults."""

    standin: PlatformStandin

    async def serve(self, effect: Callable[[], None]) -> None:
        """Run a request's effect under the active fault."""
        if not self._admit():
            return
        await self.delay()
        effect()
        if self.standin.is_faulty("lose_answers"):
            self.drop_connection()

    def _admit(self) -> bool:
        standin = self.standin
        if standin.is_faulty("down"):
            if standin.fault.cut:
                self.drop_connection()
            else:
                self.set_status(503)
                self.set_header("Retry-After", "1")
            return False
        limited = standin.is_faulty("rate_limit")
        if limited and not standin.rate.try_acquire(standin.fault.per_s, now=time.monotonic()):
            self.set_status(429)
            self.set_header("Retry-After", "1")
            return False
        return True


class TransactHandler(PlatformHandler):
    """Transactions over rows."""

    def post(self) -> Awaitable[None]:
        """Write all rows if all checks pass, else respond with 409."""
        return self.serve(self._transact)

    def _transact(self) -> None:
        body = self.read_json()
        checks = [Check(**check) for check in body.get("checks", [])]
        writes = [Write(**write) for write in body.get("writes", [])]
        try:
            self.write({"versions": self.standin.tables.transact(checks, writes)})
        except TransactionConflict:
            self.set_status(409)
            self.write({"error": {"code": "conflict"}})


class RowHandler(PlatformHandler):
    """Reads of one row."""

    def get(self, table: str, key: str) -> Awaitable[None]:
        """Respond with the row; an absent one has version 0."""
        return self.serve(lambda: self._respond(table, key))

    def _respond(self, table: str, key: str) -> None:
        self.write(format_row(self.standin.tables.read(table, key)))


class ScanHandler(PlatformHandler):
    """Scans of one table."""

    def get(self, table: str) -> Awaitable[None]:
        """Respond with the rows whose key has the prefix."""
        return self.serve(lambda: self._respond(table))

    def _respond(self, table: str) -> None:
        rows = self.standin.tables.scan(table, self.get_query_argument("prefix", "", strip=False))
        self.write({"rows": [format_row(row) for row in rows]})


class ObjectHandler(PlatformHandler):
    """The object store."""

    def put(self, name: str) -> Awaitable[None]:
        """Store an object."""
        return self.serve(lambda: self._store(name))

    def get(self, name: str) -> Awaitable[None]:
        """Respond with an object, or with 404."""
        return self.serve(lambda: self._respond(name))

    def _store(self, name: str) -> None:
        self.standin.objects[name] = self.request.body
        self.write({})

    def _respond(self, name: str) -> None:
        body = self.standin.objects.get(name)
        if body is None:
            self.set_status(404)
            return
        self.set_header("Content-Type", "application/octet-stream")
        self.write(body)


class InstancesHandler(PlatformHandler):
    """The list of instances."""

    def get(self) -> Awaitable[None]:
        """Respond with the instances that are visible by now."""
        return self.serve(self._respond)

    def post(self) -> Awaitable[None]:
        """Register an instance or a change of its state."""
        return self.serve(self._register)

    def _respond(self) -> None:
        listed = self.standin.instances.list_visible(now=time.monotonic())
        self.write({"instances": [format_instance(instance) for instance in listed]})

    def _register(self) -> None:
        self.standin.instances.register(ListedInstance(**self.read_json()), now=time.monotonic())
        self.write({})


class CountsHandler(StandinHandler):
    """Reports counts of transactions and rows, for measurements."""

    standin: PlatformStandin

    def get(self) -> None:
        """Respond with the counts since the start."""
        tables = self.standin.tables
        self.write({"transactions": tables.transactions, "rows_written": tables.rows_written})


def format_row(row: Row) -> dict[str, Any]:
    """Return the JSON object of a row."""
    return {"key": row.key, "version": row.version, "value": row.value}


def format_instance(listed: ListedInstance) -> dict[str, str]:
    """Return the JSON object of a listed instance."""
    return {"name": listed.name, "state": listed.state, "peer_address": listed.peer_address}
