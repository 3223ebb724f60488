"""Samples an engine's speed from the events of one send of a stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.placement import Choice, EndpointSpeeds, EngineProfiles
    from guavamast.relay.stream_timing import StreamTiming


class StreamSampler:
    """Updates a service's engine profile, and its engine's speed, from the events of one send.

    Args:
        profiles: The engine profiles.
        speeds: The speeds of single engines.
        choice: The engine, with the forecast of the first event.
        output_tokens: Maximum tokens of the response.
        uncached_tokens: Prompt tokens known to be waiting for prefill at the engine at the send.
        sent_at: Local time of the send.
        timing: Timing of the caller's stream, which may have begun at another endpoint.
    """

    __slots__ = (
        "_choice",
        "_output_tokens",
        "_profiles",
        "_sent_at",
        "_speeds",
        "_timing",
        "_uncached_tokens",
        "first_event_at",
    )

    def __init__(
        self,
        *,
        profiles: EngineProfiles,
        speeds: EndpointSpeeds,
        choice: Choice,
        output_tokens: int,
        uncached_tokens: int,
        sent_at: float,
        timing: StreamTiming,
    ) -> None:
        self._profiles = profiles
        self._speeds = speeds
        self._choice = choice
        self._output_tokens = output_tokens
        self._uncached_tokens = uncached_tokens
        self._sent_at = sent_at
        self._timing = timing
        self.first_event_at: float | None = None
        """Local time of the first event of this send."""

    def record_event(self, *, uncached_tokens: int, now: float) -> None:
        """Record that an event was received.

        Args:
            uncached_tokens: Prompt tokens known to be waiting for prefill at the engine now.
            now: The current time.
        """
        self._timing.record_event(uncached_tokens=uncached_tokens, now=now)
        if self.first_event_at is not None:
            return
        self.first_event_at = now
        took_ms = (now - self._sent_at) * 1000.0
        self._profiles.record_first_event(
            self._choice.record.service,
            uncached_tokens=self._uncached_tokens,
            took_ms=took_ms,
            now=now,
        )
        if self._choice.forecast is not None:
            self._speeds.record_first_event(
                self._choice.record.service,
                self._choice.record.endpoint_id,
                expected_ms=self._choice.forecast.first_event_ms * self._choice.speed,
                took_ms=took_ms,
                now=now,
            )

    def finish(self, *, mean_pause_ms: float, now: float) -> None:
        """Record that the stream is complete.

        Args:
            mean_pause_ms: Mean pause between its events; 0 if several engines had a part in it.
            now: The present time.
        """
        if self.first_event_at is None:
            return
        self._profiles.record_run(
            self._choice.record.service,
            output_tokens=self._output_tokens,
            run_ms=(now - self.first_event_at) * 1000.0,
            now=now,
        )
        self._profiles.record_pause(
            self._choice.record.service,
            uncached_tokens=self._timing.uncached_tokens_at_longest_pause,
            pause_ms=self._timing.longest_pause_s * 1000.0,
            now=now,
        )
        self._speeds.record_pause(
            self._choice.record.service,
            self._choice.record.endpoint_id,
            pause_ms=mean_pause_ms,
            now=now,
        )
