"""What a relay of beats tells: who lives, and of the rest what has changed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.beats import BeatBundle

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.beats import Beat
    from guavamast.relay.engine_profile import ProfileEstimates
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.peers import Peer
    from guavamast.relay.store import InstanceRecord

RECORDS_PER_AGGREGATE: Final = 400
"""Instances in one datagram, compressed well below what UDP carries."""
CHANGED_RECORD_REPEAT_S: Final = 3.0
"""Seconds for which a record that is news is told with each bundle: several may be lost."""
RECORD_ROTATION_PARTS: Final = 12
"""Parts into which all records are divided; each bundle tells those of one, so that whoever has
missed a change gets it in some seconds."""


class BundleContent:
    """Makes the bundles of one instance.

    Failure: each instance takes in the whole words of all others twice a second, and a machine with
    half a core is busy with that alone before the first request comes. Only names, numbers and
    states are told of all.

    Args:
        record: This instance.
        knowledge: What has been read and heard of the store's tables.
        read_profiles: Returns what the instances of each failure domain have seen of the engines.
    """

    __slots__ = ("_knowledge", "_read_profiles", "_record", "_rotation")

    def __init__(
        self,
        *,
        record: InstanceRecord,
        knowledge: FleetKnowledge,
        read_profiles: Callable[[], dict[str, dict[str, ProfileEstimates]]],
    ) -> None:
        self._record = record
        self._knowledge = knowledge
        self._read_profiles = read_profiles
        self._rotation = 0

    def build_for_aggregators(
        self, heartbeat: Beat, peers: list[Peer], *, now: float
    ) -> list[BeatBundle]:
        """Return what the relays of other failure domains are told of this one.

        Args:
            beat: This instance's own.
            peers: The others of its failure domain.
            now: The present time.
        """
        own = self._record.failure_domain
        profiles = {key: value for key, value in self._read_profiles().items() if key == own}
        return self._build(heartbeat, peers, profiles, now=now)

    def build_for_domain(
        self, heartbeat: Beat, peers: list[Peer], *, now: float
    ) -> list[BeatBundle]:
        """Return what the own failure domain is told of all instances.

        Args:
            beat: This instance's own.
            peers: All others.
            now: The present time.
        """
        return self._build(heartbeat, peers, self._read_profiles(), now=now)

    def _build(
        self,
        heartbeat: Beat,
        peers: list[Peer],
        profiles: dict[str, dict[str, ProfileEstimates]],
        *,
        now: float,
    ) -> list[BeatBundle]:
        self._rotation += 1
        liveness = [heartbeat.make_sign(), *(peer.build_liveness_record() for peer in peers)]
        records = [heartbeat.record, *self._select_records(peers, now=now)]
        return [
            BeatBundle(
                aggregator=self._record.name,
                liveness=liveness[first : first + RECORDS_PER_AGGREGATE],
                records=records,
                catalog=self._knowledge.heard_catalog_proof,
                endpoints=self._knowledge.heard_endpoint_proof,
                profiles=profiles,
            )
            for first in range(0, len(liveness), RECORDS_PER_AGGREGATE)
        ]

    def _select_records(self, peers: list[Peer], *, now: float) -> list[InstanceRecord]:
        return [
            peer.record
            for place, peer in enumerate(peers)
            if now - peer.changed_at < CHANGED_RECORD_REPEAT_S
            or (place + self._rotation) % RECORD_ROTATION_PARTS == 0
        ]
