"""Processor time of requests that go through another instance: ``python -m bench.forwarding_cost``.

Origin, forwarder and endpoint run in this process, so a figure is the sum of all three; the
difference to the direct path is what origin and forwarder spend in addition.
"""

from __future__ import annotations

import asyncio
import os
import socket
import time
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from tests.relay_fixtures import build_catalog, build_endpoint, build_instance

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineStandIn
from guavamast.relay.caller_admission import CallerAdmission
from guavamast.relay.caller_gate import CallerGate
from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.direct_connector import DirectConnector
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.forwarding import (
    ForwardClient,
    ForwarderChoice,
    ForwardListener,
    ForwardServer,
)
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peers import Peer, Peers
from guavamast.relay.reachability import PeerReachability, ReachabilityMonitor
from guavamast.relay.staleness import StalenessBounds
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from guavamast.relay.stream_binding import SoftwareVersions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.endpoint_connection import AcquiredConnection

REQUESTS: Final = 2_000
PEERS: Final = (14, 350)
CHOICES: Final = 2_000


@dataclass(frozen=True, slots=True, kw_only=True)
class PathCost:
    """Processor time of one request on one path, in microseconds."""

    path: str
    request_us: float


class _FreshReader:
    """Stands for a store whose last read has succeeded."""

    answers = True


async def _read_endpoints() -> bool:
    """Stand for a read of the endpoint table that finds nothing new."""
    return True


class ForwardingCost:
    """An origin, a forwarder and an endpoint in this process."""

    def __init__(self) -> None:
        self._log = DecisionLog(instance="two", descriptor=os.open(os.devnull, os.O_WRONLY))
        self._counters = Counters()
        self._clock = StoreClock()
        self._clock.record(sent=time.monotonic(), store_time=time.monotonic())
        self._fleet_state = FleetState(
            failure_domain="a", peers=Peers(own_name="two"), clock=self._clock
        )
        self._engine = EngineStandIn(engine_id="e")

    async def measure(self) -> list[PathCost]:
        """Return the cost of the direct path and of the one through the forwarder."""
        record = build_endpoint("e", port=await self._engine.listen())
        now = time.monotonic()
        self._fleet_state.apply_catalog(CatalogSnapshot(catalog=build_catalog(), store_time=now))
        self._fleet_state.apply_endpoints(
            EndpointSnapshot(records=[record], digest="1", store_time=now)
        )
        monitor = ReachabilityMonitor()
        direct = DirectConnector(
            pool=ConnectionPool(),
            monitor=monitor,
            fleet_state=self._fleet_state,
            on_blocked=lambda _: None,
            on_restored=lambda *_: None,
            random=Random(1),
            read_time=time.monotonic,
        )
        client = self._build_client(self._start_forwarder(direct, monitor))

        async def connect_directly() -> AcquiredConnection:
            monitor.record_received(record.service, now=time.monotonic())
            return direct.find_kept(record) or await direct.connect(record)

        async def connect_through() -> AcquiredConnection:
            return await client.connect(record, request_id="r", row_version=5)

        costs = [
            PathCost(path="direct", request_us=await self._time(connect_directly)),
            PathCost(path="through another instance", request_us=await self._time(connect_through)),
        ]
        await self._engine.stop()
        return costs

    def _start_forwarder(self, direct: DirectConnector, monitor: ReachabilityMonitor) -> int:
        bounds = StalenessBounds(change_s=3600.0, leaving_s=3600.0, revocation_s=3600.0)
        admission = CallerAdmission(
            gate=CallerGate(bounds=bounds),
            bounds=bounds,
            fleet_state=self._fleet_state,
            reader=_FreshReader(),  # type: ignore[arg-type]
            read_time=time.monotonic,
        )
        server = ForwardServer(
            direct=direct,
            monitor=monitor,
            admission=admission,
            fleet_state=self._fleet_state,
            versions=SoftwareVersions(
                fleet_state=self._fleet_state,
                read_endpoints=_read_endpoints,
                read_time=time.monotonic,
            ),
            codec=PlatformHeaders(),
            loop_delay=LoopDelay(),
            log=self._log,
            counters=self._counters,
            read_time=time.monotonic,
        )
        recorder = ListenerRecorder(
            log=self._log, counters=self._counters, read_time=time.monotonic
        )
        listener = ForwardListener(server=server, recorder=recorder, read_time=time.monotonic)
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            port = int(reserved.getsockname()[1])
        listener.listen("127.0.0.1", port)
        return port

    def _build_client(self, port: int) -> ForwardClient:
        peers = Peers(own_name="one")
        fleet_state = FleetState(failure_domain="a", peers=peers, clock=self._clock)
        peer = Peer(
            record=build_instance("two", port=port),
            received_at=time.monotonic() + 3600.0,
            changed_at=0.0,
            state=InstanceState.SERVING,
        )
        peers._peers["two"] = peer

        async def read_catalog() -> bool:
            return True

        choice = ForwarderChoice(
            record=build_instance("one"), reachability=PeerReachability(), random=Random(1)
        )
        return ForwardClient(
            record=build_instance("one"),
            choice=choice,
            fleet_state=fleet_state,
            links=ConnectionPool(),
            read_catalog=read_catalog,
            log=self._log,
            counters=self._counters,
            read_time=time.monotonic,
        )

    async def _time(self, connect: Callable[[], Awaitable[AcquiredConnection]]) -> float:
        """Return the processor time of one request in microseconds."""
        began = time.process_time()
        for _ in range(REQUESTS):
            acquired = await connect()
            headers = [("Host", "h"), ("X-Attempt-Id", "r"), ("Content-Length", "1")]
            await acquired.connection.send("POST", "/call/1", headers, b"x")
            head = await acquired.connection.read_head()
            while await acquired.connection.read_chunk() is not None:
                pass
            acquired.keep(PlatformHeaders().decode_response(head.status, head.headers))
        return (time.process_time() - began) / REQUESTS * 1e6


def measure_choice(peers: int) -> float:
    """Return the processor time of one choice of forwarders in microseconds."""
    live = [
        Peer(
            record=build_instance(f"i{number}", domain=f"d{number % 7}"),
            received_at=0.0,
            changed_at=0.0,
            state=InstanceState.SERVING,
        )
        for number in range(peers)
    ]
    choice = ForwarderChoice(
        record=build_instance("one", domain="d1"), reachability=PeerReachability(), random=Random(1)
    )
    began = time.process_time()
    for _ in range(CHOICES):
        choice.rank("portal", live, avoided=frozenset(), now=0.0)
    return (time.process_time() - began) / CHOICES * 1e6


def main() -> None:
    """Print the figures."""
    for cost in asyncio.run(ForwardingCost().measure()):
        print(f"a call, {cost.path}: {cost.request_us:.0f} us of processor time")
    for peers in PEERS:
        print(f"choice among {peers} instances: {measure_choice(peers):.1f} us")


if __name__ == "__main__":
    main()
