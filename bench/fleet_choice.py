"""Who should know the work of an engine: ways to place requests, by the size of the fleet.

Each way decides with the production classes on stand-in engines; what differs is who knows what and
how late. Hops, lost datagrams and the delay of beats are counted in. Run by
``python -m bench.fleet_choice``.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from random import Random
from typing import Final

from bench.fleet_ways import WAYS, Way
from bench.fleet_world import (
    FLEETS,
    SCENARIOS,
    Fleet,
    FleetScenario,
    FleetWorld,
    draw_fleet_requests,
)
from bench.relay_choice import is_in_time
from bench.tables import print_head, print_row

PROCESSES: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOutcome:
    """What became of the requests of one run."""

    in_time: dict[str, float]
    """Share of each kind."""
    refused: int
    """Requests that were refused at last."""
    refused_wrongly: int
    """Refusals while an engine could have begun in time."""
    read_again: int
    """Tokens of shared parts that some engine had."""
    overruns: int
    datagrams_a_request: float
    bytes_a_second: float
    """Of the datagrams about loads and places, over the fleet."""


def play(fleet: Fleet, scenario: FleetScenario, way_name: str, seed: int) -> FleetOutcome:
    """Play one run."""
    world = FleetWorld(fleet=fleet, scenario=scenario, seed=seed)
    way = WAYS[way_name](world)
    world.requests = draw_fleet_requests(fleet, scenario, Random(seed))
    for request in world.requests:
        world.call_at(request.asked, lambda one=request: way.ask(one))
    world.run()
    return _sum_up(world, way)


def _sum_up(world: FleetWorld, way: Way) -> FleetOutcome:
    counted = [one for one in world.requests if one.asked >= world.scenario.measured_from_s]
    in_time = {}
    for kind in world.fleet.kinds:
        those = [one for one in counted if one.kind.name == kind.name]
        in_time[kind.name] = sum(map(is_in_time, those)) / max(1, len(those))
    engines = world.engines.values()
    return FleetOutcome(
        in_time=in_time,
        refused=sum(one.engine is None for one in counted),
        refused_wrongly=way.refused_wrongly,
        read_again=sum(engine.read_again_tokens for engine in engines),
        overruns=sum(engine.overruns for engine in engines),
        datagrams_a_request=way.datagrams / max(1, len(world.requests)),
        bytes_a_second=way.bytes_sent / world.now,
    )


def main() -> None:
    """Print a table for each fleet."""
    parser = argparse.ArgumentParser(prog="bench.fleet_choice", description=__doc__)
    parser.add_argument("--fleets", nargs="*", default=[fleet.name for fleet in FLEETS])
    parser.add_argument("--scenarios", nargs="*", default=[one.name for one in SCENARIOS])
    parser.add_argument("--ways", nargs="*", default=list(WAYS))
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    scenarios = [one for one in SCENARIOS if one.name in arguments.scenarios]
    for fleet in (one for one in FLEETS if one.name in arguments.fleets):
        kinds = " / ".join(kind.name for kind in fleet.kinds)
        print(f"\n### {fleet.name}: {fleet.instances} instances, {fleet.engines} engines\n")
        print(f"{kinds} in time, %; refused, wrongly; tokens read again, thousands; overruns\n")
        _print_fleet(fleet, scenarios, arguments.ways, range(arguments.seeds))


def _print_fleet(
    fleet: Fleet, scenarios: list[FleetScenario], ways: list[str], seeds: range
) -> None:
    print_head(["scenario", *ways])
    with ProcessPoolExecutor(PROCESSES) as executor:
        jobs = {key: executor.submit(play, fleet, *key) for key in product(scenarios, ways, seeds)}
        for scenario in scenarios:
            cells = [
                _format([jobs[scenario, way, seed].result() for seed in seeds]) for way in ways
            ]
            print_row([scenario.name, *cells])


def _format(outcomes: list[FleetOutcome]) -> str:
    number = len(outcomes)
    kinds = outcomes[0].in_time
    shown = "/".join(
        f"{100 * sum(one.in_time[kind] for one in outcomes) / number:.0f}" for kind in kinds
    )
    refused = sum(one.refused for one in outcomes) / number
    wrongly = sum(one.refused_wrongly for one in outcomes) / number
    again = sum(one.read_again for one in outcomes) / number / 1000
    overruns = sum(one.overruns for one in outcomes) / number
    datagrams = sum(one.datagrams_a_request for one in outcomes) / number
    return f"{shown}; {refused:.0f}, {wrongly:.0f}; {again:.0f}; {overruns:.0f} ({datagrams:.0f})"


if __name__ == "__main__":
    main()
