"""When an instance reads the store: one instance reads, and others take over if it stops."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

READ_INTERVAL_S: Final = 0.6
"""Seconds of age at which the first-ranked reader reads again; a change is in force everywhere
after this time plus a heartbeat and a read of the change."""
OWN_READ_AGE_SHARE: Final = 0.65
"""Share of the age bound for requests at which each instance reads for itself, so that requests
seldom wait for a read."""
TICK_S: Final = 0.05
"""Seconds between two checks whether to read, once a read may be due."""
TAKEOVER_DELAY_S: Final = 0.25
"""Seconds by which each further rank reads later; longer than a read plus the transit time of a
heartbeat."""
UPDATE_WAIT_S: Final = 0.06
"""Seconds to wait for an update from the instance that has it, before reading the store."""
UPDATE_JITTER_PER_INSTANCE_S: Final = 0.004
"""Seconds of jitter per instance for reads of the same change: the first reader publishes it before
most others read."""
UPDATE_JITTER_MAX_SHARE: Final = 0.2
"""Share of the age bound for requests that this jitter takes at most."""
LAST_RANK: Final = 4
"""Rank from which on readers take over after the same delay, so that the wait stays short when many
have failed."""
JITTER_S: Final = 0.3
"""Seconds of jitter for the last ranks; a third of it is the least for reads of the same change."""
BACKOFF_FIRST_S: Final = 0.3
"""Seconds until the retry after a first failed read; doubled after each further failure."""
BACKOFF_MAX_S: Final = 1.2
"""Seconds between failed reads at most: several fit in before keys stop being accepted."""
OUTAGE_PROBERS: Final = 4
"""Instances that go on at that pace while the store answers none: they tell the others."""
OUTAGE_BACKOFF_S: Final = 4.8
"""Seconds between failed reads of all others meanwhile, in case that they are not told."""


class ReadSchedule:
    """Decides when one table is read.

    If every instance polled the store, its load would grow with the number of instances.
    Heartbeats carry the freshness stamps, so one reader is enough; a reader that fails or is
    partitioned is replaced by the next rank within `TAKEOVER_DELAY_S`.

    An instance that loses all datagrams would wait for the ranks before it while its tables get too
    old. It therefore reads for itself at a share of the bound, whatever its rank.

    While all engines start, a table changes every tenth of a second; if each of two hundred
    instances read each change, the store would get a thousand calls a second. The jitter for reads
    of the same change grows with the number of instances, and the first reader publishes it.

    Args:
        random: Source of jitter.
        bound_s: Age of the table above which it must not be used for requests.
        count_instances: Returns the number of instances.
    """

    __slots__ = (
        "_bound_s",
        "_count_instances",
        "_failures",
        "_outage_retry_at",
        "_own_read_age_s",
        "_update_read_at",
        "_retry_at",
        "_random",
    )

    def __init__(
        self, *, random: Random, bound_s: float, count_instances: Callable[[], int]
    ) -> None:
        self._random = random
        self._bound_s = bound_s
        self._count_instances = count_instances
        self._own_read_age_s = OWN_READ_AGE_SHARE * bound_s
        self._failures = 0
        self._retry_at = 0.0
        self._outage_retry_at = 0.0
        self._update_read_at: float | None = None

    def is_due(self, *, age_s: float, rank: int, has_update: bool, now: float) -> bool:
        """Return whether to read now.

        Args:
            age_s: Age of the newest freshness stamp.
            rank: Number of instances that read before this one.
            has_update: Whether another instance is known to have a newer version.
            now: The present time.
        """
        if now < self._retry_at:
            return False
        if has_update:
            if self._update_read_at is None:
                self._update_read_at = (
                    now + UPDATE_WAIT_S + self._random.random() * self._compute_update_jitter()
                )
            return now >= self._update_read_at
        self._update_read_at = None
        if now < self._outage_retry_at:
            return False
        due_s = min(READ_INTERVAL_S + TAKEOVER_DELAY_S * min(rank, LAST_RANK), self._own_read_age_s)
        if rank >= LAST_RANK:
            due_s += JITTER_S * (rank % 7) / 7
        return age_s >= due_s

    def compute_pause(self, *, age_s: float, has_update: bool) -> float:
        """Return the seconds in which no read can become due unless an update becomes known.

        Args:
            age_s: Age of the newest freshness stamp.
            has_update: Whether another instance is known to have a newer version.
        """
        if has_update:
            return TICK_S
        return max(TICK_S, READ_INTERVAL_S - age_s)

    def _compute_update_jitter(self) -> float:
        """Return the largest jitter, in seconds, for reads of the same change."""
        jitter_s = max(JITTER_S / 3, UPDATE_JITTER_PER_INSTANCE_S * self._count_instances())
        return min(jitter_s, UPDATE_JITTER_MAX_SHARE * self._bound_s)

    def record_success(self) -> None:
        """Reset the backoff."""
        self._failures = 0
        self._retry_at = 0.0
        self._outage_retry_at = 0.0
        self._update_read_at = None

    def record_failure(self, *, now: float, outage_rank: int | None = None) -> None:
        """Delay the next read, longer after each failure.

        Failure: while the store is away, hundreds of instances ask it once a second each, and all
        at once when it is back. The first instances find out as soon, and their heartbeats tell.

        Args:
            now: The present time.
            outage_rank: Number of live instances that ask before this one, if the store answers
                none of them; None if it answers any.
        """
        self._failures += 1
        pause = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** (self._failures - 1))
        jitter = 0.75 + 0.5 * self._random.random()
        self._retry_at = now + pause * jitter
        if outage_rank is not None and outage_rank >= OUTAGE_PROBERS:
            self._outage_retry_at = now + OUTAGE_BACKOFF_S * jitter
        self._update_read_at = None
