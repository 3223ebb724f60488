"""Simulation of a fleet that performs duties: clocks, datagrams, the store and the provider."""

from __future__ import annotations

import asyncio
import itertools
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

from guavamast.leases import (
    LeaseHolder,
    LeaseParameters,
    LeaseRead,
    LeaseRecord,
    LeaseRow,
    LeaseTable,
    LeaseWrite,
)
from guavamast.platform_client import PlatformAnswerLost, PlatformUnavailable, TransactionConflict
from guavamast.relay.counters import Counters
from guavamast.relay.duties.candidacy import Candidacy
from guavamast.relay.duties.collection import ReportCollection
from guavamast.relay.duties.components import (
    CALL_MARGIN_S,
    LATE_ARRIVAL_S,
)
from guavamast.relay.duties.holder import STEP_INTERVAL_S, DutyHolder
from guavamast.relay.duties.member import REPORT_INTERVAL_S, DutyMember
from guavamast.relay.duties.report_wire import decode_duty_message, encode_duty_message
from guavamast.relay.duties.reports import DutyNotice
from guavamast.relay.duties.usage_counter import UsageCounter
from guavamast.relay.duties.usage_duty import UsageDuty
from guavamast.relay.duties.usage_ledger import UsageLedger
from guavamast.relay.provider import (
    CallAuthority,
    CallOutcome,
    EngineGroup,
    EngineOrder,
    Provider,
    WindowUsage,
)
from guavamast.relay.scaling import DemandCounter
from guavamast.relay.scaling.order_book import OrderBook
from tests.relay_fixtures import build_instance

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from guavamast.relay.store import InstanceRecord

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
    machine: str
    subject: str
    fencing: int
    body: Any
    excused: bool
    """Whether it was sent around the end of a pause of its machine."""


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
        await self._reach()
        read = LeaseRead(row=self.rows.row, table_time=STORE_EPOCH_S + self.world.now)
        await self._return()
        return read

    async def read_records(self, resource: str) -> list[LeaseRecord]:
        del resource
        await self._reach()
        records = [LeaseRecord(key=key, text=text) for key, text in self.rows.records.items()]
        await self._return()
        return records

    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        del resource
        await self._reach()
        self.rows.writes += 1
        chance = self.world.random.random()
        if chance < self.world.store_late:
            self.world.start_task(self._write_later(row, records))
            await asyncio.sleep(2.0)
            raise PlatformAnswerLost("no answer")
        written = self.rows.write(row, records)
        if chance < self.world.store_late + self.world.store_loses:
            await asyncio.sleep(2.0)
            raise PlatformAnswerLost("no answer")
        if written is None:
            raise TransactionConflict
        table_time = STORE_EPOCH_S + self.world.now
        if self.world.freezes_at_write_s is not None:
            self.instance.freeze()
            asyncio.get_running_loop().call_later(self.world.freezes_at_write_s, self.instance.thaw)
            self.world.freezes_at_write_s = None
        await self._return()
        return LeaseWrite(row_version=written, table_time=table_time)

    async def _write_later(self, row: LeaseRow, records: Sequence[LeaseRecord]) -> None:
        await asyncio.sleep(self.world.random.uniform(1.0, 6.0))
        self.rows.write(row, records)

    async def _reach(self) -> None:
        await self.instance.thawed()
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
        if self.world.store_down or self.instance.cut_from_store:
            await asyncio.sleep(0.5)
            raise PlatformUnavailable("down")

    async def _return(self) -> None:
        await asyncio.sleep(self.world.random.uniform(0.001, 0.01))
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


class SimulatedPeers:
    """The other instances as one of them knows them, some seconds late."""

    def __init__(self, world: World, own_name: str) -> None:
        self.world = world
        self.own_name = own_name

    def list_live(self, *, now: float) -> list[Any]:
        del now
        own = self.world.instances[self.own_name]
        return [
            one.peer
            for one in self.world.instances.values()
            if one.name != self.own_name
            and one.seen_alive(self.world.now)
            and one.reaches_peers
            and own.reaches_peers
        ]

    def list_targets(self) -> list[InstanceRecord]:
        return [one.record for one in self.world.instances.values() if one.name != self.own_name]

    def count_known(self) -> int:
        return len(self.world.instances)


