"""The world in which simulated instances perform duties: the store, the provider, what fails."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Any

from guavamast.leases import LeaseRead, LeaseRecord, LeaseRow, LeaseTable, LeaseWrite
from guavamast.platform_client import PlatformAnswerLost, PlatformUnavailable, TransactionConflict
from guavamast.relay.provider import (
    CallAuthority,
    CallOutcome,
    EngineOrder,
    Provider,
    WindowUsage,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from tests.duty_simulation import SimulatedInstance

LEASE_S = 3.0
WINDOW_S = 5.0
DUE_S = 10.0
THAW_S = 0.3
EPOCH_S = 1_000_000.0
"""True time, in seconds, at which the simulation begins."""
STORE_EPOCH_S = 50.0
"""Store time at which the simulation begins."""
LIVENESS_LAG_S = 3.0
"""Seconds after which instances notice that another one has ended or come back."""
DOMAINS = ("a", "b", "c", "d")
ORGANISATIONS = ("bakery", "florist", "plumber")


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A call that the provider got."""

    at: float
    """When it arrived or, if it was accepted, took effect."""
    arrived_at: float
    machine: str
    subject: str
    fencing: int
    body: Any
    excused: bool
    """Whether it was sent around the end of a pause of its machine."""


class StoreCall(StrEnum):
    """A kind of call to the store."""

    READ = "read"
    READ_RECORDS = "read_records"
    WRITE = "write"


class CallFault(StrEnum):
    """What becomes of one call to the store."""

    REFUSED = "refused"
    """It isn't performed, and its caller is told so."""
    ANSWER_LOST = "answer_lost"
    """It is performed, and its answer is lost."""
    FREEZE = "freeze"
    """It is performed, and its caller is frozen before the answer comes, for some seconds."""


@dataclass(slots=True, kw_only=True)
class FaultPoint:
    """One call of one instance to the store, and what becomes of it."""

    instance: str
    call: StoreCall
    number: int
    """Which of its calls of this kind, counted from 1."""
    fault: CallFault
    freeze_s: float = 5.0
    """Longer than a lease."""
    counted: int = 0

    def meets(self, instance: str, call: StoreCall) -> bool:
        """Count a call, and return whether it is this one."""
        if (instance, call) != (self.instance, self.call):
            return False
        self.counted += 1
        return self.counted == self.number


@dataclass(slots=True, kw_only=True)
class World:
    """What can go wrong, and what has happened."""

    random: Random
    fenced: bool = True
    instances: dict[str, SimulatedInstance] = field(default_factory=dict)
    store_down: bool = False
    store_loses: float = 0.0
    """Share of the writes that are performed and not answered."""
    store_late: float = 0.0
    """Share of the writes that are not answered and performed some seconds later."""
    provider_down: bool = False
    provider_late: float = 0.0
    """Share of the calls that are not answered and carried out up to 12 s later."""
    provider_loses: float = 0.0
    """Share of the calls that are carried out and not answered."""
    provider_delay_s: float = 0.01
    freezes_at_write_s: float | None = None
    """Seconds for which the next instance freezes whose write was just performed."""
    fault_point: FaultPoint | None = None
    """The one call to the store that fails."""
    arrived: list[Call] = field(default_factory=list)
    accepted: list[Call] = field(default_factory=list)
    truth: dict[int, dict[str, int]] = field(default_factory=lambda: defaultdict(dict))
    """Runs by window of true time and organisation."""
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    @property
    def now(self) -> float:
        """Seconds since the simulation began."""
        return asyncio.get_running_loop().time()

    def start_task(self, coroutine: Any) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task


