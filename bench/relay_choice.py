"""The relay's choice of an engine against baselines and an oracle, on stand-in engines.

The production classes decide, with the clock handed in: choice, cache, lanes, profiles, admission.
Instances learn of each other's work 25 ms late, as notices tell it. Run by
``python -m bench.relay_choice``.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import ReadingEngine
from bench.relay_policies import POLICIES
from bench.relay_world import INSTANCES, SCENARIOS, SHAPES, World, draw_requests

if TYPE_CHECKING:
    from bench.relay_engines import Request
    from bench.relay_policies import Policy
    from bench.relay_world import Scenario, Shape

SEEDS: Final = 3
"""Runs of which each figure is the mean."""


def run_once(shape: Shape, scenario: Scenario, policy_type: type[Policy], seed: int) -> World:
    """Play one run; the world returned holds engines and requests."""
    world = World(shape=shape, scenario=scenario, seed=seed)
    policy = policy_type(world)
    world.requests = draw_requests(shape, scenario, Random(seed))
    for request in world.requests:
        world.call_at(request.asked, lambda one=request: _ask(world, policy, one))
    world.run()
    return world


def count_in_time(world: World) -> dict[str, float]:
    """Return the share of requests in time by kind, of those that count in the scenario."""
    shares = {}
    for kind in world.shape.kinds:
        counted = [
            one
            for one in world.requests
            if one.kind.name == kind.name and one.asked >= world.scenario.measured_from_s
        ]
        shares[kind.name] = sum(map(is_in_time, counted)) / max(1, len(counted))
    return shares


def is_in_time(request: Request) -> bool:
    """Return whether a request's stream began in time and never paused too long."""
    engine = request.engine
    if engine is None or request.first_event is None or request.end > engine.lost_at:
        return False
    if request.first_event - request.asked > request.kind.objective_s:
        return False
    return engine.measure_pause(request) <= request.kind.longest_pause_s


def _ask(world: World, policy: Policy, request: Request) -> None:
    chosen = policy.choose(request)
    if isinstance(chosen, ReadingEngine):
        chosen.serve(request, world.now, world.read_anywhere)
        policy.note_sent(request, chosen)
    elif not request.returned:
        request.returned = True
        request.instance = world.random.randrange(INSTANCES)
        world.call_at(world.now + chosen, lambda: _ask(world, policy, request))


def report_relay() -> None:
    """Print the share of requests in time, in percent, for each shape, scenario and policy."""
    for shape in SHAPES:
        names = [kind.name for kind in shape.kinds]
        print(f"### {shape.name}: {' / '.join(names)} in time, %; tokens read again, thousands\n")
        print("| scenario | " + " | ".join(POLICIES) + " |")
        print("|---" * (len(POLICIES) + 1) + "|")
        for scenario in SCENARIOS:
            cells = [_measure_cell(shape, scenario, one) for one in POLICIES.values()]
            print(f"| {scenario.name} | " + " | ".join(cells) + " |")
        print()


def _measure_cell(shape: Shape, scenario: Scenario, policy_type: type[Policy]) -> str:
    sums = {kind.name: 0.0 for kind in shape.kinds}
    again = 0
    for seed in range(SEEDS):
        world = run_once(shape, scenario, policy_type, seed)
        shares = count_in_time(world)
        for name, share in shares.items():
            sums[name] += share / SEEDS
        again += sum(engine.read_again_tokens for engine in world.engines.values())
    shown = "/".join(f"{share * 100:.0f}" for share in sums.values())
    return f"{shown}; {again / SEEDS / 1000:.0f}"


if __name__ == "__main__":
    report_relay()
