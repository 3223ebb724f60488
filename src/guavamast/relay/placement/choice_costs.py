"""Costs of an endpoint for one request, in milliseconds of delay.

Prices and the delay of other requests are converted to milliseconds too, so that costs add up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.placement.engine_forecast import estimate_late_share
from guavamast.relay.placement.prefill_interference import estimate_delayed_share

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement.engine_forecast import Forecast
    from guavamast.relay.placement.engine_profile import EngineProfile
    from guavamast.relay.placement.placement import Placement

RECOMPUTE_WEIGHT: Final = 4.5
"""Factor on the time to prefill a shared part again: it is also paid for, and it evicts other parts
from the cache."""
AFFINITY_DISCOUNT_MS: Final = 8.0
"""Milliseconds of discount for the affinity endpoint of a prompt part that no engine has cached, so
that all instances send concurrent requests with that part to one engine."""
AFFINITY_HIT_SHARE: Final = 0.7
"""Share of prompt parts that their affinity endpoint is assumed to have, without any report of it,
when load updates are late."""
DELAYED_ARRIVALS: Final = 2.0
"""Requests that arrive at an engine of a shorter bucket during the prefill of one longer prompt."""
DELAYED_RUNNING_SHARE: Final = 0.25
"""Share of the requests running there that a longer prompt delays beyond their allowed pauses."""
LONGER_BUCKET_COST_MS: Final = 60.0
"""Milliseconds for each bucket by which an engine's exceeds the prompt's: a long prompt may be
queued before it."""
RUNNING_COST_MS: Final = 2.5
"""Milliseconds that each request at an engine adds to a new one: each decoding step takes
longer."""
EXCESS_CALL_COST_MS: Final = 150.0
"""Milliseconds for each call beyond the slots of a plain endpoint: more than a usual call takes."""
FAILURE_COST_MS: Final = 400.0
"""Milliseconds for one recent failure: above the largest gain from a cached prompt."""
LATE_COST_MS: Final = 400.0
"""Milliseconds for one answer that becomes late: as much as for a failure, and more than the cost
of an engine without the prompt's parts."""
NO_ROOM_COST_MS: Final = 1_000_000.0
"""Milliseconds for an engine that would reject the request: above the sum of all other costs."""
OTHER_DOMAIN_COST_MS: Final = 1.0
"""Milliseconds for an endpoint in another failure domain: about a round trip."""
OTHER_DOMAIN_KILOBYTE_COST_MS: Final = 2.0
"""Milliseconds for each kilobyte between failure domains, about what a narrow link takes for it."""
PLAIN_SLOT_COST_MS: Final = 60.0
"""Milliseconds for a plain endpoint whose slots are all in use: about the duration of one call."""


def compute_link_cost(placement: Placement, record: EndpointRecord) -> float:
    """Return the cost of the network path to an endpoint."""
    if record.failure_domain == placement.failure_domain:
        return 0.0
    kilobytes = placement.transfer_bytes / 1024
    return OTHER_DOMAIN_COST_MS + OTHER_DOMAIN_KILOBYTE_COST_MS * kilobytes


def compute_failure_cost(failures: float) -> float:
    """Return the cost of an endpoint's recent failures."""
    return FAILURE_COST_MS * failures


def compute_plain_load_cost(record: EndpointRecord, load: Load) -> float:
    """Return the cost of the calls that a plain endpoint has in progress."""
    over = max(0, load.requests + 1 - record.slots)
    return EXCESS_CALL_COST_MS * over + PLAIN_SLOT_COST_MS * load.requests / max(1, record.slots)


def compute_engine_cost(
    placement: Placement,
    profile: EngineProfile,
    load: Load,
    expected: Forecast,
    uncached_tokens: int,
    *,
    speed: float,
) -> float:
    """Return the cost of an engine's load and of prefilling shared parts that it hasn't cached."""
    cached = placement.prompt_tokens - uncached_tokens
    recomputed_tokens = placement.shared_tokens - cached
    cost = RECOMPUTE_WEIGHT * profile.compute_prefill_ms(recomputed_tokens)
    late_share = estimate_late_share(expected.first_event_ms, due_ms=placement.objective_s * 1e3)
    cost += LATE_COST_MS * late_share
    return cost + expected.first_event_ms + RUNNING_COST_MS * load.requests / speed


def compute_bucket_cost(
    placement: Placement, profile: EngineProfile, load: Load, bucket: int
) -> float:
    """Return the cost of an engine of another length bucket than the prompt's.

    A long prompt delays the short ones that run or arrive at the engine, the more the busier it is.
    At an idle engine, a long prompt costs less than in a queue.
    """
    if bucket >= placement.bucket:
        return LONGER_BUCKET_COST_MS * (bucket - placement.bucket)
    delayed = DELAYED_ARRIVALS + DELAYED_RUNNING_SHARE * load.requests
    return delayed * profile.compute_prefill_ms(placement.prompt_tokens)


def compute_interference_cost(
    placement: Placement, profile: EngineProfile, load: Load, bucket: int, uncached_tokens: int
) -> float:
    """Return the cost of streams whose pauses would become too long.

    For a pause-sensitive request that is its own stream, delayed by the engine's present and later
    prefills; for any other, the pause-sensitive streams at the engine, delayed by its own prefill.
    """
    compute_prefill_ms = profile.compute_prefill_ms
    pause_s = placement.shortest_pause_s
    if placement.pause_sensitive:
        if bucket > placement.bucket:
            return LATE_COST_MS
        prefill_ms = compute_prefill_ms(load.prefill_tokens)
        return LATE_COST_MS * estimate_delayed_share(prefill_ms, pause_s=pause_s)
    if load.pause_sensitive == 0:
        return 0.0
    late_share = estimate_delayed_share(compute_prefill_ms(uncached_tokens), pause_s=pause_s)
    return LATE_COST_MS * load.pause_sensitive * late_share


def compute_affinity_discount(placement: Placement, uncached_tokens: int) -> float:
    """Return the discount for the affinity endpoint of a prompt.

    Failure: many instances learn late what others have sent, each sends the same new part to
    another engine, and a quarter of all prefill is of parts that some engine has cached. The
    affinity endpoint has probably received the part already, so the discount for tokens not known
    to be there is weighted by that probability.
    """
    if not placement.loads_stale:
        return AFFINITY_DISCOUNT_MS
    cached_tokens = placement.prompt_tokens - uncached_tokens
    missing_tokens = max(0, placement.shared_tokens - cached_tokens)
    recompute_ms = RECOMPUTE_WEIGHT * placement.profile.compute_prefill_ms(missing_tokens)
    return AFFINITY_DISCOUNT_MS + AFFINITY_HIT_SHARE * recompute_ms
