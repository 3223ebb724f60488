"""Exchange of heartbeats with other instances, directly or through aggregators."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import AggregatedHeartbeat
from guavamast.relay.heartbeat_topology import AGGREGATORS_PER_DOMAIN
from guavamast.relay.heartbeat_wire import encode_aggregate, encode_heartbeat
from guavamast.relay.peers import compute_heartbeat_interval

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.freshness import FreshnessStamp
    from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
    from guavamast.relay.heartbeat_messages import Heartbeat
    from guavamast.relay.heartbeat_topology import HeartbeatTopology
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

AGGREGATE_EXCHANGE_INTERVAL_S: Final = 0.5
"""Seconds between two aggregated heartbeats that aggregators of different domains exchange."""
DOMAIN_AGGREGATE_INTERVAL_S: Final = AGGREGATORS_PER_DOMAIN * AGGREGATE_EXCHANGE_INTERVAL_S
"""Seconds between two aggregated heartbeats from an aggregator to its whole failure domain. The
aggregators take turns, so an instance receives one in each exchange interval."""
PACING_SHARE: Final = 0.7
"""Share of that interval over which an aggregator spreads its datagrams. Sent at once, they would
fill its link and delay the answers on it."""


class HeartbeatExchange:
    """Sends and receives heartbeats, and aggregates those of others in large fleets.

    Args:
        name: This instance.
        peers: The other instances.
        topology: Selects the targets of heartbeats.
        aggregates: Builds aggregated heartbeats.
        build_heartbeat: Returns this instance's next heartbeat.
        on_heartbeat: Called with each heartbeat that is newer than the last of its sender.
        on_aggregate: Called with each aggregated heartbeat.
        send: Sends a datagram to an instance.
        loop_delay: Told when the next heartbeat is due.
        read_time: The local clock.
    """

    __slots__ = (
        "_catalog_time_forwarded",
        "_aggregates",
        "_endpoints_time_forwarded",
        "_build_heartbeat",
        "_loop_delay",
        "_name",
        "_peers",
        "_read_time",
        "_topology",
        "_send",
        "_on_heartbeat",
        "_on_aggregate",
    )

    def __init__(
        self,
        *,
        name: str,
        peers: Peers,
        topology: HeartbeatTopology,
        aggregates: HeartbeatAggregation,
        build_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        on_aggregate: Callable[[AggregatedHeartbeat], None],
        send: Callable[[bytes, InstanceRecord], None],
        loop_delay: LoopDelay,
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._peers = peers
        self._topology = topology
        self._aggregates = aggregates
        self._build_heartbeat = build_heartbeat
        self._on_heartbeat = on_heartbeat
        self._on_aggregate = on_aggregate
        self._send = send
        self._loop_delay = loop_delay
        self._read_time = read_time
        self._catalog_time_forwarded = 0.0
        self._endpoints_time_forwarded = 0.0

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_heartbeats())
            tasks.create_task(self._run_aggregate_exchange())
            tasks.create_task(self._run_domain_aggregates())

    def announce(self) -> None:
        """Send a heartbeat with new state at once."""
        heartbeat = self._build_heartbeat()
        now = self._read_time()
        data = encode_heartbeat(heartbeat)
        for target in self._list_update_targets():
            self._send(data, target)
        if self._topology.is_aggregator(now=now):
            self._forward_to_domain(heartbeat)

    def send_table_update(self, data: bytes | None) -> None:
        """Send the others a changed table that this instance has read from the store.

        Without this, each of them reads the store, and a change costs as many calls as there are
        instances. An instance that misses the datagram learns of the change from the next
        heartbeat and reads the store itself.

        Args:
            data: The encoded update; None if it does not fit in a datagram.
        """
        if data is None:
            return
        for target in self._list_update_targets():
            self._send(data, target)

    def spread(self, data: bytes) -> None:
        """Send a datagram to the instances that forward news, and as an aggregator to the domain.

        Args:
            data: The datagram; whoever finds news in it forwards it.
        """
        now = self._read_time()
        targets = {one.name: one for one in self._list_update_targets()}
        if self._topology.is_aggregator(now=now):
            targets.update((one.name, one) for one in self._topology.list_domain_members())
        for target in targets.values():
            self._send(data, target)

    def is_aggregator(self, *, now: float) -> bool:
        """Return whether this instance aggregates the heartbeats of its failure domain."""
        return self._topology.is_aggregator(now=now)

    def forward_table_update(self, data: bytes, *, domain: str) -> None:
        """Forward an update with a table that was new here.

        An aggregator forwards it to its domain. Any other instance forwards it only if it comes
        from another domain.

        Args:
            data: The encoded update.
            domain: Failure domain of the instance that has read it.
        """
        now = self._read_time()
        if self._topology.is_aggregator(now=now):
            targets = self._topology.list_domain_members()
        elif domain != self._topology.domain:
            targets = self._topology.list_heartbeat_targets(now=now)
        else:
            return
        for target in targets:
            self._send(data, target)

    def announce_to_all(self) -> None:
        """Send a heartbeat to each instance directly: on startup and on leaving."""
        data = encode_heartbeat(self._build_heartbeat())
        for target in self._peers.list_targets():
            self._send(data, target)

    def receive(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat from its own sender, and forward it at once if it has new state."""
        now = self._read_time()
        previous_state = self._peers.find_state(heartbeat.record.name)
        if not self._peers.receive(heartbeat, now=now):
            return
        self._on_heartbeat(heartbeat)
        if self._topology.is_aggregator(now=now):
            self._forward_to_domain(heartbeat, changed=previous_state is not heartbeat.state)

    def receive_aggregate(self, aggregate: AggregatedHeartbeat) -> None:
        """Apply an aggregated heartbeat; forward it within the domain if it comes from another."""
        now = self._read_time()
        self._topology.record_aggregate(now=now)
        records = {record.name: record for record in aggregate.records}
        for liveness in aggregate.liveness:
            self._peers.receive_liveness_record(liveness, records.get(liveness.name), now=now)
        self._on_aggregate(aggregate)
        if self._topology.is_in_other_domain(
            aggregate.aggregator
        ) and not self._topology.is_aggregator(now=now):
            data = encode_aggregate(aggregate)
            for target in self._topology.list_heartbeat_targets(now=now):
                self._send(data, target)

    def send_heartbeat(self) -> None:
        """Send one heartbeat to the instances that receive every one."""
        data = encode_heartbeat(self._build_heartbeat())
        for target in self._topology.list_heartbeat_targets(now=self._read_time()):
            self._send(data, target)

    def send_to_aggregators(self) -> None:
        """As an aggregator, send the other domains' aggregators the state of the own domain."""
        now = self._read_time()
        if not self._topology.is_aggregator(now=now):
            return
        peers = self._topology.list_domain_peers(now=now)
        aggregates = self._aggregates.build_for_aggregators(self._build_heartbeat(), peers, now=now)
        targets = self._topology.list_other_aggregators(now=now)
        for data in map(encode_aggregate, aggregates):
            for target in targets:
                self._send(data, target)

    async def send_to_domain(self, *, gap_s: float) -> None:
        """As an aggregator, send the own domain the state of all instances.

        Args:
            gap_s: Seconds between the datagrams to two instances. Sent at once, they would fill a
                slow link and delay answers.
        """
        now = self._read_time()
        if not self._topology.is_aggregator(now=now):
            return
        peers = self._peers.list_live(now=now)
        aggregates = self._aggregates.build_for_domain(self._build_heartbeat(), peers, now=now)
        datagrams = [encode_aggregate(aggregate) for aggregate in aggregates]
        for target in self._topology.list_domain_members():
            for data in datagrams:
                self._send(data, target)
            await asyncio.sleep(gap_s)

    def _list_update_targets(self) -> list[InstanceRecord]:
        return self._topology.list_update_targets(now=self._read_time())

    def _forward_to_domain(self, heartbeat: Heartbeat, *, changed: bool = False) -> None:
        """Send the own failure domain a freshness stamp newer than those sent before.

        Args:
            heartbeat: The heartbeat with the stamp.
            changed: Whether the sender's state has changed; it is sent even without a newer stamp.
        """
        catalog_time = _get_store_time(heartbeat.catalog)
        endpoints_time = _get_store_time(heartbeat.endpoints)
        newer = (
            catalog_time > self._catalog_time_forwarded
            or endpoints_time > self._endpoints_time_forwarded
        )
        if not newer and not changed:
            return
        self._catalog_time_forwarded = max(catalog_time, self._catalog_time_forwarded)
        self._endpoints_time_forwarded = max(endpoints_time, self._endpoints_time_forwarded)
        aggregate = AggregatedHeartbeat(
            aggregator=self._name,
            liveness=[heartbeat.build_liveness_record()],
            records=[heartbeat.record],
            catalog=heartbeat.catalog,
            endpoints=heartbeat.endpoints,
            profiles={},
        )
        data = encode_aggregate(aggregate)
        for target in self._topology.list_domain_members():
            if target.name != heartbeat.record.name:
                self._send(data, target)

    async def _run_heartbeats(self) -> None:
        while True:
            self.send_heartbeat()
            interval_s = compute_heartbeat_interval(self._peers.count_known())
            with self._loop_delay.expect(self._read_time() + interval_s):
                await asyncio.sleep(interval_s)

    async def _run_aggregate_exchange(self) -> None:
        while True:
            await asyncio.sleep(AGGREGATE_EXCHANGE_INTERVAL_S)
            self.send_to_aggregators()

    async def _run_domain_aggregates(self) -> None:
        rank: int | None = None
        while True:
            started = self._read_time()
            current_rank = self._topology.find_aggregator_rank(now=started)
            if current_rank is None:
                rank = None
                await asyncio.sleep(AGGREGATE_EXCHANGE_INTERVAL_S)
                continue
            if current_rank != rank:
                rank = current_rank
                await asyncio.sleep(rank * AGGREGATE_EXCHANGE_INTERVAL_S)
            members = max(1, len(self._topology.list_domain_members()))
            await self.send_to_domain(gap_s=PACING_SHARE * DOMAIN_AGGREGATE_INTERVAL_S / members)
            await asyncio.sleep(max(0.0, started + DOMAIN_AGGREGATE_INTERVAL_S - self._read_time()))


def _get_store_time(stamp: FreshnessStamp | None) -> float:
    return stamp.store_time if stamp is not None else 0.0
