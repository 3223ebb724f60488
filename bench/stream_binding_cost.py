"""Costs of what binds streams: messages, bytes, processor time and memory, by fleet size."""

from __future__ import annotations

import asyncio
import os
import time
import tracemalloc
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform.binding_wire import encode_binding_row
from guavamast.platform.store_calls import Transaction
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_messages import InstanceState, LivenessRecord
from guavamast.relay.peers import Peers
from guavamast.relay.requester import Requester
from guavamast.relay.store import InstanceRecord
from guavamast.relay.stream_binding import BindingDirectory, StreamBinding, compute_stream_key
from guavamast.relay.stream_binding.ledger import BindingLedger
from guavamast.relay.stream_binding.records import BoundStream
from guavamast.relay.stream_binding.saved_streams import SavedStreams
from guavamast.relay.stream_binding.saver import BindingSaver
from guavamast.relay.stream_binding.saver_choice import SaverChoice
from guavamast.relay.stream_binding.wire import (
    BindingCopy,
    BindingQuery,
    encode_binding_message,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.relay.store import BindingRow

SIZES: Final = (14, 127, 350)
"""Instances."""
STREAMS: Final = 2_000
DOMAINS: Final = 7
BINDING: Final = StreamBinding(service="guavamast-pool", software_version="v1.2")
SOURCE: Final = ("10.1.0.40", 7340)
REQUESTER: Final = Requester(instance="front-namur-a-9", incarnation=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class BindingCost:
    """Costs of one stream."""

    instances: int
    messages: float
    message_bytes: float
    bind_us: float
    """Processor time to bind it and send the copies."""
    receive_us: float
    """Processor time to receive one copy."""
    reply_us: float
    """Processor time to reply to one query."""
    queries: float
    """Queries of one take-up that nobody knows."""
    held_bytes: float
    """Memory of one remembered stream."""
    save_us: float
    """Processor time of a write to the store, for each stream in it."""
    saved_bytes: float
    """Bytes of its row, for each stream in it."""


class CountingStore:
    """The part of the store that saves streams: it counts the bytes of rows."""

    def __init__(self) -> None:
        self.written_bytes = 0

    async def read_bindings(self, *, shard: int | None) -> list[BindingRow]:
        """Return no rows."""
        del shard
        return []

    async def write_bindings(self, rows: Sequence[BindingRow]) -> int:
        """Count the bytes of rows as they are sent."""
        transaction = Transaction()
        for row in rows:
            transaction.write("b", str(row.shard), encode_binding_row(row.streams or b""))
        self.written_bytes = len(transaction.encode())
        return 1


class BindingBench:
    """Binds streams at one instance of a fleet.

    Args:
        instances: Size of the fleet.
    """

    def __init__(self, *, instances: int) -> None:
        self._instances = instances
        self._now = 100.0
        self._sent: list[bytes] = []
        self._store = CountingStore()
        peers = Peers(own_name="i0")
        for number in range(1, instances):
            record = InstanceRecord(
                name=f"front-namur-a-{number}",
                ip="10.1.0.40",
                failure_domain=f"d{number % DOMAINS}",
                region="r",
                callers_address="10.1.0.40:1",
                peer_port=number,
            )
            liveness = LivenessRecord(
                name=record.name,
                incarnation=1,
                sequence=1,
                state=InstanceState.SERVING,
                store_answers=True,
            )
            peers.receive_liveness_record(liveness, record, now=self._now)
        self._directory, self._saver = self._build_directory(peers)

    def _build_directory(self, peers: Peers) -> tuple[BindingDirectory, BindingSaver]:
        """Return the directory of an instance that saves nothing itself, and its saver."""
        log = DecisionLog(instance="i0", descriptor=os.open(os.devnull, os.O_WRONLY))
        store: Any = self._store
        clock = StoreClock()
        clock.record(sent=0.0, store_time=0.0)
        ledger = BindingLedger()

        def read_time() -> float:
            return self._now

        saved = SavedStreams(
            store=store, ledger=ledger, peers=peers, clock=clock, log=log, read_time=read_time
        )
        saver = BindingSaver(
            name="i0",
            store=store,
            saved=saved,
            clock=clock,
            log=log,
            counters=Counters(),
            read_time=read_time,
        )
        own = InstanceRecord(
            name="i0",
            ip="10.1.0.40",
            failure_domain="d0",
            region="r",
            callers_address="10.1.0.40:1",
            peer_port=1,
        )
        directory = BindingDirectory(
            requester=Requester(instance="i0", incarnation=1),
            ledger=ledger,
            saver=saver,
            savers=SaverChoice(record=own, peers=peers, may_save=lambda: False),
            saved=saved,
            peers=peers,
            send=lambda data, _: self._sent.append(data),
            counters=Counters(),
            read_time=read_time,
        )
        return directory, saver

    async def _measure_save(self, keys: list[str]) -> tuple[float, float]:
        """Return the processor time in seconds, and the bytes, of one write of streams."""
        stream = BoundStream(
            binding=BINDING, instance="i0", bound_at=self._now, expires_at=self._now + 60.0
        )
        for key in keys:
            self._saver.record(key, stream)
        started = time.process_time()
        await self._saver.save()
        return time.process_time() - started, self._store.written_bytes

    async def run(self) -> BindingCost:
        """Return the costs of one stream, on average."""
        save_s, saved_bytes = await self._measure_save(
            [compute_stream_key("saved", str(number)) for number in range(STREAMS)]
        )
        keys = [compute_stream_key("hule930", str(number)) for number in range(3 * STREAMS)]
        started = time.process_time()
        for key in keys[:STREAMS]:
            self._directory.bind(key, BINDING, lifetime_s=60.0)
        bind_s = time.process_time() - started
        sent = list(self._sent)
        copies = [self._build_copy(key) for key in keys[STREAMS : 2 * STREAMS]]
        started = time.process_time()
        for copy in copies:
            self._directory.receive(copy, SOURCE)
        receive_s = time.process_time() - started
        queries = [
            encode_binding_message(BindingQuery(requester=REQUESTER, key=key), now=self._now)
            for key in keys[:STREAMS]
        ]
        started = time.process_time()
        for query in queries:
            self._directory.receive(query, SOURCE)
        reply_s = time.process_time() - started
        return BindingCost(
            instances=self._instances,
            messages=len(sent) / STREAMS,
            message_bytes=sum(map(len, sent)) / len(sent),
            bind_us=bind_s / STREAMS * 1e6,
            receive_us=receive_s / STREAMS * 1e6,
            reply_us=reply_s / STREAMS * 1e6,
            queries=await self._count_queries(keys[-1]),
            held_bytes=self._measure_memory(keys[2 * STREAMS :]),
            save_us=save_s / STREAMS * 1e6,
            saved_bytes=saved_bytes / STREAMS,
        )

    def _build_copy(self, key: str) -> bytes:
        stream = BoundStream(
            binding=BINDING, instance="front-namur-a-9", bound_at=self._now, expires_at=160.0
        )
        return encode_binding_message(BindingCopy(key=key, stream=stream), now=self._now)

    async def _count_queries(self, key: str) -> int:
        """Return the queries of the first round."""
        self._sent.clear()
        finding = asyncio.ensure_future(self._directory.find(key))
        await asyncio.sleep(0)
        queries = len(self._sent)
        finding.cancel()
        return queries

    def _measure_memory(self, keys: list[str]) -> float:
        copies = [self._build_copy(key) for key in keys]
        tracemalloc.start()
        for copy in copies:
            self._directory.receive(copy, SOURCE)
        held, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return held / len(copies)


def main() -> None:
    """Print a table of the costs."""
    print(
        "instances messages bytes bind_us receive_us reply_us queries held_bytes "
        "save_us saved_bytes"
    )
    for instances in SIZES:
        cost = asyncio.run(BindingBench(instances=instances).run())
        print(
            f"{cost.instances:9} {cost.messages:8.1f} {cost.message_bytes:5.0f} "
            f"{cost.bind_us:7.0f} {cost.receive_us:10.0f} {cost.reply_us:8.0f} "
            f"{cost.queries:7.0f} {cost.held_bytes:10.0f} {cost.save_us:7.1f} "
            f"{cost.saved_bytes:11.0f}"
        )


if __name__ == "__main__":
    main()
