"""Simulated heartbeats of a whole fleet, sent to one real instance."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.endpoint_load import Load
from guavamast.relay.endpoint_table import compute_digest
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import FreshnessStamp, StoreClock
from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
from guavamast.relay.heartbeat_exchange import HeartbeatExchange
from guavamast.relay.heartbeat_messages import Heartbeat, InstanceState
from guavamast.relay.heartbeat_topology import AGGREGATORS_PER_DOMAIN, HeartbeatTopology
from guavamast.relay.heartbeat_wire import encode_heartbeat
from guavamast.relay.peers import FULL_MESH_INSTANCES, Peers, compute_heartbeat_interval
from guavamast.relay.placement.engine_profile import Estimate, ProfileEstimates
from guavamast.relay.placement.length_buckets import Demand
from guavamast.relay.placement.prompt_cache import PromptSend
from guavamast.relay.store import InstanceRecord

if TYPE_CHECKING:
    from guavamast.platform.standins.site import Site
    from guavamast.relay.node_settings import NodeSettings

DOMAINS: Final = 6
LOADS_PER_INSTANCE: Final = 3
"""Engines at which each instance has work."""
SENDS_PER_INSTANCE: Final = 3
"""Recent prompt sends in each heartbeat."""
STAMP_INTERVAL_S: Final = 0.6
"""Interval between two reads of the store by its reader."""
AGGREGATOR_LINK_MBPS: Final = 200.0
"""Link of the aggregators, faster than that of the measured instance."""


class _Aggregator:
    """Production exchange of an aggregator in the measured instance's domain; sends only to it."""

    def __init__(self, *, record: InstanceRecord, fleet: SimulatedFleet) -> None:
        self.record = record
        self.peers = Peers(own_name=record.name)
        self.exchange = HeartbeatExchange(
            name=record.name,
            peers=self.peers,
            topology=HeartbeatTopology(record=record, peers=self.peers),
            aggregates=HeartbeatAggregation(
                record=record,
                fleet_state=fleet.state,
                read_profiles=lambda: {domain: {"pool": _ESTIMATES} for domain in "abcdef"},
            ),
            build_heartbeat=lambda: fleet.build_heartbeat(record),
            on_heartbeat=lambda _: None,
            on_aggregate=lambda _: None,
            send=fleet.send,
            read_time=read_boot_time,
        )