class SimulatedStore(LeaseTable):
    """The store as one instance reaches it; all share the rows."""

    def __init__(self, world: World, rows: StoredLeases, instance: SimulatedInstance) -> None:
        self.world = world
        self.rows = rows
        self.instance = instance

    async def read(self, resource: str) -> LeaseRead:
        del resource
        fault = await self._reach(StoreCall.READ)
        read = LeaseRead(row=self.rows.row, table_time=STORE_EPOCH_S + self.world.now)
        await self._return(fault)
        return read

    async def read_records(self, resource: str) -> list[LeaseRecord]:
        del resource
        fault = await self._reach(StoreCall.READ_RECORDS)
        records = [LeaseRecord(key=key, text=text) for key, text in self.rows.records.items()]
        await self._return(fault)
        return records

    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        del resource
        fault = await self._reach(StoreCall.WRITE)
        self.rows.writes += 1
        chance = self.world.random.random()
        if chance < self.world.store_late:
            self.world.start_task(self._write_later(row, records))
            await asyncio.sleep(2.0)
            raise PlatformAnswerLost("no answer")
        written = self.rows.write(row, records)
        if (
            fault is CallFault.ANSWER_LOST
            or chance < self.world.store_late + self.world.store_loses
        ):
            await asyncio.sleep(2.0)
            raise PlatformAnswerLost("no answer")
        if written is None:
            raise TransactionConflict
        table_time = STORE_EPOCH_S + self.world.now
        if self.world.freezes_at_write_s is not None:
            self.instance.freeze()
            asyncio.get_running_loop().call_later(self.world.freezes_at_write_s, self.instance.thaw)
            self.world.freezes_at_write_s = None
        await self._return(fault)
        return LeaseWrite(row_version=written, table_time=table_time)

    async def _write_later(self, row: LeaseRow, records: Sequence[LeaseRecord]) -> None:
        await asyncio.sleep(self.world.random.uniform(1.0, 6.0))
        self.rows.write(row, records)

    async def _reach(self, call: StoreCall) -> CallFault | None:
        """Let a call reach the store, and return what becomes of it there or on its way back."""
        await self.instance.thawed()
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
        point = self.world.fault_point
        fault = point.fault if point is not None and point.meets(self.instance.name, call) else None
        if self.world.store_down or self.instance.cut_from_store or fault is CallFault.REFUSED:
            await asyncio.sleep(0.5)
            raise PlatformUnavailable("down")
        return fault

    async def _return(self, fault: CallFault | None) -> None:
        """Let the answer to a call return."""
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
        if fault is CallFault.ANSWER_LOST:
            await asyncio.sleep(0.5)
            raise PlatformUnavailable("no answer")
        if fault is CallFault.FREEZE:
            assert self.world.fault_point is not None
            self.instance.freeze()
            freeze_s = self.world.fault_point.freeze_s
            asyncio.get_running_loop().call_later(freeze_s, self.instance.thaw)
        await self.instance.thawed()


class StoredLeases:
    """The rows that the store keeps."""

    def __init__(self) -> None:
        self.row = LeaseRow(row_version=0)
        self.records: dict[str, str] = {}
        self.version = 7
        self.writes = 0

    def write(self, row: LeaseRow, records: Sequence[LeaseRecord]) -> int | None:
        """Write if the row has the expected version, and return the new version."""
        if row.row_version != self.row.row_version:
            return None
        self.version += 3
        self.row = replace(row, row_version=self.version)
        for record in records:
            if record.text is None:
                self.records.pop(record.key, None)
            else:
                self.records[record.key] = record.text
        return self.version


class SimulatedProvider(Provider):
    """The provider as one instance reaches it."""

    def __init__(self, world: World, seen: dict[str, int], instance: SimulatedInstance) -> None:
        self.world = world
        self.seen = seen
        self.instance = instance

    async def report_usage(self, usage: WindowUsage, authority: CallAuthority) -> CallOutcome:
        body = (usage.window, tuple(sorted(usage.counts.items())))
        return await self._call("usage", body, authority)

    async def order_engines(self, order: EngineOrder, authority: CallAuthority) -> CallOutcome:
        group = order.group
        body = (group.reclaimable, order.engines)
        return await self._call(f"scale {group.service} {group.failure_domain}", body, authority)

    async def _call(self, subject: str, body: Any, authority: CallAuthority) -> CallOutcome:
        world = self.world
        await self.instance.thawed()
        if self.instance.cut_from_provider:
            await asyncio.sleep(0.4)
            return CallOutcome.NOT_SENT
        if not authority.may_send():
            return CallOutcome.NOT_SENT
        sent_at = world.now
        await asyncio.sleep(world.random.uniform(0.2, 1.0) * world.provider_delay_s)
        await self.instance.thawed()
        # What a frozen machine had in its buffers arrives once it runs again.
        excused = world.now - sent_at > world.provider_delay_s + 0.01
        call = Call(
            at=world.now,
            arrived_at=world.now,
            machine=self.instance.name,
            subject=subject,
            fencing=authority.fencing,
            body=body,
            excused=excused or world.provider_down,
        )
        if world.provider_down:
            await asyncio.sleep(0.9)
            return CallOutcome.UNKNOWN
        world.arrived.append(call)
        chance = world.random.random()
        if chance < world.provider_late:
            world.start_task(self._carry_out_later(call))
            await asyncio.sleep(0.9)
            return CallOutcome.UNKNOWN
        outcome = self._carry_out(call)
        if chance < world.provider_late + world.provider_loses:
            await asyncio.sleep(0.9)
            return CallOutcome.UNKNOWN
        await asyncio.sleep(world.random.uniform(0.2, 1.0) * world.provider_delay_s)
        await self.instance.thawed()
        return outcome

    async def _carry_out_later(self, call: Call) -> None:
        await asyncio.sleep(self.world.random.uniform(0.0, 12.0))
        self._carry_out(call)

    def _carry_out(self, call: Call) -> CallOutcome:
        if self.world.fenced and call.fencing < self.seen.get(call.subject, 0):
            return CallOutcome.CONFLICT
        self.seen[call.subject] = max(call.fencing, self.seen.get(call.subject, 0))
        self.world.accepted.append(replace(call, at=self.world.now))
        return CallOutcome.DONE
