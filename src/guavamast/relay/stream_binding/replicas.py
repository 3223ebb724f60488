"""Choice of the instances that remember a stream, and of those that are asked for it."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.stream_binding.ring import POSITION_BYTES, RING_SIZE, find_position

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

COPIES: Final = 3
"""Instances that remember a stream besides the one that has bound it: with three, most streams
outlast the loss of most instances in one moment."""
QUERIED: Final = 8
"""Instances that are asked in a large fleet: more than have copies, as two instances may know
different ones as live."""
NEIGHBOURS_PER_COPY: Final = 4
"""Instances that follow a key on the ring from which each copy's is taken: enough to meet several
failure domains among them."""


class ReplicaChoice:
    """Ranks instances for a stream by consistent hashing, spread over failure domains.

    Args:
        peers: The other instances.
    """

    __slots__ = ("_peers",)

    def __init__(self, *, peers: Peers) -> None:
        self._peers = peers

    def list_holders(self, key: str, *, now: float) -> list[InstanceRecord]:
        """Return the other instances that are to remember a stream."""
        staying = self.list_staying(now=now)
        return _rank(key, staying or self._peers.list_targets(), count=COPIES)

    def list_staying(self, *, now: float) -> list[InstanceRecord]:
        """Return the other instances that are live and don't leave."""
        return [
            peer.record
            for peer in self._peers.list_live(now=now)
            if peer.state is not InstanceState.LEAVING
        ]

    def list_queried(self, key: str, *, now: float) -> list[InstanceRecord]:
        """Return the other instances that may remember a stream.

        In a small fleet these are all; in a large one those that are ranked first, whether they are
        live, as the instance that has bound the stream may have known others as live.
        """
        known = self._peers.list_targets()
        if not self._peers.aggregated:
            return known
        live = [peer.record for peer in self._peers.list_live(now=now)]
        ranked = _rank(key, live, count=QUERIED) + _rank(key, known, count=QUERIED)
        return list({record.name: record for record in ranked}.values())


def _rank(key: str, records: Iterable[InstanceRecord], *, count: int) -> list[InstanceRecord]:
    """Return the instances that follow a key on the ring, the first of each domain first."""
    position = int(key[: 2 * POSITION_BYTES], 16)
    near = nsmallest(
        NEIGHBOURS_PER_COPY * count,
        records,
        key=lambda record: (find_position(record) - position) % RING_SIZE,
    )
    domains: set[str] = set()
    firsts: list[InstanceRecord] = []
    others: list[InstanceRecord] = []
    for record in near:
        (others if record.failure_domain in domains else firsts).append(record)
        domains.add(record.failure_domain)
    return (firsts + others)[:count]
