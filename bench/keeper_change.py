"""Cost of a change of keeper: requests above an engine's slots, and waits, by cautious start.

The engine runs `held` requests. Each entry presents its requests to the new keeper after a random
delay, while new asks arrive. The keeper gets the engine's load after `REPORT_AFTER_S` and each
second from then on, with a lag.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from statistics import mean
from typing import Final

from guavamast.fleet_objects import Configuration, Endpoint, EndpointKind, ServiceClass
from guavamast.keepers import EndpointKeeper
from guavamast.slots import Ask, Granted, LoadReport, Refused, Release

SLOTS: Final = 16
ENTRIES: Final = 14
MEAN_RUN_S: Final = 2.6
ASKS_PER_S: Final = 5.0
MAX_PRESENT_DELAY_S: Final = 0.6
"""Longest delay until an entry detects the change and presents its slots."""
REPORT_AFTER_S: Final = 0.02
DURATION_S: Final = 4.0
TRIALS: Final = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Measurements of one change of keeper."""

    excess: int
    """Highest number of requests that ran at once, less the slots."""
    wait_s: float
    """Mean wait of the asks that came in the first second and were granted."""


class KeeperChange:
    """Simulates one change of keeper.

    Args:
        held: Number of requests running when the keeper changes.
        caution_s: Length of the new keeper's cautious start.
        lag_s: Age of a load report on arrival; None for an engine without load reports.
        seed: Seed of run times, delays and asks.
    """

    def __init__(self, *, held: int, caution_s: float, lag_s: float | None, seed: int) -> None:
        self._random = random.Random(seed)
        self._lag_s = lag_s
        self._now = 10.0
        self._changed_at = self._now
        self._events: list[tuple[float, int, str, Ask | None]] = []
        self._running: dict[str, float] = {}
        self._end_times: list[float] = []
        self._start_times: list[float] = [0.0] * held
        self._asked_at: dict[str, float] = {}
        self._waits: list[float] = []
        self._excess = 0
        self._keeper = EndpointKeeper(
            endpoint=Endpoint(
                name="e", kind=EndpointKind.ENGINE, url="", failure_domain="d", slots=SLOTS
            ),
            configuration=Configuration(version=1, classes={"c": build_class()}),
            now=self._now,
            cautious_until=self._now + caution_s,
        )
        self._schedule_events(held)

    def run(self) -> Outcome:
        """Run the simulation and return its measurements."""
        while self._events:
            at, _, kind, ask = heapq.heappop(self._events)
            if at > self._changed_at + DURATION_S:
                break
            self._now = at
            self._handle(kind, ask)
            due = self._keeper.next_wakeup()
            if due is not None and due < self._changed_at + DURATION_S:
                self._push(max(self._now, due), "tick", None)
        return Outcome(excess=self._excess, wait_s=mean(self._waits) if self._waits else 0.0)

    def _schedule_events(self, held: int) -> None:
        delays = [self._random.uniform(0.05, MAX_PRESENT_DELAY_S) for _ in range(ENTRIES)]
        for number in range(held):
            ask = self._build_ask(f"held{number}", f"n{number % ENTRIES}")
            self._running[ask.ask_id] = self._now
            self._push(self._now + delays[number % ENTRIES], "present", ask)
            self._push(self._now + self._random.expovariate(1.0 / MEAN_RUN_S), "end", ask)
        at = self._now
        while at < self._changed_at + DURATION_S:
            at += self._random.expovariate(ASKS_PER_S)
            self._push(at, "ask", self._build_ask(f"r{at}", "n0"))
        if self._lag_s is not None:
            for second in range(int(DURATION_S)):
                self._push(self._now + REPORT_AFTER_S + second, "report", None)

    def _push(self, at: float, kind: str, ask: Ask | None) -> None:
        heapq.heappush(
            self._events, (at, len(self._events) + self._random.getrandbits(40), kind, ask)
        )

    def _build_ask(self, ask_id: str, entry: str) -> Ask:
        return Ask(
            ask_id=ask_id,
            entry=entry,
            endpoint="e",
            organisation="o",
            class_name="c",
            tier=1,
            kind="chat",
            model="m",
            prompt_tokens=10,
            max_tokens=100,
            deadline=self._changed_at + 1000.0,
        )

    def _handle(self, kind: str, ask: Ask | None) -> None:
        if kind == "tick":
            events = self._keeper.tick(now=self._now)
        elif kind == "report":
            events = self._keeper.record_load(self._build_report(), now=self._now)
        elif kind == "present":
            events = []
            if ask.ask_id in self._running:
                events = self._keeper.present(ask, held_s=5.0, tokens=10, now=self._now)
        elif kind == "ask":
            self._asked_at[ask.ask_id] = self._now
            events = self._keeper.ask(ask, now=self._now)
        else:
            self._running.pop(ask.ask_id)
            self._end_times.append(self._now)
            release = Release(
                ask_id=ask.ask_id, endpoint="e", used=True, tokens=100, duration_s=MEAN_RUN_S
            )
            events = self._keeper.release(release, now=self._now)
        for event in events:
            if isinstance(event, Granted):
                self._start(event.ask)
            assert not isinstance(event, Refused)

    def _start(self, ask: Ask) -> None:
        self._running[ask.ask_id] = self._now
        self._start_times.append(self._now)
        self._excess = max(self._excess, len(self._running) - SLOTS)
        if self._asked_at[ask.ask_id] < self._changed_at + 1.0:
            self._waits.append(self._now - self._asked_at[ask.ask_id])
        self._push(self._now + self._random.expovariate(1.0 / MEAN_RUN_S), "end", ask)

    def _build_report(self) -> LoadReport:
        as_of = self._now - self._lag_s
        started = sum(at <= as_of for at in self._start_times)
        ended = sum(at <= as_of for at in self._end_times)
        return LoadReport(endpoint="e", as_of=as_of, running=started - ended)


def build_class() -> ServiceClass:
    """Return a service class whose limits never bind."""
    return ServiceClass(
        name="c",
        tier=1,
        first_token_ms=430.0,
        token_interval_ms=26.0,
        completion_s=60.0,
        guaranteed_share=0.0,
        queue_limit=1000,
    )


def main() -> None:
    """Print the table."""
    print(f"{SLOTS} slots, {TRIALS} changes each; above: most requests above the slots")
    print("held  caution s  report lag s  mean above  most above  mean wait s")
    cases = [(0.0, 0.1), (1.0, None), (1.0, 0.1), (1.0, 1.0), (1.0, 4.0)]
    for held in (8, 16):
        for caution_s, lag_s in cases:
            changes = (
                KeeperChange(held=held, caution_s=caution_s, lag_s=lag_s, seed=seed)
                for seed in range(TRIALS)
            )
            outcomes = [change.run() for change in changes]
            excess = [max(0, outcome.excess) for outcome in outcomes]
            wait_s = mean(outcome.wait_s for outcome in outcomes)
            lag = "none" if lag_s is None else f"{lag_s:.1f}"
            print(
                f"{held:4d} {caution_s:10.1f} {lag:>13s} {mean(excess):11.2f} {max(excess):11d}"
                f" {wait_s:12.2f}"
            )


if __name__ == "__main__":
    main()
