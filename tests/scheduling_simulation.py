"""Simulated fleet of instances that schedule engines over an in-memory network."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING, Any

from guavamast.relay.catalog import Catalog, RouteKind, ServiceSettings, WeightedService
from guavamast.relay.counters import Counters
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_messages import Heartbeat, InstanceState
from guavamast.relay.messages import PromptPart
from guavamast.relay.peers import FULL_MESH_INSTANCES, Peers
from guavamast.relay.placement.engine_profile import EngineProfiles
from guavamast.relay.placement.length_buckets import NO_DEMAND
from guavamast.relay.placement.waiting import SINGLE_CHECK
from guavamast.relay.rate_limits import RateLimitLedger
from guavamast.relay.rejection_limits import RejectionLimits
from guavamast.relay.requester import Requester
from guavamast.relay.scheduling import Scheduling
from guavamast.relay.scheduling_messages import PlacementQuery
from guavamast.relay.scheduling_wire import decode_scheduling
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot, InstanceRecord
from tests.relay_fixtures import LIMITS, build_endpoint, build_route

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.scheduling_wire import SchedulingMessage

POOL = "pool"
GROUP = "pool/0"
KV_CAPACITY_TOKENS = 100_000
INSTANCES = FULL_MESH_INSTANCES + 8
PROMPT_PARTS = (PromptPart(part_id="shared", tokens=400), PromptPart(part_id="own", tokens=600))


def make_pool_catalog() -> Catalog:
    """Return a configuration with one streaming route to a pool of engines."""
    route = build_route(
        name="answers",
        path_prefix="/answers/",
        kind=RouteKind.STREAM,
        services=(WeightedService(service=POOL, weight=1.0),),
        needs_key=False,
        timeout_s=10.0,
        longest_pause_s=0.6,
    )
    rule = ServiceSettings(
        name=POOL, health_path="/", max_connections=100, kv_capacity_tokens=KV_CAPACITY_TOKENS
    )
    return Catalog(
        version=1,
        row_version=1,
        routes=[route],
        services=[rule],
        organisations=None,
        limits=LIMITS,
    )


def make_query(number: int, *, requester: str = "i1", **changes: Any) -> PlacementQuery:
    """Return a query for a short prompt; keyword arguments replace its fields."""
    values: dict[str, Any] = {
        "requester": Requester(instance=requester, incarnation=1),
        "number": number,
        "group": GROUP,
        "service": POOL,
        "organisation": "",
        "prompt_parts": PROMPT_PARTS,
        "prompt_tokens": 1_000,
        "output_tokens": 200,
        "transfer_bytes": 2_000,
        "bucket": 0,
        "objective_s": 0.3,
        "pause_sensitive": False,
        "latency_tolerant": False,
        "most_urgent": True,
        "least_urgent": False,
        "precedence": 0,
        "failure_domain": "a",
        "excluded": (),
        "rejectable": True,
        "check": SINGLE_CHECK,
    }
    return PlacementQuery(**(values | changes))


class SimulatedInstance:
    """One instance of the simulated fleet."""

    def __init__(self, number: int, simulation: SchedulingSimulation) -> None:
        self.record = InstanceRecord(
            name=f"i{number}",
            ip=f"10.0.0.{number}",
            failure_domain="a",
            region="r",
            callers_address=f"10.0.0.{number}:80",
            peer_port=1,
            processor_share=2.0 if number < 20 else 0.5,
        )
        self.peers = Peers(own_name=self.record.name)
        self.fleet_state = FleetState(failure_domain="a", peers=self.peers, clock=StoreClock())
        self.fleet_state.apply_catalog(CatalogSnapshot(catalog=make_pool_catalog(), store_time=1.0))
        self.profiles = EngineProfiles()
        self.counters = Counters()
        self.limits = RejectionLimits()
        self.rate_limits = RateLimitLedger()
        self.scheduling = Scheduling(
            record=self.record,
            incarnation=1,
            fleet_state=self.fleet_state,
            profiles=self.profiles,
            limits=self.limits,
            rate_limits=self.rate_limits,
            counters=self.counters,
            send=lambda data, address: simulation.send(self.record, data, address),
            random=Random(number),
            read_time=lambda: simulation.now,
        )

    def apply_endpoints(self, records: list[EndpointRecord], *, reading: float) -> None:
        """Apply a table of engines."""
        self.fleet_state.apply_endpoints(
            EndpointSnapshot(records=records, digest=f"d{reading}", store_time=reading)
        )


class SchedulingSimulation:
    """All instances, and the datagrams between them, which arrive in the next loop iteration."""

    def __init__(self, *, engines: int = 6, instances: int = INSTANCES) -> None:
        self.now = 100.0
        self.silent: set[str] = set()
        """Names of the instances that neither receive nor send datagrams."""
        self.sent: list[tuple[str, str]] = []
        """Sender and receiver of each datagram."""
        self._held_messages: dict[str, list[tuple[SchedulingMessage, tuple[str, int]]]] = {}
        self.instances = {
            f"i{number}": SimulatedInstance(number, self) for number in range(instances)
        }
        self._names = {one.record.ip: name for name, one in self.instances.items()}
        self.engines = [
            build_endpoint(f"e{number}", service=POOL, slots=8) for number in range(engines)
        ]
        for instance in self.instances.values():
            instance.apply_endpoints(self.engines, reading=1.0)
        self.exchange_heartbeats()

    def exchange_heartbeats(self) -> None:
        """Deliver a heartbeat of each instance that is not silent to all instances."""
        for instance in self.instances.values():
            for other in self.instances.values():
                if other.record.name not in self.silent:
                    instance.peers.receive(self._build_heartbeat(other), now=self.now)

    def send(self, sender: InstanceRecord, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram in the next loop iteration."""
        receiver = self._names[address[0]]
        self.sent.append((sender.name, receiver))
        if sender.name in self.silent or receiver in self.silent:
            return
        source = (sender.ip, sender.peer_port)
        message = decode_scheduling(data)
        held = self._held_messages.get(receiver)
        if held is not None:
            held.append((message, source))
            return
        scheduling = self.instances[receiver].scheduling
        asyncio.get_running_loop().call_soon(scheduling.receive, message, source)

    def pause(self, name: str) -> None:
        """Pause an instance; datagrams to it wait in its socket."""
        self._held_messages[name] = []

    def resume(self, name: str) -> None:
        """Resume an instance; it receives the datagrams that arrived meanwhile."""
        for message, source in self._held_messages.pop(name):
            self.instances[name].scheduling.receive(message, source)

    def find_scheduler(self, requester: str, group: str = GROUP) -> str:
        """Return the name of the instance that a requester selects as the scheduler of a group."""
        directory = self.instances[requester].scheduling.client.directory
        return directory.select(group, now=self.now).name

    def _build_heartbeat(self, instance: SimulatedInstance) -> Heartbeat:
        return Heartbeat(
            record=instance.record,
            incarnation=1,
            sequence=int(self.now * 1000),
            state=InstanceState.SERVING,
            store_reachable=True,
            catalog=None,
            endpoints=None,
            loads={},
            demand=NO_DEMAND,
            rejections=[],
            profiles={},
            sends=[],
        )
