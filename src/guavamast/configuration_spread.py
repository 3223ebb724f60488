"""Distribution of the configuration: which version an instance accepts and where it gets the text.

Every heartbeat carries the sender's version. Small deltas are pushed with a new version; larger
texts are requested from one peer. A jittered poll of the platform's head row finds versions that
the heartbeats missed.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random
from typing import Final

from guavamast.configuration_delta import (
    ConfigurationDelta,
    DeltaChain,
    apply_delta,
    create_delta,
)

MAX_PUSHED_CHARACTERS: Final = 2048
"""Size of the largest delta that is pushed. An instance may get it from every neighbour."""
MIN_PEERS: Final = 3
"""Peers whose versions a new instance needs to accept the highest one in a platform outage."""


class Source(StrEnum):
    """Origin of a configuration text."""

    PLATFORM = "platform"
    PEER = "peer"


class ConfigurationState(StrEnum):
    """Whether an instance may use the configuration that it has."""

    WAITING = "waiting"
    """It has no configuration and serves operators only."""
    CURRENT = "current"
    """It is in contact with the platform or a peer, which would report a change."""
    ISOLATED = "isolated"
    """It is in contact with nobody: it finishes current work and rejects new work as not run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SpreadTiming:
    """Timing of the distribution; ``docs/design/configuration-spread.md`` gives the reasons."""

    poll_s: float = 5.0
    """Mean interval between two reads of the head row; the jitter is half of it either way."""
    max_poll_s: float = 30.0
    """Longest mean interval between two reads, in an outage of the platform."""
    request_timeout_s: float = 1.0
    """Timeout of a request for a text, after which another peer is asked."""
    peer_transfer_s: float = 2.0
    """Time allowed for peers to send the text before it is read from the platform."""
    outage_s: float = 3.0
    """Time without the platform after which a new instance accepts a configuration from peers."""
    peer_validity_s: float = 10.0
    """Age at which a version reported by a peer expires."""
    isolated_s: float = 8.0
    """Time without contact to the platform or any peer after which an instance is isolated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationOffer:
    """Update for a peer that is behind: deltas, or the whole text if there are none."""

    version: int
    deltas: tuple[ConfigurationDelta, ...] = ()
    text: str = ""


@dataclass(slots=True, kw_only=True)
class _PeerVersion:
    version: int
    received_at: float


class ConfigurationSpread:
    """The configuration text of one instance and the decisions on how to update it.

    The dispatcher reads the head row at `next_poll_at` and calls `hear_platform` or
    `miss_platform`, reads the snapshot that `choose_snapshot` returns and passes it to `accept`;
    it also passes what an entry announces to `accept`. `HeartbeatLinks` makes all other calls.

    Args:
        now: Current time of a monotonic clock.
        seed: Seed of the jitter; differs between instances.
        timing: Timing of the distribution.
    """

    __slots__ = (
        "_requested_at",
        "_requested_peer",
        "_behind_since",
        "_chain",
        "_head",
        "_head_read_at",
        "_received_at",
        "_failed_polls",
        "_peers",
        "_min_peers",
        "_random",
        "_started_at",
        "_text",
        "_timing",
        "_version",
        "next_poll_at",
    )

    def __init__(
        self,
        *,
        now: float,
        seed: int,
        timing: SpreadTiming | None = None,
    ) -> None:
        self._timing = timing or SpreadTiming()
        self._random = Random(seed)
        self._min_peers = MIN_PEERS
        self._version = 0
        self._text = ""
        self._chain = DeltaChain()
        self._peers: dict[str, _PeerVersion] = {}
        self._head: int | None = None
        self._head_read_at = now
        self._received_at = now
        self._started_at = now
        self._failed_polls = 0
        self._behind_since: float | None = None
        self._requested_peer = ""
        self._requested_at = now
        self.next_poll_at = now
        """Time at which the head row should be read next."""

    @property
    def version(self) -> int:
        """The version in force on this instance; 0 for none."""
        return self._version

    @property
    def text(self) -> str:
        """The text of the version in force on this instance."""
        return self._text

    @property
    def head(self) -> int:
        """The highest version read from the platform's head row; 0 for none."""
        return self._head or 0

    def accept(self, version: int, text: str, *, source: Source, now: float) -> bool:
        """Put a version in force if it is higher and its source may be trusted.

        Args:
            version: The version number.
            text: The text.
            source: Its origin. What an entry announces was confirmed by the platform.
            now: Current time.

        Returns:
            Whether the version in force changed. It never decreases.
        """
        if version <= self._version:
            return False
        if source is Source.PEER and not self._may_accept_from_peers(version, now):
            return False
        if self._version:
            self._chain.append(
                create_delta(base=self._version, old=self._text, version=version, new=text)
            )
        self._version, self._text = version, text
        self._requested_peer = ""
        self._update_behind_since(now)
        return True

    def apply_offer(self, offer: ConfigurationOffer, *, now: float) -> bool:
        """Put a peer's offer in force.

        Returns:
            Whether the version in force changed.
        """
        if offer.version <= self._version:
            return False
        if not offer.deltas:
            return self.accept(offer.version, offer.text, source=Source.PEER, now=now)
        version, text = self._version, self._text
        for delta in offer.deltas:
            if delta.version <= version:
                continue
            new_text = apply_delta(delta, version=version, text=text)
            if new_text is None:
                return False
            version, text = delta.version, new_text
        return self.accept(version, text, source=Source.PEER, now=now)

    def record_head(self, head: int, *, now: float) -> None:
        """Record the version of the head row; 0 if no configuration has been accepted yet."""
        self._head = max(head, self._head or 0)
        self._head_read_at = self._received_at = now
        self._failed_polls = 0
        self._update_behind_since(now)
        self._set_next_poll(self._timing.poll_s, now)

    def record_failed_poll(self, *, now: float) -> None:
        """Record that the head row could not be read."""
        self._failed_polls += 1
        mean = min(self._timing.poll_s * 2.0 ** (self._failed_polls - 1), self._timing.max_poll_s)
        self._set_next_poll(mean, now)

    def record_peer_version(self, name: str, version: int, *, now: float) -> None:
        """Record the version that a peer has in force."""
        self._peers[name] = _PeerVersion(version=version, received_at=now)
        self._received_at = now
        self._update_behind_since(now)

    def record_pushed(self, name: str) -> None:
        """Record that the version in force has been sent to a peer."""
        peer = self._peers.get(name)
        if peer is not None:
            peer.version = max(peer.version, self._version)

    def forget_peer(self, name: str) -> None:
        """Drop a peer whose stream has ended, so that it is not asked."""
        self._peers.pop(name, None)

    def find_peer_version(self, name: str) -> int:
        """Return the version that a peer reported last; 0 if it reported none."""
        peer = self._peers.get(name)
        return peer.version if peer else 0

    def choose_push(self, name: str) -> ConfigurationOffer | None:
        """Return a small offer to push to a peer, if the peer is known to be behind."""
        offer = self.create_offer(self.find_peer_version(name))
        if offer is None or not offer.deltas:
            return None
        size = sum(len(delta.middle) for delta in offer.deltas)
        return offer if size <= MAX_PUSHED_CHARACTERS else None

    def create_offer(self, above: int) -> ConfigurationOffer | None:
        """Return the update for a peer at a version, or None if the peer is not behind."""
        if above >= self._version:
            return None
        deltas = self._chain.list_since(above)
        if deltas:
            return ConfigurationOffer(version=self._version, deltas=deltas)
        return ConfigurationOffer(version=self._version, text=self._text)

    def set_neighbours(self, number: int) -> None:
        """Set the number of neighbours; a small fleet requires fewer peers than `MIN_PEERS`."""
        self._min_peers = max(1, min(MIN_PEERS, number))

    def should_request_from(self, name: str, *, now: float) -> bool:
        """Return whether to request a text from this peer now.

        One peer at a time is asked, among those with the highest version.
        """
        peer = self._peers.get(name)
        if peer is None or peer.version <= self._version:
            return False
        if self._requested_peer and now - self._requested_at < self._timing.request_timeout_s:
            return False
        if peer.version < max(other.version for other in self._peers.values()):
            return False
        alone = all(p.version < peer.version for n, p in self._peers.items() if n != name)
        if name == self._requested_peer and not alone:
            return False
        return self._may_accept_from_peers(peer.version, now)

    def record_request(self, name: str, *, now: float) -> int:
        """Record that a text is requested from a peer.

        If a delta does not apply (another base), the peer would send the same delta forever. So a
        repeated request before the instance has caught up is for versions above 0, to which the
        peer responds with the whole text.

        Returns:
            The version above which to request.
        """
        again = bool(self._requested_peer)
        self._requested_peer, self._requested_at = name, now
        return 0 if again else self._version

    def choose_snapshot(self, *, now: float) -> int | None:
        """Return the version whose text should be read from the platform now, if any.

        Without a delay, all instances would read a megabyte from the platform at once at each
        change. Instances with a peer that has the version wait for `SpreadTiming.peer_transfer_s`.
        """
        if self._head is None or self._head <= self._version:
            return None
        self._drop_stale_peers(now)
        offered = any(peer.version >= self._head for peer in self._peers.values())
        waited = self._behind_since is not None and (
            now - self._behind_since >= self._timing.peer_transfer_s
        )
        return None if offered and not waited else self._head

    def compute_state(self, *, now: float, others_known: bool) -> ConfigurationState:
        """Return whether this instance may use its configuration.

        Args:
            now: Current time.
            others_known: Whether membership has any other instance that has not left. A single
                instance keeps serving through an outage of the platform, since no other instance
                could have confirmed a change.

        Returns:
            The state of the configuration.
        """
        if not self._version:
            return ConfigurationState.WAITING
        silent = now - self._received_at > self._timing.isolated_s
        return (
            ConfigurationState.ISOLATED if silent and others_known else ConfigurationState.CURRENT
        )

    def _may_accept_from_peers(self, version: int, now: float) -> bool:
        """Return whether a peer's version may be accepted.

        Without this check, a new instance could get an old version from a peer that was cut off
        for an hour, and send work to an endpoint that has left. If the platform's head is known,
        lower versions are rejected; in an outage, only the highest of several peers is accepted.
        """
        if self._version:
            return True
        if self._head is not None:
            return version >= self._head
        fresh = [
            p for p in self._peers.values() if now - p.received_at <= self._timing.peer_validity_s
        ]
        outage = self._failed_polls > 0 and now - self._started_at >= self._timing.outage_s
        highest = max((peer.version for peer in fresh), default=0)
        return outage and len(fresh) >= self._min_peers and version >= highest

    def _update_behind_since(self, now: float) -> None:
        highest = max((p.version for p in self._peers.values()), default=0)
        if max(highest, self._head or 0) <= self._version:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def _drop_stale_peers(self, now: float) -> None:
        limit = now - self._timing.peer_validity_s
        self._peers = {n: p for n, p in self._peers.items() if p.received_at >= limit}

    def _set_next_poll(self, mean_s: float, now: float) -> None:
        self.next_poll_at = now + mean_s * self._random.uniform(0.5, 1.5)
