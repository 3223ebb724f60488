"""The other instances, as known from their heartbeats and the store's listing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState, LivenessRecord
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.relay.heartbeat_messages import Heartbeat
    from guavamast.relay.store import InstanceRecord

HEARTBEAT_INTERVAL_S: Final = 0.25
"""Seconds between two heartbeats to the same instance in a fleet with a full mesh."""
FULL_MESH_INSTANCES: Final = 32
"""Instances up to which each sends its heartbeats to all others; beyond, they are aggregated, as
their number would grow quadratically."""
AGGREGATED_INTERVAL_S: Final = 0.5
"""Seconds between two heartbeats of an instance when they are aggregated."""
MISSED_HEARTBEATS: Final = 4.5
"""Intervals without a heartbeat after which an instance counts as gone: rarely by loss alone."""
AGGREGATED_SILENCE_S: Final = 3.0
"""Seconds of silence after which an instance counts as gone when heartbeats are aggregated: time
for a heartbeat, its delivery and the aggregated heartbeat, any of them lost once."""
FORGET_AFTER_S: Final = 90.0
"""Seconds of silence after which an instance receives no more heartbeats."""
READER_RANK_KEY: Final = "store reader"


@dataclass(slots=True, kw_only=True)
class Peer:
    """Another instance as known here."""

    record: InstanceRecord
    received_at: float
    """Local time of its newest liveness record, or of the store's listing before the first."""
    changed_at: float
    """Local time of the last change of its process, state or record here."""
    incarnation: int = 0
    sequence: int = 0
    state: InstanceState | None = None
    """State in its newest liveness record; None before the first."""
    store_reachable: bool = False

    def build_liveness_record(self) -> LivenessRecord:
        """Return its newest liveness record, for instances that already have its record."""
        assert self.state is not None
        return LivenessRecord(
            name=self.record.name,
            incarnation=self.incarnation,
            sequence=self.sequence,
            state=self.state,
            store_answers=self.store_reachable,
        )


def compute_heartbeat_interval(instances: int) -> float:
    """Return the seconds between two heartbeats of an instance."""
    return HEARTBEAT_INTERVAL_S if instances <= FULL_MESH_INSTANCES else AGGREGATED_INTERVAL_S


def compute_liveness_timeout(instances: int) -> float:
    """Return the seconds without a heartbeat after which an instance counts as gone."""
    if instances <= FULL_MESH_INSTANCES:
        return MISSED_HEARTBEATS * HEARTBEAT_INTERVAL_S
    return AGGREGATED_SILENCE_S


