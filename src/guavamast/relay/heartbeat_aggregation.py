"""Aggregated heartbeats: the live instances and the records that have changed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import AggregatedHeartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_messages import Heartbeat
    from guavamast.relay.peers import Peer
    from guavamast.relay.placement import ProfileEstimates
    from guavamast.relay.store import InstanceRecord

INSTANCES_PER_DATAGRAM: Final = 400
"""Instances in one datagram; compressed, they stay well below the UDP limit."""
CHANGED_RECORD_REPEAT_S: Final = 3.0
"""Seconds for which every aggregated heartbeat repeats a changed record: several may be lost."""
RECORD_ROTATION_PARTS: Final = 12
"""Parts into which all records are divided; each aggregated heartbeat contains one part, so an
instance that has missed a change receives it within a few seconds."""


class HeartbeatAggregation:
    """Builds the aggregated heartbeats of one instance.

    Of all instances, they contain only names, numbers and states. If each instance decoded full
    heartbeats of all others twice a second, that alone would saturate a machine with half a core
    before the first request.

    Args:
        record: This instance.
        fleet_state: What is known of the store's tables, read here or received.
        read_profiles: Returns the estimates of each failure domain for the engines.
    """

    __slots__ = ("_fleet_state", "_read_profiles", "_record", "_rotation")

    def __init__(
        self,
        *,
        record: InstanceRecord,
        fleet_state: FleetState,
        read_profiles: Callable[[], dict[str, dict[str, ProfileEstimates]]],
    ) -> None:
        self._record = record
        self._fleet_state = fleet_state
        self._read_profiles = read_profiles
        self._rotation = 0

    def build_for_aggregators(
        self, heartbeat: Heartbeat, peers: list[Peer], *, now: float
    ) -> list[AggregatedHeartbeat]:
        """Return the state of this failure domain for the aggregators of the others.

        Args:
            heartbeat: This instance's heartbeat.
            peers: The other live instances of its failure domain.
            now: Local time.
        """
        own = self._record.failure_domain
        profiles = {key: value for key, value in self._read_profiles().items() if key == own}
        return self._build(heartbeat, peers, profiles, now=now)

    def build_for_domain(
        self, heartbeat: Heartbeat, peers: list[Peer], *, now: float
    ) -> list[AggregatedHeartbeat]:
        """Return the state of all instances for the own failure domain.

        Args:
            heartbeat: This instance's heartbeat.
            peers: All other live instances.
            now: Local time.
        """
        return self._build(heartbeat, peers, self._read_profiles(), now=now)

    def _build(
        self,
        heartbeat: Heartbeat,
        peers: list[Peer],
        profiles: dict[str, dict[str, ProfileEstimates]],
        *,
        now: float,
    ) -> list[AggregatedHeartbeat]:
        self._rotation += 1
        liveness = [
            heartbeat.build_liveness_record(),
            *(peer.build_liveness_record() for peer in peers),
        ]
        records = [heartbeat.record, *self._select_records(peers, now=now)]
        return [
            AggregatedHeartbeat(
                aggregator=self._record.name,
                liveness=liveness[first : first + INSTANCES_PER_DATAGRAM],
                records=records,
                catalog=self._fleet_state.newest_catalog_stamp,
                endpoints=self._fleet_state.newest_endpoint_stamp,
                profiles=profiles,
            )
            for first in range(0, len(liveness), INSTANCES_PER_DATAGRAM)
        ]

    def _select_records(self, peers: list[Peer], *, now: float) -> list[InstanceRecord]:
        return [
            peer.record
            for place, peer in enumerate(peers)
            if now - peer.changed_at < CHANGED_RECORD_REPEAT_S
            or (place + self._rotation) % RECORD_ROTATION_PARTS == 0
        ]
