"""Choice of the endpoint for a request by prompt cache, load and recent failures."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import Load
from guavamast.relay.placement.choice_costs import (
    NO_ROOM_COST_MS,
    compute_affinity_discount,
    compute_bucket_cost,
    compute_engine_cost,
    compute_failure_cost,
    compute_interference_cost,
    compute_link_cost,
    compute_plain_load_cost,
)
from guavamast.relay.placement.engine_forecast import Forecast, forecast
from guavamast.relay.placement.length_buckets import assign_buckets
from guavamast.relay.placement.stale_loads import blend_loads
from guavamast.relay.sharing import compute_work_ms
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet
    from random import Random

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement.admission_control import AdmissionTerms, RoomSurvey
    from guavamast.relay.placement.endpoint_speeds import EndpointSpeeds
    from guavamast.relay.placement.engine_profile import EngineProfile
    from guavamast.relay.placement.placement import Placement
    from guavamast.relay.placement.prompt_cache import PromptCache

SAMPLED_ENGINES: Final = 4
"""Engines that are compared, besides those that have a part of the prompt, when load updates are
late: with few, two instances seldom compare the same ones."""
SAMPLED_OTHERS: Final = 2
"""Engines of other length buckets that are compared as well, in case the prompt's own is full."""
FAILING: Final = 1.0
"""Failures from which on, while recent, an engine does not count as one with room."""
JITTER_MS: Final = 1.0
"""Milliseconds of the largest random part of a cost, which spreads choices among equal endpoints:
below any real difference in cost."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Choice:
    """The endpoint for a request, with the request's forecast there."""

    record: EndpointRecord
    forecast: Forecast | None
    """None for plain services."""
    uncached_tokens: int
    """Tokens of its prompt that the endpoint has to prefill."""
    own_bucket: bool = True
    """Whether the endpoint belongs to the prompt's length bucket."""
    load: Load = field(default_factory=Load)
    """Work at the endpoint before this request, as known when it was chosen."""
    survey: RoomSurvey | None = None
    """Where there was room for the request; None if it can't be rejected."""
    speed: float = 1.0
    """Speed of the endpoint that the forecast is based on."""

    def compute_work_ms(self, placement: Placement) -> float:
        """Return the engine milliseconds that the request takes there."""
        return compute_work_ms(
            placement.profile.scale(self.speed),
            uncached_tokens=self.uncached_tokens,
            output_tokens=placement.output_tokens,
            slots=self.record.slots,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """An endpoint considered for one request."""

    record: EndpointRecord
    load: Load
    uncached_tokens: int
    expected: Forecast | None
    """None for plain services."""
    bucket: int | None
    """The endpoint's length bucket; None for plain services."""
    profile: EngineProfile
    """The service's profile at the endpoint's speed."""
    speed: float

    def build_choice(self, placement: Placement, survey: RoomSurvey | None) -> Choice:
        """Return the choice of this endpoint."""
        return Choice(
            record=self.record,
            forecast=self.expected,
            uncached_tokens=self.uncached_tokens,
            own_bucket=self.bucket is None or self.bucket == placement.bucket,
            load=self.load,
            survey=survey,
            speed=self.speed,
        )


class EndpointChooser:
    """Selection of endpoints by their load, failures and cached prompts.

    Args:
        loads: Load and failures of the endpoints.
        cache: Prompt parts in the engines' KV caches.
        random: Source of the jitter among equal endpoints.
        speeds: Speeds of the engines; None if all count as equally fast.
    """

    __slots__ = ("_cache", "_loads", "_random", "_speeds")

    def __init__(
        self,
        *,
        loads: EndpointLoads,
        cache: PromptCache,
        random: Random,
        speeds: EndpointSpeeds | None = None,
    ) -> None:
        self._loads = loads
        self._cache = cache
        self._random = random
        self._speeds = speeds

    def choose(
        self,
        placement: Placement,
        candidates: list[EndpointRecord],
        *,
        exclude: AbstractSet[str],
        now: float,
        terms: AdmissionTerms | None = None,
        needs_room: bool = False,
    ) -> Choice | None:
        """Return the candidate with the least cost; None when there is none.

        Failure: an urgent request is rejected at the engine with the least cost, whose slots are
        full, although a more expensive engine would have started it in time.

        Args:
            placement: The request.
            candidates: Endpoints that may get it.
            exclude: Ids of endpoints that have already been tried.
            now: The present time.
            terms: On which the request is admitted; None if it can't be rejected.
            needs_room: Whether candidates that have no room for it rank last.
        """
        buckets: dict[str, int] = {}
        if placement.prompt_tokens > 0:
            buckets = assign_buckets(
                candidates, placement.bucket_shares, speeds=self._list_speeds(candidates)
            )
        others = [record for record in candidates if record.endpoint_id not in exclude]
        affinity_endpoint = _find_affinity_endpoint(placement, others, buckets)
        compared = others
        if placement.loads_stale:
            compared = self._sample(placement, others, buckets, affinity_endpoint)
        if placement.loads_stale and buckets:
            # The mean load of a bucket covers all its engines, not only those compared.
            loads = blend_loads(self._sum_loads(others), buckets)
        else:
            loads = self._sum_loads(compared)
        described = [
            self._describe_candidate(placement, record, loads, buckets) for record in compared
        ]
        survey = self._survey(described, terms, now=now)
        best: Choice | None = None
        least_cost = float("inf")
        for candidate in described:
            cost = self._estimate_cost(placement, candidate, now=now)
            if candidate.record.endpoint_id == affinity_endpoint:
                cost -= compute_affinity_discount(placement, candidate.uncached_tokens)
            if needs_room and survey and candidate.expected:
                cost += NO_ROOM_COST_MS * (not survey.has_room(candidate.expected))
            if cost < least_cost:
                best = candidate.build_choice(placement, survey)
                least_cost = cost
        return best

    def _find_speed(self, record: EndpointRecord) -> float:
        return 1.0 if self._speeds is None else self._speeds.find(record.endpoint_id).factor

    def _list_speeds(self, records: list[EndpointRecord]) -> dict[str, float]:
        """Return the speeds of the engines; empty if all are equally fast."""
        if self._speeds is None:
            return {}
        speeds = {record.endpoint_id: self._find_speed(record) for record in records}
        return speeds if any(speed != 1.0 for speed in speeds.values()) else {}

    def _survey(
        self, candidates: list[_Candidate], terms: AdmissionTerms | None, *, now: float
    ) -> RoomSurvey | None:
        """Return where there is room; engines that fail are left out, as they serve nobody."""
        if terms is None:
            return None
        return terms.survey(
            one.expected.waiting_ms
            for one in candidates
            if one.expected is not None
            and self._loads.read_failures(one.record.endpoint_id, now=now) < FAILING
        )

    def _sum_loads(self, records: list[EndpointRecord]) -> dict[str, Load]:
        return {one.endpoint_id: self._loads.sum_up(one.endpoint_id) for one in records}

    def _describe_candidate(
        self,
        placement: Placement,
        record: EndpointRecord,
        loads: dict[str, Load],
        buckets: dict[str, int],
    ) -> _Candidate:
        load = loads[record.endpoint_id]
        uncached_tokens = placement.prompt_tokens - self._count_cached(placement, record)
        speed = self._find_speed(record)
        profile = placement.profile.scale(speed)
        return _Candidate(
            record=record,
            load=load,
            uncached_tokens=uncached_tokens,
            expected=_forecast(placement, profile, record, load, uncached_tokens),
            bucket=buckets.get(record.endpoint_id),
            profile=profile,
            speed=speed,
        )

    def _estimate_cost(self, placement: Placement, candidate: _Candidate, *, now: float) -> float:
        """Return the request's delay in milliseconds at an endpoint, with other costs as delays."""
        record, load, profile = candidate.record, candidate.load, candidate.profile
        cost = compute_failure_cost(self._loads.read_failures(record.endpoint_id, now=now))
        cost += compute_link_cost(placement, record)
        cost += self._random.random() * JITTER_MS
        if candidate.expected is None or candidate.bucket is None:
            return cost + compute_plain_load_cost(record, load)
        cost += compute_engine_cost(
            placement,
            profile,
            load,
            candidate.expected,
            candidate.uncached_tokens,
            speed=candidate.speed,
        )
        cost += compute_bucket_cost(placement, profile, load, candidate.bucket)
        return cost + compute_interference_cost(
            placement, profile, load, candidate.bucket, candidate.uncached_tokens
        )

    def _sample(
        self,
        placement: Placement,
        records: list[EndpointRecord],
        buckets: dict[str, int],
        affinity_endpoint: str | None,
    ) -> list[EndpointRecord]:
        """Return the endpoints that are compared for one request when load updates are late.

        Failure: loads are half a second old, all instances see the same idle engine and send it
        their next requests. The first events there come seconds late while other engines idle. A
        choice among a few random engines spreads the requests without knowledge of current loads.
        """
        if len(records) <= SAMPLED_ENGINES:
            return records
        # Plain endpoints have no buckets; all of them count as the prompt's own.
        bucket_by_id = {
            one.endpoint_id: buckets.get(one.endpoint_id, placement.bucket) for one in records
        }
        own_bucket = [one for one in records if bucket_by_id[one.endpoint_id] == placement.bucket]
        others = [one for one in records if bucket_by_id[one.endpoint_id] != placement.bucket]
        sampled = {
            one.endpoint_id
            for pool, most in ((own_bucket, SAMPLED_ENGINES), (others, SAMPLED_OTHERS))
            for one in self._random.sample(pool, min(most, (len(pool) + 1) // 2))
        }
        return [
            one
            for one in records
            if one.endpoint_id in sampled
            or one.endpoint_id == affinity_endpoint
            or self._count_cached(placement, one) > 0
        ]

    def _count_cached(self, placement: Placement, record: EndpointRecord) -> int:
        return self._cache.count_cached(
            record.endpoint_id,
            placement.shared_parts,
            kv_capacity_tokens=placement.kv_capacity_tokens,
        )


def _forecast(
    placement: Placement,
    profile: EngineProfile,
    record: EndpointRecord,
    load: Load,
    uncached_tokens: int,
) -> Forecast | None:
    """Return the forecast of a prompt at an engine; None for calls of plain services."""
    if placement.prompt_tokens == 0:
        return None
    return forecast(
        load,
        profile,
        uncached_tokens=uncached_tokens,
        kv_tokens=placement.prompt_tokens + placement.output_tokens,
        slots=record.slots,
        kv_capacity_tokens=placement.kv_capacity_tokens,
        kv_limit=placement.kv_limit,
    )


def _find_affinity_endpoint(
    placement: Placement, candidates: list[EndpointRecord], buckets: dict[str, int]
) -> str | None:
    """Return the affinity endpoint of the longest shared part; the same on all instances."""
    if not placement.shared_parts or not candidates:
        return None
    key = placement.shared_parts[-1].part_id
    own_bucket = [
        record for record in candidates if buckets.get(record.endpoint_id) == placement.bucket
    ]
    best = max(own_bucket or candidates, key=lambda record: compute_weight(key, record.endpoint_id))
    return best.endpoint_id
