"""Tests of aggregated heartbeats: forty instances over a network with configurable loss."""

from __future__ import annotations

import unittest
from dataclasses import replace
from random import Random

from guavamast.relay.endpoint_update import (
    ENDPOINTS_PREFIX,
    EndpointUpdate,
    decode_endpoint_update,
    encode_endpoint_update,
)
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import FreshnessStamp, StoreClock
from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
from guavamast.relay.heartbeat_exchange import AGGREGATE_EXCHANGE_INTERVAL_S, HeartbeatExchange
from guavamast.relay.heartbeat_messages import (
    AggregatedHeartbeat,
    Heartbeat,
    InstanceState,
    LoadUpdate,
)
from guavamast.relay.heartbeat_topology import (
    AGGREGATOR_SILENCE_S,
    AGGREGATORS_PER_DOMAIN,
    HeartbeatTopology,
)
from guavamast.relay.heartbeat_wire import decode_message
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peers import AGGREGATED_SILENCE_S, FULL_MESH_INSTANCES, Peers
from guavamast.relay.placement.length_buckets import BUCKETS, Demand
from guavamast.relay.store import EndpointSnapshot, InstanceRecord
from tests.relay_fixtures import build_endpoint

NARROW_LINK = InstanceRecord(
    name="x",
    ip="10.0.0.1",
    failure_domain="a",
    region="r",
    callers_address="10.0.0.1:80",
    peer_port=1,
    link_mbps=5.0,
)
DOMAINS = ("a", "b", "c", "d")
INSTANCES = 40


class SimulatedInstance:
    """Heartbeat exchange of one instance, without sockets and clocks."""

    def __init__(self, number: int, network: SimulatedNetwork) -> None:
        self.network = network
        self.record = InstanceRecord(
            name=f"i{number}",
            ip=f"10.0.0.{number}",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            region="r",
            callers_address=f"10.0.0.{number}:80",
            peer_port=1,
        )
        self.state = InstanceState.SERVING
        self.catalog: FreshnessStamp | None = None
        self.received_catalog: FreshnessStamp | None = None
        self.endpoints: EndpointSnapshot | None = None
        self.incarnation = 1
        self.sequence = 0
        self.peers = Peers(own_name=self.record.name)
        self.topology = HeartbeatTopology(record=self.record, peers=self.peers)
        self.fleet_state = FleetState(
            failure_domain=self.record.failure_domain, peers=self.peers, clock=StoreClock()
        )
        self.exchange = HeartbeatExchange(
            name=self.record.name,
            peers=self.peers,
            topology=self.topology,
            aggregates=HeartbeatAggregation(
                record=self.record, fleet_state=self.fleet_state, read_profiles=lambda: {}
            ),
            build_heartbeat=self.build_heartbeat,
            on_heartbeat=self.apply_heartbeat,
            on_aggregate=self.apply_aggregate,
            send=network.send,
            loop_delay=LoopDelay(),
            read_time=lambda: network.now,
        )

    def build_heartbeat(self) -> Heartbeat:
        self.sequence += 1
        return Heartbeat(
            record=self.record,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
            store_reachable=True,
            catalog=self.catalog,
            endpoints=None,
            loads={},
            demand=Demand(work_ms=(0.0,) * BUCKETS),
            rejections=[],
            profiles={},
            sends=[],
        )

    def apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        self.apply_stamp(heartbeat.catalog)

    def apply_aggregate(self, aggregate: AggregatedHeartbeat) -> None:
        self.apply_stamp(aggregate.catalog)

    def apply_stamp(self, catalog: FreshnessStamp | None) -> None:
        self.fleet_state.apply_stamps(catalog=catalog, endpoints=None)
        if catalog is not None:
            self.received_catalog = catalog

    def receive(self, message: Heartbeat | AggregatedHeartbeat | LoadUpdate) -> None:
        if isinstance(message, Heartbeat):
            self.exchange.receive(message)
        elif isinstance(message, AggregatedHeartbeat):
            self.exchange.receive_aggregate(message)

    def receive_endpoint_update(self, data: bytes) -> None:
        update = decode_endpoint_update(data)
        if update.snapshot != self.endpoints:
            self.endpoints = update.snapshot
            self.exchange.forward_table_update(data, domain=update.domain)

    def list_live(self) -> set[str]:
        return {peer.record.name for peer in self.peers.list_live(now=self.network.now)}


