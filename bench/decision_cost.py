"""Processor time of a keeper's decisions by the length of its queue."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from statistics import median, quantiles
from typing import TYPE_CHECKING, Final

from guavamast.fleet_objects import Configuration, Endpoint, EndpointKind, ServiceClass
from guavamast.keepers import EndpointKeeper
from guavamast.slots import Ask, Granted, Paused, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.slots import KeeperEvent

QUEUE_LENGTHS: Final = (10, 100, 1_000, 10_000)
ROUNDS: Final = 2_000
"""Asks measured at each queue length, and as many releases."""
ORGANISATIONS: Final = 500
SLOTS: Final = 16
SEED: Final = 7
CLASSES: Final = (("drafting", 1, 0.0), ("tagging", 2, 0.05), ("summaries", 3, 0.05))
"""Name, tier and guaranteed share."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Processor time of one kind of decision."""

    queue_length: int
    decision: str
    median_us: float
    p99_us: float


def make_configuration() -> Configuration:
    """Return a configuration of three classes whose queue limits are never reached."""
    return Configuration(
        version=1,
        classes={
            name: ServiceClass(
                name=name,
                tier=tier,
                first_token_ms=430.0 * tier,
                token_interval_ms=26.0,
                completion_s=60.0,
                guaranteed_share=share,
                queue_limit=100_000,
            )
            for name, tier, share in CLASSES
        },
    )


class DecisionCost:
    """Measures the decisions of one keeper whose queue keeps its length.

    Args:
        queue_length: Asks that wait during the measurement.
        seed: Seed of the choice of organisations, classes and output lengths.
    """

    __slots__ = ("_keeper", "_now", "_ask_count", "_random", "_running", "queue_length")

    def __init__(self, *, queue_length: int, seed: int) -> None:
        self.queue_length = queue_length
        self._random = random.Random(seed)
        self._now = 0.0
        self._ask_count = 0
        self._running: list[str] = []
        self._keeper = EndpointKeeper(
            endpoint=Endpoint(
                name="e", kind=EndpointKind.ENGINE, url="", failure_domain="d", slots=SLOTS
            ),
            configuration=make_configuration(),
            now=0.0,
        )

    def measure(self, rounds: int) -> list[Cost]:
        """Return the cost of asks, releases, wake-up times and ticks."""
        while self._keeper.build_probe(now=self._now).queued < self.queue_length:
            self._apply_events(self._keeper.ask(self._build_ask(), now=self._now))
        samples: dict[str, list[float]] = {"ask": [], "release": [], "next_wakeup": [], "tick": []}
        for _ in range(rounds):
            self._now += 0.01
            ask = self._build_ask()
            samples["ask"].append(self._time(lambda ask=ask: self._keeper.ask(ask, now=self._now)))
            release = self._build_release()
            samples["release"].append(
                self._time(lambda release=release: self._keeper.release(release, now=self._now))
            )
            samples["next_wakeup"].append(self._time(self._keeper.next_wakeup))
            samples["tick"].append(self._time(lambda: self._keeper.tick(now=self._now)))
        return [summarize(self.queue_length, name, values) for name, values in samples.items()]

    def _time(self, decide: Callable[[], list[KeeperEvent] | float | None]) -> float:
        begun = time.process_time_ns()
        result = decide()
        ended = time.process_time_ns()
        if isinstance(result, list):
            self._apply_events(result)
        return (ended - begun) / 1000.0

    def _apply_events(self, events: list[KeeperEvent]) -> None:
        for event in events:
            if isinstance(event, Granted):
                self._running.append(event.ask.ask_id)
            elif isinstance(event, Paused):
                self._running.remove(event.ask.ask_id)
                self._running.insert(0, event.ask.ask_id)

    def _build_ask(self) -> Ask:
        self._ask_count += 1
        name, tier, _ = self._random.choice(CLASSES)
        return Ask(
            ask_id=f"r{self._ask_count}",
            entry="a",
            endpoint="e",
            organisation=f"o{self._random.randrange(ORGANISATIONS)}",
            class_name=name,
            tier=tier,
            kind=name,
            model="m",
            prompt_tokens=200,
            max_tokens=2_000,
            deadline=self._now + 1e6,
        )

    def _build_release(self) -> Release:
        tokens = int(self._random.lognormvariate(4.5, 1.0))
        return Release(
            ask_id=self._running.pop(0),
            endpoint="e",
            used=True,
            tokens=tokens,
            first_token_s=0.2,
            duration_s=0.2 + 0.02 * tokens,
        )


def summarize(queue_length: int, decision: str, samples: list[float]) -> Cost:
    """Return the median and 99th percentile of samples in microseconds."""
    return Cost(
        queue_length=queue_length,
        decision=decision,
        median_us=median(samples),
        p99_us=quantiles(samples, n=100)[98],
    )


def main() -> None:
    """Print a table with a row per queue length and decision."""
    print(f"{SLOTS} slots, {ORGANISATIONS} organisations, {ROUNDS} rounds, seed {SEED}")
    print("queue length  decision     median us    p99 us")
    for queue_length in QUEUE_LENGTHS:
        for cost in DecisionCost(queue_length=queue_length, seed=SEED).measure(ROUNDS):
            print(
                f"{cost.queue_length:12d}  {cost.decision:11s} {cost.median_us:10.1f}"
                f" {cost.p99_us:9.1f}"
            )


if __name__ == "__main__":
    main()
