"""What counts against an endpoint for one request, in milliseconds of delay.

Prices and harm to others count as delays too, so that one sum decides.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.disturbance import estimate_disturbed_share
from guavamast.relay.engine_model import estimate_late_share

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_model import Forecast
    from guavamast.relay.placement import Placement

REREAD_WEIGHT: Final = 4.5
"""Factor on the time to read a shared part again: it is also paid for, and it pushes other parts
out of the cache."""
HOME_MS: Final = 8.0
"""Milliseconds for the engine that all instances would choose for a part that none has read yet, so
that requests that come at the same time meet there."""
HOME_TRUST: Final = 0.7
"""Share of parts that their home has when loads are told late and nothing is known of it."""
DELAYED_ALWAYS: Final = 2.0
"""Requests of a lane of shorter prompts that come while one longer prompt is read there."""
DELAYED_RUNNING: Final = 0.25
"""Share of the requests that run there which a longer prompt delays beyond their pauses."""
LONGER_LANE_COST_MS: Final = 60.0
"""Milliseconds for each lane beyond its own for a shorter prompt: a long one may come before it."""
RUNNING_COST_MS: Final = 2.5
"""Milliseconds that each request at an engine adds to a new one: each step takes longer."""
FULL_COST_MS: Final = 150.0
"""Milliseconds for each call beyond the slots of a plain endpoint: more than the work of a usual
call."""
FAILURE_COST_MS: Final = 400.0
"""Milliseconds for one recent failure: above the greatest gain of a cached prompt."""
LATE_COST_MS: Final = 400.0
"""Milliseconds for one answer that becomes late: as much as for a failure, and more than an engine
without the prompt's parts costs."""
NO_ROOM_COST_MS: Final = 1_000_000.0
"""Milliseconds for an engine from which a request would be sent back, beyond all other costs."""
OTHER_DOMAIN_COST_MS: Final = 2.0
"""Milliseconds for another failure domain: a round trip and the price of the bytes."""
PLAIN_SLOT_COST_MS: Final = 60.0
"""Milliseconds for a fully taken plain endpoint: about the work of one call."""


def weigh_link(placement: Placement, record: EndpointRecord) -> float:
    """Return what counts for the way to an endpoint."""
    return OTHER_DOMAIN_COST_MS * (record.failure_domain != placement.failure_domain)


def weigh_failures(failures: float) -> float:
    """Return what counts for the failures of an endpoint that are remembered."""
    return FAILURE_COST_MS * failures


def weigh_plain_load(record: EndpointRecord, load: Load) -> float:
    """Return what counts for the calls that a plain endpoint has."""
    over = max(0, load.requests + 1 - record.slots)
    return FULL_COST_MS * over + PLAIN_SLOT_COST_MS * load.requests / max(1, record.slots)


def weigh_engine(placement: Placement, load: Load, expected: Forecast, unread_tokens: int) -> float:
    """Return what counts for the work of an engine and for what it has to read again."""
    cached = placement.prompt_tokens - unread_tokens
    reread = placement.shared_tokens - cached
    cost = REREAD_WEIGHT * placement.profile.compute_reading_ms(reread)
    late_share = estimate_late_share(expected.first_event_ms, due_ms=placement.objective_s * 1e3)
    cost += LATE_COST_MS * late_share
    return cost + expected.first_event_ms + RUNNING_COST_MS * load.requests


def weigh_lane(placement: Placement, load: Load, lane: int) -> float:
    """Return the milliseconds that count against an engine of another lane than the prompt's.

    A long prompt among short ones makes those wait that run or come there, the more the busier the
    engine is; while it is idle, a long prompt is better off there than in a queue.
    """
    if lane >= placement.lane:
        return LONGER_LANE_COST_MS * (lane - placement.lane)
    delayed = DELAYED_ALWAYS + DELAYED_RUNNING * load.requests
    return delayed * placement.profile.compute_reading_ms(placement.prompt_tokens)


def weigh_disturbance(placement: Placement, load: Load, lane: int, unread_tokens: int) -> float:
    """Return the milliseconds that count for streams whose pauses would become too long.

    For a delicate request that is its own stream, by what its engine has to read and will be given
    to read; for any other the delicate ones that run at the engine, by the request's own prompt.
    """
    compute_reading_ms = placement.profile.compute_reading_ms
    pause_s = placement.shortest_pause_s
    if placement.delicate:
        if lane > placement.lane:
            return LATE_COST_MS
        reading_ms = compute_reading_ms(load.prefill_tokens)
        return LATE_COST_MS * estimate_disturbed_share(reading_ms, pause_s=pause_s)
    if load.delicate == 0:
        return 0.0
    late_share = estimate_disturbed_share(compute_reading_ms(unread_tokens), pause_s=pause_s)
    return LATE_COST_MS * load.delicate * late_share


def weigh_home(placement: Placement, unread_tokens: int) -> float:
    """Return the milliseconds that count for the engine that all would choose for a new part.

    Failure: many instances are told late what others have sent, each sends the same new part to
    another engine, and a quarter of all reading is of parts that some engine has. The home has
    probably been sent the part already, so what it has not is weighed by the chance of that.
    """
    if not placement.loads_late:
        return HOME_MS
    known = placement.prompt_tokens - unread_tokens
    unknown_tokens = max(0, placement.shared_tokens - known)
    reread_ms = REREAD_WEIGHT * placement.profile.compute_reading_ms(unknown_tokens)
    return HOME_MS + HOME_TRUST * reread_ms
