"""Simulation of a fleet that performs duties: instances with their clocks and datagrams."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

from guavamast.leases import LeaseHolder, LeaseParameters, LeaseRecord
from guavamast.relay.counters import Counters
from guavamast.relay.duties.candidacy import Candidacy
from guavamast.relay.duties.collection import ReportCollection
from guavamast.relay.duties.components import CALL_MARGIN_S, LATE_ARRIVAL_S
from guavamast.relay.duties.holder import STEP_INTERVAL_S, DutyHolder
from guavamast.relay.duties.member import REPORT_INTERVAL_S, DutyMember
from guavamast.relay.duties.report_wire import decode_duty_message, encode_duty_message
from guavamast.relay.duties.reports import DutyNotice
from guavamast.relay.duties.tenure_factory import TenureFactory
from guavamast.relay.duties.usage_counter import UsageCounter
from guavamast.relay.duties.usage_duty import UsageDuty
from guavamast.relay.duties.usage_ledger import UsageLedger
from guavamast.relay.provider import EngineGroup, EngineOrder
from guavamast.relay.scaling import DemandCounter
from guavamast.relay.scaling.order_book import OrderBook
from tests.duty_world import (
    DOMAINS,
    DUE_S,
    EPOCH_S,
    LEASE_S,
    LIVENESS_LAG_S,
    ORGANISATIONS,
    STORE_EPOCH_S,
    THAW_S,
    WINDOW_S,
    SimulatedProvider,
    SimulatedStore,
    StoredLeases,
    World,
)
from tests.relay_fixtures import build_instance

if TYPE_CHECKING:
    from collections.abc import Iterable
    from random import Random

    from guavamast.relay.store import InstanceRecord


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

    def load(self, records: Iterable[LeaseRecord]) -> None:
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
        log: Any = self.log
        counters = Counters()
        lease = LeaseHolder(
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
        )
        self.holder = DutyHolder(
            record=self.record,
            lease=lease,
            fenced=self.world.fenced,
            candidacy=self.candidacy,
            collection=self.collection,
            tenures=TenureFactory(
                lease=lease,
                fenced=self.world.fenced,
                build_usage=self._build_usage,
                build_scaling=self._build_scaling,
                provider=SimulatedProvider(self.world, self._seen, self),
                log=log,
                counters=counters,
                read_time=self.read_time,
            ),
            fleet_state=fleet_state,
            broadcast=self._broadcast,
            locate=self.locate,
            log=log,
            counters=counters,
            read_time=self.read_time,
        )
        self._tasks = [
            self.world.start_task(self._run_member()),
            self.world.start_task(self._run_holder()),
        ]

    def _build_usage(self) -> UsageDuty:
        return UsageDuty(
            ledger=UsageLedger(), collection=self.collection, window_s=WINDOW_S, due_s=DUE_S
        )

    def _build_scaling(self) -> Any:
        return RandomScaling(self.world.random)

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
            await self.holder.take_guarded_step()

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
