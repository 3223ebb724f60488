"""Directories of bound streams, and the part of the store that saves them."""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING, Any

from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_messages import InstanceState, LivenessRecord
from guavamast.relay.peers import Peers
from guavamast.relay.requester import Requester
from guavamast.relay.store import BindingRow, StoreError
from guavamast.relay.stream_binding import StreamBinding
from guavamast.relay.stream_binding.directory import BindingDirectory
from guavamast.relay.stream_binding.ledger import BindingLedger
from guavamast.relay.stream_binding.saved_streams import SavedStreams
from guavamast.relay.stream_binding.saver import BindingSaver
from guavamast.relay.stream_binding.saver_choice import SaverChoice
from tests.relay_fixtures import build_instance

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from guavamast.relay.store import InstanceRecord

V1 = StreamBinding(service="portal", software_version="v1")
V2 = StreamBinding(service="portal", software_version="v2")
LIFETIME_S = 60.0
DOMAINS = ("a", "b", "c", "d")
STORE_EPOCH_S = 50.0
"""Store time at the local time 0."""


class FakeBindingStore:
    """Rows of saved streams in memory, with faults."""

    def __init__(self) -> None:
        self.rows: dict[tuple[int, str], BindingRow] = {}
        self.version = 7
        self.down = False
        self.loses_answers = False
        """Whether writes are performed and not answered."""
        self.keeps_writes = False
        """Whether writes are not performed, and kept to be performed later."""
        self.kept: list[Sequence[BindingRow]] = []
        self.on_read: Callable[[], None] | None = None
        """Called once, at the next read."""
        self.reads = 0
        self.writes = 0

    async def read_bindings(self, *, shard: int | None) -> list[BindingRow]:
        self.reads += 1
        if self.on_read is not None:
            on_read, self.on_read = self.on_read, None
            on_read()
        if self.down:
            raise StoreError("down")
        return [row for row in self.rows.values() if shard is None or row.shard == shard]

    async def write_bindings(self, rows: Sequence[BindingRow]) -> int:
        self.writes += 1
        if self.down:
            raise StoreError("down")
        if self.keeps_writes:
            self.kept.append(rows)
            raise StoreError("no answer")
        self.perform(rows)
        if self.loses_answers:
            raise StoreError("no answer")
        return self.version

    def perform(self, rows: Sequence[BindingRow]) -> None:
        """Perform a write if all its rows have the expected versions."""
        for row in rows:
            known = self.rows.get((row.shard, row.instance))
            if row.version != (known.version if known is not None else 0):
                raise StoreError("conflict")
        self.version += 3
        for row in rows:
            if row.streams is None:
                self.rows.pop((row.shard, row.instance), None)
            else:
                self.rows[row.shard, row.instance] = replace(row, version=self.version)


def build_directory(
    requester: Requester,
    *,
    record: InstanceRecord,
    peers: Peers,
    store: FakeBindingStore,
    send: Callable[[bytes, tuple[str, int]], None],
    read_time: Callable[[], float],
    counters: Counters | None = None,
) -> tuple[BindingDirectory, BindingSaver]:
    """Return the directory of one process, and what saves its streams."""
    any_store: Any = store
    clock = StoreClock()
    clock.record(sent=0.0, store_time=STORE_EPOCH_S)
    log = DecisionLog(instance=requester.instance, descriptor=os.open(os.devnull, os.O_WRONLY))
    counters = counters if counters is not None else Counters()
    ledger = BindingLedger()
    saved = SavedStreams(
        store=any_store, ledger=ledger, peers=peers, clock=clock, log=log, read_time=read_time
    )
    saver = BindingSaver(
        name=requester.instance,
        store=any_store,
        saved=saved,
        clock=clock,
        log=log,
        counters=counters,
        read_time=read_time,
    )
    directory = BindingDirectory(
        requester=requester,
        ledger=ledger,
        saver=saver,
        savers=SaverChoice(record=record, peers=peers, may_save=lambda: True),
        saved=saved,
        peers=peers,
        send=send,
        counters=counters,
        read_time=read_time,
    )
    return directory, saver


class SimulatedFleet:
    """Directories of several instances that share a clock, and the datagrams between them."""

    def __init__(self, count: int) -> None:
        self.now = 100.0
        self.sent: Counter[str] = Counter()
        """Datagrams by sender."""
        self.bytes = 0
        self.cut: set[str] = set()
        """Instances that send and receive nothing."""
        self.held: dict[str, list[tuple[bytes, tuple[str, int]]]] = {}
        """Datagrams that wait in the sockets of paused instances, with their sources."""
        self.starts: Counter[str] = Counter()
        """Processes that each instance has started."""
        self.records = {
            f"i{number}": build_instance(
                f"i{number}", domain=DOMAINS[number % len(DOMAINS)], port=1 + number
            )
            for number in range(count)
        }
        self.store = FakeBindingStore()
        self.savers: dict[str, BindingSaver] = {}
        self.peers: dict[str, Peers] = {}
        """The other instances, as each knows them."""
        self.directories = {name: self.start(name) for name in self.records}

    def start(self, name: str) -> BindingDirectory:
        """Return the directory of a process that remembers nothing."""

        def send(data: bytes, address: tuple[str, int]) -> None:
            self.sent[name] += 1
            self.bytes += len(data)
            target = f"i{address[1] - 1}"
            source = (self.records[name].ip, self.records[name].peer_port)
            if target in self.held:
                self.held[target].append((data, source))
            elif name not in self.cut and target not in self.cut:
                self.directories[target].receive(data, source)

        self.starts[name] += 1
        self.peers[name] = self.build_peers(name)
        directory, self.savers[name] = build_directory(
            Requester(instance=name, incarnation=self.starts[name]),
            record=self.records[name],
            peers=self.peers[name],
            store=self.store,
            send=send,
            read_time=lambda: self.now,
        )
        return directory

    def resume(self, name: str) -> None:
        """Let a paused instance receive what waits in its socket."""
        for data, source in self.held.pop(name):
            self.directories[name].receive(data, source)

    def tell_leaving(self, leaving: str) -> None:
        """Tell all instances that one leaves."""
        liveness = LivenessRecord(
            name=leaving,
            incarnation=1,
            sequence=2,
            state=InstanceState.LEAVING,
            store_answers=True,
        )
        for peers in self.peers.values():
            peers.receive_liveness_record(liveness, None, now=self.now)

    def build_peers(self, name: str, *, dead: frozenset[str] = frozenset()) -> Peers:
        return build_peers(name, self.records, dead=dead, now=self.now)


def build_peers(
    own_name: str, records: dict[str, InstanceRecord], *, dead: frozenset[str], now: float
) -> Peers:
    """Return the other instances as known to one of them; the dead ones are listed only."""
    peers = Peers(own_name=own_name)
    for name, record in records.items():
        if name in dead:
            peers.add_listed(record, now=now - 60.0)
            continue
        liveness = LivenessRecord(
            name=name, incarnation=1, sequence=1, state=InstanceState.SERVING, store_answers=True
        )
        peers.receive_liveness_record(liveness, record, now=now)
    return peers
