"""Fleets, scenarios and the simulated clock for the comparison of placement policies."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import Kind, Request, SimulatedEngine
from guavamast.relay.messages import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

DURATION_S: Final = 14.0
"""Time in which the requests of one run arrive."""
BURST_START_S: Final = 5.0
BURST_END_S: Final = 9.0
UNIQUE_LENGTH_LOGNORMAL: Final = (-0.5, 1.0)
"""Mean and standard deviation of the logarithm of a unique part's length over its mean length."""
MAX_UNIQUE_FACTOR: Final = 9.0
"""Longest unique part of a prompt, as a multiple of the mean."""
HOT_SHARE: Final = 0.3
"""Share of a kind's requests with the hot part while there is one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Instances, engines and the kinds of requests."""

    name: str
    instances: int
    domains: int
    engines: int
    slots: int
    prefill_tokens_per_ms: float
    token_ms: float
    event_tokens: int
    kv_capacity_tokens: int
    kinds: tuple[Kind, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetScenario:
    """Load and faults of a run."""

    name: str
    burst: float = 1.0
    """Factor on the rates of the bursting kinds between 5 and 9 s."""
    bursting_kinds: tuple[int, ...] = (0,)
    """Indices of the kinds that burst."""
    staggered: bool = False
    """Whether the kinds burst one after the other."""
    hot_part: bool = False
    """Whether one shared part of each kind is requested far more often from 5 s on."""
    killed_share: float = 0.0
    """Share of the instances that are down from 6 s to 8 s and restart with empty state."""
    restarted: bool = False
    """Whether all instances lose their state at 6 s."""
    schedulers_frozen_s: float = 0.0
    """Seconds for which a third of the schedulers do not respond, from 6 s on.

    Any value above 0 has the same effect: another instance takes a group over after 0.6 s.
    """
    loss_rate: float = 0.0
    """Share of datagrams that are lost."""
    measured_from_s: float = 3.0


DOSSIERS: Final = Kind(
    name="dossiers",
    per_s=54.4,
    shared_tokens=4_870,
    shared_parts=857,
    unique_tokens=6_610.0,
    output_tokens=384.0,
    objective_s=2.0,
    longest_pause_s=0.6,
)
REPLIES: Final = Kind(
    name="replies",
    per_s=52.6,
    shared_tokens=198,
    shared_parts=828,
    unique_tokens=628.0,
    output_tokens=288.0,
    objective_s=0.25,
    longest_pause_s=0.15,
)
CHECKS: Final = Kind(
    name="checks",
    per_s=122.0,
    shared_tokens=568,
    shared_parts=1_919,
    unique_tokens=1_800.0,
    output_tokens=24.0,
    objective_s=0.4,
    longest_pause_s=0.25,
)
DIGESTS: Final = Kind(
    name="digests",
    per_s=68.1,
    shared_tokens=6_300,
    shared_parts=500,
    unique_tokens=2_890.0,
    output_tokens=50.0,
    objective_s=0.635,
    longest_pause_s=0.25,
)
QUESTIONS: Final = Kind(
    name="questions",
    per_s=82.3,
    shared_tokens=198,
    shared_parts=500,
    unique_tokens=628.0,
    output_tokens=290.0,
    objective_s=0.265,
    longest_pause_s=0.15,
)


def _build_fast(name: str, *, instances: int, engines: int, share: float) -> Fleet:
    """Return a fleet whose engines have 12 slots, with a share of the kinds' request rates."""
    return Fleet(
        name=name,
        instances=instances,
        domains=6,
        engines=engines,
        slots=12,
        prefill_tokens_per_ms=92.1,
        token_ms=3.6,
        event_tokens=8,
        kv_capacity_tokens=431_000,
        kinds=tuple(_scale(kind, share) for kind in (DOSSIERS, REPLIES, CHECKS)),
    )


def _build_slow(name: str, *, instances: int, engines: int, share: float) -> Fleet:
    """Return a fleet whose engines have 32 slots and a KV cache that long prompts fill."""
    return Fleet(
        name=name,
        instances=instances,
        domains=4,
        engines=engines,
        slots=32,
        prefill_tokens_per_ms=40.8,
        token_ms=5.5,
        event_tokens=5,
        kv_capacity_tokens=305_000,
        kinds=tuple(_scale(kind, share) for kind in (DIGESTS, QUESTIONS)),
    )


def _scale(kind: Kind, share: float) -> Kind:
    return Kind(
        name=kind.name,
        per_s=kind.per_s * share,
        shared_tokens=kind.shared_tokens,
        shared_parts=max(1, int(kind.shared_parts * share)),
        unique_tokens=kind.unique_tokens,
        output_tokens=kind.output_tokens,
        objective_s=kind.objective_s,
        longest_pause_s=kind.longest_pause_s,
    )


FLEETS: Final = (
    _build_slow("slow 14", instances=14, engines=8, share=0.26),
    _build_slow("slow 32", instances=32, engines=15, share=0.5),
    _build_slow("slow 112", instances=112, engines=30, share=1.0),
    _build_fast("fast 32", instances=32, engines=10, share=1 / 6),
    _build_fast("fast 195", instances=195, engines=59, share=1.0),
    _build_fast("fast 350", instances=350, engines=106, share=1.8),
    Fleet(
        name="short 112",
        instances=112,
        domains=4,
        engines=12,
        slots=32,
        prefill_tokens_per_ms=40.8,
        token_ms=5.5,
        event_tokens=5,
        kv_capacity_tokens=305_000,
        kinds=(_scale(QUESTIONS, 2.0),),
    ),
)

SCENARIOS: Final = (
    FleetScenario(name="calm"),
    FleetScenario(name="burst 1.5", burst=1.5),
    FleetScenario(name="burst 2.5", burst=2.5),
    FleetScenario(name="burst 2.5 of short", burst=2.5, bursting_kinds=(-1,)),
    FleetScenario(name="two bursts in turn", burst=2.5, bursting_kinds=(0, -1), staggered=True),
    FleetScenario(name="hot part", hot_part=True, burst=1.3),
    FleetScenario(name="half killed", killed_share=0.5),
    FleetScenario(name="all restarted", restarted=True),
    FleetScenario(name="a third of placers frozen", schedulers_frozen_s=3.0),
    FleetScenario(name="3 in 100 lost", loss_rate=0.03),
)


class FleetSimulation:
    """Engines, simulated clock and scheduled actions of one run."""

    def __init__(self, *, fleet: Fleet, scenario: FleetScenario, seed: int) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.engines = {
            f"e{number}": _build_engine(fleet, number) for number in range(fleet.engines)
        }
        self.requests: list[Request] = []
        self.prefilled_parts: set[str] = set()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._counter = count()

    def call_at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        heapq.heappush(self._due, (when, next(self._counter), action))

    def run(self) -> None:
        """Run all scheduled actions in the order of their times."""
        while self._due:
            self.now, _, action = heapq.heappop(self._due)
            action()

    def drops_datagram(self) -> bool:
        """Return at random whether a datagram is lost."""
        return self.random.random() < self.scenario.loss_rate


def _build_engine(fleet: Fleet, number: int) -> SimulatedEngine:
    return SimulatedEngine(
        name=f"e{number}",
        slots=fleet.slots,
        prefill_tokens_per_ms=fleet.prefill_tokens_per_ms,
        token_ms=fleet.token_ms,
        start_ms=30.0,
        event_tokens=fleet.event_tokens,
        kv_capacity_tokens=fleet.kv_capacity_tokens,
    )


def draw_fleet_requests(fleet: Fleet, scenario: FleetScenario, random: Random) -> list[Request]:
    """Return the random requests of a run."""
    requests = []
    for kind_index, kind in enumerate(fleet.kinds):
        now = 0.0
        while now < DURATION_S:
            now += random.expovariate(
                kind.per_s * _compute_rate_factor(fleet, scenario, kind_index, now)
            )
            requests.append(_draw_request(fleet, scenario, kind, now, random))
    return requests


def _compute_rate_factor(
    fleet: Fleet, scenario: FleetScenario, kind_index: int, now: float
) -> float:
    bursting = [one % len(fleet.kinds) for one in scenario.bursting_kinds]
    if kind_index not in bursting:
        return 1.0
    start = BURST_START_S
    end = BURST_END_S
    if scenario.staggered:
        half = (BURST_END_S - BURST_START_S) / 2
        start += half * bursting.index(kind_index)
        end = start + half
    return scenario.burst if start <= now < end else 1.0


def _draw_request(
    fleet: Fleet, scenario: FleetScenario, kind: Kind, arrives_at: float, random: Random
) -> Request:
    unique_tokens = min(
        MAX_UNIQUE_FACTOR * kind.unique_tokens,
        kind.unique_tokens * random.lognormvariate(*UNIQUE_LENGTH_LOGNORMAL),
    )
    unique_tokens = max(20, int(unique_tokens))
    hot = scenario.hot_part and arrives_at >= BURST_START_S and random.random() < HOT_SHARE
    number = 0 if hot else int(kind.shared_parts * random.random() ** 1.3)
    parts = (
        PromptPart(part_id=f"{kind.name}{number}", tokens=kind.shared_tokens),
        PromptPart(part_id=f"own{arrives_at}", tokens=unique_tokens),
    )
    return Request(
        kind=kind,
        parts=parts,
        prompt_tokens=kind.shared_tokens + unique_tokens,
        output_tokens=max(4, int(random.expovariate(1.0 / kind.output_tokens))),
        arrives_at=arrives_at,
        instance=random.randrange(fleet.instances),
    )
