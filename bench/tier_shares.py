"""Strict tiers combined with guaranteed shares at one keeper, compared with simpler rules.

The engine is a fake with slots, a fixed pace and output lengths unknown to the keeper. A paused
request releases its slot after `PAUSE_S` and asks for a slot for its remaining tokens.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from math import exp
from statistics import mean
from typing import TYPE_CHECKING, Final
from unittest.mock import patch

from guavamast.fleet_objects import Configuration, Endpoint, EndpointKind, ServiceClass
from guavamast.forecasts import PAUSE_DELAY_S
from guavamast.keepers import EndpointKeeper
from guavamast.slots import Ask, Granted, Paused, Refused, Release

if TYPE_CHECKING:
    from guavamast.slots import KeeperEvent

SLOTS: Final = 16
FIRST_TOKEN_S: Final = 0.15
INTERVAL_S: Final = 0.02
LOG_DEVIATION: Final = 0.8
DURATION_S: Final = 600.0
SEEDS: Final = (1, 2, 3)
SHARE: Final = 0.05
"""Guaranteed share of each lower class."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Requests of one class."""

    class_name: str
    tier: int
    target_ms: float
    allowed_s: float
    log_tokens: float
    """Mean of the natural logarithm of the output length; the deviation is `LOG_DEVIATION`."""

    @property
    def mean_service_s(self) -> float:
        """Mean duration of a run, in seconds."""
        return FIRST_TOKEN_S + INTERVAL_S * exp(self.log_tokens + 0.5 * LOG_DEVIATION**2)


TRAFFIC: Final = (
    Traffic(class_name="drafting", tier=1, target_ms=430.0, allowed_s=30.0, log_tokens=4.5),
    Traffic(class_name="tagging", tier=2, target_ms=2_000.0, allowed_s=120.0, log_tokens=3.0),
    Traffic(class_name="summaries", tier=3, target_ms=60_000.0, allowed_s=3600.0, log_tokens=6.5),
)
SCENARIOS: Final = {
    "calm": (0.3, 0.1, 0.3),
    "lower tiers 2x": (0.4, 0.6, 1.0),
    "lower tiers 4x": (0.4, 1.6, 2.0),
    "top tier 0.95": (0.95, 0.1, 0.3),
    "top tier 2x": (2.0, 0.1, 0.3),
}
"""Offered load of each class, as a multiple of the capacity of the slots."""
RULES: Final = ("strict tiers", "share at once", "share by need", "no pausing", "one class")


@dataclass(slots=True, kw_only=True)
class Job:
    """One request with its progress and outcome."""

    traffic: Traffic
    organisation: str
    tokens: int
    arrived_at: float
    attempts: int = 0
    delivered: int = 0
    started_at: float | None = None
    first_started_at: float | None = None
    finished_at: float | None = None
    pauses: int = 0


@dataclass(slots=True, kw_only=True)
class Result:
    """Measurements of one class in one run."""

    asked: int = 0
    on_target: int = 0
    on_time: int = 0
    pauses: int = 0
    starts: list[float] = field(default_factory=list)

    def find_longest_gap(self) -> float:
        """Return the longest interval without a start, in seconds."""
        points = [0.0, *self.starts, DURATION_S]
        return max(after - before for before, after in zip(points, points[1:], strict=False))


