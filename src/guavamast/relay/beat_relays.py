"""Which instances pass on the beats of others when there are too many for each to tell all."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.beats import InstanceState
from guavamast.rendezvous import recall_weight

if TYPE_CHECKING:
    from guavamast.relay.peers import Peer, Peers
    from guavamast.relay.store import InstanceRecord

RELAYS_EACH: Final = 2
"""Relays of a failure domain: one goes on when the other ends."""
AGGREGATOR_SILENCE_S: Final = 2.2
"""Seconds without a word of any relay of the own failure domain after which an instance tells all
of it directly: above two bundles, so that a lost datagram changes nothing."""
AGGREGATOR_RANK_KEY: Final = "beat relays"
PROBE_TURN_S: Final = 1.0
"""Seconds for which the same instances of a domain that is not heard are tried."""


class BeatRelays:
    """Decides where the beats of one instance go, and whether it passes on those of others.

    Each instance tells the relays of its failure domain. A relay tells those of the other domains
    what it has heard in its own, and its own domain everything. The datagrams of a second grow with
    the instances, not with their square.

    Failure: a relay with a narrow link passes on half a megabyte of bundles a second, the answers
    to its own callers wait behind them, and plain calls come a second late. The instances with the
    widest links are the relays.

    Failure: all relays of a domain end at once, and its instances hear of nobody any more. They
    tell each other directly then, which shows who is left and names the next relays.

    Args:
        record: This instance.
        peers: The others.
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
        """Note that a relay has passed beats on to this instance."""
        self._last_aggregate = now

    def is_aggregator(self, *, now: float) -> bool:
        """Return whether this instance passes beats on."""
        return self.find_aggregator_rank(now=now) is not None

    def find_aggregator_rank(self, *, now: float) -> int | None:
        """Return this instance's place among the relays of its domain; None if it is none."""
        if not self._peers.relayed:
            return None
        aggregators = self._list_aggregators(self._record.failure_domain, now=now)
        names = [one.name for one in aggregators]
        return names.index(self._record.name) if self._record.name in names else None

    def list_heartbeat_targets(self, *, now: float) -> list[InstanceRecord]:
        """Return the instances that get each beat of this one."""
        if not self._peers.relayed:
            return self._peers.list_targets()
        own = self._record.failure_domain
        last = self._last_aggregate
        without_aggregator = last is None or now - last > AGGREGATOR_SILENCE_S
        if without_aggregator and not self.is_aggregator(now=now):
            return self.list_domain_members()
        return self._exclude_self(self._list_aggregators(own, now=now))

    def list_update_targets(self, *, now: float) -> list[InstanceRecord]:
        """Return the instances that get a beat with news: the relays of all failure domains."""
        targets = {one.name: one for one in self.list_heartbeat_targets(now=now)}
        if self._peers.relayed:
            targets.update((one.name, one) for one in self.list_other_aggregators(now=now))
        return list(targets.values())

    def list_other_aggregators(self, *, now: float) -> list[InstanceRecord]:
        """Return the relays of the other failure domains.

        Failure: two domains lose their relays at the same time. Neither hears of the other any
        more, so neither knows the other's next relays. Of a domain in which nobody is heard, those
        that are known are tried in turn; whoever gets the bundle hands it to its relays.
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
        """Return the live instances of the own failure domain, of which the others are told."""
        own = self._record.failure_domain
        live = self._peers.list_live(now=now)
        return [peer for peer in live if peer.record.failure_domain == own]

    def _list_aggregators(self, domain: str, *, now: float) -> list[InstanceRecord]:
        """Return the relays of a failure domain, this instance among them if it is one."""
        records = {
            peer.record.name: peer.record
            for peer in self._peers.list_live(now=now)
            if peer.record.failure_domain == domain and peer.state is not InstanceState.LEAVING
        }
        if domain == self._record.failure_domain:
            records[self._record.name] = self._record
        return [records[name] for name in _rank_aggregators(records)[:RELAYS_EACH]]

    def _exclude_self(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        return [one for one in records if one.name != self._record.name]


def _rank_aggregators(records: dict[str, InstanceRecord]) -> list[str]:
    """Return the names of a domain's instances in the order in which they are to be relays."""
    return sorted(
        records,
        key=lambda name: (records[name].link_mbps, recall_weight(AGGREGATOR_RANK_KEY, name), name),
        reverse=True,
    )


def _select_probe_targets(known: dict[str, InstanceRecord], *, now: float) -> list[InstanceRecord]:
    """Return the instances of a domain whose turn it is, the usual relays first."""
    names = _rank_aggregators(known)
    first = int(now / PROBE_TURN_S) * RELAYS_EACH
    rotating = [names[(first + number) % len(names)] for number in range(RELAYS_EACH)]
    preferred = names[:RELAYS_EACH]
    return [known[name] for name in dict.fromkeys([*preferred, *rotating])]
