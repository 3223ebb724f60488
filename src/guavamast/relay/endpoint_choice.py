"""Which endpoint gets a request: where its prompt is cached, against load and recent failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.relay.choice_costs import (
    NO_ROOM_COST_MS,
    weigh_disturbance,
    weigh_engine,
    weigh_failures,
    weigh_home,
    weigh_lane,
    weigh_link,
    weigh_plain_load,
)
from guavamast.relay.endpoint_load import Load
from guavamast.relay.engine_model import Forecast, forecast
from guavamast.relay.late_loads import blend_loads
from guavamast.relay.prompt_lanes import assign_lanes
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet
    from random import Random

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement import Placement
    from guavamast.relay.prompt_cache import PromptCache

SAMPLED_ENGINES: Final = 4
"""Engines that are compared beside those that have a part of the prompt, when loads are told late:
with few, two instances seldom look at the same ones."""
SAMPLED_OTHERS: Final = 2
"""Engines of other lanes that are compared likewise, for when the own lane is full."""
JITTER_MS: Final = 1.0
"""Milliseconds of the greatest random part of a cost, to spread choices among equal endpoints:
below all that tells one from another."""


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
    load: Load = field(default_factory=Load)
    """Work that was there before it, as far as whoever chose knew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """One request at one endpoint, as far as that is known before the send."""

    record: EndpointRecord
    load: Load
    unread_tokens: int
    expected: Forecast | None
    """None for plain services."""
    lane: int | None
    """The endpoint's; None for plain services."""

    def make_choice(self, placement: Placement) -> Choice:
        """Return the choice of this endpoint."""
        return Choice(
            record=self.record,
            forecast=self.expected,
            unread_tokens=self.unread_tokens,
            own_lane=self.lane is None or self.lane == placement.lane,
            load=self.load,
        )


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
        has_room: Callable[[Forecast], bool] | None = None,
    ) -> Choice | None:
        """Return the candidate with the least cost; None when there is none.

        Failure: where an urgent request costs least, its slots are full; it is sent back from there
        while an engine that costs more would have begun it in time.

        Args:
            placement: The request.
            candidates: Endpoints that may get it.
            exclude: Ids of endpoints that had it before.
            now: The present time.
            has_room: Returns whether the request would be admitted with a forecast; if given,
                candidates that would not come last.
        """
        lanes: dict[str, int] = {}
        if placement.prompt_tokens > 0:
            lanes = assign_lanes(candidates, placement.lane_shares)
        others = [record for record in candidates if record.endpoint_id not in exclude]
        home = _find_home(placement, others, lanes)
        compared = others
        if placement.loads_late:
            compared = self._sample(placement, others, lanes, home)
        if placement.loads_late and lanes:
            # The mean of a lane is that of all its engines.
            loads = blend_loads(self._sum_up(others), lanes)
        else:
            loads = self._sum_up(compared)
        best: Choice | None = None
        least = float("inf")
        for record in compared:
            candidate = self._describe_candidate(placement, record, loads, lanes)
            cost = self._estimate_cost(placement, candidate, now=now)
            if record.endpoint_id == home:
                cost -= weigh_home(placement, candidate.unread_tokens)
            if has_room and candidate.expected and not has_room(candidate.expected):
                cost += NO_ROOM_COST_MS
            if cost < least:
                best = candidate.make_choice(placement)
                least = cost
        return best

    def _sum_up(self, records: list[EndpointRecord]) -> dict[str, Load]:
        return {one.endpoint_id: self._loads.sum_up(one.endpoint_id) for one in records}

    def _describe_candidate(
        self,
        placement: Placement,
        record: EndpointRecord,
        loads: dict[str, Load],
        lanes: dict[str, int],
    ) -> _Candidate:
        load = loads[record.endpoint_id]
        unread_tokens = placement.prompt_tokens - self._count_cached(placement, record)
        return _Candidate(
            record=record,
            load=load,
            unread_tokens=unread_tokens,
            expected=_forecast(placement, record, load, unread_tokens),
            lane=lanes.get(record.endpoint_id),
        )

    def _estimate_cost(self, placement: Placement, candidate: _Candidate, *, now: float) -> float:
        """Return the delay in milliseconds that the request would meet, with prices as delays."""
        record, load = candidate.record, candidate.load
        cost = weigh_failures(self._loads.read_failures(record.endpoint_id, now=now))
        cost += weigh_link(placement, record)
        cost += self._random.random() * JITTER_MS
        if candidate.expected is None or candidate.lane is None:
            return cost + weigh_plain_load(record, load)
        cost += weigh_engine(placement, load, candidate.expected, candidate.unread_tokens)
        cost += weigh_lane(placement, load, candidate.lane)
        return cost + weigh_disturbance(placement, load, candidate.lane, candidate.unread_tokens)

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
        # Plain endpoints have no lanes; all of them are alike.
        found = {one.endpoint_id: lanes.get(one.endpoint_id, placement.lane) for one in records}
        own_lane = [one for one in records if found[one.endpoint_id] == placement.lane]
        others = [one for one in records if found[one.endpoint_id] != placement.lane]
        sampled = {
            one.endpoint_id
            for pool, most in ((own_lane, SAMPLED_ENGINES), (others, SAMPLED_OTHERS))
            for one in self._random.sample(pool, min(most, (len(pool) + 1) // 2))
        }
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
        memory_limit=placement.memory_limit,
    )


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
