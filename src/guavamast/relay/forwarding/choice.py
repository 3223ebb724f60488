"""Choice of the instances through which requests go while this one doesn't reach a service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from guavamast.relay.peers import Peer
    from guavamast.relay.reachability import PeerReachability
    from guavamast.relay.store import InstanceRecord

MAX_ORIGINS_PER_FORWARDER: Final = 2.0
"""Instances of a failure domain that one other of it forwards for; if there are more, all domains
do, as its own callers would be late otherwise."""
MAX_CANDIDATES: Final = 4
"""Instances that are named in each part of a ranking: more than are asked for one attempt."""


class ForwarderChoice:
    """Ranks the instances that may forward this instance's requests.

    Args:
        record: This instance.
        reachability: What the others have reported not to reach.
        random: Spreads the requests.
    """

    __slots__ = ("_random", "_reachability", "_record")

    def __init__(
        self, *, record: InstanceRecord, reachability: PeerReachability, random: Random
    ) -> None:
        self._record = record
        self._reachability = reachability
        self._random = random

    def rank(
        self, service: str, live: list[Peer], *, avoided: AbstractSet[str], now: float
    ) -> list[InstanceRecord]:
        """Return the instances to try for a service, the best first.

        Bytes between failure domains cost, so the own one goes first unless few of it are left.

        Args:
            service: The service of the endpoint.
            live: The other live instances.
            avoided: Names of instances that have lately failed to forward.
            now: The present time.
        """
        own_domain = self._record.failure_domain
        near: list[InstanceRecord] = []
        far: list[InstanceRecord] = []
        origins = 1
        for peer in live:
            record = peer.record
            if peer.state is not InstanceState.SERVING:
                continue
            is_near = record.failure_domain == own_domain
            if service in self._reachability.list_blocked(record.name, now=now):
                origins += is_near
            elif record.name not in avoided:
                (near if is_near else far).append(record)
        if len(near) * MAX_ORIGINS_PER_FORWARDER < origins:
            return self._sample(near + far)
        return self._sample(near) + self._sample(far)

    def _sample(self, records: list[InstanceRecord]) -> list[InstanceRecord]:
        return self._random.sample(records, min(MAX_CANDIDATES, len(records)))
