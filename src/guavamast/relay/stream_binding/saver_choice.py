"""Choice of the instances that save bound streams in the store."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.stream_binding.ring import RING_SIZE, find_position
from guavamast.relay.stream_binding.shards import SHARDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

SAVERS: Final = 2
"""Instances that save a stream: one more than needed, as one may end a moment before all others."""
INSTANCES_PER_GROUP: Final = 24
"""Instances for each group of shards that one pair saves: it bounds the streams that one instance
writes, and the calls to the store grow with the fleet no faster than that."""
CHOICE_VALID_S: Final = 0.5
"""Seconds for which a choice is used again: ranking a large fleet for each stream takes longer than
binding it."""


class SaverChoice:
    """Ranks instances for groups of shards by consistent hashing.

    Args:
        record: This instance.
        peers: The other instances.
        may_save: Whether this instance can save streams: it stays, and the store answers.
    """

    __slots__ = ("_chosen", "_chosen_at", "_may_save", "_peers", "_record")

    def __init__(
        self, *, record: InstanceRecord, peers: Peers, may_save: Callable[[], bool]
    ) -> None:
        self._record = record
        self._peers = peers
        self._may_save = may_save
        self._chosen: list[list[InstanceRecord]] = []
        self._chosen_at = float("-inf")

    def list_savers(self, shard: int, *, now: float) -> list[InstanceRecord]:
        """Return the instances that are to save the streams of a shard, this one included."""
        if now - self._chosen_at >= CHOICE_VALID_S:
            self._chosen = self._choose(now=now)
            self._chosen_at = now
        return self._chosen[shard % len(self._chosen)]

    def _choose(self, *, now: float) -> list[list[InstanceRecord]]:
        """Return the savers of each group."""
        able = [
            peer.record
            for peer in self._peers.list_live(now=now)
            if peer.store_reachable and peer.state is not InstanceState.LEAVING
        ]
        if self._may_save():
            able.append(self._record)
        groups = min(SHARDS, -(-self._peers.count_known() // INSTANCES_PER_GROUP))
        return [
            nsmallest(SAVERS, able, key=lambda one, start=start: _measure(one, start))
            for start in (RING_SIZE // groups * group for group in range(groups))
        ]


def _measure(record: InstanceRecord, start: int) -> int:
    """Return the distance on the ring from a position to an instance."""
    return (find_position(record) - start) % RING_SIZE
