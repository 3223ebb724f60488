"""Simulation of one scenario under one policy, and its measurements."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from bench.baselines import (
    REPORT_INTERVAL_S,
    CentralPolicy,
    LeastLoadPolicy,
    OraclePolicy,
    Policy,
    RandomPolicy,
    RoundRobinPolicy,
)
from bench.policies import RouterPolicy
from bench.workload import (
    BURST_END_S,
    BURST_START_S,
    DURATION_S,
    Request,
    Scenario,
    Site,
    build_fleet,
    build_requests,
    compute_capacity,
)
from guavamast.slot_race import RaceRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.engine import FakeEngine

WINDOW_S: Final = 60.0
DRAIN_S: Final = 130.0
"""Time after the last arrival until all deadlines have passed."""

POLICIES: Final[dict[str, Callable[..., Policy]]] = {
    "guavamast": RouterPolicy,
    "one keeper": lambda **arguments: RouterPolicy(rules=RaceRules(max_open_asks=1), **arguments),
    "two at once": lambda **arguments: RouterPolicy(keepers_asked=2, **arguments),
    "probes 1 s old": lambda **arguments: RouterPolicy(probe_delay_s=1.0, **arguments),
    "probes 5 s old": lambda **arguments: RouterPolicy(probe_delay_s=5.0, **arguments),
    "random": RandomPolicy,
    "round robin": RoundRobinPolicy,
    "least load": LeastLoadPolicy,
    "first come": CentralPolicy,
    "oracle": OraclePolicy,
}


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Measurements of one run."""

    attained: dict[str, float] = field(default_factory=dict)
    """Share of each class's requests that met all targets of the class."""
    least_finished: dict[str, int] = field(default_factory=dict)
    """Fewest completions of each class in any window of 60 s."""
    goodput: float = 0.0
    """Work of requests completed in time, as a share of the engines' capacity."""
    wasted: float = 0.0
    """Share of computed work that was discarded."""
    wasted_by: dict[str, float] = field(default_factory=dict)
    """Share of computed work that was discarded, by cause."""
    amplification: float = 0.0
    """Attempts per request, over the requests with at least one attempt."""
    inverted: float = 0.0
    """Share of the top tier's requests rejected while a lower tier was in the pool."""
    asks: float = 0.0
    """Asks per request; 0 without keepers."""
    unused_grants: float = 0.0
    """Unused grants per request."""
    pauses: float = 0.0
    requests: int = 0


def run_once(site: Site, scenario: Scenario, policy_name: str, seed: int) -> Outcome:
    """Return the outcome of one run."""
    policy = POLICIES[policy_name](
        site=site, fleet=build_fleet(site), scenario=scenario, seed=seed + 1
    )
    requests = build_requests(site, scenario, seed)
    for request in requests:
        policy.events.call_at(request.arrives_at, lambda request=request: policy.receive(request))
    _schedule_faults(policy, scenario)
    for engine in policy.engines.values():
        _schedule_reports(policy, engine, scenario.report_lag_s)
    policy.events.run(DURATION_S + DRAIN_S)
    return _measure(site, policy, requests)


def _schedule_faults(policy: Policy, scenario: Scenario) -> None:
    events = policy.events
    engines = policy.pools[""]
    for engine in engines[: scenario.stragglers]:
        events.call_at(
            BURST_START_S, lambda engine=engine: engine.set_slowdown(scenario.straggle_factor)
        )
        events.call_at(BURST_END_S, lambda engine=engine: engine.set_slowdown(1.0))
    crashed = engines[: round(len(engines) * scenario.crash_share)]
    for engine in crashed:
        events.call_at(BURST_START_S, engine.crash)
        events.call_at(BURST_END_S - 20.0, engine.recover)


def _schedule_reports(policy: Policy, engine: FakeEngine, lag_s: float) -> None:
    def report() -> None:
        running, as_of = engine.load, policy.events.now
        if not engine.crashed:
            policy.events.call_later(
                lag_s, lambda: policy.apply_report(engine, min(running, engine.slots), as_of)
            )
        policy.events.call_later(REPORT_INTERVAL_S, report)

    policy.events.call_later(policy.random.uniform(0, REPORT_INTERVAL_S), report)


def is_attained(request: Request) -> bool:
    """Return whether a request met all targets of its class."""
    target = request.service_class
    if not request.completed or request.first_token_at is None:
        return False
    first_s = request.first_token_at - request.arrives_at
    total_s = request.ended_at - request.arrives_at
    if request.kind.service:
        return total_s <= target.completion_s
    interval_s = (request.ended_at - request.first_token_at) / max(1, request.tokens - 1)
    return (
        first_s * 1000 <= target.first_token_ms
        and total_s <= target.completion_s
        and (request.tokens < 2 or interval_s * 1000 <= target.token_interval_ms)
    )


def _measure(site: Site, policy: Policy, requests: list[Request]) -> Outcome:
    outcome = Outcome(requests=len(requests))
    engine_requests = [request for request in requests if not request.kind.service]
    for target in site.classes:
        class_requests = [each for each in engine_requests if each.service_class is target]
        outcome.attained[target.name] = sum(map(is_attained, class_requests)) / max(
            1, len(class_requests)
        )
        outcome.least_finished[target.name] = _find_least_finished(class_requests)
    in_time = [
        each
        for each in engine_requests
        if each.completed
        and each.ended_at <= DURATION_S
        and each.ended_at - each.arrives_at <= each.service_class.completion_s
    ]
    capacity = compute_capacity(site, services=False) * DURATION_S
    outcome.goodput = sum(each.tokens for each in in_time) / capacity
    computed = max(1.0, sum(engine.computed for engine in policy.engines.values()))
    outcome.wasted_by = {cause: tokens / computed for cause, tokens in policy.wasted.items()}
    outcome.wasted = sum(outcome.wasted_by.values())
    sent = sum(1 for each in requests if each.attempts)
    outcome.amplification = policy.attempts / max(1, sent)
    top = [each for each in engine_requests if each.service_class.tier == 1]
    outcome.inverted = sum(each.inverted for each in top) / max(1, len(top))
    if isinstance(policy, RouterPolicy):
        outcome.asks = policy.asks / len(requests)
        outcome.unused_grants = policy.unused_grants / len(requests)
        outcome.pauses = policy.pauses / len(requests)
    return outcome


def _find_least_finished(requests: list[Request]) -> int:
    ends = sorted(each.ended_at for each in requests if each.completed)
    starts = [time / 2 for time in range(int(2 * 20.0), int(2 * (DURATION_S - WINDOW_S)) + 1)]
    return min(sum(1 for end in ends if start <= end < start + WINDOW_S) for start in starts)
