"""Properties of non-idempotent calls with generated interleavings of steps and faults."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from enum import Enum
from itertools import combinations
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.operations import compute_sweep_interval, select_sweep_prefix
from tests.operation_fakes import ENDPOINTS, create_simulation
from tests.operation_simulation import FAULTS, Fault

if TYPE_CHECKING:
    from tests.operation_simulation import CallerRequest, OperationSimulation, Step

NAMES = ("a", "b", "c")
KEYS = ("k1", "k2")
BODIES = (b"100", b"200")
HISTORY_COUNT = max(500, settings.default.max_examples)


class EventKind(Enum):
    """Kind of an event in a history."""

    ASK = "ask"
    STEP = "step"
    FAULT = "fault"
    TIMER = "timer"
    LATE = "late"
    KILL = "kill"
    PAUSE = "pause"
    DRAIN = "drain"
    SLOTS = "slots"


@dataclass(frozen=True, slots=True)
class Event:
    """One event; ``pick`` selects among the possible targets."""

    kind: EventKind
    pick: int


MOSTLY_STEPS = [EventKind.STEP] * 18 + [EventKind.ASK] * 3 + [EventKind.FAULT] * 4
KINDS = [
    *MOSTLY_STEPS,
    EventKind.TIMER,
    EventKind.LATE,
    EventKind.KILL,
    EventKind.PAUSE,
    EventKind.PAUSE,
    EventKind.DRAIN,
    EventKind.SLOTS,
]
EVENTS = st.builds(Event, st.sampled_from(KINDS), st.integers(0, 59))


@dataclass(frozen=True, slots=True)
class Start:
    """Start and end of a history."""

    request_count: int
    """Concurrent requests of one key, each at another instance."""
    not_run_row: bool
    """Whether an earlier request of the key left a ``not_run`` row."""
    late_last: bool
    """Whether late effects happen only once all steps have ended."""


STARTS = st.builds(Start, st.integers(1, len(NAMES)), st.booleans(), st.booleans())


async def apply_event(simulation: OperationSimulation, event: Event) -> None:
    """Apply one event, if it is possible."""
    name = NAMES[event.pick % len(NAMES)]
    if event.kind is EventKind.ASK and name not in simulation.dead:
        body = BODIES[event.pick % 10 == 9]
        simulation.send_request(name, KEYS[event.pick // 3 % 4 == 3], body)
    elif event.kind is EventKind.TIMER and simulation.list_timers():
        timers = simulation.list_timers()
        await simulation.resume(timers[event.pick % len(timers)], Fault.NONE)
    elif event.kind in (EventKind.STEP, EventKind.FAULT) and simulation.list_ready():
        ready = simulation.list_ready()
        fault = FAULTS[event.pick % len(FAULTS)] if event.kind is EventKind.FAULT else Fault.NONE
        await simulation.resume(ready[event.pick // 7 % len(ready)], fault)
    elif event.kind is EventKind.LATE and simulation.late_effects:
        simulation.late_effects.pop(event.pick % len(simulation.late_effects)).apply()
    else:
        change_environment(simulation, event, name)
    await simulation.settle()


def change_environment(simulation: OperationSimulation, event: Event, name: str) -> None:
    """Kill, pause or resume an instance, or change slots or configuration."""
    if event.kind is EventKind.KILL and len(simulation.dead) < len(NAMES) - 1:
        simulation.kill(name)
    elif event.kind is EventKind.PAUSE and name in simulation.paused:
        simulation.paused.remove(name)
    elif event.kind is EventKind.PAUSE:
        simulation.paused.add(name)
        simulation.advance((0.1, 0.1, 2.0, 100.0)[event.pick // 3 % 4])
    elif event.kind is EventKind.DRAIN:
        simulation.drained ^= {ENDPOINTS[event.pick % len(ENDPOINTS)].name}
    elif event.kind is EventKind.SLOTS:
        simulation.slots_rejected = not simulation.slots_rejected


async def run_history(start: Start, events: list[Event]) -> list[str]:
    """Run a history to its end and return the violated guarantees."""
    simulation = create_simulation(*NAMES)
    if start.not_run_row:
        simulation.add_not_run_row(KEYS[0], BODIES[0])
    for name in NAMES[: start.request_count]:
        simulation.send_request(name, KEYS[0], BODIES[0])
    for event in events:
        await apply_event(simulation, event)
    await simulation.finish(late_last=start.late_last)
    return simulation.find_violations()


class GeneratedHistoriesTest(unittest.TestCase):
    """No generated history violates a guarantee."""

    @settings(max_examples=HISTORY_COUNT)
    @given(STARTS, st.lists(EVENTS, min_size=30, max_size=90))
    def test_guarantees_hold(self, start: Start, events: list[Event]) -> None:
        self.assertEqual(asyncio.run(run_history(start, events)), [])


class SweepTest(unittest.TestCase):
    """Each row's prefix is swept once per retention period, whatever its length."""

    @given(st.floats(3600.0, 3e7), st.floats(0.0, 2e9), st.text("0123456789abcdef", min_size=4))
    def test_every_key_is_swept(self, retention_s: float, now: float, key: str) -> None:
        interval_s = compute_sweep_interval(retention_s)
        self.assertGreaterEqual(interval_s, 1.0)
        first = select_sweep_prefix(retention_s=retention_s, now=now)
        count = 16 ** len(first)
        number = int(key[: len(first)], 16)
        due = now + (number - int(first, 16)) % count * interval_s
        found = {
            select_sweep_prefix(retention_s=retention_s, now=due + shift * interval_s)
            for shift in (-0.5, 0.0, 0.5)
        }
        self.assertIn(key[: len(first)], found)


