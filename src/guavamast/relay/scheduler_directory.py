"""Selection of the instance that schedules a group of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

SCHEDULER_KEY: Final = "schedulers"
MAX_CANDIDATES: Final = 16
"""Instances that may schedule groups: those with the largest processor share."""
REFRESH_S: Final = 0.5
"""Seconds for which the list of candidates is used before it is rebuilt."""
TIMEOUTS_BEFORE_BACKOFF: Final = 2
"""Failures to reply in a row after which an instance is skipped."""
BACKOFF_S: Final = 1.0
"""Seconds for which an instance is skipped the first time; doubled each further time."""
MAX_BACKOFF_S: Final = 8.0
"""Seconds for which an instance is skipped at most."""


@dataclass(slots=True, kw_only=True)
class _Timeouts:
    """Queries to one instance that timed out."""

    in_a_row: int = 0
    backoffs: int = 0
    backoff_until: float = 0.0


class SchedulerDirectory:
    """Selects each group's scheduler by rendezvous hashing among the largest instances.

    Instances with the same view of the fleet select the same scheduler. While views differ, a group
    may have two schedulers, each of which knows only the work of the instances that query it.

    Failure: a scheduler has died or stalled, and every request waits for it in vain until all
    instances know. An instance that gets no reply twice in a row queries the next candidate, and
    the unresponsive one again only after a backoff.

    Args:
        record: This instance.
        peers: The other instances.
        is_leaving: Returns whether this instance is leaving: the others no longer select it.
    """

    __slots__ = (
        "_candidates",
        "_is_leaving",
        "_peers",
        "_rankings",
        "_record",
        "_refreshed_at",
        "_timeouts",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        peers: Peers,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._record = record
        self._is_leaving = is_leaving
        self._peers = peers
        self._candidates: list[InstanceRecord] = []
        self._rankings: dict[str, list[InstanceRecord]] = {}
        self._refreshed_at: float | None = None
        self._timeouts: dict[str, _Timeouts] = {}

    def select(self, group: str, *, now: float) -> InstanceRecord:
        """Return the scheduler of a group; it may be this instance."""
        ranked = self._rank(group, now=now)
        for record in ranked:
            timeouts = self._timeouts.get(record.name)
            if timeouts is None or now >= timeouts.backoff_until:
                return record
        return ranked[0]

    def is_first(self, group: str, *, now: float) -> bool:
        """Return whether this instance is the group's first candidate, as far as it knows.

        Instances that got no reply from the first one query another for a while. That other one
        isn't the first in its own view, so what only one may grant is granted by one.
        """
        return self._rank(group, now=now)[0].name == self._record.name

    def record_reply(self, name: str) -> None:
        """Record that an instance replied."""
        self._timeouts.pop(name, None)

    def record_timeout(self, name: str, *, now: float) -> bool:
        """Record that a query to an instance timed out; return whether a backoff starts."""
        timeouts = self._timeouts.setdefault(name, _Timeouts())
        timeouts.in_a_row += 1
        if timeouts.in_a_row < TIMEOUTS_BEFORE_BACKOFF or now < timeouts.backoff_until:
            return False
        timeouts.backoff_until = now + min(MAX_BACKOFF_S, BACKOFF_S * 2**timeouts.backoffs)
        timeouts.backoffs += 1
        return True

    def _rank(self, group: str, *, now: float) -> list[InstanceRecord]:
        self._refresh(now=now)
        ranked = self._rankings.get(group)
        if ranked is None:
            ranked = sorted(
                self._candidates,
                key=lambda one: compute_weight(group, one.name),
                reverse=True,
            )
            self._rankings[group] = ranked
        return ranked

    def _refresh(self, *, now: float) -> None:
        if self._refreshed_at is not None and now - self._refreshed_at < REFRESH_S:
            return
        self._refreshed_at = now
        records = [
            peer.record
            for peer in self._peers.list_live(now=now)
            if peer.state in (InstanceState.SERVING, InstanceState.STALE)
        ]
        if not records or not self._is_leaving():
            records.append(self._record)
        records.sort(
            key=lambda one: (one.processor_share, compute_weight(SCHEDULER_KEY, one.name)),
            reverse=True,
        )
        candidates = records[:MAX_CANDIDATES]
        if [one.name for one in candidates] != [one.name for one in self._candidates]:
            self._rankings.clear()
        self._candidates = candidates
