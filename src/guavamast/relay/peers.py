"""The other instances as one instance hears them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.beats import InstanceState
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.relay.beats import Beat
    from guavamast.relay.store import InstanceRecord

BEAT_INTERVAL_S: Final = 0.25
"""Between two beats to the same instance while there are few instances."""
FULL_RATE_INSTANCES: Final = 32
"""Up to so many instances beats go to all at the full rate; beyond, the interval grows with their
number, so that an instance sends and reads at most 128 a second."""
MISSED_BEATS: Final = 4.5
"""Beats missed in a row after which an instance is taken for gone: on links that lose one datagram
in thirty, once in a million beats by mere loss."""
FORGET_AFTER_S: Final = 90.0
"""Silence after which an instance gets no beats any more."""
READER_KEY: Final = "store reader"


@dataclass(slots=True, kw_only=True)
class _Peer:
    record: InstanceRecord
    beat: Beat | None
    heard: float
    """Local time of the newest beat, or of the listing while there was none."""


def compute_beat_interval(instances: int) -> float:
    """Return the seconds between two beats to the same instance."""
    return BEAT_INTERVAL_S * max(1.0, instances / FULL_RATE_INSTANCES)


class Peers:
    """Which instances are there, from their beats and the store's listing.

    Args:
        own_name: Name of this instance, whose own record is not kept.
    """

    __slots__ = ("_own_name", "_peers")

    def __init__(self, *, own_name: str) -> None:
        self._own_name = own_name
        self._peers: dict[str, _Peer] = {}

    def add_listed(self, record: InstanceRecord, *, now: float) -> None:
        """Take an instance from the store's listing, unless it has been heard already."""
        if record.name != self._own_name and record.name not in self._peers:
            self._peers[record.name] = _Peer(record=record, beat=None, heard=now)

    def take(self, beat: Beat, *, now: float) -> bool:
        """Take a beat; False if it is older than what is known.

        Failure: an instance starts while its time of day is ahead, the clock is set right, and its
        next process seems older than the one before; it would never be heard, and get no callers.
        A process that has fallen silent can have no late words any more, so any other replaces it.
        """
        name = beat.record.name
        if name == self._own_name:
            return False
        peer = self._peers.get(name)
        if peer is not None and peer.beat is not None and self._is_live(peer, now=now):
            known = (peer.beat.incarnation, peer.beat.sequence)
            if (beat.incarnation, beat.sequence) <= known:
                return False
        self._peers[name] = _Peer(record=beat.record, beat=beat, heard=now)
        return True

    def is_current(self, name: str, incarnation: int) -> bool:
        """Return whether a process is the newest that is known of its instance."""
        peer = self._peers.get(name)
        return peer is not None and peer.beat is not None and peer.beat.incarnation == incarnation

    def count_known(self) -> int:
        """Return the number of instances that may be running, this one included."""
        return 1 + len(self._peers)

    def list_targets(self, *, now: float) -> list[InstanceRecord]:
        """Return the instances that get beats; long silent ones are forgotten."""
        for name, peer in list(self._peers.items()):
            if now - peer.heard > FORGET_AFTER_S:
                del self._peers[name]
        return [peer.record for peer in self._peers.values()]

    def list_live(self, *, now: float) -> list[Beat]:
        """Return the newest beats of the instances that are there."""
        return [
            peer.beat
            for peer in self._peers.values()
            if peer.beat is not None and self._is_live(peer, now=now)
        ]

    def _is_live(self, peer: _Peer, *, now: float) -> bool:
        return now - peer.heard <= MISSED_BEATS * compute_beat_interval(self.count_known())

    def rank_as_reader(self, *, now: float) -> int:
        """Return how many live instances come before this one in reading the store.

        An instance that the store turns away tells so and does not count.
        """
        own = compute_weight(READER_KEY, self._own_name)
        return sum(
            1
            for beat in self.list_live(now=now)
            if beat.store_answers
            and beat.state is not InstanceState.LEAVING
            and compute_weight(READER_KEY, beat.record.name) > own
        )

    def list_serving(self, *, now: float) -> list[InstanceRecord]:
        """Return the live instances to which callers may be sent."""
        return [
            beat.record for beat in self.list_live(now=now) if beat.state is InstanceState.SERVING
        ]
