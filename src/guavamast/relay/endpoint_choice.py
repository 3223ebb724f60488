"""Which endpoint gets a request: where its prompt is cached, against load and recent failures."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.disturbance import estimate_disturbed_share
from guavamast.relay.engine_model import Forecast, estimate_late_share, forecast
from guavamast.relay.prompt_lanes import assign_lanes
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from guavamast.relay.endpoint_load import EndpointLoads, Load
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_profile import EngineProfile
    from guavamast.relay.messages import PromptPart
    from guavamast.relay.prompt_cache import PromptCache

REREAD_WEIGHT: Final = 4.5
"""Weight of reading a shared part again beyond the time that it takes: it is also paid for, and it
pushes other parts out of the cache."""
HOME_MS: Final = 8.0
"""Weight of the engine that all instances would choose for a part that none has read yet, so that
requests that come at the same time at several instances meet there."""
DELAYED_ALWAYS: Final = 2.0
"""Requests of a lane of shorter prompts that come while one longer prompt is read there."""
DELAYED_RUNNING: Final = 0.25
"""Share of the requests that run there which a longer prompt delays beyond their pauses."""
LONGER_LANE_COST_MS: Final = 60.0
"""Weight of each lane beyond its own for a shorter prompt: a long one may come before it."""
RUNNING_COST_MS: Final = 2.5
"""Delay that each request at an engine adds to a new one: a longer step for each token."""
FULL_COST_MS: Final = 150.0
"""Wait for each call beyond the slots of a plain endpoint: more than the work of a usual call."""
FAILURE_COST_MS: Final = 400.0
"""Weight of one recent failure, above the greatest gain of a cached prompt."""
LATE_COST_MS: Final = 400.0
"""Weight of one answer that becomes late, as much as that of a failure."""
OTHER_DOMAIN_COST_MS: Final = 2.0
"""A round trip between failure domains and the price of the bytes."""
PLAIN_SLOT_COST_MS: Final = 60.0
"""Weight of a fully taken plain endpoint: about the work of one call."""
SAMPLED_ENGINES: Final = 4
"""Engines that are compared beside those that have a part of the prompt, when loads are told late:
with few, two instances seldom look at the same ones; with more, all would choose the same again."""
JITTER_MS: Final = 1.0
"""Spreads choices among equal endpoints."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The facts of one request that matter for its place."""

    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    failure_domain: str
    """Of the instance that sends."""
    lane: int
    """Which engines are meant for its prompt."""
    lane_shares: tuple[float, ...]
    """Share of the engines that each lane of prompts should have."""
    output_tokens: int
    """Most tokens that the answer may have."""
    memory_tokens: int
    """Tokens that fit into an engine's memory; 0 for plain services."""
    profile: EngineProfile
    """How fast the service's engines are; of no account for plain services."""
    objective_s: float = float("inf")
    """Time in which the first event is due."""
    delicate: bool = False
    """Whether long prompts that are read beside it would make it late."""
    shortest_pause_s: float = float("inf")
    """The longest pause that the most delicate streams of its service may have."""
    loads_late: bool = False
    """Whether other instances' work is told too late to be compared at all endpoints."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.shared_parts)


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint for a request, and what it would meet there."""

    record: EndpointRecord
    forecast: Forecast | None
    """None for plain services."""
    unread_tokens: int
    """Tokens of its prompt that the endpoint has to read."""
    own_lane: bool = True
    """Whether the endpoint is meant for prompts like it."""


