"""When the events of one stream came, against what its route promises."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.catalog import Route


class Lateness(StrEnum):
    """Why an answer was late."""

    FIRST_EVENT = "first_event"
    """The first event came after the objective."""
    PAUSE = "pause"
    """A pause between two events was longer than the route's longest."""
    ANSWER = "answer"
    """An answer that is no stream came after the objective."""


class StreamTiming:
    """Times of one stream's events as they are passed on.

    Args:
        arrived: Local time at which the request had been read, in seconds.
    """

    __slots__ = (
        "_received_at",
        "_last_event_at",
        "first_event_s",
        "longest_pause_s",
        "uncached_tokens_at_longest_pause",
    )

    def __init__(self, *, received_at: float) -> None:
        self._received_at = received_at
        self._last_event_at: float | None = None
        self.first_event_s: float | None = None
        """From the request to its first event."""
        self.longest_pause_s = 0.0
        """Between two events."""
        self.uncached_tokens_at_longest_pause = 0
        """Prompt tokens that the engine had to read, by what this instance knew, when the longest
        pause ended."""

    def record_event(self, *, uncached_tokens: int, now: float) -> float | None:
        """Note that an event has come; returns the pause before it, None for the first.

        Args:
            unread_tokens: Prompt tokens that the engine has to read, by what is known.
            now: The present time.
        """
        previous_event_at = self._last_event_at
        self._last_event_at = now
        if previous_event_at is None:
            self.first_event_s = now - self._received_at
            return None
        pause_s = now - previous_event_at
        if pause_s > self.longest_pause_s:
            self.longest_pause_s = pause_s
            self.uncached_tokens_at_longest_pause = uncached_tokens
        return pause_s

    def classify_lateness(self, route: Route, *, took_s: float) -> Lateness | None:
        """Return why an answer was late by its route; None if it was in time.

        Args:
            route: What is promised.
            took_s: From the request to the end of its answer.
        """
        if self.first_event_s is None:
            return Lateness.ANSWER if took_s > route.objective_s else None
        if self.first_event_s > route.objective_s:
            return Lateness.FIRST_EVENT
        if route.longest_pause_s is not None and self.longest_pause_s > route.longest_pause_s:
            return Lateness.PAUSE
        return None
