"""A small world for non-idempotent calls, in which a test decides every step's order and fault.

Each read or write of the platform, each connect, run and answer of the endpoint and each timer
parks until the test lets it go on, with a fault or without. Instances can be paused and killed
between any two steps, and effects can come late.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from guavamast.clocks import Clock
from guavamast.endpoint_sender import EndpointSender
from guavamast.errors import ErrorCode, Outcome, Refusal
from guavamast.group_commit import GroupCommit
from guavamast.operation_store import OperationStore
from guavamast.operations import (
    OPERATIONS_TABLE,
    Answer,
    OperationState,
    decode_operation,
)
from guavamast.platform_client import (
    PlatformAnswerLost,
    PlatformClient,
    PlatformUnavailable,
)
from guavamast.send_gates import PauseWatch, SendGate
from guavamast.service_call import (
    RetryPolicy,
    ServiceCall,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)
from guavamast.service_calls import ServiceCalls
from guavamast.single_fetch import AnswerLost, NotSent
from guavamast.standins.platform import TableState
from guavamast.world import CallRule, Endpoint, EndpointKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.endpoint_sender import EndpointCall
    from guavamast.platform_client import Check, ListedInstance, Row, Write

SHORT_S = 0.01
"""Timers up to this long count as ready, as the window of a group commit."""

SETTLE_ROUNDS = 16
"""Rounds of the loop after which all tasks are parked again."""

ENDPOINTS = tuple(
    Endpoint(name=name, kind=EndpointKind.SERVICE, url=name, failure_domain="d", slots=1)
    for name in ("ledger-1", "ledger-2")
)


class Fault(Enum):
    """How a step goes on."""

    NONE = "none"
    BEFORE = "before"
    """It fails before any effect, and that shows."""
    LOST_BEFORE = "lost_before"
    """It has no effect, and that doesn't show."""
    LOST_AFTER = "lost_after"
    """It has its effect, and that doesn't show."""
    LATE = "late"
    """It has its effect after its failure was seen."""


FAULTS = tuple(Fault)


@dataclass(slots=True, kw_only=True, eq=False)
class Step:
    """A coroutine that waits to go on."""

    instance: str
    label: str
    gate: asyncio.Future[Fault]
    due: float = 0.0


