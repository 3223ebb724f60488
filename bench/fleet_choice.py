"""Comparison of placement policies by the size of the fleet.

Each policy decides with the production classes on simulated engines. The policies differ in which
process knows the work of an engine, and with what delay. The simulation includes network hops, lost
datagrams and the delay of heartbeats. Run by ``python -m bench.fleet_choice``.
"""

from __future__ import annotations

import argparse
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from itertools import product
from random import Random
from typing import TYPE_CHECKING, Final

from bench.fleet_policies import POLICIES
from bench.fleet_simulation import (
    FLEETS,
    SCENARIOS,
    Fleet,
    FleetScenario,
    FleetSimulation,
    draw_fleet_requests,
)
from bench.relay_choice import is_in_time
from bench.tables import print_head, print_row

if TYPE_CHECKING:
    from bench.fleet_policy import FleetPolicy

PROCESSES: Final = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetOutcome:
    """Results of one run."""

    in_time: dict[str, float]
    """Share of requests in time by kind."""
    rejected: int
    """Requests that were rejected again after their retry."""
    wrongly_rejected: int
    """Final rejections while an engine could have begun the prefill in time."""
    repeated_prefill_tokens: int
    """Prefilled tokens of shared parts that some engine had prefilled before."""
    overruns: int
    """Requests that exceeded the KV cache of their engine."""
    datagrams_per_request: float
    bytes_per_second: float
    """Bytes of load updates, heartbeats and placement queries over the fleet."""


def run_once(fleet: Fleet, scenario: FleetScenario, policy_name: str, seed: int) -> FleetOutcome:
    """Simulate one run."""
    simulation = FleetSimulation(fleet=fleet, scenario=scenario, seed=seed)
    policy = POLICIES[policy_name](simulation)
    simulation.requests = draw_fleet_requests(fleet, scenario, Random(seed))
    for request in simulation.requests:
        simulation.call_at(request.arrives_at, lambda one=request: policy.place(one))
    simulation.run()
    return _summarize(simulation, policy)


def _summarize(simulation: FleetSimulation, policy: FleetPolicy) -> FleetOutcome:
    counted = [
        one for one in simulation.requests if one.arrives_at >= simulation.scenario.measured_from_s
    ]
    in_time = {}
    for kind in simulation.fleet.kinds:
        requests = [one for one in counted if one.kind.name == kind.name]
        in_time[kind.name] = sum(map(is_in_time, requests)) / max(1, len(requests))
    engines = simulation.engines.values()
    return FleetOutcome(
        in_time=in_time,
        rejected=sum(one.engine is None for one in counted),
        wrongly_rejected=policy.wrongly_rejected,
        repeated_prefill_tokens=sum(engine.repeated_prefill_tokens for engine in engines),
        overruns=sum(engine.overruns for engine in engines),
        datagrams_per_request=policy.datagrams / max(1, len(simulation.requests)),
        bytes_per_second=policy.bytes_sent / simulation.now,
    )


def main() -> None:
    """Print a table for each fleet."""
    parser = argparse.ArgumentParser(prog="bench.fleet_choice", description=__doc__)
    parser.add_argument("--fleets", nargs="*", default=[fleet.name for fleet in FLEETS])
    parser.add_argument("--scenarios", nargs="*", default=[one.name for one in SCENARIOS])
    parser.add_argument("--ways", nargs="*", default=list(POLICIES))
    parser.add_argument("--seeds", type=int, default=2)
    arguments = parser.parse_args()
    scenarios = [one for one in SCENARIOS if one.name in arguments.scenarios]
    for fleet in (one for one in FLEETS if one.name in arguments.fleets):
        kinds = " / ".join(kind.name for kind in fleet.kinds)
        print(f"\n### {fleet.name}: {fleet.instances} instances, {fleet.engines} engines\n")
        print(f"{kinds} in time, %; refused, wrongly; tokens read again, thousands; overruns\n")
        _print_fleet(fleet, scenarios, arguments.ways, range(arguments.seeds))


def _print_fleet(
    fleet: Fleet, scenarios: list[FleetScenario], policies: list[str], seeds: range
) -> None:
    print_head(["scenario", *policies])
    with ProcessPoolExecutor(PROCESSES) as executor:
        jobs = {
            key: executor.submit(run_once, fleet, *key)
            for key in product(scenarios, policies, seeds)
        }
        for scenario in scenarios:
            cells = [
                _format([jobs[scenario, policy, seed].result() for seed in seeds])
                for policy in policies
            ]
            print_row([scenario.name, *cells])


def _format(outcomes: list[FleetOutcome]) -> str:
    number = len(outcomes)
    kinds = outcomes[0].in_time
    shown = "/".join(
        f"{100 * sum(one.in_time[kind] for one in outcomes) / number:.0f}" for kind in kinds
    )
    rejected = sum(one.rejected for one in outcomes) / number
    wrongly = sum(one.wrongly_rejected for one in outcomes) / number
    repeated = sum(one.repeated_prefill_tokens for one in outcomes) / number / 1000
    overruns = sum(one.overruns for one in outcomes) / number
    datagrams = sum(one.datagrams_per_request for one in outcomes) / number
    return (
        f"{shown}; {rejected:.0f}, {wrongly:.0f}; {repeated:.0f}; {overruns:.0f} ({datagrams:.0f})"
    )


if __name__ == "__main__":
    main()
