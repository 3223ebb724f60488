"""When an instance reads the store: one instance reads, the others step in when it falls silent."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

READ_INTERVAL_S: Final = 0.6
"""Seconds of age at which the first reader reads again; a change is in force everywhere after this,
a beat and a read of the change."""
OWN_READ_AGE_SHARE: Final = 0.65
"""Share of the age at which requests are not sent any more: each instance reads for itself then, so
that requests seldom wait for a read."""
TICK_S: Final = 0.05
"""Seconds between two decisions whether to read, once a read may be due."""
STEP_IN_S: Final = 0.25
"""Seconds by which each further reader steps in later; longer than a read takes and a beat
travels."""
NEWS_WAIT_S: Final = 0.06
"""Seconds in which the news itself may come from the instance that has it, before it is read
here."""
UPDATE_JITTER_PER_INSTANCE_S: Final = 0.004
"""Seconds, for each instance, over which the reads of the same news are spread: whoever reads first
tells the others within the next few."""
UPDATE_JITTER_MAX_SHARE: Final = 0.2
"""Share of the age at which requests are not sent any more that this spread takes at most."""
LAST_RANK: Final = 4
"""Readers beyond this rank step in together, so that nobody waits long when many have gone."""
SPREAD_S: Final = 0.3
"""Seconds over which the last ranks, and all instances that fetch the same news, are spread."""
BACKOFF_FIRST_S: Final = 0.3
"""Seconds after the first read that fails until the next; doubled after each further."""
BACKOFF_MAX_S: Final = 1.2
"""Seconds between reads that fail at most: several fit in before keys stop being accepted."""


class ReadSchedule:
    """Decides when one table is read.

    Failure: every instance asks the store all the time, and the store's calls grow with instances
    times time. Proofs ride on the beats, so that one reader is enough; a reader that dies or is cut
    off is replaced by the next rank within `STEP_IN_S`.

    Failure: all datagrams to an instance are lost, it waits for the ranks before it, and what it
    knows gets too old. It reads for itself at a share of the bound, which no rank delays.

    Failure: a table changes every tenth of a second while all engines start, each of two hundred
    instances reads each change, and the store gets a thousand calls a second. Reads of the same
    news are spread the wider the more instances there are; the first tells the others.

    Args:
        random: Spreads the reads of instances.
        bound_s: Age of the proof at which requests are not sent by it any more.
        count_instances: Returns how many instances there are.
    """

    __slots__ = (
        "_bound_s",
        "_count_instances",
        "_failures",
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
        self._update_read_at: float | None = None

    def is_due(self, *, age_s: float, rank: int, news: bool, now: float) -> bool:
        """Return whether to read now.

        Args:
            age_s: Age of the newest proof.
            rank: Instances that come before this one in reading.
            news: Whether another instance is known to have something newer.
            now: The present time.
        """
        if now < self._retry_at:
            return False
        if news:
            if self._update_read_at is None:
                self._update_read_at = (
                    now + NEWS_WAIT_S + self._random.random() * self._compute_update_jitter()
                )
            return now >= self._update_read_at
        self._update_read_at = None
        due_s = min(READ_INTERVAL_S + STEP_IN_S * min(rank, LAST_RANK), self._own_read_age_s)
        if rank >= LAST_RANK:
            due_s += SPREAD_S * (rank % 7) / 7
        return age_s >= due_s

    def compute_pause(self, *, age_s: float, has_update: bool) -> float:
        """Return the seconds for which no read can become due unless news comes.

        Args:
            age_s: Age of the newest proof.
            news: Whether another instance is known to have something newer.
        """
        if has_update:
            return TICK_S
        return max(TICK_S, READ_INTERVAL_S - age_s)

    def _compute_update_jitter(self) -> float:
        """Return the seconds over which the reads of the same news are spread."""
        spread_s = max(SPREAD_S / 3, UPDATE_JITTER_PER_INSTANCE_S * self._count_instances())
        return min(spread_s, UPDATE_JITTER_MAX_SHARE * self._bound_s)

    def record_success(self) -> None:
        """Read at the usual times again."""
        self._failures = 0
        self._retry_at = 0.0
        self._update_read_at = None

    def record_failure(self, *, now: float) -> None:
        """Pause before the next read, longer after each failure."""
        self._failures += 1
        pause = min(BACKOFF_MAX_S, BACKOFF_FIRST_S * 2 ** (self._failures - 1))
        self._retry_at = now + pause * (0.75 + 0.5 * self._random.random())
        self._update_read_at = None
