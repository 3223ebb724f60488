"""Fleets, loads and troubles for the bench of who should know the work of an engine."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import Kind, ReadingEngine, Request
from guavamast.relay.messages import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_S: Final = 14.0
"""Seconds of one run."""
BURST_BEGINS_S: Final = 5.0
BURST_ENDS_S: Final = 9.0
OWN_SPREAD: Final = (-0.5, 1.0)
"""Of the logarithm of a prompt's own length, as a share of the mean: mean and deviation."""
MOST_OWN: Final = 9.0
"""Longest own part of a prompt, as a multiple of the mean."""
HOT_SHARE: Final = 0.3
"""Share of a kind's requests that ask for one part while it is hot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """Instances, engines and what is asked of them."""

    name: str
    instances: int
    domains: int
    engines: int
    slots: int
    read_tokens_per_ms: float
    token_ms: float
    event_tokens: int
    memory_tokens: int
    kinds: tuple[Kind, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetScenario:
    """What happens on a run."""

    name: str
    burst: float = 1.0
    """Factor on the kinds that burst between 5 and 9 s."""
    bursting: tuple[int, ...] = (0,)
    """Places of the kinds that burst."""
    in_turn: bool = False
    """Whether they burst one after the other."""
    hot: bool = False
    """Whether one part is asked for far more often then."""
    killed_share: float = 0.0
    """Share of the instances that are gone at 6 s and back at 8 s with empty memories."""
    restarted: bool = False
    """Whether all instances forget everything at 6 s."""
    frozen_placers: float = 0.0
    """Seconds for which a third of those who are asked do not answer, from 6 s."""
    lost: float = 0.0
    """Share of the datagrams that are lost."""
    measured_from_s: float = 3.0


DOSSIERS: Final = Kind(
    name="dossiers",
    per_s=54.4,
    shared_tokens=4_870,
    shared_parts=857,
    own_tokens=6_610.0,
    output_tokens=384.0,
    objective_s=2.0,
    longest_pause_s=0.6,
)
REPLIES: Final = Kind(
    name="replies",
    per_s=52.6,
    shared_tokens=198,
    shared_parts=828,
    own_tokens=628.0,
    output_tokens=288.0,
    objective_s=0.25,
    longest_pause_s=0.15,
)
CHECKS: Final = Kind(
    name="checks",
    per_s=122.0,
    shared_tokens=568,
    shared_parts=1_919,
    own_tokens=1_800.0,
    output_tokens=24.0,
    objective_s=0.4,
    longest_pause_s=0.25,
)
DIGESTS: Final = Kind(
    name="digests",
    per_s=68.1,
    shared_tokens=6_300,
    shared_parts=500,
    own_tokens=2_890.0,
    output_tokens=50.0,
    objective_s=0.635,
    longest_pause_s=0.25,
)
QUESTIONS: Final = Kind(
    name="questions",
    per_s=82.3,
    shared_tokens=198,
    shared_parts=500,
    own_tokens=628.0,
    output_tokens=290.0,
    objective_s=0.265,
    longest_pause_s=0.15,
)


def _make_fast(name: str, *, instances: int, engines: int, share: float) -> Fleet:
    """Return a fleet with engines of 12 slots and a share of the load of the largest."""
    return Fleet(
        name=name,
        instances=instances,
        domains=6,
        engines=engines,
        slots=12,
        read_tokens_per_ms=92.1,
        token_ms=3.6,
        event_tokens=8,
        memory_tokens=431_000,
        kinds=tuple(_scale(kind, share) for kind in (DOSSIERS, REPLIES, CHECKS)),
    )


def _make_slow(name: str, *, instances: int, engines: int, share: float) -> Fleet:
    """Return a fleet with engines of 32 slots whose memory long prompts fill."""
    return Fleet(
        name=name,
        instances=instances,
        domains=4,
        engines=engines,
        slots=32,
        read_tokens_per_ms=40.8,
        token_ms=5.5,
        event_tokens=5,
        memory_tokens=305_000,
        kinds=tuple(_scale(kind, share) for kind in (DIGESTS, QUESTIONS)),
    )


def _scale(kind: Kind, share: float) -> Kind:
    return Kind(
        name=kind.name,
        per_s=kind.per_s * share,
        shared_tokens=kind.shared_tokens,
        shared_parts=max(1, int(kind.shared_parts * share)),
        own_tokens=kind.own_tokens,
        output_tokens=kind.output_tokens,
        objective_s=kind.objective_s,
        longest_pause_s=kind.longest_pause_s,
    )


FLEETS: Final = (
    _make_slow("slow 14", instances=14, engines=8, share=0.26),
    _make_slow("slow 32", instances=32, engines=15, share=0.5),
    _make_slow("slow 112", instances=112, engines=30, share=1.0),
    _make_fast("fast 32", instances=32, engines=10, share=1 / 6),
    _make_fast("fast 195", instances=195, engines=59, share=1.0),
    _make_fast("fast 350", instances=350, engines=106, share=1.8),
    Fleet(
        name="short 112",
        instances=112,
        domains=4,
        engines=12,
        slots=32,
        read_tokens_per_ms=40.8,
        token_ms=5.5,
        event_tokens=5,
        memory_tokens=305_000,
        kinds=(_scale(QUESTIONS, 2.0),),
    ),
)

SCENARIOS: Final = (
    FleetScenario(name="calm"),
    FleetScenario(name="burst 1.5", burst=1.5),
    FleetScenario(name="burst 2.5", burst=2.5),
    FleetScenario(name="burst 2.5 of short", burst=2.5, bursting=(-1,)),
    FleetScenario(name="two bursts in turn", burst=2.5, bursting=(0, -1), in_turn=True),
    FleetScenario(name="hot part", hot=True, burst=1.3),
    FleetScenario(name="half killed", killed_share=0.5),
    FleetScenario(name="all restarted", restarted=True),
    FleetScenario(name="a third of placers frozen", frozen_placers=3.0),
    FleetScenario(name="3 in 100 lost", lost=0.03),
)


class FleetWorld:
    """Engines, the clock and what is due."""

    def __init__(self, *, fleet: Fleet, scenario: FleetScenario, seed: int) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.engines = {
            f"e{number}": _make_engine(fleet, number) for number in range(fleet.engines)
        }
        self.requests: list[Request] = []
        self.read_anywhere: set[str] = set()
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def call_at(self, when: float, act: Callable[[], None]) -> None:
        """Have something done later."""
        heapq.heappush(self._due, (when, next(self._numbers), act))

    def run(self) -> None:
        """Do what is due, in order, until nothing is left."""
        while self._due:
            self.now, _, act = heapq.heappop(self._due)
            act()

    def loses(self) -> bool:
        """Return whether a datagram that is sent now is lost."""
        return self.random.random() < self.scenario.lost


def _make_engine(fleet: Fleet, number: int) -> ReadingEngine:
    return ReadingEngine(
        name=f"e{number}",
        slots=fleet.slots,
        read_tokens_per_ms=fleet.read_tokens_per_ms,
        token_ms=fleet.token_ms,
        start_ms=30.0,
        event_tokens=fleet.event_tokens,
        memory_tokens=fleet.memory_tokens,
    )


def draw_fleet_requests(fleet: Fleet, scenario: FleetScenario, random: Random) -> list[Request]:
    """Return the requests of a run."""
    requests = []
    for place, kind in enumerate(fleet.kinds):
        now = 0.0
        while now < LENGTH_S:
            now += random.expovariate(kind.per_s * _find_factor(fleet, scenario, place, now))
            requests.append(_draw_request(fleet, scenario, kind, now, random))
    return requests


def _find_factor(fleet: Fleet, scenario: FleetScenario, place: int, now: float) -> float:
    bursting = [one % len(fleet.kinds) for one in scenario.bursting]
    if place not in bursting:
        return 1.0
    begins = BURST_BEGINS_S
    ends = BURST_ENDS_S
    if scenario.in_turn:
        half = (BURST_ENDS_S - BURST_BEGINS_S) / 2
        begins += half * bursting.index(place)
        ends = begins + half
    return scenario.burst if begins <= now < ends else 1.0


def _draw_request(
    fleet: Fleet, scenario: FleetScenario, kind: Kind, asked: float, random: Random
) -> Request:
    own = min(MOST_OWN * kind.own_tokens, kind.own_tokens * random.lognormvariate(*OWN_SPREAD))
    own = max(20, int(own))
    hot = scenario.hot and asked >= BURST_BEGINS_S and random.random() < HOT_SHARE
    number = 0 if hot else int(kind.shared_parts * random.random() ** 1.3)
    parts = (
        PromptPart(part_id=f"{kind.name}{number}", tokens=kind.shared_tokens),
        PromptPart(part_id=f"own{asked}", tokens=own),
    )
    return Request(
        kind=kind,
        parts=parts,
        prompt_tokens=kind.shared_tokens + own,
        output_tokens=max(4, int(random.expovariate(1.0 / kind.output_tokens))),
        asked=asked,
        instance=random.randrange(fleet.instances),
    )