class SimulatedFleet:
    """Sends one instance the datagrams of a whole fleet.

    Args:
        site: Site whose store holds the fleet's records and provides the versions it publishes.
        instances: Size of the fleet, including the measured instance.
        measured: Settings of the instance that receives the datagrams.
    """

    def __init__(self, *, site: Site, instances: int, measured: NodeSettings) -> None:
        self._site = site
        self._measured = measured
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self._random = Random(instances)
        self._sequence = 0
        self.state = FleetState(failure_domain="a", peers=Peers(own_name="-"), clock=StoreClock())
        """Versions of the store's tables that the aggregators know."""
        self._records = [self._build_record(number) for number in range(instances - 1)]
        self._aggregators = [
            _Aggregator(record=one, fleet=self) for one in self._records[:AGGREGATORS_PER_DOMAIN]
        ]

    def register(self) -> None:
        """Write the fleet's records into the store."""
        for record in self._records:
            value = {
                "ip": record.ip,
                "failure_domain": record.failure_domain,
                "region": record.region,
                "callers_address": record.callers_address,
                "peer_port": record.peer_port,
                "link_mbps": record.link_mbps,
            }
            self._site.store.put("instances", record.name, value)

    async def run(self) -> None:
        """Send the fleet's heartbeats to the measured instance until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._send_stamps())
            if len(self._records) < FULL_MESH_INSTANCES:
                tasks.create_task(self._send_directly())
                return
            tasks.create_task(self._update_aggregators())
            for aggregator in self._aggregators:
                tasks.create_task(aggregator.exchange.run())

    def send(self, data: bytes, target: InstanceRecord) -> None:
        """Send a datagram if it is for the measured instance."""
        if target.name == self._measured.name:
            self._socket.sendto(data, (self._measured.peers.ip, self._measured.peers.port))

    def build_heartbeat(self, record: InstanceRecord) -> Heartbeat:
        """Return an instance's next heartbeat."""
        self._sequence += 1
        store_time = time.clock_gettime(time.CLOCK_BOOTTIME) - 0.05
        engines = self._random.sample(sorted(self._site.engines), LOADS_PER_INSTANCE)
        return Heartbeat(
            record=record,
            incarnation=1,
            sequence=self._sequence,
            state=InstanceState.SERVING,
            store_reachable=True,
            catalog=FreshnessStamp(
                version=str(self._site.store.find_version("op", "config")), store_time=store_time
            ),
            endpoints=FreshnessStamp(version=self._compute_digest(), store_time=store_time),
            loads={
                name: Load(requests=2, prefill_tokens=9_500, kv_tokens=14_000) for name in engines
            },
            demand=Demand(work_ms=(120.5, 310.2, 840.9)),
            profiles={"pool": _ESTIMATES},
            sends=[
                PromptSend(
                    number=self._sequence * SENDS_PER_INSTANCE + index,
                    endpoint_id=name,
                    part_id=f"{self._random.getrandbits(32):08x}",
                    tokens=6_600,
                )
                for index, name in enumerate(engines[:SENDS_PER_INSTANCE])
            ],
        )

    def _build_record(self, number: int) -> InstanceRecord:
        name = f"front-{number:03}"
        return InstanceRecord(
            name=name,
            ip="127.0.0.1",
            failure_domain="a" if number < AGGREGATORS_PER_DOMAIN else "abcdef"[number % DOMAINS],
            region="r",
            callers_address=f"127.0.0.1:{9000 + number}",
            peer_port=int(self._socket.getsockname()[1]),
            link_mbps=AGGREGATOR_LINK_MBPS if number < AGGREGATORS_PER_DOMAIN else 20.0,
        )

    def _compute_digest(self) -> str:
        return compute_digest(self._site.store.list_versions("servers"))

    async def _update_aggregators(self) -> None:
        """Pass the heartbeats of all instances to the aggregators at the fleet's interval."""
        while True:
            now = read_boot_time()
            for aggregator in self._aggregators:
                aggregator.peers.receive(self._build_measured_heartbeat(), now=now)
                heartbeat = self.build_heartbeat(aggregator.record)
                self.state.apply_stamps(catalog=heartbeat.catalog, endpoints=heartbeat.endpoints)
                for record in self._records:
                    aggregator.peers.receive(self.build_heartbeat(record), now=now)
            await asyncio.sleep(compute_heartbeat_interval(len(self._records)))

    def _build_measured_heartbeat(self) -> Heartbeat:
        settings = self._measured
        record = InstanceRecord(
            name=settings.name,
            ip=settings.peers.ip,
            failure_domain=settings.failure_domain,
            region=settings.region,
            callers_address=str(settings.callers),
            peer_port=settings.peers.port,
            link_mbps=settings.link_mbps,
        )
        return self.build_heartbeat(record)

    async def _send_directly(self) -> None:
        while True:
            for record in self._records:
                self._socket.sendto(
                    encode_heartbeat(self.build_heartbeat(record)),
                    (self._measured.peers.ip, self._measured.peers.port),
                )
            await asyncio.sleep(compute_heartbeat_interval(len(self._records)))

    async def _send_stamps(self) -> None:
        """Pass freshness stamps of the two tables to the aggregators, which forward them."""
        while True:
            await asyncio.sleep(STAMP_INTERVAL_S / 2)
            for aggregator in self._aggregators:
                aggregator.exchange.receive(self.build_heartbeat(self._records[-1]))


_ESTIMATE: Final = Estimate(value=52.5, samples=20)
_ESTIMATES: Final = ProfileEstimates(
    first_event_ms=_ESTIMATE,
    read_tokens_per_ms=_ESTIMATE,
    token_ms=_ESTIMATE,
    run_ms=_ESTIMATE,
    reading_pause_ms=_ESTIMATE,
)
