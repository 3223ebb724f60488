"""Properties of non-idempotent calls under generated interleavings of steps and faults."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from enum import Enum
from itertools import combinations
from typing import TYPE_CHECKING

from hypothesis import given, settings
from hypothesis import strategies as st

from guavamast.operations import compute_sweep_interval, find_due_prefix
from tests.operation_fakes import ENDPOINTS, make_world
from tests.operation_world import FAULTS, Fault

if TYPE_CHECKING:
    from tests.operation_world import Asked, Step, World

NAMES = ("a", "b", "c")
KEYS = ("k1", "k2")
BODIES = (b"100", b"200")
HISTORIES = max(500, settings.default.max_examples)


class Kind(Enum):
    """What happens next in a history."""

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
    """One event; ``pick`` chooses among what is possible then."""

    kind: Kind
    pick: int


MOSTLY_STEPS = [Kind.STEP] * 18 + [Kind.ASK] * 3 + [Kind.FAULT] * 4
KINDS = [
    *MOSTLY_STEPS,
    Kind.TIMER,
    Kind.LATE,
    Kind.KILL,
    Kind.PAUSE,
    Kind.PAUSE,
    Kind.DRAIN,
    Kind.SLOTS,
]
EVENTS = st.builds(Event, st.sampled_from(KINDS), st.integers(0, 59))


@dataclass(frozen=True, slots=True)
class Start:
    """How a history begins and ends."""

    asks: int
    """Requests of one key at once, each at another instance."""
    given_up: bool
    """Whether an earlier request of the key left a ``not_run`` row."""
    late_last: bool
    """Whether late effects come once all else has ended."""


STARTS = st.builds(Start, st.integers(1, len(NAMES)), st.booleans(), st.booleans())


async def apply_event(world: World, event: Event) -> None:
    """Let one event happen, if it is possible."""
    name = NAMES[event.pick % len(NAMES)]
    if event.kind is Kind.ASK and name not in world.dead:
        body = BODIES[event.pick % 10 == 9]
        world.ask(name, KEYS[event.pick // 3 % 4 == 3], body)
    elif event.kind is Kind.TIMER and world.list_timers():
        timers = world.list_timers()
        await world.resume(timers[event.pick % len(timers)], Fault.NONE)
    elif event.kind in (Kind.STEP, Kind.FAULT) and world.list_ready():
        ready = world.list_ready()
        fault = FAULTS[event.pick % len(FAULTS)] if event.kind is Kind.FAULT else Fault.NONE
        await world.resume(ready[event.pick // 7 % len(ready)], fault)
    elif event.kind is Kind.LATE and world.late:
        world.late.pop(event.pick % len(world.late)).apply()
    else:
        change_surroundings(world, event, name)
    await world.settle()


def change_surroundings(world: World, event: Event, name: str) -> None:
    """Kill, pause or continue an instance, or change slots or configuration."""
    if event.kind is Kind.KILL and len(world.dead) < len(NAMES) - 1:
        world.kill(name)
    elif event.kind is Kind.PAUSE and name in world.paused:
        world.paused.remove(name)
    elif event.kind is Kind.PAUSE:
        world.paused.add(name)
        world.advance((0.1, 0.1, 2.0, 100.0)[event.pick // 3 % 4])
    elif event.kind is Kind.DRAIN:
        world.drained ^= {ENDPOINTS[event.pick % len(ENDPOINTS)].name}
    elif event.kind is Kind.SLOTS:
        world.slots_refused = not world.slots_refused


async def run_history(start: Start, events: list[Event]) -> list[str]:
    """Run a history to its end and return the promises that it broke."""
    world = make_world(*NAMES)
    if start.given_up:
        world.add_given_up_row(KEYS[0], BODIES[0])
    for name in NAMES[: start.asks]:
        world.ask(name, KEYS[0], BODIES[0])
    for event in events:
        await apply_event(world, event)
    await world.finish(late_last=start.late_last)
    return world.find_violations()


class GeneratedHistoriesTest(unittest.TestCase):
    """No generated history breaks a promise."""

    @settings(max_examples=HISTORIES)
    @given(STARTS, st.lists(EVENTS, min_size=30, max_size=90))
    def test_promises_hold(self, start: Start, events: list[Event]) -> None:
        self.assertEqual(asyncio.run(run_history(start, events)), [])


class SweepTest(unittest.TestCase):
    """Each row's part of the table comes up once a retention period, whatever its length."""

    @given(st.floats(3600.0, 3e7), st.floats(0.0, 2e9), st.text("0123456789abcdef", min_size=4))
    def test_every_key_is_swept(self, retention_s: float, now: float, key: str) -> None:
        interval_s = compute_sweep_interval(retention_s)
        self.assertGreaterEqual(interval_s, 1.0)
        first = find_due_prefix(retention_s=retention_s, now=now)
        count = 16 ** len(first)
        number = int(key[: len(first)], 16)
        due = now + (number - int(first, 16)) % count * interval_s
        found = {
            find_due_prefix(retention_s=retention_s, now=due + shift * interval_s)
            for shift in (-0.5, 0.0, 0.5)
        }
        self.assertIn(key[: len(first)], found)


