"""The last check before a call is sent."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode

if TYPE_CHECKING:
    from guavamast.world import Endpoint

PAUSE_THRESHOLD_S: Final = 1.5
"""Time between two beats from which the process counts as paused; beats come every 0.1 s."""

SETTLE_S: Final = 1.0
"""Time that a process gives itself after a pause to read what came in meanwhile."""

BEAT_INTERVAL_S: Final = 0.1


class SendGate(ABC):
    """Tells whether an endpoint may still be sent work under the configuration in force."""

    @abstractmethod
    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether this very endpoint is configured, active and at the same URL.

        An instance that is leaving still sends what it has accepted.
        """


class PauseWatch:
    """Notices that the process was paused.

    Failure: an entry stops for a minute between grant and send; meanwhile the endpoint was drained
    and its slot given away. Its deadline may still hold, and its configuration looks as it did.
    A gap between beats shows the pause, and sends wait until the loop had time to take in the
    changes.
    """

    __slots__ = ("_last_tick", "_settled_at")

    def __init__(self, *, now: float) -> None:
        self._last_tick = now
        self._settled_at = now

    def beat(self, *, now: float) -> None:
        """Note that the loop runs; call every ``BEAT_INTERVAL_S``."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._settled_at = now + SETTLE_S
        self._last_tick = now

    def is_settled(self, *, now: float) -> bool:
        """Return whether the process has run without a pause for long enough to send."""
        return now - self._last_tick <= PAUSE_THRESHOLD_S and now >= self._settled_at


def find_obstacle(
    endpoint: Endpoint, *, deadline: float, gate: SendGate, pauses: PauseWatch, now: float
) -> ErrorCode | None:
    """Return why a call may not be sent right now, or None.

    Args:
        endpoint: Where it would go.
        deadline: When the caller stops waiting, on the same clock as ``now``.
        gate: The configuration's word.
        pauses: Whether this process was paused.
        now: The present time.
    """
    if now >= deadline:
        return ErrorCode.DEADLINE_EXCEEDED
    if not pauses.is_settled(now=now) or not gate.is_open(endpoint):
        return ErrorCode.NO_ENDPOINT
    return None
