"""Engines, requests, scenarios and simulated clock for the comparison of the relay's choice."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, replace
from itertools import count
from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import Kind, Request, SimulatedEngine
from guavamast.relay.messages import PromptPart

if TYPE_CHECKING:
    from collections.abc import Callable

DURATION_S: Final = 16.0
"""Time in which the requests of one run arrive."""
INSTANCES: Final = 18


@dataclass(frozen=True, slots=True, kw_only=True)
class Deployment:
    """Number of engines and kinds of requests."""

    name: str
    engines: int
    kinds: tuple[Kind, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load and faults of a run."""

    name: str
    burst: float = 1.0
    """Factor on the rate of the last kind between 5 and 9 s."""
    measured_from_s: float = 4.0
    """Time of the first counted request; 0 includes the first seconds, with cold caches."""
    lost_at_s: float = float("inf")
    """When one engine fails."""
    isolated_share: float = 0.0
    """Share of the instances that exchange nothing with the others."""
    restarted_at_s: float = float("inf")
    """When all instances lose their state."""


QUESTIONS: Final = Kind(
    name="questions",
    per_s=27.0,
    shared_tokens=200,
    shared_parts=500,
    unique_tokens=630.0,
    output_tokens=290.0,
    objective_s=0.25,
    longest_pause_s=0.12,
)
DOSSIERS: Final = Kind(
    name="dossiers",
    per_s=17.0,
    shared_tokens=6_300,
    shared_parts=150,
    unique_tokens=2_900.0,
    output_tokens=52.0,
    objective_s=0.6,
    longest_pause_s=0.2,
)
DEPLOYMENTS: Final = (
    Deployment(name="questions and dossiers", engines=9, kinds=(QUESTIONS, DOSSIERS)),
    Deployment(name="short prompts only", engines=5, kinds=(replace(QUESTIONS, per_s=50.0),)),
    Deployment(name="long and few", engines=5, kinds=(replace(DOSSIERS, per_s=14.0),)),
)
SCENARIOS: Final = (
    Scenario(name="calm"),
    Scenario(name="burst 1.5x", burst=1.5),
    Scenario(name="burst 2.5x", burst=2.5),
    Scenario(name="cold caches", measured_from_s=0.0),
    Scenario(name="an engine lost", lost_at_s=8.0),
    Scenario(name="a third cut off", isolated_share=1 / 3),
    Scenario(name="all restarted", restarted_at_s=8.0),
)


class Simulation:
    """Engines, simulated clock and scheduled actions of one run."""

    def __init__(self, *, deployment: Deployment, scenario: Scenario, seed: int) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.engines = {f"e{number}": _build_engine(number) for number in range(deployment.engines)}
        self.engines["e0"].lost_at = scenario.lost_at_s
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

    def list_alive(self) -> list[SimulatedEngine]:
        """Return the engines that have not failed."""
        return [engine for engine in self.engines.values() if engine.lost_at > self.now]


def _build_engine(number: int) -> SimulatedEngine:
    return SimulatedEngine(
        name=f"e{number}",
        slots=32,
        prefill_tokens_per_ms=40.8,
        token_ms=5.5,
        start_ms=30.0,
        event_tokens=4,
        kv_capacity_tokens=305_000,
    )


def draw_requests(deployment: Deployment, scenario: Scenario, random: Random) -> list[Request]:
    """Return the random requests of a run; the last kind bursts between 5 and 9 s."""
    requests = []
    for kind in deployment.kinds:
        now = 0.0
        while now < DURATION_S:
            bursting = kind is deployment.kinds[-1] and 5.0 <= now < 9.0
            now += random.expovariate(kind.per_s * (scenario.burst if bursting else 1.0))
            requests.append(_draw_request(kind, now, random))
    return requests


def _draw_request(kind: Kind, arrives_at: float, random: Random) -> Request:
    unique_tokens = max(20, int(random.expovariate(1.0 / kind.unique_tokens)))
    shared_id = f"{kind.name}{int(kind.shared_parts * random.random() ** 1.3)}"
    parts = (
        PromptPart(part_id=shared_id, tokens=kind.shared_tokens),
        PromptPart(part_id=f"own{arrives_at}", tokens=unique_tokens),
    )
    return Request(
        kind=kind,
        parts=parts,
        prompt_tokens=kind.shared_tokens + unique_tokens,
        output_tokens=max(4, int(random.expovariate(1.0 / kind.output_tokens))),
        arrives_at=arrives_at,
        instance=random.randrange(INSTANCES),
    )
