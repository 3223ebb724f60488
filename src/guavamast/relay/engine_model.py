"""When an engine would begin to answer, from the work that it has and how fast it is.

With little to read, the first event comes after the same time at few and at many running requests;
all prompt tokens that wait, those of the request included, add their reading time; so does each
request beyond the slots. How large each part is differs between engines and is learnt.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.engine_profile import EngineProfile

SLOT_WAIT_RUNS: Final = 2.0
"""Runs of a request, shared by the slots, that each request beyond the slots adds. Those that wait
longest meet later, more urgent ones that go before them."""
MEMORY_SHARE: Final = 0.92
"""Share of an engine's memory that running requests may take together. Beyond it the engine would
stop some and read their prompts again later."""
LATE_MEMORY_SHARE: Final = 0.75
"""Share of the memory likewise where loads are told late: the rest is for what others have sent and
nobody has heard of yet."""
PATIENT_MEMORY_SHARE: Final = 0.88
"""Share of the memory that a scheduler gives to requests before which others go; the rest is for
these, so that no engine has to stop one of them."""
FIRST_MEMORY_SHARE: Final = 0.97
"""Share of the memory that a scheduler gives in all."""
MEMORY_WAIT_MS: Final = 1_000.0
"""Milliseconds for a request that finds no memory: some running one has to end."""
NO_MEMORY_WAIT_MS: Final = 1_000_000.0
"""Milliseconds likewise where no engine may be given more than it has: beyond any wait that is
allowed, as it would stop some request."""

NEVER_LATE: Final = 0.7
"""Share of the time in which a first event is due; one with a forecast below it comes in time."""
SURELY_LATE: Final = 1.3
"""Share of the time in which a first event is due; one with a forecast above it comes late."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MemoryLimit:
    """How much of an engine's memory running requests may take, and what a lack of it means."""

    share: float
    wait_ms: float
    """Until there is room for one more."""


RECENT_LIMIT: Final = MemoryLimit(share=MEMORY_SHARE, wait_ms=MEMORY_WAIT_MS)
"""Where other instances' work is told soon."""
LATE_LIMIT: Final = MemoryLimit(share=LATE_MEMORY_SHARE, wait_ms=NO_MEMORY_WAIT_MS)
"""Where it is told late."""
PATIENT_LIMIT: Final = MemoryLimit(share=PATIENT_MEMORY_SHARE, wait_ms=NO_MEMORY_WAIT_MS)
"""Where all work is known, for requests before which others go."""
FIRST_LIMIT: Final = MemoryLimit(share=FIRST_MEMORY_SHARE, wait_ms=NO_MEMORY_WAIT_MS)
"""Where all work is known, for requests before which none goes."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """What a request would meet at an engine."""

    start_ms: float
    """To the first event without anything to wait for or to read."""
    waiting_ms: float
    """Until the work that is there already leaves room."""
    reading_ms: float
    """For its own prompt."""

    @property
    def first_event_ms(self) -> float:
        """Time to the first event."""
        return self.start_ms + self.waiting_ms + self.reading_ms


def estimate_late_share(first_event_ms: float, *, due_ms: float) -> float:
    """Return the share of first events with such a forecast that come late."""
    excess = first_event_ms / due_ms - NEVER_LATE
    return min(1.0, max(0.0, excess / (SURELY_LATE - NEVER_LATE)))


def forecast(
    load: Load,
    profile: EngineProfile,
    *,
    unread_tokens: int,
    needed_tokens: int,
    slots: int,
    memory_tokens: int,
    memory_limit: MemoryLimit = RECENT_LIMIT,
) -> Forecast:
    """Return what a request would meet at an engine.

    Args:
        load: Work of all instances there.
        profile: How fast the engines are.
        unread_tokens: Tokens of the request's prompt that the engine has to read.
        needed_tokens: Tokens that the request takes in memory when it ends.
        slots: Requests that run at the same time.
        memory_tokens: Tokens that fit into an engine's memory; 0 if that is not known.
        memory_limit: How much of it running requests may take.
    """
    waiting_ms = profile.compute_reading_ms(load.prefill_tokens)
    slot_wait_ms = SLOT_WAIT_RUNS * profile.run_ms / max(1, slots)
    waiting_ms += slot_wait_ms * max(0, load.requests + 1 - slots)
    if memory_tokens and load.memory_tokens + needed_tokens > memory_limit.share * memory_tokens:
        waiting_ms += memory_limit.wait_ms
    return Forecast(
        start_ms=profile.first_event_ms,
        waiting_ms=waiting_ms,
        reading_ms=profile.compute_reading_ms(unread_tokens),
    )
