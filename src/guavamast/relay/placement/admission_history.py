"""Recent requests, delays and rejections by service and precedence, over all instances."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import Final

HALF_LIFE_S: Final = 1.0
"""Seconds in which counts decay by half, about the delay of a retry. Requests of a precedence that
no longer arrive soon exert no pressure."""
TOLERATED_SHARE: Final = 1 / 24
"""Share of delayed requests that is tolerated: they wait for a moment and are served."""
FULL_PRESSURE_SHARE: Final = 1 / 6
"""Share of delayed requests from which on less urgent ones leave them all room that they can."""
PRIOR_REQUESTS: Final = 4.0
"""Requests that are added to the requests counted, so that one delay among few soon has no
effect."""
MIN_COUNTED: Final = 0.01
"""Requests below which a decayed count is dropped."""
MIN_PRESENT: Final = 0.25
"""Requests from which on a precedence counts as in use: one within the last two seconds."""
MIN_REJECTED: Final = 0.5
"""Requests rejected from which on their precedence counts as such: one within a second."""
WAITING_MARGIN_S: Final = 0.1
"""Seconds added to the time until an attempt checks for room again: the message that tells of that
check takes a part of it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WaitingPrecedence:
    """A precedence of which a request waits for room."""

    service: str
    precedence: int
    attempts: int
    """How many wait."""
    delayed: bool
    """Whether one of them is delayed."""
    remaining_s: float
    """Seconds for which that holds at least, unless another message replaces it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AdmissionCount:
    """Decayed counts of the requests of one precedence to one service."""

    service: str
    precedence: int
    requests: float
    delayed: float
    """Requests that waited so long that they count as delayed."""
    rejected: float
    wait_ms: float
    """Milliseconds that the latest request was allowed to wait at an engine."""


@dataclass(frozen=True, slots=True, kw_only=True)
class UrgentDemand:
    """What the recent requests of one precedence need of less urgent ones."""

    precedence: int
    wait_ms: float
    """Milliseconds that they are allowed to wait at an engine."""
    pressure: float
    """How strongly they need room, from 0 if few are delayed to 1."""
    waiting: int
    """Attempts that wait for room at present, as far as known; 0 unless one is delayed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Waiting:
    """An attempt that waits for room."""

    until: float
    """Time until which it is taken to wait, if no message tells its end."""
    delayed: bool


@dataclass(slots=True, kw_only=True)
class _Count:
    """Decayed counts of the requests of one precedence to one service, as of a local time."""

    requests: float = 0.0
    delayed: float = 0.0
    rejected: float = 0.0
    wait_ms: float = 0.0
    waiting: dict[str, _Waiting] = field(default_factory=dict)
    """The attempts that wait here, by their ids."""
    peer_waiting: int = 0
    """Attempts that wait at another instance, as it has told."""
    peer_delayed: bool = False
    """Whether one of them is delayed."""
    peer_waiting_until: float = float("-inf")
    """Time until which that holds."""
    updated: float = 0.0

    def decay(self, *, now: float) -> None:
        """Decay the counts to the present time."""
        factor = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.requests *= factor
        self.delayed *= factor
        self.rejected *= factor
        self.updated = now

    def clear(self, *, now: float) -> None:
        """Forget all requests but those that wait."""
        self.requests = 0.0
        self.delayed = 0.0
        self.rejected = 0.0
        self.updated = now

    def count_waiting(self, *, now: float) -> int:
        """Return the number of attempts that wait for room."""
        for attempt in [key for key, one in self.waiting.items() if one.until < now]:
            del self.waiting[attempt]
        told = self.peer_waiting if self.peer_waiting_until >= now else 0
        return len(self.waiting) + told

    def has_delayed(self, *, now: float) -> bool:
        """Return whether an attempt that waits for room is delayed."""
        if self.peer_delayed and self.peer_waiting_until >= now:
            return True
        return any(one.delayed and one.until >= now for one in self.waiting.values())

    def set_peer_waiting(self, attempts: int, *, delayed: bool, until: float) -> None:
        """Replace the attempts that wait at another instance."""
        self.peer_waiting = attempts
        self.peer_delayed = delayed
        self.peer_waiting_until = until

    def add(self, other: _Count) -> None:
        """Add counts as of the same time; the allowed wait is the mean by requests."""
        self.requests += other.requests
        if self.requests > 0.0:
            self.wait_ms += other.requests / self.requests * (other.wait_ms - self.wait_ms)
        self.delayed += other.delayed
        self.rejected += other.rejected


