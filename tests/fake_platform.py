"""In-memory platform with faults that the tests choose."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from guavamast.platform_client import (
    Check,
    ListedInstance,
    PlatformAnswerLost,
    PlatformClient,
    PlatformUnavailable,
    Row,
    TransactionConflict,
    Write,
)

if TYPE_CHECKING:
    from typing import Any


class FakePlatform(PlatformClient):
    """Stores rows and objects; each transaction is subject to the next fault of ``faults``.

    Faults: ``ok``, ``down`` (no effect), ``lost`` (effect, no response), ``cut`` (no effect, but
    the client can't know), ``late`` (no response, takes effect before the next call but one), and
    ``lost_then_down`` (effect, no response, and then ``down_calls`` calls of any kind fail).
    """

    def __init__(self) -> None:
        self.faults: deque[str] = deque()
        self.down_calls = 0
        self.rows: dict[tuple[str, str], Row] = {}
        self.objects: dict[str, bytes] = {}
        self.applied: list[list[Write]] = []
        self._late: list[tuple[int, list[Check], list[Write]]] = []
        self._calls = 0

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        await self._begin_call()
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "down":
            raise PlatformUnavailable("down")
        if fault == "cut":
            raise PlatformAnswerLost("cut")
        if fault == "late":
            self._late.append((self._calls + 2, checks, writes))
            raise PlatformAnswerLost("late")
        versions = self._apply(checks, writes)
        if fault == "lost_then_down":
            self.down_calls = 3
        if fault in ("lost", "lost_then_down"):
            raise PlatformAnswerLost("lost")
        return versions

    async def read(self, table: str, key: str) -> Row:
        await self._begin_call()
        return self.find_row(table, key)

    async def scan(self, table: str, prefix: str) -> list[Row]:
        await self._begin_call()
        keys = sorted(key for key in self.rows if key[0] == table and key[1].startswith(prefix))
        return [self.rows[key] for key in keys]

    async def put_object(self, name: str, body: bytes) -> None:
        await self._begin_call()
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        await self._begin_call()
        return self.objects.get(name)

    async def list_instances(self) -> list[ListedInstance]:
        return []

    def find_row(self, table: str, key: str) -> Row:
        """Return a row without counting as a call."""
        return self.rows.get((table, key)) or Row(table=table, key=key, version=0, value=None)

    async def _begin_call(self) -> None:
        self._calls += 1
        for _ in range(self._calls * 7 % 4):
            await asyncio.sleep(0)
        due = [item for item in self._late if item[0] <= self._calls]
        self._late = [item for item in self._late if item[0] > self._calls]
        for _, checks, writes in due:
            try:
                self._apply(checks, writes)
            except TransactionConflict:
                continue
        if self.down_calls:
            self.down_calls -= 1
            raise PlatformUnavailable("down")

    def _apply(self, checks: list[Check], writes: list[Write]) -> list[int]:
        for check in checks:
            if self.find_row(check.table, check.key).version != check.version:
                raise TransactionConflict
        versions = [self._write(write) for write in writes]
        self.applied.append(writes)
        return versions

    def _write(self, write: Write) -> int:
        version = self.find_row(write.table, write.key).version + 1
        value: dict[str, Any] | None = write.value
        row = Row(table=write.table, key=write.key, version=version, value=value)
        self.rows[write.table, write.key] = row
        return version
