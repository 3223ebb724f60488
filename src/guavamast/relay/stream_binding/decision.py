"""The decision on a stream that its caller takes up."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.relay.caller_gate import Denied

if TYPE_CHECKING:
    from guavamast.relay.stream_binding.directory import Lookup
    from guavamast.relay.stream_binding.records import StreamBinding

RETRY_AFTER_UNKNOWN_S: Final = 0.3
"""Seconds until a caller retries whose stream can't go on: it may begin anew at once, and elsewhere
the stream may be known."""


class TakeUpOutcome(StrEnum):
    """Whether a stream that its caller takes up may go on."""

    KNOWN = "known"
    """What began it is known."""
    UNKNOWN = "unknown"
    """Nobody who could be asked remembers it."""
    AMBIGUOUS = "ambiguous"
    """Its id was used for streams that began at different software."""
    UNCONFIRMED = "unconfirmed"
    """The endpoint that began it has been started again since, or the store doesn't answer, before
    it was sure which of its starts had begun it."""
    UNNAMED = "unnamed"
    """The caller doesn't name the attempt that began it."""
    MOVED = "moved"
    """Its route no longer leads to the service that began it."""
    NOT_RESUMABLE = "not_resumable"
    """Streams of its route can't be resumed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TakeUp:
    """The decision on a stream that its caller takes up."""

    outcome: TakeUpOutcome
    lookup: Lookup
    binding: StreamBinding | None = None
    """Set if it may go on."""

    def build_rejection(self) -> Denied:
        """Return the rejection of one that may not go on."""
        return Denied(
            status=503, reason=f"stream {self.outcome}", retry_after_s=RETRY_AFTER_UNKNOWN_S
        )
