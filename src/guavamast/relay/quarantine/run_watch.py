"""Tells when an answer has gone on long enough to show that it doesn't end its endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

LASTING_S: Final = 1.0
"""Seconds of events after which an endpoint has clearly outlived the begin of an answer."""
MAX_GAP_S: Final = 0.25
"""Seconds that one pause between two events counts at most: a process that was suspended reads
events of an endpoint that has ended long after the first."""


class RunWatch:
    """Watches the events of one send of a stream.

    Streams may take longer to be answered completely than endpoints take to end one after the
    other. Parts that are common to such streams would be at all ends and cleared by no answer.

    Args:
        on_lasting: Called once, with the local time of the first event.
    """

    __slots__ = ("_lasting_s", "_on_lasting", "_previous_at", "began_at")

    def __init__(self, *, on_lasting: Callable[[float], None]) -> None:
        self._on_lasting = on_lasting
        self._previous_at = 0.0
        self._lasting_s = 0.0
        self.began_at: float | None = None
        """Local time of the first event."""

    def record_event(self, *, now: float) -> None:
        """Record an event."""
        if self.began_at is None:
            self.began_at = self._previous_at = now
            return
        lasted_s = self._lasting_s
        self._lasting_s += min(now - self._previous_at, MAX_GAP_S)
        self._previous_at = now
        if lasted_s < LASTING_S <= self._lasting_s:
            self._on_lasting(self.began_at)
