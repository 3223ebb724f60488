"""Costs of what binds streams: messages, bytes, processor time and memory, by fleet size."""

from __future__ import annotations

import asyncio
import time
import tracemalloc
from dataclasses import dataclass
from typing import Final

from guavamast.relay.counters import Counters
from guavamast.relay.heartbeat_messages import InstanceState, LivenessRecord
from guavamast.relay.peers import Peers
from guavamast.relay.store import InstanceRecord
from guavamast.relay.stream_binding import BindingDirectory, StreamBinding, compute_stream_key
from guavamast.relay.stream_binding.records import BoundStream
from guavamast.relay.stream_binding.wire import (
    BindingCopy,
    BindingQuery,
    encode_binding_message,
)

SIZES: Final = (14, 127, 350)
"""Instances."""
STREAMS: Final = 2_000
DOMAINS: Final = 7
BINDING: Final = StreamBinding(service="guavamast-pool", software_version="v1.2")
SOURCE: Final = ("10.1.0.40", 7340)


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


class BindingBench:
    """Binds streams at one instance of a fleet.

    Args:
        instances: Size of the fleet.
    """

    def __init__(self, *, instances: int) -> None:
        self._instances = instances
        self._now = 100.0
        self._sent: list[bytes] = []
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
        self._directory = BindingDirectory(
            name="front-namur-a-0",
            peers=peers,
            send=lambda data, _: self._sent.append(data),
            counters=Counters(),
            read_time=lambda: self._now,
        )

    async def run(self) -> BindingCost:
        """Return the costs of one stream, on average."""
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
            encode_binding_message(BindingQuery(number=1, key=key), now=self._now)
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
    print("instances messages bytes bind_us receive_us reply_us queries held_bytes")
    for instances in SIZES:
        cost = asyncio.run(BindingBench(instances=instances).run())
        print(
            f"{cost.instances:9} {cost.messages:8.1f} {cost.message_bytes:5.0f} "
            f"{cost.bind_us:7.0f} {cost.receive_us:10.0f} {cost.reply_us:8.0f} "
            f"{cost.queries:7.0f} {cost.held_bytes:10.0f}"
        )


if __name__ == "__main__":
    main()
