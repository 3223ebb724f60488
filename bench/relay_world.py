"""What the bench of the relay's choice plays: engines, requests, scenarios and the clock."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import Kind, ReadingEngine, Request
from guavamast.relay.messages import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

LENGTH_S: Final = 16.0
"""Seconds of one run."""
INSTANCES: Final = 18


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """Engines and what is asked of them."""

    name: str
    engines: int
    kinds: tuple[Kind, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What happens on a run."""

    name: str
    burst: float = 1.0
    """Factor on the last kind between 5 and 9 s."""
    measured_from_s: float = 4.0
    """0 counts the first seconds, with cold caches, too."""
    lost_at_s: float = float("inf")
    """When one engine is lost."""
    cut_off_share: float = 0.0
    """Share of the instances that hear nothing of the others and are not heard."""
    restarted_at_s: float = float("inf")
    """When all instances forget everything."""


QUESTIONS: Final = Kind(
    name="questions",
    per_s=27.0,
    shared_tokens=200,
    shared_parts=500,
    own_tokens=630.0,
    output_tokens=290.0,
    objective_s=0.25,
    longest_pause_s=0.12,
)
DOSSIERS: Final = Kind(
    name="dossiers",
    per_s=17.0,
    shared_tokens=6_300,
    shared_parts=150,
    own_tokens=2_900.0,
    output_tokens=52.0,
    objective_s=0.6,
    longest_pause_s=0.2,
)
SHAPES: Final = (
    Shape(name="questions and dossiers", engines=9, kinds=(QUESTIONS, DOSSIERS)),
    Shape(name="short prompts only", engines=5, kinds=(replace(QUESTIONS, per_s=50.0),)),
    Shape(name="long and few", engines=5, kinds=(replace(DOSSIERS, per_s=14.0),)),
)
SCENARIOS: Final = (
    Scenario(name="calm"),
    Scenario(name="burst 1.5x", burst=1.5),
    Scenario(name="burst 2.5x", burst=2.5),
    Scenario(name="cold caches", measured_from_s=0.0),
    Scenario(name="an engine lost", lost_at_s=8.0),
    Scenario(name="a third cut off", cut_off_share=1 / 3),
    Scenario(name="all restarted", restarted_at_s=8.0),
)


class World:
    """Engines, the clock and what is due."""

    def __init__(self, *, shape: Shape, scenario: Scenario, seed: int) -> None:
        self.shape = shape
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.engines = {f"e{number}": _make_engine(number) for number in range(shape.engines)}
        self.engines["e0"].lost_at = scenario.lost_at_s
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

    def list_alive(self) -> list[ReadingEngine]:
        """Return the engines that are not lost."""
        return [engine for engine in self.engines.values() if engine.lost_at > self.now]


def _make_engine(number: int) -> ReadingEngine:
    return ReadingEngine(
        name=f"e{number}",
        slots=32,
        read_tokens_per_ms=40.8,
        token_ms=5.5,
        start_ms=30.0,
        event_tokens=4,
        memory_tokens=305_000,
    )


def draw_requests(shape: Shape, scenario: Scenario, random: Random) -> list[Request]:
    """Return the requests of a run; the last kind bursts between 5 and 9 s."""
    requests = []
    for kind in shape.kinds:
        now = 0.0
        while now < LENGTH_S:
            bursting = kind is shape.kinds[-1] and 5.0 <= now < 9.0
            now += random.expovariate(kind.per_s * (scenario.burst if bursting else 1.0))
            requests.append(_draw_request(kind, now, random))
    return requests


def _draw_request(kind: Kind, asked: float, random: Random) -> Request:
    own = max(20, int(random.expovariate(1.0 / kind.own_tokens)))
    shared = f"{kind.name}{int(kind.shared_parts * random.random() ** 1.3)}"
    parts = (
        PromptPart(part_id=shared, tokens=kind.shared_tokens),
        PromptPart(part_id=f"own{asked}", tokens=own),
    )
    return Request(
        kind=kind,
        parts=parts,
        prompt_tokens=kind.shared_tokens + own,
        output_tokens=max(4, int(random.expovariate(1.0 / kind.output_tokens))),
        asked=asked,
        instance=random.randrange(INSTANCES),
    )