@dataclass(slots=True, kw_only=True)
class SimulatedPeer:
    """An instance in another one's list."""

    record: InstanceRecord
    state: None = None


class SilentLog:
    """Takes log lines."""

    def __init__(self) -> None:
        self.lines: list[dict[str, Any]] = []

    def write(self, event: str, *, now: float, **fields: Any) -> None:
        self.lines.append({"event": event, "now": now, **fields})


class SimulatedFleetState:
    """The part of an instance's view of the fleet that duties use."""

    def __init__(self, peers: SimulatedPeers) -> None:
        self.peers = peers


class RandomScaling:
    """Orders a random number of engines now and then."""

    def __init__(self, random: Random) -> None:
        self.orders = OrderBook()
        self._random = random
        self._due_at = 0.0

    def load(self, records: list[LeaseRecord]) -> None:
        self.orders.load(records)

    def place_orders(self, *, now: float) -> list[EngineOrder]:
        if now < self._due_at:
            return []
        self._due_at = now + self._random.uniform(0.3, 3.0)
        group = EngineGroup(
            service="models",
            failure_domain=self._random.choice(DOMAINS),
            reclaimable=self._random.random() < 0.5,
        )
        return [EngineOrder(group=group, engines=self._random.randrange(9))]

    def explain(self, group: EngineGroup) -> str:
        del group
        return "random"


