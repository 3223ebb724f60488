"""The other instances of a fleet as one of them hears them, without running them."""

from __future__ import annotations

import asyncio
import socket
import time
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.endpoint_load import Load
from guavamast.relay.endpoint_table import compute_digest
from guavamast.relay.engine_profile import Estimate, ProfileEstimates
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import FreshnessStamp, StoreClock
from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
from guavamast.relay.heartbeat_exchange import HeartbeatExchange
from guavamast.relay.heartbeat_messages import Heartbeat, InstanceState, encode_heartbeat
from guavamast.relay.heartbeat_topology import AGGREGATORS_PER_DOMAIN, HeartbeatTopology
from guavamast.relay.length_buckets import Demand
from guavamast.relay.peers import FULL_MESH_INSTANCES, Peers, compute_heartbeat_interval
from guavamast.relay.prompt_cache import PromptSend
from guavamast.relay.store import InstanceRecord

if TYPE_CHECKING:
    from guavamast.platform.standins.site import Site
    from guavamast.relay.node_settings import NodeSettings

DOMAINS: Final = 6
LOADS_EACH: Final = 3
"""Engines at which an instance has work."""
SENDS_EACH: Final = 3
"""Prompts that an instance has sent lately."""
PROOF_INTERVAL_S: Final = 0.6
"""Seconds between two reads of the store by its reader."""
WIDE_MBPS: Final = 200.0
"""Link of the relays, wider than that of the measured instance."""


class _Relay:
    """A relay of the measured instance's domain: the production class, sending to that alone."""

    def __init__(self, *, record: InstanceRecord, fleet: PretendedFleet) -> None:
        self.record = record
        self.peers = Peers(own_name=record.name)
        self.exchange = HeartbeatExchange(
            name=record.name,
            peers=self.peers,
            topology=HeartbeatTopology(record=record, peers=self.peers),
            aggregates=HeartbeatAggregation(
                record=record,
                knowledge=fleet.knowledge,
                read_profiles=lambda: {domain: {"pool": _ESTIMATES} for domain in "abcdef"},
            ),
            build_heartbeat=lambda: fleet.make_beat(record),
            on_heartbeat=lambda _: None,
            on_aggregate=lambda _: None,
            send=fleet.send,
            read_time=read_boot_time,
        )


class PretendedFleet:
    """Tells one instance what a whole fleet would tell it.

    Args:
        site: Its store gets the records and is read in the fleet's name.
        instances: The fleet, the measured instance included.
        measured: The instance that is told.
    """

    def __init__(self, *, site: Site, instances: int, measured: NodeSettings) -> None:
        self._site = site
        self._measured = measured
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(("127.0.0.1", 0))
        self._socket.setblocking(False)
        self._random = Random(instances)
        self._sequence = 0
        self.knowledge = FleetState(
            failure_domain="a", peers=Peers(own_name="-"), clock=StoreClock()
        )
        """What the relays have heard of the store's tables."""
        self._records = [self._make_record(number) for number in range(instances - 1)]
        self._relays = [
            _Relay(record=one, fleet=self) for one in self._records[:AGGREGATORS_PER_DOMAIN]
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
        """Tell the measured instance of the fleet until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._tell_proofs())
            if len(self._records) < FULL_MESH_INSTANCES:
                tasks.create_task(self._tell_directly())
                return
            tasks.create_task(self._feed_relays())
            for relay in self._relays:
                tasks.create_task(relay.exchange.run())

    def send(self, data: bytes, target: InstanceRecord) -> None:
        """Send a datagram if it is for the measured instance."""
        if target.name == self._measured.name:
            self._socket.sendto(data, (self._measured.peers.ip, self._measured.peers.port))

    def make_beat(self, record: InstanceRecord) -> Heartbeat:
        """Return an instance's next beat."""
        self._sequence += 1
        reading = time.clock_gettime(time.CLOCK_BOOTTIME) - 0.05
        engines = self._random.sample(sorted(self._site.engines), LOADS_EACH)
        return Heartbeat(
            record=record,
            incarnation=1,
            sequence=self._sequence,
            state=InstanceState.SERVING,
            store_reachable=True,
            catalog=FreshnessStamp(
                version=str(self._site.store.find_version("op", "config")), store_time=reading
            ),
            endpoints=FreshnessStamp(version=self._compute_digest(), store_time=reading),
            loads={
                name: Load(requests=2, prefill_tokens=9_500, kv_tokens=14_000) for name in engines
            },
            demand=Demand(work_ms=(120.5, 310.2, 840.9)),
            profiles={"pool": _ESTIMATES},
            sends=[
                PromptSend(
                    number=self._sequence * SENDS_EACH + place,
                    endpoint_id=name,
                    part_id=f"{self._random.getrandbits(32):08x}",
                    tokens=6_600,
                )
                for place, name in enumerate(engines[:SENDS_EACH])
            ],
        )

    def _make_record(self, number: int) -> InstanceRecord:
        name = f"front-{number:03}"
        return InstanceRecord(
            name=name,
            ip="127.0.0.1",
            failure_domain="a" if number < AGGREGATORS_PER_DOMAIN else "abcdef"[number % DOMAINS],
            region="r",
            callers_address=f"127.0.0.1:{9000 + number}",
            peer_port=int(self._socket.getsockname()[1]),
            link_mbps=WIDE_MBPS if number < AGGREGATORS_PER_DOMAIN else 20.0,
        )

    def _compute_digest(self) -> str:
        return compute_digest(self._site.store.list_versions("servers"))

    async def _feed_relays(self) -> None:
        """Have the relays hear all instances as often as they would."""
        while True:
            now = read_boot_time()
            for relay in self._relays:
                relay.peers.receive(self._make_measured_beat(), now=now)
                beat = self.make_beat(relay.record)
                self.knowledge.apply_stamps(catalog=beat.catalog, endpoints=beat.endpoints)
                for record in self._records:
                    relay.peers.receive(self.make_beat(record), now=now)
            await asyncio.sleep(compute_heartbeat_interval(len(self._records)))

    def _make_measured_beat(self) -> Heartbeat:
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
        return self.make_beat(record)

    async def _tell_directly(self) -> None:
        while True:
            for record in self._records:
                self._socket.sendto(
                    encode_heartbeat(self.make_beat(record)),
                    (self._measured.peers.ip, self._measured.peers.port),
                )
            await asyncio.sleep(compute_heartbeat_interval(len(self._records)))

    async def _tell_proofs(self) -> None:
        """Have a relay hear of each read of the two tables and pass it on."""
        while True:
            await asyncio.sleep(PROOF_INTERVAL_S / 2)
            for relay in self._relays:
                relay.exchange.receive(self.make_beat(self._records[-1]))


_ESTIMATE: Final = Estimate(value=52.5, samples=20)
_ESTIMATES: Final = ProfileEstimates(
    first_event_ms=_ESTIMATE,
    read_tokens_per_ms=_ESTIMATE,
    token_ms=_ESTIMATE,
    run_ms=_ESTIMATE,
    reading_pause_ms=_ESTIMATE,
)
