"""How long an attempt waits at its instance until an endpoint has room for it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

WAIT_SHARE: Final = 2.0
"""Share of its objective for which an attempt waits: a late answer is worth more than none."""
LEAST_URGENT_WAIT_SHARE: Final = 0.25
"""Share for a request to which nothing yields: its wait would make it late for no room gained."""
MAX_TIME_SHARE: Final = 1 / 3
"""Share of its remaining time for which it waits at most; the rest is for a run or a retry."""
DELAYED_SHARE: Final = 0.25
"""Share of its objective after which it counts as delayed; a clump of arrivals waits less."""
CHECK_INTERVAL_S: Final = 0.03
"""Seconds between two checks for room, on average."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RoomCheck:
    """One check of an attempt for room at an endpoint."""

    attempt: str = ""
    """The same for all checks of an attempt."""
    waited_s: float = 0.0
    """Seconds since the attempt was received."""
    waited_share: float = 0.0
    """Share of the longest wait that is over, from 0 to 1."""
    first: bool = True
    delayed: bool = False
    """Whether the attempt has waited so long that it counts as delayed."""
    newly_delayed: bool = False
    """Whether no earlier check counted it as delayed."""
    last: bool = True
    """Whether the attempt is rejected if there is no room now."""


SINGLE_CHECK: Final = RoomCheck()
"""The check of an attempt that doesn't wait."""


class PlacementWait:
    """The wait of one attempt, as a series of checks.

    Failure: a request is rejected for the queues of one moment, its caller returns to the same
    queues a tenth of a second later and gets nothing, though there was room soon after. An attempt
    that waits here takes that room as soon as it is there, before less urgent ones.

    Args:
        attempt: Id of the attempt.
        began_at: Time at which the attempt was received.
        wait_s: Seconds for which it waits at most.
        delayed_s: Seconds after which it counts as delayed.
    """

    __slots__ = ("_attempt", "_began_at", "_checked", "_delayed", "_delayed_at", "_until")

    def __init__(self, *, attempt: str, began_at: float, wait_s: float, delayed_s: float) -> None:
        self._attempt = attempt
        self._began_at = began_at
        self._until = began_at + wait_s
        self._delayed_at = began_at + delayed_s
        self._checked = False
        self._delayed = False

    def begin_check(self, *, now: float) -> RoomCheck:
        """Return the next check.

        Args:
            now: The present time.
        """
        last = now + CHECK_INTERVAL_S > self._until
        delayed = now >= self._delayed_at
        check = RoomCheck(
            attempt=self._attempt,
            waited_s=max(0.0, now - self._began_at),
            waited_share=self._compute_waited_share(now=now),
            first=not self._checked,
            delayed=delayed,
            newly_delayed=delayed and not self._delayed,
            last=last,
        )
        self._checked = True
        self._delayed = delayed
        return check

    def ends_by(self, moment: float) -> bool:
        """Return whether the wait is over at a time."""
        return moment > self._until

    def _compute_waited_share(self, *, now: float) -> float:
        longest_s = self._until - self._began_at
        return min(1.0, max(0.0, (now - self._began_at) / longest_s)) if longest_s > 0.0 else 1.0


def compute_longest_wait(*, objective_s: float, least_urgent: bool, remaining_s: float) -> float:
    """Return the seconds for which an attempt waits for room at most.

    Args:
        objective_s: Its objective.
        least_urgent: Whether no stream of its service is less urgent.
        remaining_s: Seconds until its response must be complete.
    """
    share = LEAST_URGENT_WAIT_SHARE if least_urgent else WAIT_SHARE
    return min(share * objective_s, MAX_TIME_SHARE * remaining_s)


def begin_wait(
    *,
    attempt: str,
    received_at: float,
    objective_s: float,
    least_urgent: bool,
    deadline: float,
) -> PlacementWait:
    """Return the wait of an attempt for room in an engine.

    Args:
        attempt: Its id.
        received_at: Time at which it was received.
        objective_s: Its objective.
        least_urgent: Whether no stream of its service is less urgent.
        deadline: Time at which its response must be complete.
    """
    wait_s = compute_longest_wait(
        objective_s=objective_s, least_urgent=least_urgent, remaining_s=deadline - received_at
    )
    return PlacementWait(
        attempt=attempt,
        began_at=received_at,
        wait_s=wait_s,
        delayed_s=DELAYED_SHARE * objective_s,
    )
