"""Ages of the tables that an instance holds, by the store's monotonic clock.

Clocks here are in seconds and keep running while the machine is suspended.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

UNKNOWN_AGE_S: Final = 1e6
"""Seconds that are reported as the age of a table that was never read."""
OUTAGE_RECOVERY_S: Final = 2.0
"""Seconds within which entries that expired during a store outage are written again."""
OUTAGE_GAP_S: Final = 1.6
"""Seconds between two freshness stamps, with a failed read in between, that count as an outage:
entries do not expire in a shorter one."""


class StoreClock:
    """Maps store time to local time, never later than the true local time.

    The store reads its clock after the call was sent, so the local clock is ahead of the store's by
    at least ``sent - reading``. The greatest such difference is the tightest bound.

    The bound is derived from this instance's own calls only. Ages therefore count from the moment
    at which the store read its clock, however long a message took to arrive. Otherwise a process
    that resumes from a suspension would take a message that waited in its socket for recent.
    """

    __slots__ = ("_clock_offset",)

    def __init__(self) -> None:
        self._clock_offset: float | None = None

    @property
    def is_calibrated(self) -> bool:
        """Whether any call to the store has been answered."""
        return self._clock_offset is not None

    def record(self, *, sent: float, store_time: float) -> None:
        """Update the clock offset from the response to a call.

        Args:
            sent: Local time just before the call was sent.
            store_time: Store time in the response.
        """
        difference = sent - store_time
        if self._clock_offset is None or difference > self._clock_offset:
            self._clock_offset = difference

    def locate(self, at: float) -> float | None:
        """Return the latest store time that a local time can be; None before any response."""
        return None if self._clock_offset is None else at - self._clock_offset

    def compute_age(self, store_time: float, *, now: float) -> float:
        """Return an upper bound on the seconds since a store time; infinite before any response."""
        if self._clock_offset is None:
            return float("inf")
        return now - (store_time + self._clock_offset)


@dataclass(slots=True)
class FreshnessStamp:
    """A version of a table, and a store time at which it was the newest."""

    version: str
    store_time: float


def round_age(age_s: float) -> float:
    """Return an age in seconds, rounded and capped for logs and metrics; JSON has no infinity."""
    return round(min(UNKNOWN_AGE_S, age_s), 2)


class Freshness:
    """The time up to which one table's content is known to be the newest.

    Only failed reads count as an outage. If a gap alone counted, a slow instance that receives
    nothing for two seconds would assume a store outage and keep using endpoints that left
    meanwhile. Each instance reads for itself long before entries expire, so none misses an outage.

    Args:
        clock: Maps store time to local time.
    """

    __slots__ = ("_clock", "_failed", "_stamp", "outage_ended_at")

    def __init__(self, *, clock: StoreClock) -> None:
        self._clock = clock
        self._failed = False
        self._stamp: FreshnessStamp | None = None
        self.outage_ended_at: float | None = None
        """Store time of the first freshness stamp after an outage."""

    @property
    def stamp(self) -> FreshnessStamp | None:
        """The newest freshness stamp."""
        return self._stamp

    def record(self, stamp: FreshnessStamp) -> None:
        """Record a newer freshness stamp; ignore an older one."""
        previous = self._stamp
        if previous is not None and stamp.store_time <= previous.store_time:
            return
        gap_s = stamp.store_time - previous.store_time if previous is not None else 0.0
        if self._failed and gap_s > OUTAGE_GAP_S:
            self.outage_ended_at = stamp.store_time
        self._failed = False
        self._stamp = stamp

    def record_failure(self) -> None:
        """Record that a read of the table by this instance failed."""
        self._failed = True

    def confirm(self, stamp: FreshnessStamp) -> bool:
        """Record another instance's freshness stamp if it is for the same version."""
        if self._stamp is None or stamp.version != self._stamp.version:
            return False
        self.record(stamp)
        return True

    def compute_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the newest freshness stamp."""
        if self._stamp is None:
            return float("inf")
        return self._clock.compute_age(self._stamp.store_time, now=now)

    def is_recovering(self) -> bool:
        """Return whether entries that expired in an outage may still be written again."""
        if self._stamp is None or self.outage_ended_at is None:
            return False
        return self._stamp.store_time - self.outage_ended_at < OUTAGE_RECOVERY_S