@dataclass(frozen=True, slots=True)
class Blow:
    """What hits the first instance when it reaches a step."""

    step: int
    """Number of the step of the call, from 0."""
    fault: Fault | None
    """None kills the instance, or pauses it with ``pause``."""
    pause: bool = False


STEP_COUNT = 10
"""Steps of one undisturbed call: read, slot, window, write, connect, send, run, record."""

BLOWS = [Blow(step, fault) for step in range(STEP_COUNT) for fault in (*FAULTS[1:], None)]
BLOWS += [Blow(step, None, pause=True) for step in range(STEP_COUNT)]


async def run_blows(blows: tuple[Blow, ...], *, late_last: bool) -> list[str]:
    """Hit one call at given steps; its caller asks again through another instance, twice."""
    world = make_world("a", "b")
    first = world.ask("a", "k", b"100")
    await world.settle()
    pending = {blow.step: blow for blow in blows}
    for number in range(30):
        steps = sorted(world.list_running(), key=lambda step: step.due)
        if first.replied or not steps:
            break
        await strike(world, pending.get(number), steps[0])
    for _ in range(2):
        again = world.ask("b", "k", b"100")
        await run_until_replied(world, again)
        world.paused.clear()
    await world.finish(late_last=late_last)
    return world.find_violations()


async def run_until_replied(world: World, asked: Asked) -> None:
    """Let the steps of one instance go on until its caller has a reply."""
    for _ in range(100):
        await world.settle()
        steps = [step for step in world.list_running() if step.instance == asked.instance]
        if asked.replied or not steps:
            return
        await world.resume(min(steps, key=lambda step: step.due), Fault.NONE)


async def strike(world: World, blow: Blow | None, step: Step) -> None:
    """Let a step go on under a blow."""
    if blow is None or blow.fault is not None:
        await world.resume(step, Fault.NONE if blow is None else blow.fault)
    elif blow.pause:
        world.paused.add("a")
        world.advance(100.0)
    else:
        world.kill("a")


class EveryStepTest(unittest.TestCase):
    """Each fault at each step, singly and in pairs, with the caller asking again elsewhere."""

    def test_single_and_paired_faults(self) -> None:
        cases = [(blow,) for blow in BLOWS]
        cases += [pair for pair in combinations(BLOWS, 2) if pair[0].step != pair[1].step]
        for blows in cases:
            orders = (False, True) if Fault.LATE in {blow.fault for blow in blows} else (False,)
            for late_last in orders:
                with self.subTest(blows=blows, late_last=late_last):
                    self.assertEqual(asyncio.run(run_blows(blows, late_last=late_last)), [])
