"""What one send of a stream tells of its engine, noted as the events come."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.engine_profile import EngineProfiles
    from guavamast.relay.stream_timing import StreamTiming


class StreamSampler:
    """Teaches the profile of a service from the events of one send.

    Args:
        profiles: What is learnt.
        service: The engine's service.
        output_tokens: Most tokens that the answer may have.
        unread_tokens: Prompt tokens that the engine had to read at the send, by what was known.
        sent: Local time of the send.
        timing: Of the caller's stream, which may have begun at another endpoint.
    """

    __slots__ = (
        "_output_tokens",
        "_profiles",
        "_sent_at",
        "_service",
        "_timing",
        "_uncached_tokens",
        "first_event_at",
    )

    def __init__(
        self,
        *,
        profiles: EngineProfiles,
        service: str,
        output_tokens: int,
        uncached_tokens: int,
        sent_at: float,
        timing: StreamTiming,
    ) -> None:
        self._profiles = profiles
        self._service = service
        self._output_tokens = output_tokens
        self._uncached_tokens = uncached_tokens
        self._sent_at = sent_at
        self._timing = timing
        self.first_event_at: float | None = None
        """Local time of the first event of this send."""

    def record_event(self, *, uncached_tokens: int, now: float) -> None:
        """Note that an event has come.

        Args:
            unread_tokens: Prompt tokens that the engine has to read now, by what is known.
            now: The present time.
        """
        self._timing.record_event(uncached_tokens=uncached_tokens, now=now)
        if self.first_event_at is not None:
            return
        self.first_event_at = now
        self._profiles.record_first_event(
            self._service,
            unread_tokens=self._uncached_tokens,
            took_ms=(now - self._sent_at) * 1000.0,
            now=now,
        )

    def finish(self, *, now: float) -> None:
        """Note that the stream has come whole."""
        if self.first_event_at is None:
            return
        self._profiles.record_run(
            self._service,
            output_tokens=self._output_tokens,
            run_ms=(now - self.first_event_at) * 1000.0,
            now=now,
        )
        self._profiles.record_pause(
            self._service,
            unread_tokens=self._timing.uncached_tokens_at_longest_pause,
            pause_ms=self._timing.longest_pause_s * 1000.0,
            now=now,
        )
