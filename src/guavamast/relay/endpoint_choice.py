"""Which endpoint gets a request: where its prompt is cached, against load and recent failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import PromptPart

PREFILL_TOKENS_PER_MS: Final = 90.0
"""Prompt tokens that a model engine reads in a millisecond, by the deployment's data sheet."""
REREAD_WEIGHT: Final = 3.0
"""Weight of reading a shared part again against the time it takes: it is also paid for, and it
pushes other parts out of the cache."""
RUNNING_COST_MS: Final = 2.5
"""Delay that each request at an engine adds to a new one: a longer step for each token."""
FULL_COST_MS: Final = 150.0
"""Wait for each request beyond the slots: about the time in which one slot falls free."""
FAILURE_COST_MS: Final = 400.0
"""Weight of one recent failure, above the greatest gain of a cached prompt."""
OTHER_DOMAIN_COST_MS: Final = 2.0
"""A round trip between failure domains and the price of the bytes."""
PLAIN_SLOT_COST_MS: Final = 60.0
"""Weight of a fully taken plain endpoint: about the work of one call."""
JITTER_MS: Final = 1.0
"""Spreads choices among equal endpoints."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The facts of one request that matter for its place."""

    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    failure_domain: str
    """Of the instance that sends."""

    @property
    def cache_key(self) -> str | None:
        """The longest part that other requests share; None when there is none."""
        return self.prompt_parts[-2].part_id if len(self.prompt_parts) > 1 else None

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.prompt_parts[:-1])


def choose_endpoint(
    placement: Placement,
    candidates: list[EndpointRecord],
    *,
    loads: EndpointLoads,
    exclude: AbstractSet[str],
    random: Random,
    now: float,
) -> EndpointRecord | None:
    """Return the candidate with the least cost.

    Args:
        placement: The request.
        candidates: Endpoints that may get it.
        loads: Their load and failures.
        exclude: Ids of endpoints that had it before; used again only if there is no other.
        random: Source of the spread among equals.
        now: The present time.

    Returns:
        The endpoint, or None when there is no candidate.
    """
    others = [record for record in candidates if record.endpoint_id not in exclude]
    if not others:
        return None
    home = _find_home(placement.cache_key, others)
    best: EndpointRecord | None = None
    least = float("inf")
    for record in others:
        cost = _estimate_cost(placement, record, home=home, loads=loads, now=now)
        cost += random.random() * JITTER_MS
        if cost < least:
            best, least = record, cost
    return best


def _find_home(key: str | None, candidates: list[EndpointRecord]) -> str | None:
    """Return the endpoint that keeps a shared part; the same on all instances."""
    if key is None:
        return None
    best = max(candidates, key=lambda record: compute_weight(key, record.endpoint_id))
    return best.endpoint_id


def _estimate_cost(
    placement: Placement,
    record: EndpointRecord,
    *,
    home: str | None,
    loads: EndpointLoads,
    now: float,
) -> float:
    """Return the delay in milliseconds that the request would meet, with prices as delays."""
    load = loads.sum_up(record.endpoint_id)
    cost = FAILURE_COST_MS * loads.read_failures(record.endpoint_id, now=now)
    if record.failure_domain != placement.failure_domain:
        cost += OTHER_DOMAIN_COST_MS
    cost += FULL_COST_MS * max(0, load.requests + 1 - record.slots)
    if placement.prompt_tokens == 0:
        return cost + PLAIN_SLOT_COST_MS * load.requests / max(1, record.slots)
    cost += load.prefill_tokens / PREFILL_TOKENS_PER_MS
    cost += RUNNING_COST_MS * load.requests
    if record.endpoint_id != home:
        cost += REREAD_WEIGHT * placement.shared_tokens / PREFILL_TOKENS_PER_MS
    return cost
