"""Sends this instance's beats, takes those of others, and passes them on as a relay."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.beat_relays import RELAYS_EACH
from guavamast.relay.beats import BeatBundle, encode_beat, encode_aggregate
from guavamast.relay.peers import compute_beat_interval

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.beat_relays import BeatRelays
    from guavamast.relay.beats import Beat
    from guavamast.relay.bundle_content import BundleContent
    from guavamast.relay.freshness import Proof
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

AGGREGATE_EXCHANGE_INTERVAL_S: Final = 0.5
"""Seconds between two bundles from relay to relay."""
DOMAIN_AGGREGATE_INTERVAL_S: Final = RELAYS_EACH * AGGREGATE_EXCHANGE_INTERVAL_S
"""Between two bundles from a relay to its whole failure domain: the relays do so by turns, and an
instance gets a bundle in each exchange's interval."""
PACING_SHARE: Final = 0.7
"""Share of that interval over which a relay spreads its bundles. Sent at once, they would fill its
link and hold up the answers on it."""


class BeatExchange:
    """Tells other instances of this one, and of each other where there are many.

    Args:
        name: This instance.
        peers: The others.
        relays: Decides where beats go.
        content: What this instance tells as a relay.
        make_beat: Returns this instance's next beat.
        take_beat: Told of each beat that is news.
        take_bundle: Told of each bundle.
        send: Sends a datagram to an instance.
        read_time: The local clock.
    """

    __slots__ = (
        "_catalog_time_forwarded",
        "_aggregates",
        "_endpoints_time_forwarded",
        "_build_heartbeat",
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
        relays: BeatRelays,
        content: BundleContent,
        make_beat: Callable[[], Beat],
        take_beat: Callable[[Beat], None],
        take_bundle: Callable[[BeatBundle], None],
        send: Callable[[bytes, InstanceRecord], None],
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._peers = peers
        self._topology = relays
        self._aggregates = content
        self._build_heartbeat = make_beat
        self._on_heartbeat = take_beat
        self._on_aggregate = take_bundle
        self._send = send
        self._read_time = read_time
        self._catalog_time_forwarded = 0.0
        self._endpoints_time_forwarded = 0.0

    async def run(self) -> None:
        """Send beats until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._run_heartbeats())
            tasks.create_task(self._run_aggregate_exchange())
            tasks.create_task(self._run_domain_aggregates())

    def announce(self) -> None:
        """Send a beat with news at once."""
        heartbeat = self._build_heartbeat()
        now = self._read_time()
        data = encode_beat(heartbeat)
        for target in self._list_update_targets():
            self._send(data, target)
        if self._topology.is_aggregator(now=now):
            self._forward_to_domain(heartbeat)

    def tell_table(self, data: bytes | None) -> None:
        """Tell the others a table that this instance has read and that has changed.

        It spares each of them a read of the store: a change cost as many calls as there are
        instances. Who misses it hears of it with the next beat and reads for itself.

        Args:
            data: Its datagram; None if no datagram holds it.
        """
        if data is None:
            return
        for target in self._list_update_targets():
            self._send(data, target)

    def forward_table(self, data: bytes, *, domain: str) -> None:
        """Pass a table that was news on: a relay does, and whoever is told from another domain.

        Args:
            data: Its datagram.
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
        """Send a beat to each instance directly: on coming and on leaving."""
        data = encode_beat(self._build_heartbeat())
        for target in self._peers.list_targets():
            self._send(data, target)

    def take(self, heartbeat: Beat) -> None:
        """Take a beat from its instance itself, and pass it on at once if it brings news."""
        now = self._read_time()
        previous_state = self._peers.find_state(heartbeat.record.name)
        if not self._peers.take(heartbeat, now=now):
            return
        self._on_heartbeat(heartbeat)
        if self._topology.is_aggregator(now=now):
            self._forward_to_domain(heartbeat, changed=previous_state is not heartbeat.state)

    def take_bundle(self, aggregate: BeatBundle) -> None:
        """Take what a relay has passed on."""
        now = self._read_time()
        self._topology.record_aggregate(now=now)
        records = {record.name: record for record in aggregate.records}
        for liveness in aggregate.liveness:
            self._peers.take_sign(liveness, records.get(liveness.name), now=now)
        self._on_aggregate(aggregate)
        if self._topology.is_in_other_domain(
            aggregate.aggregator
        ) and not self._topology.is_aggregator(now=now):
            data = encode_aggregate(aggregate)
            for target in self._topology.list_heartbeat_targets(now=now):
                self._send(data, target)

    def send_heartbeat(self) -> None:
        """Send one beat to those who always get it."""
        data = encode_beat(self._build_heartbeat())
        for target in self._topology.list_heartbeat_targets(now=self._read_time()):
            self._send(data, target)

    def send_to_aggregators(self) -> None:
        """As a relay, tell the other domains' relays of the own domain."""
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
        """As a relay, tell the own domain of everybody.

        Args:
            pause_s: Between two datagrams: a bundle to each at once would fill a slow link and hold
                up answers.
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

    def _forward_to_domain(self, heartbeat: Beat, *, changed: bool = False) -> None:
        """Tell the own failure domain of a proof that is newer than those told before.

        Args:
            beat: The beat with the proof.
            changed: Whether it brings other news.
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
        aggregate = BeatBundle(
            aggregator=self._name,
            liveness=[heartbeat.make_sign()],
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
            await asyncio.sleep(compute_beat_interval(self._peers.count_known()))

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


def _get_store_time(stamp: Proof | None) -> float:
    return stamp.reading if stamp is not None else 0.0
