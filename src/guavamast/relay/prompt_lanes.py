"""Keeps prompts of unlike length apart, so that short ones don't wait behind long ones."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.engine_profile import EngineProfile

LANE_READING_SHARES: Final = (1 / 12, 1 / 4)
"""Share of the shortest objective; prompts that take an engine so much and more to read belong to
the next lane."""
PATIENT_OBJECTIVES: Final = 3.3
"""Factor on the shortest objective; prompts that are due sooner never belong to the last lane,
where they would wait behind prompts that have more time."""
LANES: Final = len(LANE_READING_SHARES) + 1
LANE_ROOM: Final = (1.5, 1.3, 1.0)
"""Factor on each lane's work for its room: the shorter the prompts, the sooner they are due."""
DEMAND_HALF_LIFE_S: Final = 4.0
"""Seconds in which half of the demand seen is forgotten: bursts last some seconds."""
TOKEN_SHARE: Final = 1 / 20
"""Share of the time of a generated token that counts as its engine's: a busy engine makes one for
many requests in each step."""
LANE_KEY: Final = "prompt lanes"


@dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Engine milliseconds asked for lately in each lane, older ones weighing less."""

    work_ms: tuple[float, ...]


NO_DEMAND: Final = Demand(work_ms=(0.0,) * LANES)
"""Engine milliseconds where nothing is asked for or told."""


class PromptDemand:
    """Work in each lane that all instances have seen lately.

    All instances sum up the same figures, so their lanes agree but for the delay of a beat.
    """

    __slots__ = ("_own", "_peers", "_updated")

    def __init__(self) -> None:
        self._own = [0.0] * LANES
        self._updated: float | None = None
        self._peers: dict[str, Demand] = {}

    def record(
        self,
        lane: int,
        *,
        prompt_tokens: int,
        output_tokens: int,
        profile: EngineProfile,
        now: float,
    ) -> None:
        """Count a request to a model engine in its lane."""
        self._fade(now)
        work_ms = profile.compute_reading_ms(prompt_tokens)
        self._own[lane] += work_ms + TOKEN_SHARE * profile.token_ms * output_tokens

    def read_own(self, *, now: float) -> Demand:
        """Return what this instance has seen."""
        self._fade(now)
        return Demand(work_ms=tuple(self._own))

    def take_peer(self, instance: str, demand: Demand) -> None:
        """Replace what another instance has told."""
        self._peers[instance] = demand

    def keep_peers(self, instances: set[str]) -> None:
        """Forget instances that are gone."""
        self._peers = {key: value for key, value in self._peers.items() if key in instances}

    def compute_shares(self) -> tuple[float, ...]:
        """Return the share of the engines that each lane should have; they sum up to 1."""
        sums = list(self._own)
        for demand in self._peers.values():
            sums = [total + work for total, work in zip(sums, demand.work_ms, strict=True)]
        weighted = [work * room for work, room in zip(sums, LANE_ROOM, strict=True)]
        total = sum(weighted)
        if total <= 0.0:
            return (1.0 / LANES,) * LANES
        return tuple(weight / total for weight in weighted)

    def _fade(self, now: float) -> None:
        if self._updated is not None:
            factor = 0.5 ** (max(0.0, now - self._updated) / DEMAND_HALF_LIFE_S)
            self._own = [work * factor for work in self._own]
        self._updated = now


def is_patient(objective_s: float, *, shortest_s: float) -> bool:
    """Return whether a request has far more time than the most urgent of its service.

    Args:
        objective_s: Time in which its first event is due.
        shortest_s: The shortest such time of all routes to its service.
    """
    return objective_s >= PATIENT_OBJECTIVES * shortest_s


def find_lane(
    prompt_tokens: int, *, objective_s: float, shortest_s: float, profile: EngineProfile
) -> int:
    """Return the lane of a prompt, 0 for the shortest.

    Args:
        prompt_tokens: Its length.
        objective_s: Time in which its first event is due.
        shortest_s: The shortest such time of all routes to its service.
        profile: How fast the engines read.
    """
    reading_ms = profile.compute_reading_ms(prompt_tokens)
    bounds_ms = [share * shortest_s * 1000.0 for share in LANE_READING_SHARES]
    lane = bisect_right(bounds_ms, reading_ms)
    return lane if is_patient(objective_s, shortest_s=shortest_s) else min(lane, LANES - 2)


def assign_lanes(candidates: list[EndpointRecord], shares: tuple[float, ...]) -> dict[str, int]:
    """Return the lane of each engine.

    All instances rank the engines alike and cut the ranking at the cumulated shares, so that lanes
    of instances whose shares differ a little differ by an engine at a border.

    Args:
        candidates: The engines of one service.
        shares: Share of the engines for each lane.
    """
    ids = sorted(
        (record.endpoint_id for record in candidates),
        key=lambda endpoint_id: compute_weight(LANE_KEY, endpoint_id),
    )
    lanes = {}
    cumulated = 0.0
    first = 0
    for lane, share in enumerate(shares):
        cumulated += share
        last = len(ids) if lane == LANES - 1 else min(len(ids), round(len(ids) * cumulated))
        for endpoint_id in ids[first:last]:
            lanes[endpoint_id] = lane
        first = max(first, last)
    return lanes