class SimulatedNetwork:
    """Delivers datagrams at once, except those that it loses."""

    def __init__(self, *, loss: float = 0.0) -> None:
        self.now = 100.0
        self.sent = 0
        self._loss = loss
        self._random = Random(7)
        self._waiting: list[tuple[bytes, str]] = []
        self.instances = {
            f"i{number}": SimulatedInstance(number, self) for number in range(INSTANCES)
        }
        self.stopped: set[str] = set()

    def send(self, data: bytes, target: InstanceRecord) -> None:
        self.sent += 1
        if self._random.random() >= self._loss:
            self._waiting.append((data, target.name))

    def deliver(self) -> None:
        while self._waiting:
            data, name = self._waiting.pop(0)
            if name in self.stopped:
                continue
            if data.startswith(ENDPOINTS_PREFIX):
                self.instances[name].receive_endpoint_update(data)
            else:
                self.instances[name].receive(decode_message(data))

    def list_running(self) -> list[SimulatedInstance]:
        return [one for name, one in self.instances.items() if name not in self.stopped]

    def register_all(self) -> None:
        """Start the instances in turn; each lists the earlier ones and announces itself."""
        known: list[InstanceRecord] = []
        for instance in self.list_running():
            for record in known:
                instance.peers.add_listed(record, now=self.now)
            known.append(instance.record)
            instance.exchange.announce_to_all()
            self.deliver()

    async def run(self, seconds: float) -> None:
        for _ in range(round(seconds / AGGREGATE_EXCHANGE_INTERVAL_S)):
            self.now += AGGREGATE_EXCHANGE_INTERVAL_S
            for instance in self.list_running():
                instance.exchange.send_heartbeat()
            self.deliver()
            for instance in self.list_running():
                instance.exchange.send_to_aggregators()
            self.deliver()
            for instance in self.list_running():
                await instance.exchange.send_to_domain(gap_s=0.0)
            self.deliver()


class AggregatorsByLinkTest(unittest.TestCase):
    """Aggregators are the instances with the widest links, whatever their names.

    Most instances have links of 5 Mbit/s, two in a domain 100. An aggregator of 112 instances sends
    5 Mbit/s of aggregated heartbeats; on a narrow link, answers to its callers wait a second.
    """

    def test_widest_links_first(self) -> None:
        heartbeat = SimulatedInstance(0, SimulatedNetwork()).build_heartbeat()
        peers = Peers(own_name="x")
        for number in range(INSTANCES):
            link_mbps = 100.0 if number in (17, 31) else 5.0
            record = replace(NARROW_LINK, name=f"n{number}", link_mbps=link_mbps)
            peers.receive(replace(heartbeat, record=record), now=0.0)
        topology = HeartbeatTopology(record=NARROW_LINK, peers=peers)
        topology.record_aggregate(now=0.0)
        self.assertEqual(
            {one.name for one in topology.list_heartbeat_targets(now=0.0)}, {"n17", "n31"}
        )
        self.assertFalse(topology.is_aggregator(now=0.0))