class EndpointChooser:
    """Chooses endpoints by what is known of their load, failures and memory.

    Args:
        loads: Load and failures.
        cache: Parts of prompts in the engines' memory.
        random: Source of the spread among equals.
    """

    __slots__ = ("_cache", "_loads", "_random")

    def __init__(self, *, loads: EndpointLoads, cache: PromptCache, random: Random) -> None:
        self._loads = loads
        self._cache = cache
        self._random = random

    def choose(
        self,
        placement: Placement,
        candidates: list[EndpointRecord],
        *,
        exclude: AbstractSet[str],
        now: float,
    ) -> Choice | None:
        """Return the candidate with the least cost; None when there is none.

        Args:
            placement: The request.
            candidates: Endpoints that may get it.
            exclude: Ids of endpoints that had it before.
            now: The present time.
        """
        lanes: dict[str, int] = {}
        if placement.prompt_tokens > 0:
            lanes = assign_lanes(candidates, placement.lane_shares)
        others = [record for record in candidates if record.endpoint_id not in exclude]
        home = _find_home(placement, others, lanes)
        if placement.loads_late:
            others = self._sample(placement, others, lanes, home)
        best: Choice | None = None
        least = float("inf")
        for record in others:
            load = self._loads.sum_up(record.endpoint_id)
            unread = placement.prompt_tokens - self._count_cached(placement, record)
            expected = _forecast(placement, record, load, unread)
            cost = self._estimate_cost(placement, record, load, expected, unread, now=now)
            lane = lanes.get(record.endpoint_id)
            if lane is not None:
                cost += _weigh_lane(placement, load, lane)
                cost += _weigh_disturbance(placement, load, lane, unread)
            cost += self._random.random() * JITTER_MS
            cost -= HOME_MS * (record.endpoint_id == home)
            if cost < least:
                own_lane = lane is None or lane == placement.lane
                best = Choice(
                    record=record, forecast=expected, unread_tokens=unread, own_lane=own_lane
                )
                least = cost
        return best

    def _sample(
        self,
        placement: Placement,
        records: list[EndpointRecord],
        lanes: dict[str, int],
        home: str | None,
    ) -> list[EndpointRecord]:
        """Return the endpoints that one request compares when loads are told late.

        Failure: loads are half a second old, all instances see the same idle engine, each sends it
        its next request, and the first events there come seconds late while others idle. Chosen
        among a few at random, the requests spread although nobody knows the present loads.
        """
        if len(records) <= SAMPLED_ENGINES:
            return records
        own_lane = [one for one in records if lanes.get(one.endpoint_id) == placement.lane]
        pool = own_lane or records
        number = min(SAMPLED_ENGINES, max(1, len(pool) // 2))
        sampled = {one.endpoint_id for one in self._random.sample(pool, number)}
        return [
            one
            for one in records
            if one.endpoint_id in sampled
            or one.endpoint_id == home
            or self._count_cached(placement, one) > 0
        ]

    def _count_cached(self, placement: Placement, record: EndpointRecord) -> int:
        return self._cache.count_cached(
            record.endpoint_id, placement.shared_parts, memory_tokens=placement.memory_tokens
        )

    def _estimate_cost(
        self,
        placement: Placement,
        record: EndpointRecord,
        load: Load,
        expected: Forecast | None,
        unread_tokens: int,
        *,
        now: float,
    ) -> float:
        """Return the delay in milliseconds that the request would meet, with prices as delays."""
        cost = FAILURE_COST_MS * self._loads.read_failures(record.endpoint_id, now=now)
        if record.failure_domain != placement.failure_domain:
            cost += OTHER_DOMAIN_COST_MS
        if expected is None:
            cost += FULL_COST_MS * max(0, load.requests + 1 - record.slots)
            return cost + PLAIN_SLOT_COST_MS * load.requests / max(1, record.slots)
        cached = placement.prompt_tokens - unread_tokens
        reread = placement.shared_tokens - cached
        cost += REREAD_WEIGHT * placement.profile.compute_reading_ms(reread)
        late_share = estimate_late_share(
            expected.first_event_ms, due_ms=placement.objective_s * 1e3
        )
        cost += LATE_COST_MS * late_share
        return cost + expected.first_event_ms + RUNNING_COST_MS * load.requests


def _forecast(
    placement: Placement, record: EndpointRecord, load: Load, unread_tokens: int
) -> Forecast | None:
    """Return what a prompt would meet at an engine; None for calls of plain services."""
    if placement.prompt_tokens == 0:
        return None
    return forecast(
        load,
        placement.profile,
        unread_tokens=unread_tokens,
        needed_tokens=placement.prompt_tokens + placement.output_tokens,
        slots=record.slots,
        memory_tokens=placement.memory_tokens,
        loads_late=placement.loads_late,
    )


def _weigh_lane(placement: Placement, load: Load, lane: int) -> float:
    """Return the milliseconds that count against an engine of another lane than the prompt's.

    A long prompt among short ones makes those wait that run or come there, the more the busier the
    engine is; while it is idle, a long prompt is better off there than in a queue.
    """
    if lane >= placement.lane:
        return LONGER_LANE_COST_MS * (lane - placement.lane)
    delayed = DELAYED_ALWAYS + DELAYED_RUNNING * load.requests
    return delayed * placement.profile.compute_reading_ms(placement.prompt_tokens)


def _weigh_disturbance(placement: Placement, load: Load, lane: int, unread_tokens: int) -> float:
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


def _find_home(
    placement: Placement, candidates: list[EndpointRecord], lanes: dict[str, int]
) -> str | None:
    """Return the engine for a part that none has read; the same on all instances."""
    if not placement.shared_parts or not candidates:
        return None
    key = placement.shared_parts[-1].part_id
    own_lane = [record for record in candidates if lanes.get(record.endpoint_id) == placement.lane]
    best = max(own_lane or candidates, key=lambda record: compute_weight(key, record.endpoint_id))
    return best.endpoint_id
