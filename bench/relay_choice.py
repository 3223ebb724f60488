"""Comparison of the relay's choice of an engine with baselines and an oracle.

The production classes run on simulated engines and a simulated clock: choice, cache, length
buckets, profiles and admission. Instances receive each other's load updates after 25 ms. Run by
``python -m bench.relay_choice``.
"""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Final

from bench.relay_engines import SimulatedEngine
from bench.relay_policies import POLICIES
from bench.relay_simulation import DEPLOYMENTS, INSTANCES, SCENARIOS, Simulation, draw_requests

if TYPE_CHECKING:
    from bench.relay_engines import Request
    from bench.relay_policies import Policy
    from bench.relay_simulation import Deployment, Scenario

SEEDS: Final = 3
"""Number of runs per figure; each figure is their mean."""


def run_once(
    deployment: Deployment, scenario: Scenario, policy_type: type[Policy], seed: int
) -> Simulation:
    """Simulate one run; the result holds its engines and requests."""
    simulation = Simulation(deployment=deployment, scenario=scenario, seed=seed)
    policy = policy_type(simulation)
    simulation.requests = draw_requests(deployment, scenario, Random(seed))
    for request in simulation.requests:
        simulation.call_at(request.arrives_at, lambda one=request: _place(simulation, policy, one))
    simulation.run()
    return simulation


def compute_in_time_shares(simulation: Simulation) -> dict[str, float]:
    """Return the share of requests in time by kind, from the scenario's first measured second."""
    shares = {}
    for kind in simulation.deployment.kinds:
        counted = [
            one
            for one in simulation.requests
            if one.kind.name == kind.name and one.arrives_at >= simulation.scenario.measured_from_s
        ]
        shares[kind.name] = sum(map(is_in_time, counted)) / max(1, len(counted))
    return shares


def is_in_time(request: Request) -> bool:
    """Return whether a request's stream met its objective and its longest allowed pause."""
    engine = request.engine
    if engine is None or request.first_event is None or request.end > engine.lost_at:
        return False
    if request.first_event - request.arrives_at > request.kind.objective_s:
        return False
    return engine.compute_longest_pause(request) <= request.kind.longest_pause_s


def _place(simulation: Simulation, policy: Policy, request: Request) -> None:
    chosen = policy.choose(request)
    if isinstance(chosen, SimulatedEngine):
        chosen.serve(request, simulation.now, simulation.prefilled_parts)
        policy.record_send(request, chosen)
    elif not request.retried:
        request.retried = True
        request.instance = simulation.random.randrange(INSTANCES)
        simulation.call_at(simulation.now + chosen, lambda: _place(simulation, policy, request))


def report_relay() -> None:
    """Print the share of requests in time, in percent, for each deployment, scenario and policy."""
    for deployment in DEPLOYMENTS:
        names = [kind.name for kind in deployment.kinds]
        print(
            f"### {deployment.name}: {' / '.join(names)} in time, %; tokens read again, thousands\n"
        )
        print("| scenario | " + " | ".join(POLICIES) + " |")
        print("|---" * (len(POLICIES) + 1) + "|")
        for scenario in SCENARIOS:
            cells = [_measure_cell(deployment, scenario, one) for one in POLICIES.values()]
            print(f"| {scenario.name} | " + " | ".join(cells) + " |")
        print()


def _measure_cell(deployment: Deployment, scenario: Scenario, policy_type: type[Policy]) -> str:
    sums = {kind.name: 0.0 for kind in deployment.kinds}
    repeated_tokens = 0
    for seed in range(SEEDS):
        simulation = run_once(deployment, scenario, policy_type, seed)
        shares = compute_in_time_shares(simulation)
        for name, share in shares.items():
            sums[name] += share / SEEDS
        repeated_tokens += sum(
            engine.repeated_prefill_tokens for engine in simulation.engines.values()
        )
    shown = "/".join(f"{share * 100:.0f}" for share in sums.values())
    return f"{shown}; {repeated_tokens / SEEDS / 1000:.0f}"


if __name__ == "__main__":
    report_relay()