@dataclass(slots=True, kw_only=True, eq=False)
class Asked:
    """A caller's request and what it was told."""

    number: int
    instance: str
    key: str
    body: bytes
    earlier_unanswered: bool
    """Whether another request of the key had no reply when this one was made."""
    task: asyncio.Task[None] | None = None
    answer: Answer | None = None
    refusal: Refusal | None = None
    runs_at_reply: int = 0
    """Runs of the key by other requests when this one was answered."""
    later_asked: bool = False
    """Whether another request of the key was made before this one was answered."""

    @property
    def replied(self) -> bool:
        """Whether the caller has its reply."""
        return self.answer is not None or self.refusal is not None


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a call at an endpoint."""

    request: int
    key: str


@dataclass(slots=True, kw_only=True, eq=False)
class Late:
    """An effect that is still on its way."""

    apply: Callable[[], None]


@dataclass(slots=True)
class World:
    """All instances, the platform's tables and the endpoints."""

    tables: TableState = field(default_factory=TableState)
    now: float = 1000.0
    steps: list[Step] = field(default_factory=list)
    asked: list[Asked] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    late: list[Late] = field(default_factory=list)
    dead: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    drained: set[str] = field(default_factory=set)
    slots_refused: bool = False
    sent_nonces: set[str] = field(default_factory=set)
    sent_requests: set[int] = field(default_factory=set)
    wrong_sends: list[str] = field(default_factory=list)
    nodes: dict[str, Node] = field(default_factory=dict)

    async def park(self, instance: str, label: str, *, due: float = 0.0) -> Fault:
        """Wait until the test lets this step go on; for ever on a dead instance."""
        gate = asyncio.get_running_loop().create_future()
        step = Step(instance=instance, label=label, gate=gate, due=due)
        if instance not in self.dead:
            self.steps.append(step)
        try:
            return await gate
        finally:
            if step in self.steps:
                self.steps.remove(step)

    def list_running(self) -> list[Step]:
        """Return the steps of instances that aren't paused."""
        return [step for step in self.steps if step.instance not in self.paused]

    def list_ready(self) -> list[Step]:
        """Return the steps that may go on now or after a few milliseconds."""
        return [step for step in self.list_running() if step.due <= self.now + SHORT_S]

    def list_timers(self) -> list[Step]:
        """Return the timers that take longer."""
        return [step for step in self.list_running() if step.due > self.now + SHORT_S]

    def find_step(self, instance: str, label: str) -> Step | None:
        """Return an instance's first step of that label that is parked."""
        for step in self.steps:
            if step.instance == instance and step.label == label:
                return step
        return None

    async def run_to(self, instance: str, label: str) -> None:
        """Let an instance go on without a fault until it parks at a step of that label."""
        await self.settle()
        while self.find_step(instance, label) is None:
            ready = [step for step in self.list_ready() if step.instance == instance]
            await self.resume(ready[0], Fault.NONE)

    async def resume(self, step: Step, fault: Fault) -> None:
        """Let a step go on; a timer takes the time to its end."""
        if step.due:
            self.advance(max(0.0, step.due - self.now))
        self.steps.remove(step)
        step.gate.set_result(fault)
        await self.settle()

    async def settle(self) -> None:
        """Run the loop until all tasks are parked."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    def advance(self, seconds: float) -> None:
        """Let time pass; the instances that run beat meanwhile."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            for name, node in self.nodes.items():
                if name not in self.dead and name not in self.paused:
                    node.pauses.beat(now=self.now)

    def kill(self, instance: str) -> None:
        """End an instance as kill -9 does: nothing of it goes on, nothing is cleaned up."""
        self.dead.add(instance)
        self.steps = [step for step in self.steps if step.instance != instance]

    def ask(self, instance: str, key: str, body: bytes, *, timeout_s: float = 30.0) -> Asked:
        """Make a caller's request."""
        siblings = [other for other in self.asked if other.key == key]
        for other in siblings:
            other.later_asked = other.later_asked or not other.replied
        asked = Asked(
            number=len(self.asked),
            instance=instance,
            key=key,
            body=body,
            earlier_unanswered=any(not other.replied for other in siblings),
        )
        self.asked.append(asked)
        call = ServiceCall(
            request_id=str(asked.number),
            organisation="acme",
            rule=CallRule(service="ledger", call="settle", idempotent=False, timeout_s=10.0),
            body=body,
            content_type="application/json",
            idempotency_key=key,
            class_name="counter",
            tier=1,
            deadline=self.now + timeout_s,
        )
        asked.task = asyncio.ensure_future(self._await_reply(asked, call))
        return asked

    async def _await_reply(self, asked: Asked, call: ServiceCall) -> None:
        try:
            answer = await self.nodes[asked.instance].calls.run(call)
        except Refusal as refusal:
            reply, answer = refusal, None
        if asked.instance in self.dead:
            return
        asked.answer = answer
        asked.refusal = None if answer is not None else reply
        asked.runs_at_reply = sum(
            run.key == asked.key and run.request != asked.number for run in self.runs
        )

    async def finish(self, *, late_last: bool) -> None:
        """End all faults, let everything that lives go on, and late effects come.

        Args:
            late_last: Whether they come once all else has ended, and not before.
        """
        self.paused.clear()
        self.drained.clear()
        self.slots_refused = False
        for _ in range(2000):
            await self.settle()
            if self.late and not (late_last and self.steps):
                self.late.pop(0).apply()
            elif self.steps:
                step = min(self.steps, key=lambda step: step.due)
                await self.resume(step, Fault.NONE)
            else:
                return
        raise AssertionError("the world does not come to rest")

    def find_violations(self) -> list[str]:
        """Return the promises that were broken; call after `finish`."""
        return [
            *self.wrong_sends,
            *self._find_double_runs(),
            *self._find_false_not_run(),
            *self._find_two_answers(),
            *self._find_unreplied(),
            *self._find_blocked_keys(),
        ]

    def _find_double_runs(self) -> list[str]:
        counts = Counter(run.key for run in self.runs)
        return [f"key {key} ran {count} times" for key, count in counts.items() if count > 1]

    def _find_false_not_run(self) -> list[str]:
        """Find requests told ``not_run`` that ran, or whose key was known to have run."""
        ran = {run.request for run in self.runs}
        unread = (ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.DEADLINE_EXCEEDED)
        found = []
        for asked in self.asked:
            refusal = asked.refusal
            if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
                continue
            if asked.number in ran or asked.number in self.sent_requests:
                found.append(f"request {asked.number} was told not_run and was sent")
            alone = not asked.earlier_unanswered and not asked.later_asked
            reused = refusal.code is ErrorCode.IDEMPOTENCY_KEY_REUSED
            if alone and not reused and refusal.code not in unread and asked.runs_at_reply:
                found.append(f"request {asked.number} was told not_run though its key ran")
        return found

    def _find_two_answers(self) -> list[str]:
        found = []
        answers: dict[str, Answer] = {}
        bodies: dict[str, bytes] = {}
        for asked in self.asked:
            if asked.answer is None:
                continue
            if answers.setdefault(asked.key, asked.answer) != asked.answer:
                found.append(f"key {asked.key} got two answers")
            if bodies.setdefault(asked.key, asked.body) != asked.body:
                found.append(f"key {asked.key} was answered for two bodies")
        return found

    def _find_unreplied(self) -> list[str]:
        return [
            f"request {asked.number} got no reply"
            for asked in self.asked
            if not asked.replied and asked.instance not in self.dead
        ]

    def _find_blocked_keys(self) -> list[str]:
        """Find keys that stay ``started`` though they were not sent and no holder died."""
        found = []
        for row in self.tables.scan(OPERATIONS_TABLE, ""):
            operation = decode_operation(row.value)
            held = self.dead or operation.nonce in self.sent_nonces
            if operation.state is OperationState.STARTED and not held:
                found.append(f"key {operation.key.key} is blocked though it was not sent")
        return found