class Peers:
    """The other instances, from their heartbeats and the store's listing.

    Args:
        own_name: Name of this instance, whose own record is not kept.
    """

    __slots__ = ("_own_name", "_own_weight", "_peers", "_weights")

    def __init__(self, *, own_name: str) -> None:
        self._own_name = own_name
        self._own_weight = compute_weight(READER_RANK_KEY, own_name)
        self._weights: dict[str, int] = {}
        self._peers: dict[str, Peer] = {}

    @property
    def aggregated(self) -> bool:
        """Whether there are so many instances that heartbeats are aggregated."""
        return self.count_known() > FULL_MESH_INSTANCES

    def add_listed(self, record: InstanceRecord, *, now: float) -> None:
        """Add an instance from the store's listing, unless it is already known."""
        if record.name != self._own_name and record.name not in self._peers:
            self._peers[record.name] = Peer(record=record, received_at=now, changed_at=now)

    def receive(self, heartbeat: Heartbeat, *, now: float) -> bool:
        """Apply a heartbeat from its own sender; return False if it is older than the known one.

        If an instance starts while its wall clock is ahead and the clock is then corrected, its
        next process seems older than the previous one, would be ignored for good and get no
        callers. A process that has gone silent can have no late heartbeats left, so any other
        replaces it.
        """
        return self._apply(
            heartbeat.record, heartbeat.build_liveness_record(), now=now, direct=True
        )

    def receive_liveness_record(
        self, liveness: LivenessRecord, record: InstanceRecord | None, *, now: float
    ) -> bool:
        """Apply a forwarded liveness record; return False if it is not newer.

        Aggregators drop an instance at different times and could forward its last liveness record
        to each other again and again, so callers would be sent to an instance that stopped long
        ago. A forwarded one counts only if it is newer, or of another process.

        Args:
            liveness: The liveness record.
            record: The instance record, if it was forwarded too; without it, a liveness record of
                an unknown process is ignored.
            now: Local time.
        """
        peer = self._peers.get(liveness.name)
        if peer is not None and peer.incarnation == liveness.incarnation:
            if liveness.sequence <= peer.sequence:
                return False
            peer.received_at = now
            peer.sequence = liveness.sequence
            peer.store_reachable = liveness.store_answers
            if peer.state is not liveness.state:
                peer.state = liveness.state
                peer.changed_at = now
            return True
        return record is not None and self._apply(record, liveness, now=now, direct=False)

    def _apply(
        self, record: InstanceRecord, liveness: LivenessRecord, *, now: float, direct: bool
    ) -> bool:
        if liveness.name == self._own_name:
            return False
        peer = self._peers.get(liveness.name)
        unchanged = False
        if peer is not None and peer.state is not None:
            known = (peer.incarnation, peer.sequence)
            may_replace = direct or liveness.incarnation != peer.incarnation
            replaces = may_replace and not self._is_live(peer, now=now)
            if (liveness.incarnation, liveness.sequence) <= known and not replaces:
                return False
            unchanged = (peer.incarnation, peer.state, peer.record) == (
                liveness.incarnation,
                liveness.state,
                record,
            )
        self._peers[liveness.name] = Peer(
            record=record,
            received_at=now,
            changed_at=peer.changed_at if peer is not None and unchanged else now,
            incarnation=liveness.incarnation,
            sequence=liveness.sequence,
            state=liveness.state,
            store_reachable=liveness.store_answers,
        )
        return True

    def is_current_process(self, name: str, incarnation: int) -> bool:
        """Return whether a process is the newest known one of its instance."""
        peer = self._peers.get(name)
        return peer is not None and peer.state is not None and peer.incarnation == incarnation

    def count_known(self) -> int:
        """Return the number of instances that may be running, this one included."""
        return 1 + len(self._peers)

    def list_targets(self) -> list[InstanceRecord]:
        """Return the instances that may be running, with or without a heartbeat so far."""
        return [peer.record for peer in self._peers.values()]

    def forget_silent(self, *, now: float) -> list[str]:
        """Drop the instances that have been silent for long; return their names."""
        expired = [
            name for name, peer in self._peers.items() if now - peer.received_at > FORGET_AFTER_S
        ]
        for name in expired:
            del self._peers[name]
            self._weights.pop(name, None)
        return expired

    def find_record(self, name: str) -> InstanceRecord | None:
        """Return the record of an instance."""
        peer = self._peers.get(name)
        return peer.record if peer is not None else None

    def find_state(self, name: str) -> InstanceState | None:
        """Return the last reported state of an instance."""
        peer = self._peers.get(name)
        return peer.state if peer is not None else None

    def list_live(self, *, now: float) -> list[Peer]:
        """Return the live instances."""
        oldest = now - compute_liveness_timeout(self.count_known())
        return [
            peer
            for peer in self._peers.values()
            if peer.received_at >= oldest and peer.state is not None
        ]

    def compute_live_share(self, *, now: float) -> float:
        """Return the share of the fleet that this instance hears, itself included.

        Instances that announced their departure don't count, nor those forgotten after a silence.
        """
        live = 1 + len(self.list_live(now=now))
        silent = sum(
            peer.state is not InstanceState.LEAVING and not self._is_live(peer, now=now)
            for peer in self._peers.values()
        )
        return live / (live + silent)

    def _is_live(self, peer: Peer, *, now: float) -> bool:
        return now - peer.received_at <= compute_liveness_timeout(self.count_known())

    def _get_weight(self, name: str) -> int:
        weight = self._weights.get(name)
        if weight is None:
            weight = self._weights[name] = compute_weight(READER_RANK_KEY, name)
        return weight

    def rank_as_reader(self, *, now: float) -> int:
        """Return how many live instances precede this one in reading the store.

        An instance whose reads the store rejects reports this in its heartbeats and does not count.
        """
        return sum(
            1
            for peer in self.list_live(now=now)
            if peer.store_reachable
            and peer.state is not InstanceState.LEAVING
            and self._get_weight(peer.record.name) > self._own_weight
        )

    def rank_in_outage(self, *, now: float) -> int | None:
        """Return how many live instances precede this one if the store answers none of them."""
        live = self.list_live(now=now)
        if any(peer.store_reachable for peer in live):
            return None
        return sum(self._get_weight(peer.record.name) > self._own_weight for peer in live)

    def list_serving(self, *, now: float) -> list[InstanceRecord]:
        """Return the live instances to which callers may be sent."""
        return [
            peer.record for peer in self.list_live(now=now) if peer.state is InstanceState.SERVING
        ]
