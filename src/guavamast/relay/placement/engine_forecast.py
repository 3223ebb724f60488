"""Forecast of a request's first event at an engine, from the engine's load and profile.

With little to prefill, the time to the first event is the same at few and at many running requests.
All pending prompt tokens, including the request's own, add their prefill time, and each request
beyond the slots adds a wait. The size of each part differs between engines and is learnt.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.placement.engine_profile import EngineProfile

SLOT_WAIT_RUNS: Final = 2.0
"""Runs of a request, divided by the slots, that each request beyond the slots adds to the wait.
Those that wait longest are also overtaken by later, more urgent ones."""
KV_SHARE: Final = 0.92
"""Share of an engine's KV cache that running requests may take together. Beyond it the engine would
preempt some and prefill their prompts again later."""
STALE_LOADS_KV_SHARE: Final = 0.75
"""Share of the KV cache that running requests may take where load updates are late; the rest is for
requests of other instances that aren't reported yet."""
LESS_URGENT_KV_SHARE: Final = 0.88
"""Share of the KV cache that a scheduler grants to all but the most urgent requests; the rest is
for these, so that no engine has to preempt one of them."""
MOST_URGENT_KV_SHARE: Final = 0.97
"""Share of the KV cache that a scheduler grants in total."""
KV_WAIT_MS: Final = 1_000.0
"""Milliseconds of wait for a request without room in the KV cache: a running one has to end."""
KV_FULL_WAIT_MS: Final = 1_000_000.0
"""Milliseconds of wait where no engine may exceed its KV cache limit: beyond any allowed wait, as
the engine would preempt a request."""

ON_TIME_SHARE: Final = 0.7
"""Share of the objective below which a forecast counts as a first event surely in time."""
LATE_SHARE: Final = 1.3
"""Share of the objective above which a forecast counts as a first event surely late."""


@dataclass(frozen=True, slots=True, kw_only=True)
class KvLimit:
    """How much of an engine's KV cache running requests may take, and the wait beyond that."""

    share: float
    wait_ms: float
    """Milliseconds until there is room for one more request."""


FRESH_LOADS_LIMIT: Final = KvLimit(share=KV_SHARE, wait_ms=KV_WAIT_MS)
"""Limit where load updates of other instances arrive soon."""
STALE_LOADS_LIMIT: Final = KvLimit(share=STALE_LOADS_KV_SHARE, wait_ms=KV_FULL_WAIT_MS)
"""Limit where load updates of other instances are late."""
LESS_URGENT_LIMIT: Final = KvLimit(share=LESS_URGENT_KV_SHARE, wait_ms=KV_FULL_WAIT_MS)
"""Limit of a scheduler, which knows all work, for all but the most urgent requests."""
MOST_URGENT_LIMIT: Final = KvLimit(share=MOST_URGENT_KV_SHARE, wait_ms=KV_FULL_WAIT_MS)
"""Limit of a scheduler, which knows all work, for the most urgent requests."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Forecast:
    """The parts of a request's expected time to the first event at an engine."""

    start_ms: float
    """Time to the first event of an idle engine without prefill."""
    waiting_ms: float
    """Wait for the work that is already at the engine."""
    prefill_ms: float
    """Prefill time of its own prompt."""
    lacks_memory: bool = False
    """Whether the wait is one for room in the KV cache."""

    @property
    def first_event_ms(self) -> float:
        """Time to the first event."""
        return self.start_ms + self.waiting_ms + self.prefill_ms


def estimate_late_share(first_event_ms: float, *, due_ms: float) -> float:
    """Return the expected share of late first events among those with this forecast."""
    excess = first_event_ms / due_ms - ON_TIME_SHARE
    return min(1.0, max(0.0, excess / (LATE_SHARE - ON_TIME_SHARE)))


def forecast(
    load: Load,
    profile: EngineProfile,
    *,
    uncached_tokens: int,
    kv_tokens: int,
    slots: int,
    kv_capacity_tokens: int,
    kv_limit: KvLimit = FRESH_LOADS_LIMIT,
) -> Forecast:
    """Return the forecast of a request at an engine.

    Args:
        load: Load of all instances at the engine.
        profile: The service's engine profile.
        uncached_tokens: Tokens of the request's prompt that the engine has to prefill.
        kv_tokens: Tokens that the request takes in the KV cache at its end.
        slots: Requests that the engine runs concurrently.
        kv_capacity_tokens: Tokens that fit into the engine's KV cache; 0 if unknown.
        kv_limit: How much of the KV cache running requests may take.
    """
    waiting_ms = profile.compute_prefill_ms(load.prefill_tokens)
    slot_wait_ms = SLOT_WAIT_RUNS * profile.run_ms / max(1, slots)
    waiting_ms += slot_wait_ms * max(0, load.requests + 1 - slots)
    kv_limit_tokens = kv_limit.share * kv_capacity_tokens
    lacks_memory = bool(kv_capacity_tokens) and load.kv_tokens + kv_tokens > kv_limit_tokens
    if lacks_memory:
        waiting_ms += kv_limit.wait_ms
    return Forecast(
        start_ms=profile.first_event_ms,
        waiting_ms=waiting_ms,
        prefill_ms=profile.compute_prefill_ms(uncached_tokens),
        lacks_memory=lacks_memory,
    )