class WorldClock(Clock):
    """The world's time; sleeping parks."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance

    def read_monotonic(self) -> float:
        """Return the world's time."""
        return self.world.now

    def read_wall(self) -> float:
        """Return the world's time."""
        return self.world.now

    async def sleep(self, seconds: float) -> None:
        """Park until the time has come."""
        await self.world.park(self.instance, "timer", due=self.world.now + seconds)


class WorldPlatform(PlatformClient):
    """One instance's access to the world's tables."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance
        self.objects: dict[str, bytes] = {}

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Park, write under the step's fault, park, answer."""
        tables = self.world.tables
        fault = await self.world.park(self.instance, "write")
        if fault is Fault.BEFORE:
            raise PlatformUnavailable("down")
        if fault is Fault.LATE:
            self.world.late.append(Late(apply=lambda: _try_transact(tables, checks, writes)))
        if fault in (Fault.LATE, Fault.LOST_BEFORE):
            raise PlatformAnswerLost("lost")
        versions = tables.transact(checks, writes)
        if fault is Fault.LOST_AFTER:
            raise PlatformAnswerLost("lost")
        await self.world.park(self.instance, "written")
        return versions

    async def read(self, table: str, key: str) -> Row:
        """Park, then read unless the step fails."""
        if await self.world.park(self.instance, "read") is not Fault.NONE:
            raise PlatformUnavailable("down")
        row = self.world.tables.read(table, key)
        await self.world.park(self.instance, "was read")
        return row

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the rows at once."""
        return self.world.tables.scan(table, prefix)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store at once."""
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """Return the object at once."""
        return self.objects.get(name)

    async def list_instances(self) -> list[ListedInstance]:
        """Return none."""
        return []


