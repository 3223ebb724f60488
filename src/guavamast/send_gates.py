"""The last check before a call is sent."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode

if TYPE_CHECKING:
    from guavamast.fleet_objects import Endpoint

PAUSE_THRESHOLD_S: Final = 1.5
"""Time between two ticks above which the process counts as paused; ticks come every 0.1 s."""

SETTLE_S: Final = 1.0
"""Time after a pause without sends, in which the process reads the updates received meanwhile."""

TICK_INTERVAL_S: Final = 0.1


class SendGate(ABC):
    """Tells whether the current configuration allows sends to an endpoint."""

    @abstractmethod
    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether this endpoint is configured, active and has the same URL.

        A leaving instance still sends the calls it has accepted.
        """


class PauseDetector:
    """Detects that the process was paused.

    Failure: an entry is paused for a minute between grant and send; meanwhile the endpoint is
    drained and its slot granted to others. The deadline may not have passed, and the entry still
    sees its old configuration. A gap between ticks reveals the pause, and nothing is sent until the
    loop has had time to process the updates.
    """

    __slots__ = ("_last_tick", "_settled_at")

    def __init__(self, *, now: float) -> None:
        self._last_tick = now
        self._settled_at = now

    def tick(self, *, now: float) -> None:
        """Record that the event loop runs; call every ``BEAT_INTERVAL_S``."""
        if now - self._last_tick > PAUSE_THRESHOLD_S:
            self._settled_at = now + SETTLE_S
        self._last_tick = now

    def is_settled(self, *, now: float) -> bool:
        """Return whether the process has run without a pause for long enough to send."""
        return now - self._last_tick <= PAUSE_THRESHOLD_S and now >= self._settled_at


def find_obstacle(
    endpoint: Endpoint, *, deadline: float, gate: SendGate, pauses: PauseDetector, now: float
) -> ErrorCode | None:
    """Return why a call may not be sent right now, or None.

    Args:
        endpoint: The call's destination.
        deadline: Time at which the caller stops waiting, on the same clock as ``now``.
        gate: Tells whether the configuration allows the send.
        pauses: Tells whether this process was paused.
        now: The present time.
    """
    if now >= deadline:
        return ErrorCode.DEADLINE_EXCEEDED
    if not pauses.is_settled(now=now) or not gate.is_open(endpoint):
        return ErrorCode.NO_ENDPOINT
    return None