@dataclass(frozen=True, slots=True)
class Injection:
    """A fault injected into the first instance at a step."""

    step: int
    """Number of the step of the call, from 0."""
    fault: Fault | None
    """None kills the instance, or pauses it with ``pause``."""
    pause: bool = False


STEP_COUNT = 10
"""Steps of one call without faults: read, slot, window, write, connect, send, run, record."""

INJECTIONS = [Injection(step, fault) for step in range(STEP_COUNT) for fault in (*FAULTS[1:], None)]
INJECTIONS += [Injection(step, None, pause=True) for step in range(STEP_COUNT)]


async def run_injections(injections: tuple[Injection, ...], *, late_last: bool) -> list[str]:
    """Inject faults into one call; its caller retries twice at another instance."""
    simulation = create_simulation("a", "b")
    request = simulation.send_request("a", "k", b"100")
    await simulation.settle()
    pending = {injection.step: injection for injection in injections}
    for number in range(30):
        steps = sorted(simulation.list_running(), key=lambda step: step.due)
        if request.replied or not steps:
            break
        await apply_injection(simulation, pending.get(number), steps[0])
    for _ in range(2):
        retry = simulation.send_request("b", "k", b"100")
        await run_until_replied(simulation, retry)
        simulation.paused.clear()
    await simulation.finish(late_last=late_last)
    return simulation.find_violations()


async def run_until_replied(simulation: OperationSimulation, request: CallerRequest) -> None:
    """Resume the steps of one instance until its caller has a reply."""
    for _ in range(100):
        await simulation.settle()
        steps = [step for step in simulation.list_running() if step.instance == request.instance]
        if request.replied or not steps:
            return
        await simulation.resume(min(steps, key=lambda step: step.due), Fault.NONE)


async def apply_injection(
    simulation: OperationSimulation, injection: Injection | None, step: Step
) -> None:
    """Resume a step with an injected fault, if any."""
    if injection is None or injection.fault is not None:
        await simulation.resume(step, Fault.NONE if injection is None else injection.fault)
    elif injection.pause:
        simulation.paused.add("a")
        simulation.advance(100.0)
    else:
        simulation.kill("a")


class EveryStepTest(unittest.TestCase):
    """Each fault at each step, singly and in pairs, with retries at another instance."""

    def test_single_and_paired_faults(self) -> None:
        cases = [(injection,) for injection in INJECTIONS]
        cases += [pair for pair in combinations(INJECTIONS, 2) if pair[0].step != pair[1].step]
        for injections in cases:
            orders = (
                (False, True)
                if Fault.LATE in {injection.fault for injection in injections}
                else (False,)
            )
            for late_last in orders:
                with self.subTest(injections=injections, late_last=late_last):
                    self.assertEqual(
                        asyncio.run(run_injections(injections, late_last=late_last)), []
                    )
