"""What one send of a stream tells of its engine, noted as the events come."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.engine_profile import EngineProfiles
    from guavamast.relay.stream_timing import StreamTiming


class SentStream:
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
        "_sent",
        "_service",
        "_timing",
        "_unread_tokens",
        "began",
    )

    def __init__(
        self,
        *,
        profiles: EngineProfiles,
        service: str,
        output_tokens: int,
        unread_tokens: int,
        sent: float,
        timing: StreamTiming,
    ) -> None:
        self._profiles = profiles
        self._service = service
        self._output_tokens = output_tokens
        self._unread_tokens = unread_tokens
        self._sent = sent
        self._timing = timing
        self.began: float | None = None
        """Local time of the first event of this send."""

    def note_event(self, *, unread_tokens: int, now: float) -> None:
        """Note that an event has come.

        Args:
            unread_tokens: Prompt tokens that the engine has to read now, by what is known.
            now: The present time.
        """
        self._timing.note_event(unread_tokens=unread_tokens, now=now)
        if self.began is not None:
            return
        self.began = now
        self._profiles.record_first_event(
            self._service,
            unread_tokens=self._unread_tokens,
            took_ms=(now - self._sent) * 1000.0,
            now=now,
        )

    def finish(self, *, now: float) -> None:
        """Note that the stream has come whole."""
        if self.began is None:
            return
        self._profiles.record_run(
            self._service,
            output_tokens=self._output_tokens,
            run_ms=(now - self.began) * 1000.0,
            now=now,
        )
        self._profiles.record_pause(
            self._service,
            unread_tokens=self._timing.unread_tokens_then,
            pause_ms=self._timing.longest_pause_s * 1000.0,
            now=now,
        )
