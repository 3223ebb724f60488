"""Timing of the events of one stream, compared with the limits of its route."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.catalog import Route

MIN_EVENTS: Final = 5
"""Parts of a stream from which on its mean pause says something of its engine."""


class Lateness(StrEnum):
    """Why a response was late."""

    FIRST_EVENT = "first_event"
    """The first event came after the objective."""
    PAUSE = "pause"
    """A pause between two events was longer than the route allows."""
    ANSWER = "answer"
    """A response that is not a stream came after the objective."""


class StreamTiming:
    """Times of one stream's events as they are forwarded.

    Args:
        received_at: Local time at which the request had been received, in seconds.
    """

    __slots__ = (
        "_events",
        "_received_at",
        "_last_event_at",
        "first_event_s",
        "longest_pause_s",
        "uncached_tokens_at_longest_pause",
    )

    def __init__(self, *, received_at: float) -> None:
        self._received_at = received_at
        self._last_event_at: float | None = None
        self._events = 0
        self.first_event_s: float | None = None
        """Seconds from the request to its first event."""
        self.longest_pause_s = 0.0
        """Longest pause between two events, in seconds."""
        self.uncached_tokens_at_longest_pause = 0
        """Prompt tokens waiting for prefill at the engine, as known to this instance, when the
        longest pause ended."""

    def record_event(self, *, uncached_tokens: int, now: float) -> float | None:
        """Record that an event was received; return the pause before it, None for the first.

        Args:
            uncached_tokens: Prompt tokens known to be waiting for prefill at the engine.
            now: The current time.
        """
        self._events += 1
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

    def compute_mean_pause_ms(self) -> float:
        """Return the mean time between two events in milliseconds; 0 if too few have come."""
        if self._events < MIN_EVENTS or self._last_event_at is None or self.first_event_s is None:
            return 0.0
        began_at = self._received_at + self.first_event_s
        return (self._last_event_at - began_at) * 1000.0 / (self._events - 1)

    def classify_lateness(self, route: Route, *, took_s: float) -> Lateness | None:
        """Return why a response was late for its route; None if it was in time.

        Args:
            route: The route, with its objective and longest pause.
            took_s: Seconds from the request to the end of its response.
        """
        if self.first_event_s is None:
            return Lateness.ANSWER if took_s > route.objective_s else None
        if self.first_event_s > route.objective_s:
            return Lateness.FIRST_EVENT
        if route.longest_pause_s is not None and self.longest_pause_s > route.longest_pause_s:
            return Lateness.PAUSE
        return None
