"""Assignment of prompts and engines to length buckets.

Short prompts don't wait behind long ones, as each bucket has its own engines.
"""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement.engine_profile import EngineProfile

BUCKET_PREFILL_SHARES: Final = (1 / 12, 1 / 4)
"""Share of the shortest objective; prompts whose prefill takes at least this long belong to the
next length bucket."""
LATENCY_TOLERANT_FACTOR: Final = 3.3
"""Factor on the shortest objective; prompts that are due sooner never belong to the last length
bucket, where they would wait behind prompts that have more time."""
BUCKETS: Final = len(BUCKET_PREFILL_SHARES) + 1
BUCKET_CAPACITY_FACTORS: Final = (1.5, 1.3, 1.0)
"""Factor on each length bucket's work for its share of engines: shorter prompts are due sooner."""
DEMAND_HALF_LIFE_S: Final = 4.0
"""Seconds in which recorded demand decays by half: bursts last some seconds."""
TOKEN_TIME_SHARE: Final = 1 / 20
"""Share of the time per generated token that counts as engine time: a busy engine generates one for
many requests in each step."""
BUCKET_KEY: Final = "prompt lanes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Recent demand in engine milliseconds per length bucket, decayed by age."""

    work_ms: tuple[float, ...]


NO_DEMAND: Final = Demand(work_ms=(0.0,) * BUCKETS)
"""No demand in any length bucket."""


class PromptDemand:
    """Recent work per length bucket over all instances.

    All instances sum the same values, so their buckets agree but for the delay of a heartbeat.
    """

    __slots__ = ("_own", "_peers", "_updated")

    def __init__(self) -> None:
        self._own = [0.0] * BUCKETS
        self._updated: float | None = None
        self._peers: dict[str, Demand] = {}

    def record(
        self,
        bucket: int,
        *,
        prompt_tokens: int,
        output_tokens: int,
        profile: EngineProfile,
        now: float,
    ) -> None:
        """Add the work of a request to an engine to its length bucket."""
        self._decay(now)
        work_ms = profile.compute_prefill_ms(prompt_tokens)
        self._own[bucket] += work_ms + TOKEN_TIME_SHARE * profile.token_ms * output_tokens

    def read_own(self, *, now: float) -> Demand:
        """Return the demand that this instance has recorded."""
        self._decay(now)
        return Demand(work_ms=tuple(self._own))

    def replace_peer(self, instance: str, demand: Demand) -> None:
        """Replace the demand of another instance."""
        self._peers[instance] = demand

    def retain_peers(self, instances: set[str]) -> None:
        """Drop the demand of instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def compute_shares(self) -> tuple[float, ...]:
        """Return the share of the engines for each length bucket; the shares sum to 1."""
        sums = list(self._own)
        for demand in self._peers.values():
            sums = [total + work for total, work in zip(sums, demand.work_ms, strict=True)]
        weighted = [
            work * factor for work, factor in zip(sums, BUCKET_CAPACITY_FACTORS, strict=True)
        ]
        total = sum(weighted)
        if total <= 0.0:
            return (1.0 / BUCKETS,) * BUCKETS
        return tuple(weight / total for weight in weighted)

    def _decay(self, now: float) -> None:
        if self._updated is not None:
            factor = 0.5 ** (max(0.0, now - self._updated) / DEMAND_HALF_LIFE_S)
            self._own = [work * factor for work in self._own]
        self._updated = now


def is_latency_tolerant(objective_s: float, *, shortest_s: float) -> bool:
    """Return whether a request is latency-tolerant: far above its service's shortest objective.

    Args:
        objective_s: Time in which its first event is due.
        shortest_s: The shortest such time of all routes to its service.
    """
    return objective_s >= LATENCY_TOLERANT_FACTOR * shortest_s


def find_bucket(
    prompt_tokens: int, *, objective_s: float, shortest_s: float, profile: EngineProfile
) -> int:
    """Return the length bucket of a prompt, 0 for the shortest prompts.

    Args:
        prompt_tokens: Its length.
        objective_s: Time in which its first event is due.
        shortest_s: The shortest such time of all routes to its service.
        profile: The service's engine profile.
    """
    prefill_ms = profile.compute_prefill_ms(prompt_tokens)
    bounds_ms = [share * shortest_s * 1000.0 for share in BUCKET_PREFILL_SHARES]
    bucket = bisect_right(bounds_ms, prefill_ms)
    return (
        bucket
        if is_latency_tolerant(objective_s, shortest_s=shortest_s)
        else min(bucket, BUCKETS - 2)
    )


def assign_buckets(
    candidates: list[EndpointRecord],
    shares: tuple[float, ...],
    *,
    speeds: Mapping[str, float] | None = None,
) -> dict[str, int]:
    """Return the length bucket of each engine.

    All instances rank the engines alike and split the ranking at the cumulative shares, so that a
    small difference between two instances' shares moves one engine at a boundary.

    Engines that differ in speed are split by what they can do, not by their number. Each bucket has
    fast and slow ones, as its most urgent and its longest prompts need the fast ones.

    Args:
        candidates: The engines of one service.
        shares: Share of the engines for each length bucket.
        speeds: Speed of each engine; None or empty if all are equally fast.
    """
    ids = sorted(
        (record.endpoint_id for record in candidates),
        key=lambda endpoint_id: compute_weight(BUCKET_KEY, endpoint_id),
    )
    if speeds:
        return _split_by_speed(ids, shares, speeds)
    buckets = {}
    cumulated = 0.0
    start = 0
    for bucket, share in enumerate(shares):
        cumulated += share
        end = len(ids) if bucket == BUCKETS - 1 else min(len(ids), round(len(ids) * cumulated))
        for endpoint_id in ids[start:end]:
            buckets[endpoint_id] = bucket
        start = max(start, end)
    return buckets


def _split_by_speed(
    ids: list[str], shares: tuple[float, ...], speeds: Mapping[str, float]
) -> dict[str, int]:
    """Return the length bucket of each engine, so that their speeds add up to the shares."""
    bounds = [sum(shares[: bucket + 1]) for bucket in range(BUCKETS - 1)]
    total = sum(speeds[endpoint_id] for endpoint_id in ids)
    buckets = {}
    done = 0.0
    for endpoint_id in ids:
        middle = done + speeds[endpoint_id] / 2.0
        buckets[endpoint_id] = bisect_right(bounds, middle / total)
        done += speeds[endpoint_id]
    return buckets
