"""How many requests of each urgency were asked for and sent back lately, by all instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HALF_LIFE_S: Final = 1.0
"""Seconds in which half of what was counted is forgotten, about when a caller that was sent back
comes again: a kind that nobody asks for any more soon holds nothing back."""
TOLERATED_SHARE: Final = 1 / 12
"""Share of requests sent back that changes nothing: most of their callers come again and are
served."""
FULL_PRESSURE_SHARE: Final = 1 / 6
"""Share of requests sent back from which on less urgent ones get only what these can't use."""
PRIOR_ASKED: Final = 4.0
"""Requests that are added to those asked for, so that a refusal among few is forgotten soon."""
LEAST_COUNTED: Final = 0.01
"""Requests below which a count is dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RefusalCount:
    """Requests of one urgency at one service, older ones weighing less."""

    service: str
    urgency: int
    asked: float
    sent_back: float
    wait_ms: float
    """For which the latest that was sent back was allowed to wait."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Pressure:
    """More urgent requests that are being sent back."""

    weight: float
    """Above 0 and at most 1: how far less urgent requests make way."""
    wait_ms: float
    """For which they are allowed to wait."""


@dataclass(slots=True, kw_only=True)
class _Count:
    """Requests of one urgency at one service, as of a local time."""

    asked: float = 0.0
    sent_back: float = 0.0
    wait_ms: float = 0.0
    updated: float = 0.0

    def fade(self, *, now: float) -> None:
        """Forget what is older."""
        factor = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.asked *= factor
        self.sent_back *= factor
        self.updated = now


class RefusalHistory:
    """Relates refusals of urgent requests to what less urgent ones may still have.

    Each instance tells its counts with its beats, as one alone sees too few requests of a kind.
    """

    __slots__ = ("_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[tuple[str, int], _Count] = {}
        self._peers: dict[str, dict[tuple[str, int], _Count]] = {}

    def record(
        self, service: str, urgency: int, *, sent_back: bool, wait_ms: float, now: float
    ) -> None:
        """Count a request that was decided on.

        Args:
            service: Where it goes.
            urgency: 0 goes first.
            sent_back: Whether it was refused for want of room.
            wait_ms: For which it was allowed to wait.
            now: The present time.
        """
        count = self._own.setdefault((service, urgency), _Count(updated=now))
        count.fade(now=now)
        count.asked += 1.0
        if sent_back:
            count.sent_back += 1.0
            count.wait_ms = wait_ms

    def list_own(self, *, now: float) -> list[RefusalCount]:
        """Return what this instance has counted."""
        for count in self._own.values():
            count.fade(now=now)
        self._own = {key: one for key, one in self._own.items() if one.asked >= LEAST_COUNTED}
        return [
            RefusalCount(
                service=service,
                urgency=urgency,
                asked=count.asked,
                sent_back=count.sent_back,
                wait_ms=count.wait_ms,
            )
            for (service, urgency), count in self._own.items()
        ]

    def take_peer(self, instance: str, counts: list[RefusalCount], *, now: float) -> None:
        """Replace what another instance has told."""
        self._peers[instance] = {
            (one.service, one.urgency): _Count(
                asked=one.asked, sent_back=one.sent_back, wait_ms=one.wait_ms, updated=now
            )
            for one in counts
        }

    def keep_peers(self, instances: set[str]) -> None:
        """Forget instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def list_pressures(self, service: str, urgency: int, *, now: float) -> tuple[Pressure, ...]:
        """Return what more urgent requests to a service suffer, by urgency."""
        totals: dict[int, _Count] = {}
        for counts in (self._own, *self._peers.values()):
            for (counted_service, counted_urgency), count in counts.items():
                if counted_service == service and counted_urgency < urgency:
                    _add(totals.setdefault(counted_urgency, _Count()), count, now=now)
        return tuple(
            Pressure(weight=_weigh(total), wait_ms=total.wait_ms)
            for _, total in sorted(totals.items())
            if _weigh(total) > 0.0
        )

    def is_pressed(self, service: str, urgency: int, *, now: float) -> bool:
        """Return whether more requests of an urgency than is tolerated are being sent back."""
        total = _Count()
        for counts in (self._own, *self._peers.values()):
            count = counts.get((service, urgency))
            if count is not None:
                _add(total, count, now=now)
        return _weigh(total) > 0.0


def _add(total: _Count, count: _Count, *, now: float) -> None:
    count.fade(now=now)
    total.asked += count.asked
    if count.sent_back > 0.0:
        # The mean of the waits, each weighing as the requests that were sent back.
        weight = count.sent_back / (total.sent_back + count.sent_back)
        total.wait_ms += weight * (count.wait_ms - total.wait_ms)
        total.sent_back += count.sent_back


def _weigh(count: _Count) -> float:
    share = count.sent_back / (count.asked + PRIOR_ASKED)
    excess = (share - TOLERATED_SHARE) / (FULL_PRESSURE_SHARE - TOLERATED_SHARE)
    return min(1.0, max(0.0, excess))