class AdmissionHistory:
    """The recent requests of each precedence, which limit the admission of less urgent ones.

    Each instance publishes its counts with its heartbeats, as one instance alone sees too few
    requests of a precedence.
    """

    __slots__ = ("_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[tuple[str, int], _Count] = {}
        self._peers: dict[str, dict[tuple[str, int], _Count]] = {}

    def record_request(self, service: str, precedence: int, *, wait_ms: float, now: float) -> None:
        """Count a request.

        Args:
            service: Its service.
            precedence: Its rank; 0 goes first.
            wait_ms: Milliseconds that it is allowed to wait at an engine.
            now: The present time.
        """
        count = self._get_own(service, precedence, now=now)
        count.requests += 1.0
        count.wait_ms = wait_ms

    def record_delay(self, service: str, precedence: int, *, now: float) -> None:
        """Count a request that has waited too long for room."""
        self._get_own(service, precedence, now=now).delayed += 1.0

    def record_rejection(self, service: str, precedence: int, *, now: float) -> None:
        """Count a request that got no room."""
        self._get_own(service, precedence, now=now).rejected += 1.0

    def record_waiting(
        self,
        service: str,
        precedence: int,
        *,
        attempt: str,
        delayed: bool,
        wait_s: float,
        now: float,
    ) -> None:
        """Record that an attempt goes on waiting for room, here or at its caller.

        Args:
            service: Its service.
            precedence: Its rank; 0 goes first.
            attempt: Its id.
            delayed: Whether it is delayed.
            wait_s: Seconds until it checks for room again.
            now: The present time.
        """
        count = self._get_own(service, precedence, now=now)
        until = now + wait_s + WAITING_MARGIN_S
        count.waiting[attempt] = _Waiting(until=until, delayed=delayed)

    def end_waiting(self, service: str, precedence: int, *, attempt: str) -> None:
        """Record that an attempt no longer waits."""
        count = self._own.get((service, precedence))
        if count is not None:
            count.waiting.pop(attempt, None)

    def list_waiting(self, *, now: float) -> list[WaitingPrecedence]:
        """Return the precedences of which a request waits at this instance."""
        return [
            WaitingPrecedence(
                service=service,
                precedence=precedence,
                attempts=attempts,
                delayed=count.has_delayed(now=now),
                remaining_s=max(one.until for one in count.waiting.values()) - now,
            )
            for (service, precedence), count in self._own.items()
            if (attempts := count.count_waiting(now=now))
        ]

    def update_peer_waiting(
        self, instance: str, waiting: list[WaitingPrecedence], *, now: float
    ) -> None:
        """Replace what waits at another instance."""
        counts = self._peers.setdefault(instance, {})
        for count in counts.values():
            count.set_peer_waiting(0, delayed=False, until=now)
        for one in waiting:
            count = counts.setdefault((one.service, one.precedence), _Count(updated=now))
            until = now + one.remaining_s
            count.set_peer_waiting(one.attempts, delayed=one.delayed, until=until)

    def list_own(self, *, now: float) -> list[AdmissionCount]:
        """Return the counts of this instance."""
        for count in self._own.values():
            count.decay(now=now)
        self._own = {
            key: one
            for key, one in self._own.items()
            if one.requests >= MIN_COUNTED or one.count_waiting(now=now)
        }
        return [
            AdmissionCount(
                service=service,
                precedence=precedence,
                requests=count.requests,
                delayed=count.delayed,
                rejected=count.rejected,
                wait_ms=count.wait_ms,
            )
            for (service, precedence), count in self._own.items()
        ]

    def replace_peer(self, instance: str, counts: list[AdmissionCount], *, now: float) -> None:
        """Replace the counts of another instance, but for what waits there."""
        known = self._peers.setdefault(instance, {})
        for count in known.values():
            count.clear(now=now)
        for one in counts:
            count = known.setdefault((one.service, one.precedence), _Count())
            count.requests = one.requests
            count.delayed = one.delayed
            count.rejected = one.rejected
            count.wait_ms = one.wait_ms
            count.updated = now

    def retain_peers(self, instances: set[str]) -> None:
        """Drop the counts of instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def list_more_urgent(
        self, service: str, precedence: int, *, now: float
    ) -> tuple[UrgentDemand, ...]:
        """Return the demand of each more urgent precedence that is in use at a service."""
        totals: dict[int, _Count] = {}
        waiting: dict[int, int] = defaultdict(int)
        delayed: set[int] = set()
        for counts in (self._own, *self._peers.values()):
            for (counted_service, counted_precedence), count in counts.items():
                if counted_service == service and counted_precedence < precedence:
                    count.decay(now=now)
                    totals.setdefault(counted_precedence, _Count()).add(count)
                    waiting[counted_precedence] += count.count_waiting(now=now)
                    if count.has_delayed(now=now):
                        delayed.add(counted_precedence)
        return tuple(
            UrgentDemand(
                precedence=precedence,
                wait_ms=total.wait_ms,
                pressure=_compute_pressure(total),
                waiting=waiting[precedence] if precedence in delayed else 0,
            )
            for precedence, total in sorted(totals.items())
            if total.requests >= MIN_PRESENT or precedence in delayed
        )

    def has_less_urgent(self, service: str, precedence: int, *, now: float) -> bool:
        """Return whether a less urgent precedence is in use at a service."""
        requests = 0.0
        for counts in (self._own, *self._peers.values()):
            for (counted_service, counted_precedence), count in counts.items():
                if counted_service == service and counted_precedence > precedence:
                    count.decay(now=now)
                    requests += count.requests
        return requests >= MIN_PRESENT

    def are_rejected(self, service: str, precedence: int, *, now: float) -> bool:
        """Return whether requests of a precedence are being rejected."""
        rejected = 0.0
        for counts in (self._own, *self._peers.values()):
            count = counts.get((service, precedence))
            if count is not None:
                count.decay(now=now)
                rejected += count.rejected
        return rejected >= MIN_REJECTED

    def count_waiting(self, service: str, precedence: int, *, now: float) -> int:
        """Return the attempts of a precedence that wait for room, as far as known."""
        return sum(
            count.count_waiting(now=now)
            for counts in (self._own, *self._peers.values())
            if (count := counts.get((service, precedence))) is not None
        )

    def _get_own(self, service: str, precedence: int, *, now: float) -> _Count:
        count = self._own.setdefault((service, precedence), _Count(updated=now))
        count.decay(now=now)
        return count


def _compute_pressure(count: _Count) -> float:
    share = max(count.delayed, count.rejected) / (count.requests + PRIOR_REQUESTS)
    excess = (share - TOLERATED_SHARE) / (FULL_PRESSURE_SHARE - TOLERATED_SHARE)
    return min(1.0, max(0.0, excess))
