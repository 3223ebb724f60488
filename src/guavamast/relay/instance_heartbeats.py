"""Content of one instance's heartbeats, and what it does with those of others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.heartbeat_messages import Heartbeat
from guavamast.relay.heartbeat_wire import encode_load_update
from guavamast.relay.peers import compute_heartbeat_interval
from guavamast.relay.placement import NO_DEMAND

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_messages import (
        AggregatedHeartbeat,
        InstanceState,
        LoadUpdate,
    )
    from guavamast.relay.placement import ProfileEstimates
    from guavamast.relay.store import InstanceRecord
    from guavamast.relay.work_state import WorkState


class InstanceHeartbeats:
    """Builds the heartbeats of one instance, and applies those that it receives.

    Args:
        record: This instance.
        incarnation: Start of this process.
        fleet_state: Freshness stamps of the tables, and the other instances.
        work: Work at endpoints, here and as the others report it.
        read_state: Returns the state of this instance.
        is_store_reachable: Returns whether the last read of the store succeeded.
        on_stamps: Called after freshness stamps of another instance were applied.
        send: Sends a datagram to an instance.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_fleet_state",
        "_incarnation",
        "_is_store_reachable",
        "_on_stamps",
        "_read_state",
        "_read_time",
        "_record",
        "_send",
        "_sequence",
        "_work",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        incarnation: int,
        fleet_state: FleetState,
        work: WorkState,
        read_state: Callable[[], InstanceState],
        is_store_reachable: Callable[[], bool],
        on_stamps: Callable[[], None],
        send: Callable[[bytes, InstanceRecord], None],
        read_time: Callable[[], float],
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._fleet_state = fleet_state
        self._work = work
        self._read_state = read_state
        self._is_store_reachable = is_store_reachable
        self._on_stamps = on_stamps
        self._send = send
        self._read_time = read_time
        self._sequence = 0

    def build(self) -> Heartbeat:
        """Return the next heartbeat."""
        now = self._read_time()
        peers = self._fleet_state.peers
        state = self._read_state()
        self._sequence += 1
        interval_s = compute_heartbeat_interval(peers.count_known())
        # In large fleets the schedulers track all requests; other instances need no such fields.
        scheduled = peers.aggregated
        work = self._work
        return Heartbeat(
            record=self._record,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=state,
            store_reachable=self._is_store_reachable(),
            catalog=self._fleet_state.catalog_stamp,
            endpoints=self._fleet_state.endpoint_stamp,
            loads={} if scheduled else work.loads.list_own(),
            demand=NO_DEMAND if scheduled else work.demand.read_own(now=now),
            rejections=[] if scheduled else work.rejections.list_own(now=now),
            profiles=work.profiles.list_own(now=now),
            sends=[] if scheduled else work.cache.list_recent(now=now, interval_s=interval_s),
            served=[] if scheduled else work.shares.list_served(now=now),
        )

    def receive(self, heartbeat: Heartbeat) -> None:
        """Apply a heartbeat that is newer than the last of its sender."""
        self._apply_stamps(heartbeat)
        self._work.apply_heartbeat(heartbeat, now=self._read_time())

    def receive_aggregate(self, aggregate: AggregatedHeartbeat) -> None:
        """Apply an aggregated heartbeat."""
        self._apply_stamps(aggregate)
        self._work.apply_aggregated_heartbeat(aggregate)

    def send_load_update(self, update: LoadUpdate) -> None:
        """Send a load update to all live instances."""
        data = encode_load_update(update)
        for peer in self._fleet_state.peers.list_live(now=self._read_time()):
            self._send(data, peer.record)

    def aggregate_profiles(self) -> dict[str, dict[str, ProfileEstimates]]:
        """Return the engine profiles, aggregated by failure domain."""
        own = self._record.failure_domain
        now = self._read_time()
        live = self._fleet_state.peers.list_live(now=now)
        names = [peer.record.name for peer in live if peer.record.failure_domain == own]
        return self._work.aggregate_profiles(own, names, now=now)

    def _apply_stamps(self, heartbeat: Heartbeat | AggregatedHeartbeat) -> None:
        self._fleet_state.apply_stamps(catalog=heartbeat.catalog, endpoints=heartbeat.endpoints)
        self._on_stamps()
