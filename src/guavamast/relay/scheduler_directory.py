"""Which instance schedules a group of endpoints."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.beats import InstanceState
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import InstanceRecord

SCHEDULER_KEY: Final = "schedulers"
CANDIDATES: Final = 16
"""Instances among which the schedulers of all groups are, those with the most processor share."""
RENEW_S: Final = 0.5
"""Seconds for which the list of candidates is used before it is made anew."""
SILENT_ANSWERS: Final = 2
"""Failures to answer in a row after which an instance is passed over."""
PASSED_OVER_S: Final = 1.0
"""Seconds for which it is passed over the first time; doubled with each further."""
LONGEST_PASSED_OVER_S: Final = 8.0
"""Seconds for which it is passed over at most."""


@dataclass(slots=True, kw_only=True)
class _Silence:
    """Queries that an instance has not answered."""

    in_a_row: int = 0
    times: int = 0
    until: float = 0.0


class SchedulerDirectory:
    """Finds the scheduler of each group by rendezvous among the instances with room.

    Instances that see the same fleet find the same. Where they don't for a while, a group has two
    schedulers, each of which knows the work of those that ask it.

    Failure: a scheduler has died or stands still, and until its silence is known to all, every
    request waits for it in vain. Whoever gets no answer twice in a row asks the next candidate, and
    the silent one again only after a while.

    Args:
        record: This instance.
        peers: The others.
    """

    __slots__ = ("_candidates", "_found", "_listed", "_peers", "_record", "_silences")

    def __init__(self, *, record: InstanceRecord, peers: Peers) -> None:
        self._record = record
        self._peers = peers
        self._candidates: list[InstanceRecord] = []
        self._found: dict[str, list[InstanceRecord]] = {}
        self._listed: float | None = None
        self._silences: dict[str, _Silence] = {}

    def find(self, group: str, *, now: float) -> InstanceRecord:
        """Return the instance to ask about a group; possibly this one."""
        self._renew(now=now)
        ranked = self._found.get(group)
        if ranked is None:
            ranked = sorted(
                self._candidates,
                key=lambda one: compute_weight(group, one.name),
                reverse=True,
            )
            self._found[group] = ranked
        for record in ranked:
            silence = self._silences.get(record.name)
            if silence is None or now >= silence.until:
                return record
        return ranked[0]

    def note_answer(self, name: str) -> None:
        """Note that an instance has answered."""
        self._silences.pop(name, None)

    def note_silence(self, name: str, *, now: float) -> bool:
        """Note that an instance has not answered in time; returns whether it is passed over now."""
        silence = self._silences.setdefault(name, _Silence())
        silence.in_a_row += 1
        if silence.in_a_row < SILENT_ANSWERS or now < silence.until:
            return False
        silence.until = now + min(LONGEST_PASSED_OVER_S, PASSED_OVER_S * 2**silence.times)
        silence.times += 1
        return True

    def _renew(self, *, now: float) -> None:
        if self._listed is not None and now - self._listed < RENEW_S:
            return
        self._listed = now
        records = [self._record] + [
            peer.record
            for peer in self._peers.list_live(now=now)
            if peer.state in (InstanceState.SERVING, InstanceState.STALE)
        ]
        records.sort(
            key=lambda one: (one.processor_share, compute_weight(SCHEDULER_KEY, one.name)),
            reverse=True,
        )
        candidates = records[:CANDIDATES]
        if [one.name for one in candidates] != [one.name for one in self._candidates]:
            self._found.clear()
        self._candidates = candidates