class Run:
    """Simulates one scenario with one seed under one rule."""

    def __init__(self, *, rule: str, loads: tuple[float, ...], seed: int) -> None:
        self._random = random.Random(seed)
        self._rule = rule
        self._now = 0.0
        self._number = 0
        self._events: list[tuple[float, int, str, str]] = []
        self._jobs: dict[str, Job] = {}
        self._finished: list[Job] = []
        self._wakeup: float | None = None
        kind = EndpointKind.SERVICE if rule in ("no pausing", "one class") else None
        self._keeper = EndpointKeeper(
            endpoint=Endpoint(
                name="e", kind=kind or EndpointKind.ENGINE, url="", failure_domain="d", slots=SLOTS
            ),
            configuration=build_configuration(rule),
            now=0.0,
        )
        for traffic, load in zip(TRAFFIC, loads, strict=True):
            self._schedule_arrivals(traffic, load * SLOTS / traffic.mean_service_s)

    def run(self) -> dict[str, Result]:
        """Run the simulation and return its measurements by class."""
        while self._events:
            self._now, _, kind, name = heapq.heappop(self._events)
            if self._now > DURATION_S:
                break
            self._handle(kind, name)
            due = self._keeper.next_wakeup()
            if due is not None and due != self._wakeup:
                self._wakeup = due
                self._push(max(due, self._now), "tick", "")
        return self._collect_results()

    def _schedule_arrivals(self, traffic: Traffic, rate: float) -> None:
        at = self._random.expovariate(rate)
        while at < DURATION_S:
            job = Job(
                traffic=traffic,
                organisation=f"o{min(9, int(self._random.expovariate(0.5)))}",
                tokens=max(1, int(self._random.lognormvariate(traffic.log_tokens, LOG_DEVIATION))),
                arrived_at=at,
            )
            self._number += 1
            name = f"r{self._number}"
            self._jobs[name] = job
            self._push(at, "arrive", name)
            at += self._random.expovariate(rate)

    def _push(self, at: float, kind: str, name: str) -> None:
        self._number += 1
        heapq.heappush(self._events, (at, self._number, kind, name))

    def _handle(self, kind: str, name: str) -> None:
        if kind == "tick":
            self._apply_events(self._keeper.tick(now=self._now))
        elif kind == "arrive":
            self._apply_events(self._keeper.ask(self._build_ask(name), now=self._now))
        elif kind == "progress":
            self._report_progress(name)
        elif name.split("/")[1] == str(self._jobs[name.split("/")[0]].attempts):
            self._end(name, paused=kind == "paused")

    def _build_ask(self, name: str) -> Ask:
        job = self._jobs[name]
        job.attempts += 1
        traffic = job.traffic
        return Ask(
            ask_id=f"{name}/{job.attempts}",
            entry="a",
            endpoint="e",
            organisation=job.organisation,
            class_name="all" if self._rule == "one class" else traffic.class_name,
            tier=1 if self._rule == "one class" else traffic.tier,
            kind=traffic.class_name,
            model="m",
            prompt_tokens=100,
            max_tokens=4_000,
            deadline=job.arrived_at + traffic.allowed_s,
        )

    def _apply_events(self, events: list[KeeperEvent]) -> None:
        for event in events:
            name = event.ask.ask_id
            job = self._jobs[name.split("/")[0]]
            if isinstance(event, Granted):
                job.started_at = self._now
                job.first_started_at = job.first_started_at or self._now
                left_s = FIRST_TOKEN_S + INTERVAL_S * (job.tokens - job.delivered)
                self._push(self._now + left_s, "end", name)
                self._push(self._now + 1.0, "progress", name)
            elif isinstance(event, Paused):
                job.pauses += 1
                self._push(self._now + PAUSE_DELAY_S, "paused", name)
            elif isinstance(event, Refused):
                self._finished.append(job)

    def _report_progress(self, name: str) -> None:
        base, attempt = name.split("/")
        job = self._jobs[base]
        if str(job.attempts) == attempt and job.started_at is not None:
            self._keeper.record_progress(name, self._count_delivered(job), now=self._now)
            self._push(self._now + 1.0, "progress", name)

    def _count_delivered(self, job: Job) -> int:
        run_s = max(0.0, self._now - job.started_at - FIRST_TOKEN_S)
        return min(job.tokens, job.delivered + int(run_s / INTERVAL_S + 1e-6))

    def _end(self, name: str, *, paused: bool) -> None:
        base = name.split("/")[0]
        job = self._jobs[base]
        if job.started_at is None:
            return
        job.delivered = self._count_delivered(job)
        release = Release(
            ask_id=name,
            endpoint="e",
            used=True,
            tokens=job.delivered,
            first_token_s=FIRST_TOKEN_S,
            duration_s=self._now - job.started_at,
        )
        job.started_at = None
        if not paused:
            job.finished_at = self._now
            self._finished.append(job)
        self._apply_events(self._keeper.release(release, now=self._now))
        if paused:
            self._apply_events(self._keeper.ask(self._build_ask(base), now=self._now))

    def _collect_results(self) -> dict[str, Result]:
        results = {traffic.class_name: Result() for traffic in TRAFFIC}
        for job in self._jobs.values():
            result = results[job.traffic.class_name]
            if job.first_started_at is not None:
                result.starts.append(job.first_started_at)
            if job.arrived_at > DURATION_S - min(60.0, job.traffic.allowed_s):
                continue
            result.asked += 1
            result.pauses += job.pauses
            if job.first_started_at is not None:
                wait_s = job.first_started_at + FIRST_TOKEN_S - job.arrived_at
                result.on_target += wait_s <= job.traffic.target_ms / 1000.0
            if job.finished_at is not None:
                result.on_time += job.finished_at <= job.arrived_at + job.traffic.allowed_s
        for result in results.values():
            result.starts.sort()
        return results


def build_configuration(rule: str) -> Configuration:
    """Return the classes of a rule; the rule without tiers has a single class."""
    share = SHARE if rule in ("share at once", "share by need", "no pausing") else 0.0
    names = [(t.class_name, t.tier, t.target_ms) for t in TRAFFIC]
    if rule == "one class":
        names = [("all", 1, 430.0)]
    classes = {
        name: ServiceClass(
            name=name,
            tier=tier,
            first_token_ms=target_ms,
            token_interval_ms=26.0,
            completion_s=60.0,
            guaranteed_share=share if tier > 1 else 0.0,
            queue_limit=1_000,
        )
        for name, tier, target_ms in names
    }
    return Configuration(version=1, classes=classes)


def measure(rule: str, loads: tuple[float, ...], seed: int) -> dict[str, Result]:
    """Return the measurements of one run by class."""
    ceiling = 1.0 if rule == "share at once" else 2.0
    with patch("guavamast.queues.MAX_CREDIT", ceiling):
        return Run(rule=rule, loads=loads, seed=seed).run()


def format_range(values: list[float], digits: int) -> str:
    """Return the mean and range of values as text."""
    return f"{mean(values):.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def main() -> None:
    """Print the tables."""
    print(f"{SLOTS} slots, {DURATION_S:.0f} s, seeds {SEEDS}: mean (least-greatest)")
    for scenario, loads in SCENARIOS.items():
        print(f"\n{scenario}: offered {loads}")
        print("rule           class      on target %         on time %           gap s  pauses")
        for rule in RULES:
            runs = [measure(rule, loads, seed) for seed in SEEDS]
            for traffic in TRAFFIC:
                results = [run[traffic.class_name] for run in runs]
                on_target = [100.0 * r.on_target / max(1, r.asked) for r in results]
                on_time = [100.0 * r.on_time / max(1, r.asked) for r in results]
                gap = max(r.find_longest_gap() for r in results)
                pauses = mean(r.pauses / max(1, r.asked) for r in results)
                print(
                    f"{rule:14s} {traffic.class_name:10s} {format_range(on_target, 1):19s}"
                    f" {format_range(on_time, 1):19s} {gap:5.0f}  {pauses:.2f}"
                )


if __name__ == "__main__":
    main()