def _try_transact(tables: TableState, checks: list[Check], writes: list[Write]) -> None:
    if all(tables.read(check.table, check.key).version == check.version for check in checks):
        tables.transact(checks, writes)


class WorldSender(EndpointSender):
    """Sends to endpoints that run whatever arrives."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance

    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Answer:
        """Park at the connect, in mid-send and before the answer."""
        world = self.world
        if await world.park(self.instance, "connect") is Fault.BEFORE:
            raise NotSent("refused")
        before_write()
        self._note_send(call)
        fault = await world.park(self.instance, "sent")
        if fault is Fault.LATE:
            world.late.append(Late(apply=lambda: self._run(call)))
        if fault in (Fault.BEFORE, Fault.LOST_BEFORE, Fault.LATE):
            raise AnswerLost("cut")
        answer = self._run(call)
        if fault is Fault.LOST_AFTER or await world.park(self.instance, "ran") is not Fault.NONE:
            raise AnswerLost("cut")
        return answer

    def _note_send(self, call: EndpointCall) -> None:
        world = self.world
        world.sent_requests.add(int(call.request_id))
        for row in world.tables.scan(OPERATIONS_TABLE, ""):
            operation = decode_operation(row.value)
            if operation.key.key == call.idempotency_key:
                world.sent_nonces.add(operation.nonce)
        if call.url in world.drained:
            world.wrong_sends.append(f"request {call.request_id} was sent to a drained endpoint")
        if not world.nodes[self.instance].pauses.is_settled(now=world.now):
            world.wrong_sends.append(f"request {call.request_id} was sent right after a pause")

    def _run(self, call: EndpointCall) -> Answer:
        self.world.runs.append(Run(request=int(call.request_id), key=call.idempotency_key))
        body = f"run {len(self.world.runs)} of {call.body.decode()}".encode()
        return Answer(status=200, content_type="text/plain", body=body)


class WorldGrant(SlotGrant):
    """A slot of one endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self.released = 0

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint."""
        return self._endpoint

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:  # noqa: ARG002
        """Count the releases; a second one is an error."""
        self.released += 1
        assert self.released == 1, "a slot was released twice"


class WorldSlots(SlotSource):
    """Grants the first endpoint that is not excluded."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance
        self.grants: list[WorldGrant] = []

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Park, then grant or refuse."""
        fault = await self.world.park(self.instance, "slot")
        left = [endpoint for endpoint in ENDPOINTS if endpoint.name not in excluded]
        if fault is Fault.BEFORE or self.world.slots_refused or not left:
            raise SlotUnavailable(ErrorCode.SHED, call.rule.service, status=503, retry_after_s=1)
        self.grants.append(WorldGrant(left[0]))
        return self.grants[-1]


class WorldGate(SendGate):
    """The configuration in force: which endpoints are drained."""

    def __init__(self, world: World) -> None:
        self.world = world

    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint isn't drained."""
        return endpoint.name not in self.world.drained


class NoRetries(RetryPolicy):
    """Never retries."""

    def record_success(self, call: ServiceCall) -> None:
        """Do nothing."""

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        """Return that there is no retry."""
        return None


class Node:
    """One instance's entry, made of the code that runs in the daemon."""

    def __init__(self, world: World, name: str) -> None:
        clock = WorldClock(world, name)
        client = GroupCommit(client=WorldPlatform(world, name), clock=clock)
        self.pauses = PauseWatch(now=world.now)
        self.slots = WorldSlots(world, name)
        self.calls = ServiceCalls(
            store=OperationStore(client=client, clock=clock),
            slots=self.slots,
            sender=WorldSender(world, name),
            gate=WorldGate(world),
            pauses=self.pauses,
            retries=NoRetries(),
            clock=clock,
        )


def make_world(*names: str) -> World:
    """Return a world with these instances; call with a running loop."""
    world = World()
    for name in names:
        world.nodes[name] = Node(world, name)
    return world
