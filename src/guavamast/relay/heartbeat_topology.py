"""Selection of the instances that aggregate heartbeats when the fleet is too large for a mesh."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.rendezvous import compute_weight_cached

if TYPE_CHECKING:
    from guavamast.relay.peers import Peer, Peers
    from guavamast.relay.store import InstanceRecord

AGGREGATORS_PER_DOMAIN: Final = 2
"""Instances that aggregate heartbeats in each failure domain: one continues if the other stops."""
AGGREGATOR_SILENCE_S: Final = 2.2
"""Seconds without an aggregated heartbeat after which an instance sends its heartbeats to its whole
failure domain: above two intervals of an aggregator, so that a lost datagram has no effect."""
AGGREGATOR_RANK_KEY: Final = "beat relays"
PROBE_TURN_S: Final = 1.0
"""Seconds for which the same instances of a domain without live instances are tried."""


class HeartbeatTopology:
    """Selects the targets of one instance's heartbeats and the aggregators of each domain.

    Each instance sends heartbeats to the aggregators of its failure domain. An aggregator sends
    those of the other domains the state of its own domain, and its own domain the state of all. The
    datagrams per second grow linearly with the instances, not quadratically.

    The instances with the widest links are the aggregators. On a narrow link, half a megabyte of
    aggregated heartbeats a second would delay the answers to the aggregator's own callers, and
    plain calls would complete a second late.

    If all aggregators of a domain stop at once, its instances receive no aggregated heartbeats.
    They then send heartbeats directly to each other, which shows the remaining instances and
    determines the next aggregators.

    Args:
        record: This instance.
        peers: The other instances.
    """

    __slots__ = ("_last_aggregate", "_peers", "_record")

    def __init__(self, *, record: InstanceRecord, peers: Peers) -> None:
        self._record = record
        self._peers = peers
        self._last_aggregate: float | None = None

    @property
    def domain(self) -> str:
        """The failure domain of this instance."""
        return self._record.failure_domain

    def record_aggregate(self, *, now: float) -> None:
        """Record that an aggregated heartbeat has arrived."""
        self._last_aggregate = now

    def is_aggregator(self, *, now: float) -> bool:
        """Return whether this instance is an aggregator."""
        return self.find_aggregator_rank(now=now) is not None

    def find_aggregator_rank(self, *, now: float) -> int | None:
        """Return this instance's rank among the aggregators of its domain; None if it is none."""
        if not self._peers.aggregated:
            return None
        aggregators = self._list_aggregators(self._record.failure_domain, now=now)
        names = [one.name for one in aggregators]
        return names.index(self._record.name) if self._record.name in names else None

    def list_heartbeat_targets(self, *, now: float) -> list[InstanceRecord]:
        """Return the instances that receive every heartbeat of this one."""
        if not self._peers.aggregated:
            return self._peers.list_targets()
        own = self._record.failure_domain
        last_aggregate = self._last_aggregate
        without_aggregator = last_aggregate is None or now - last_aggregate > AGGREGATOR_SILENCE_S
        if without_aggregator and not self.is_aggregator(now=now):
            return self.list_domain_members()
        return self._exclude_self(self._list_aggregators(own, now=now))

    def list_update_targets(self, *, now: float) -> list[InstanceRecord]:
        """Return the targets of a heartbeat with new state: the aggregators of all domains."""
        targets = {one.name: one for one in self.list_heartbeat_targets(now=now)}
        if self._peers.aggregated:
            targets.update((one.name, one) for one in self.list_other_aggregators(now=now))
        return list(targets.values())

    def list_other_aggregators(self, *, now: float) -> list[InstanceRecord]:
        """Return the aggregators of the other failure domains.

        Two domains that lose their aggregators at the same time receive nothing from each other, so
        neither knows the other's next aggregators. The known instances of a domain without live
        ones are therefore tried in turn; the one that receives the aggregated heartbeat forwards it
        to its aggregators.
        """
        known: dict[str, dict[str, InstanceRecord]] = {}
        for one in self._peers.list_targets():
            known.setdefault(one.failure_domain, {})[one.name] = one
        known.pop(self._record.failure_domain, None)
        aggregators = []
        for domain in sorted(known):
            live = self._list_aggregators(domain, now=now)
            aggregators += live or _select_probe_targets(known[domain], now=now)
        return aggregators

    def is_in_other_domain(self, name: str) -> bool:
        """Return whether an instance is known to be in another failure domain."""
        record = self._peers.find_record(name)
        return record is not None and record.failure_domain != self._record.failure_domain

    def list_domain_members(self) -> list[InstanceRecord]:
        """Return the other instances of the own failure domain."""
        own = self._record.failure_domain
        return [one for one in self._peers.list_targets() if one.failure_domain == own]

    def list_domain_peers(self, *, now: float) -> list[Peer]:
        """Return the live instances of the own failure domain, to report to the other domains."""
        own = self._record.failure_domain
        live = self._peers.list_live(now=now)
        return [peer for peer in live if peer.record.failure_domain == own]

    def _list_aggregators(self, domain: str, *, now: float) -> list[InstanceRecord]:
        """Return the aggregators of a failure domain, including this instance if it is one."""
        records = {
            peer.record.name: peer.record
            for peer in self._peers.list_live(now=now)
            if peer.record.failure_domain == domain and peer.state is not InstanceState.LEAVING
        }
        if domain == self._record.failure_domain:
            records[self._record.name] = self._record
        return [records[name] for name in _rank_aggregators(records)[:AGGREGATORS_PER_DOMAIN]]

    def _exclude_self(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        return [one for one in records if one.name != self._record.name]


def _rank_aggregators(records: dict[str, InstanceRecord]) -> list[str]:
    """Return the names of a domain's instances, the preferred aggregators first."""
    return sorted(
        records,
        key=lambda name: (
            records[name].link_mbps,
            compute_weight_cached(AGGREGATOR_RANK_KEY, name),
            name,
        ),
        reverse=True,
    )


def _select_probe_targets(known: dict[str, InstanceRecord], *, now: float) -> list[InstanceRecord]:
    """Return the preferred aggregators of a domain and the instances whose turn it is."""
    names = _rank_aggregators(known)
    first = int(now / PROBE_TURN_S) * AGGREGATORS_PER_DOMAIN
    rotating = [names[(first + number) % len(names)] for number in range(AGGREGATORS_PER_DOMAIN)]
    preferred = names[:AGGREGATORS_PER_DOMAIN]
    return [known[name] for name in dict.fromkeys([*preferred, *rotating])]