class AggregatedHeartbeatsTest(unittest.IsolatedAsyncioTestCase):
    """Liveness of the instances of a fleet whose heartbeats are aggregated."""

    async def asyncSetUp(self) -> None:
        self.assertGreater(INSTANCES, FULL_MESH_INSTANCES)
        self.network = SimulatedNetwork()
        self.network.register_all()
        await self.network.run(2.0)

    def assert_all_live(self, expected: set[str]) -> None:
        for instance in self.network.list_running():
            self.assertEqual(
                instance.list_live() | {instance.record.name}, expected, instance.record.name
            )

    def list_aggregators(self, domain: str) -> list[str]:
        return [
            instance.record.name
            for instance in self.network.list_running()
            if instance.record.failure_domain == domain
            and instance.topology.is_aggregator(now=self.network.now)
        ]

    async def test_all_instances_are_live_with_few_datagrams(self) -> None:
        self.assert_all_live(set(self.network.instances))
        self.network.sent = 0
        await self.network.run(10.0)
        self.assert_all_live(set(self.network.instances))
        self.assertLess(self.network.sent / 10.0, INSTANCES * 16)
        for domain in DOMAINS:
            self.assertEqual(len(self.list_aggregators(domain)), AGGREGATORS_PER_DOMAIN)

    async def test_datagram_loss_keeps_all_instances_live(self) -> None:
        network = SimulatedNetwork(loss=0.05)
        network.register_all()
        await network.run(4.0)
        for _ in range(6):
            await network.run(1.0)
            for instance in network.list_running():
                self.assertEqual(len(instance.list_live()), INSTANCES - 1)

    async def test_a_stopped_instance_stays_removed_everywhere(self) -> None:
        """No caller is sent to an instance that stopped some seconds ago.

        Aggregators drop it at different times. One that still has its last heartbeat forwards it to
        another that has just dropped it, which must not count the instance as live.
        """
        self.network.stopped = {"i5"}
        await self.network.run(AGGREGATED_SILENCE_S + 2.0)
        for _ in range(6):
            self.assert_all_live(set(self.network.instances) - {"i5"})
            await self.network.run(0.5)

    async def test_losing_all_aggregators_of_a_domain(self) -> None:
        """Callers are sent to the remaining instances, and to no others.

        Both aggregators of a failure domain stop at once. Its instances receive no aggregated
        heartbeats, send theirs directly to each other, count the silent aggregators as gone, and
        the next aggregators take over.
        """
        self.network.stopped = set(self.list_aggregators("b"))
        self.assertEqual(len(self.network.stopped), AGGREGATORS_PER_DOMAIN)
        await self.network.run(AGGREGATOR_SILENCE_S + AGGREGATED_SILENCE_S + 2.0)
        self.assert_all_live(set(self.network.instances) - self.network.stopped)
        self.assertEqual(len(self.list_aggregators("b")), AGGREGATORS_PER_DOMAIN)

    async def test_instances_without_an_aggregator_send_to_their_domain(self) -> None:
        """Callers are still sent to the remaining instances while there is no aggregator.

        Both aggregators of a domain have stopped and no other has taken over. The instances send
        heartbeats directly to each other before all of them count as gone.
        """
        self.network.stopped = set(self.list_aggregators("b"))
        remaining = [one for one in self.network.list_running() if one.record.failure_domain == "b"]
        names = {one.record.name for one in remaining}
        for _ in range(round((AGGREGATED_SILENCE_S + 1.0) / AGGREGATE_EXCHANGE_INTERVAL_S)):
            self.network.now += AGGREGATE_EXCHANGE_INTERVAL_S
            for instance in remaining:
                instance.exchange.send_heartbeat()
            self.network.deliver()
            for instance in remaining:
                live = instance.list_live() & names
                self.assertEqual(live | {instance.record.name}, names)

    async def test_all_domains_losing_their_aggregators_reconnect(self) -> None:
        """Callers are sent to all remaining instances after every aggregator stopped at once."""
        aggregators = [name for domain in DOMAINS for name in self.list_aggregators(domain)]
        self.network.stopped = set(aggregators)
        await self.network.run(14.0)
        self.assert_all_live(set(self.network.instances) - self.network.stopped)

    async def test_a_recovered_domain_is_live_again(self) -> None:
        stopped = {
            name for name, one in self.network.instances.items() if one.record.failure_domain == "c"
        }
        self.network.stopped = stopped
        await self.network.run(6.0)
        self.assert_all_live(set(self.network.instances) - stopped)
        self.network.stopped = set()
        for name in stopped:
            self.network.instances[name].incarnation += 1
            self.network.instances[name].exchange.announce_to_all()
        await self.network.run(3.0)
        self.assert_all_live(set(self.network.instances))

    async def test_a_new_freshness_stamp_does_not_wait_for_an_aggregate(self) -> None:
        """Operators' changes take effect everywhere soon after one instance has read them."""
        stamp = FreshnessStamp(version="9", store_time=500.0)
        self.network.instances["i11"].catalog = stamp
        self.network.instances["i11"].exchange.announce()
        self.network.deliver()
        for name, instance in self.network.instances.items():
            if name != "i11":
                self.assertEqual(instance.received_catalog, stamp, name)

    async def test_an_endpoint_update_reaches_all(self) -> None:
        snapshot = EndpointSnapshot(
            records=[build_endpoint("e1", slots=64)], digest="d", store_time=1.0
        )
        update = EndpointUpdate(domain=DOMAINS[11 % len(DOMAINS)], snapshot=snapshot)
        self.network.instances["i11"].exchange.send_table_update(encode_endpoint_update(update))
        self.network.deliver()
        for name, instance in self.network.instances.items():
            if name != "i11":
                self.assertEqual(instance.endpoints, snapshot, name)

    async def test_a_leaving_instance_is_not_listed_as_serving(self) -> None:
        leaving = self.network.instances["i3"]
        leaving.state = InstanceState.LEAVING
        leaving.exchange.announce_to_all()
        self.network.deliver()
        for instance in self.network.list_running():
            serving = [one.name for one in instance.peers.list_serving(now=self.network.now)]
            self.assertNotIn("i3", serving)


if __name__ == "__main__":
    unittest.main()