class SimulatedInstance:
    """One instance: its process, clocks and links."""

    def __init__(
        self, world: World, number: int, *, rows: StoredLeases, seen: dict[str, int]
    ) -> None:
        self.world = world
        self.name = f"i{number}"
        base = build_instance(self.name, domain=DOMAINS[number % 4], port=number + 1)
        self.record = replace(base, ip=self.name, processor_share=2.0 if number < 8 else 0.4)
        self.peer = SimulatedPeer(record=self.record)
        self.wall_error_s = world.random.uniform(-0.05, 0.05)
        self.cut_from_store = False
        self.cut_from_provider = False
        self.reaches_peers = True
        self.alive = False
        self._changed_at = float("-inf")
        self._rows = rows
        self._seen = seen
        self._thaw = asyncio.Event()
        self._thaw.set()
        self._tasks: list[asyncio.Task[None]] = []
        self._incarnations = itertools.count(1)
        self.log = SilentLog()

    def read_time(self) -> float:
        """Return the local clock, which no other instance shares."""
        return self.world.now + 3.0 * self.record.peer_port

    def locate(self, at: float) -> float:
        """Return the store time of a local time."""
        return at - 3.0 * self.record.peer_port + STORE_EPOCH_S

    def seen_alive(self, now: float) -> bool:
        """Return whether the others count this instance as alive."""
        settled = now - self._changed_at > LIVENESS_LAG_S
        return self.alive if settled else not self.alive

    async def thawed(self) -> None:
        """Wait while the machine is frozen."""
        await self._thaw.wait()

    def freeze(self) -> None:
        """Stop the machine until it is thawed."""
        self._thaw.clear()

    def thaw(self) -> None:
        """Let the machine go on."""
        self._thaw.set()

    def start(self) -> None:
        """Start a process, which knows nothing of an earlier one."""
        self.alive = True
        self._changed_at = self.world.now
        self.usage = UsageCounter(locate=self.locate)
        self.collection = ReportCollection()
        self.candidacy = Candidacy(name=self.name, started_at=self.read_time())
        nonces = itertools.count()
        start = next(self._incarnations)
        fleet_state: Any = SimulatedFleetState(SimulatedPeers(self.world, self.name))
        self.member = DutyMember(
            record=self.record,
            incarnation=start,
            fleet_state=fleet_state,
            usage=self.usage,
            demand=DemandCounter(),
            collection=self.collection,
            window_s=WINDOW_S,
            locate=self.locate,
            send=self._send,
            read_time=self.read_time,
            read_wall=lambda: EPOCH_S + self.world.now + self.wall_error_s,
        )
        self.holder = DutyHolder(
            record=self.record,
            lease=LeaseHolder(
                table=SimulatedStore(self.world, self._rows, self),
                read_time=self.read_time,
                holder=self.name,
                generate_nonce=lambda: f"{self.name}-{start}-{next(nonces)}",
                parameters=LeaseParameters(
                    duration_s=LEASE_S,
                    margin_s=CALL_MARGIN_S,
                    order_time_s=LATE_ARRIVAL_S + THAW_S,
                    tenure_s=LEASE_S + LATE_ARRIVAL_S,
                ),
            ),
            fenced=self.world.fenced,
            candidacy=self.candidacy,
            collection=self.collection,
            usage=UsageDuty(
                ledger=UsageLedger(),
                collection=self.collection,
                window_s=WINDOW_S,
                due_s=DUE_S,
            ),
            scaling=RandomScaling(self.world.random),  # type: ignore[arg-type]
            provider=SimulatedProvider(self.world, self._seen, self),
            fleet_state=fleet_state,
            broadcast=self._broadcast,
            locate=self.locate,
            log=self.log,  # type: ignore[arg-type]
            counters=Counters(),
            read_time=self.read_time,
        )
        self._tasks = [
            self.world.start_task(self._run_member()),
            self.world.start_task(self._run_holder()),
        ]

    def kill(self) -> None:
        """End the process at once."""
        self.alive = False
        self._changed_at = self.world.now
        for task in self._tasks:
            task.cancel()

    async def stop(self) -> None:
        """Let the process leave in good order."""
        await self.holder.leave()
        self.kill()

    def serve(self, organisation: str) -> None:
        """Let a request begin to run."""
        self.usage.record(organisation, now=self.read_time())
        window = int((EPOCH_S + self.world.now) // WINDOW_S)
        counts = self.world.truth[window]
        counts[organisation] = counts.get(organisation, 0) + 1

    def receive(self, data: bytes) -> None:
        """Receive a datagram."""
        if not self.alive:
            return
        message = decode_duty_message(data)
        if isinstance(message, DutyNotice):
            self.candidacy.receive(message, now=self.read_time())
            self.member.receive_notice(message)
        else:
            self.collection.apply(message, now=self.read_time())

    async def _run_member(self) -> None:
        await asyncio.sleep(self.world.random.uniform(0.0, REPORT_INTERVAL_S))
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self.thawed()
            self.member.report(now=self.read_time())

    async def _run_holder(self) -> None:
        while True:
            await asyncio.sleep(STEP_INTERVAL_S)
            await self.thawed()
            await self.holder.take_step()

    def _broadcast(self, notice: DutyNotice) -> None:
        self.candidacy.receive(notice, now=self.read_time())
        self.member.receive_notice(notice)
        data = encode_duty_message(notice)
        for other in self.world.instances.values():
            if other is not self:
                self._send(data, (other.name, other.record.peer_port))

    def _send(self, data: bytes, address: tuple[str, int]) -> None:
        target = self.world.instances.get(address[0])
        if target is None or not (self.reaches_peers and target.reaches_peers):
            return
        if self.world.random.random() < 0.01:
            return
        delay_s = self.world.random.uniform(0.0005, 0.01)
        asyncio.get_running_loop().call_later(delay_s, target.receive, data)


class DutySimulation:
    """A fleet whose instances serve requests at a steady rate.

    Args:
        random: Source of all chance.
        instances: Number of instances.
        fenced: Whether the provider checks fencing numbers.
        requests_per_s: Requests that begin to run, at all instances together.
    """

    def __init__(
        self, *, random: Random, instances: int, fenced: bool, requests_per_s: float = 60.0
    ) -> None:
        self.world = World(random=random, fenced=fenced)
        self.rows = StoredLeases()
        seen: dict[str, int] = {}
        for number in range(instances):
            one = SimulatedInstance(self.world, number, rows=self.rows, seen=seen)
            self.world.instances[one.name] = one
        self._requests_per_s = requests_per_s

    @property
    def instances(self) -> list[SimulatedInstance]:
        """All instances."""
        return list(self.world.instances.values())

    def find_holder(self) -> SimulatedInstance | None:
        """Return the instance that the lease names."""
        return self.world.instances.get(self.rows.row.holder)

    async def start(self) -> None:
        """Start all instances and the load."""
        for instance in self.instances:
            instance.start()
        self.world.start_task(self._serve())

    async def stop(self) -> None:
        """End everything."""
        for task in list(self.world.tasks):
            task.cancel()
        await asyncio.gather(*self.world.tasks, return_exceptions=True)

    async def _serve(self) -> None:
        random = self.world.random
        while True:
            await asyncio.sleep(random.expovariate(self._requests_per_s))
            able = [
                one
                for one in (random.choice(self.instances) for _ in range(4))
                if one.alive and one._thaw.is_set()
            ]
            if able:
                able[0].serve(random.choice(ORGANISATIONS))


def find_violations(world: World, *, fenced: bool) -> list[str]:
    """Return each violation of the rule that one instance at a time performs a duty."""
    found = []
    reported: dict[int, Any] = {}
    for call in world.accepted:
        if call.subject == "usage":
            window, counts = call.body
            if reported.setdefault(window, counts) != counts:
                found.append(f"two counts for window {window} at {call.at:.2f}")
    senders: dict[tuple[str, int], str] = {}
    for call in world.arrived:
        key = (call.subject, call.fencing)
        if senders.setdefault(key, call.machine) != call.machine:
            found.append(f"two machines sent {key}")
    if not fenced:
        found += find_decreases(world.arrived)
    return found + find_alternations(world.arrived)


def find_decreases(calls: list[Call]) -> list[str]:
    """Return each call with a lower fencing number than the provider had seen."""
    found = []
    highest: dict[str, int] = {}
    for call in calls:
        if call.fencing < highest.get(call.subject, 0) and not call.excused:
            found.append(f"{call.machine} sent {call.fencing} for {call.subject} at {call.at:.2f}")
        highest[call.subject] = max(call.fencing, highest.get(call.subject, 0))
    return found


def find_alternations(calls: list[Call]) -> list[str]:
    """Return each time that two instances acted in turns within the lease time, on any subject."""
    found = []
    acts = [call for call in calls if not call.excused]
    for index, last in enumerate(acts):
        recent = [one for one in acts[:index] if last.at - one.at < LEASE_S]
        others = [place for place, one in enumerate(recent) if one.machine != last.machine]
        if others and any(one.machine == last.machine for one in recent[: others[-1]]):
            found.append(f"{last.machine} acts in turns at {last.at:.2f}")
    return found


def find_misses(world: World, *, until: float, tolerance: float = 0.05) -> list[int]:
    """Return the windows whose usage was not reported in time, or is off.

    Args:
        world: The simulated world.
        until: Simulated time up to which usage was due.
        tolerance: Relative error allowed for each organisation.
    """
    first_reports: dict[int, Call] = {}
    for call in world.accepted:
        if call.subject == "usage":
            first_reports.setdefault(call.body[0], call)
    missed = []
    for window, truth in sorted(world.truth.items()):
        due = (window + 1) * WINDOW_S - EPOCH_S + DUE_S
        if due > until or (window * WINDOW_S - EPOCH_S) < 0:
            continue
        report = first_reports.get(window)
        counts = dict(report.body[1]) if report is not None else {}
        off = any(
            abs(counts.get(name, 0) - count) > max(1.0, tolerance * count)
            for name, count in truth.items()
        )
        if report is None or report.at > due or off:
            missed.append(window)
    return missed
