"""Recent requests and rejections by service and precedence, over all instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

HALF_LIFE_S: Final = 1.0
"""Seconds in which counts decay by half, about the delay of a retry. Requests of a precedence that
no longer arrive soon exert no pressure."""
TOLERATED_SHARE: Final = 1 / 12
"""Share of rejected requests that is tolerated: most of their callers retry and are served."""
FULL_PRESSURE_SHARE: Final = 1 / 6
"""Share of rejected requests from which on less urgent ones get only capacity that these can't
use."""
PRIOR_REQUESTS: Final = 4.0
"""Requests that are added to the requests counted, so that one rejection among few soon has no
effect."""
MIN_COUNTED: Final = 0.01
"""Requests below which a decayed count is dropped."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectionCount:
    """Decayed counts of the requests of one precedence to one service."""

    service: str
    precedence: int
    requests: float
    rejected: float
    wait_ms: float
    """Milliseconds that the latest rejected request was allowed to wait."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RejectionPressure:
    """How strongly the rejections of one precedence restrict less urgent requests."""

    weight: float
    """Above 0 and at most 1; at 1, less urgent requests yield in full."""
    wait_ms: float
    """Milliseconds that the rejected requests are allowed to wait."""


@dataclass(slots=True, kw_only=True)
class _Count:
    """Decayed counts of the requests of one precedence to one service, as of a local time."""

    requests: float = 0.0
    rejected: float = 0.0
    wait_ms: float = 0.0
    updated: float = 0.0

    def decay(self, *, now: float) -> None:
        """Decay the counts to the present time."""
        factor = 0.5 ** (max(0.0, now - self.updated) / HALF_LIFE_S)
        self.requests *= factor
        self.rejected *= factor
        self.updated = now


class RejectionHistory:
    """The recent rejections of urgent requests, which limit the admission of less urgent ones.

    Each instance publishes its counts with its heartbeats, as one instance alone sees too few
    requests of a precedence.
    """

    __slots__ = ("_own", "_peers")

    def __init__(self) -> None:
        self._own: dict[tuple[str, int], _Count] = {}
        self._peers: dict[str, dict[tuple[str, int], _Count]] = {}

    def record(
        self, service: str, precedence: int, *, rejected: bool, wait_ms: float, now: float
    ) -> None:
        """Count a request and its decision.

        Args:
            service: Its service.
            precedence: Its rank; 0 goes first.
            rejected: Whether it was rejected for lack of capacity.
            wait_ms: Milliseconds that it was allowed to wait.
            now: The present time.
        """
        count = self._own.setdefault((service, precedence), _Count(updated=now))
        count.decay(now=now)
        count.requests += 1.0
        if rejected:
            count.rejected += 1.0
            count.wait_ms = wait_ms

    def list_own(self, *, now: float) -> list[RejectionCount]:
        """Return the counts of this instance."""
        for count in self._own.values():
            count.decay(now=now)
        self._own = {key: one for key, one in self._own.items() if one.requests >= MIN_COUNTED}
        return [
            RejectionCount(
                service=service,
                precedence=precedence,
                requests=count.requests,
                rejected=count.rejected,
                wait_ms=count.wait_ms,
            )
            for (service, precedence), count in self._own.items()
        ]

    def replace_peer(self, instance: str, counts: list[RejectionCount], *, now: float) -> None:
        """Replace the counts of another instance."""
        self._peers[instance] = {
            (one.service, one.precedence): _Count(
                requests=one.requests, rejected=one.rejected, wait_ms=one.wait_ms, updated=now
            )
            for one in counts
        }

    def retain_peers(self, instances: set[str]) -> None:
        """Drop the counts of instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def list_pressures(
        self, service: str, precedence: int, *, now: float
    ) -> tuple[RejectionPressure, ...]:
        """Return the rejection pressure of more urgent requests to a service, by precedence."""
        totals: dict[int, _Count] = {}
        for counts in (self._own, *self._peers.values()):
            for (counted_service, counted_precedence), count in counts.items():
                if counted_service == service and counted_precedence < precedence:
                    _accumulate(totals.setdefault(counted_precedence, _Count()), count, now=now)
        return tuple(
            RejectionPressure(weight=_compute_pressure_weight(total), wait_ms=total.wait_ms)
            for _, total in sorted(totals.items())
            if _compute_pressure_weight(total) > 0.0
        )

    def exceeds_tolerance(self, service: str, precedence: int, *, now: float) -> bool:
        """Return whether more requests of a precedence are being rejected than is tolerated."""
        total = _Count()
        for counts in (self._own, *self._peers.values()):
            count = counts.get((service, precedence))
            if count is not None:
                _accumulate(total, count, now=now)
        return _compute_pressure_weight(total) > 0.0


def _accumulate(total: _Count, count: _Count, *, now: float) -> None:
    count.decay(now=now)
    total.requests += count.requests
    if count.rejected > 0.0:
        # The mean of the allowed waits, weighted by the rejected requests.
        weight = count.rejected / (total.rejected + count.rejected)
        total.wait_ms += weight * (count.wait_ms - total.wait_ms)
        total.rejected += count.rejected


def _compute_pressure_weight(count: _Count) -> float:
    share = count.rejected / (count.requests + PRIOR_REQUESTS)
    excess = (share - TOLERATED_SHARE) / (FULL_PRESSURE_SHARE - TOLERATED_SHARE)
    return min(1.0, max(0.0, excess))
