"""A simulation of non-idempotent calls, in which a test decides the order and fault of each step.

Each read or write of the platform, each connect, run and response of the endpoint and each timer
parks until the test resumes it, with or without a fault. Instances can be paused and killed
between any two steps, and effects can be delayed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, Outcome, Refusal
from guavamast.fleet_objects import CallRule
from guavamast.operations import (
    OPERATIONS_TABLE,
    Operation,
    OperationKey,
    OperationState,
    Response,
    compute_request_digest,
    decode_operation,
    encode_operation,
)
from guavamast.platform_client import Write
from guavamast.service_call import ServiceCall
from guavamast.standins.platform import TableState

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.operation_fakes import Node

READY_TIMER_S = 0.01
"""Timers up to this duration count as ready, such as the window of a group commit."""

SETTLE_ROUNDS = 16
"""Rounds of the event loop after which all tasks are parked again."""


class Fault(Enum):
    """Fault with which a step is resumed."""

    NONE = "none"
    BEFORE = "before"
    """It fails before any effect, and the caller knows that."""
    LOST_BEFORE = "lost_before"
    """It has no effect, and the response is lost."""
    LOST_AFTER = "lost_after"
    """It has its effect, and the response is lost."""
    LATE = "late"
    """The response is lost, and the effect happens later."""


FAULTS = tuple(Fault)


@dataclass(slots=True, kw_only=True, eq=False)
class Step:
    """A parked coroutine."""

    instance: str
    label: str
    gate: asyncio.Future[Fault]
    due: float = 0.0


@dataclass(slots=True, kw_only=True, eq=False)
class CallerRequest:
    """A caller's request and its reply."""

    number: int
    instance: str
    key: str
    body: bytes
    deadline: float
    earlier_unanswered: bool
    """Whether another request of the key had no reply when this one was made."""
    task: asyncio.Task[None] | None = None
    response: Response | None = None
    refusal: Refusal | None = None
    runs_at_reply: int = 0
    """Runs of the key by other requests when this one had its reply."""
    later_requested: bool = False
    """Whether another request of the key was made before this one had its reply."""

    @property
    def replied(self) -> bool:
        """Whether the caller has its reply."""
        return self.response is not None or self.refusal is not None


@dataclass(slots=True, kw_only=True)
class Run:
    """One run of a call at an endpoint."""

    request: int
    key: str


@dataclass(slots=True, kw_only=True, eq=False)
class LateEffect:
    """A delayed effect that has not happened yet."""

    apply: Callable[[], None]


@dataclass(slots=True)
class OperationSimulation:
    """All instances, the platform's tables and the endpoints."""

    tables: TableState = field(default_factory=TableState)
    now: float = 1000.0
    steps: list[Step] = field(default_factory=list)
    requests: list[CallerRequest] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    late_effects: list[LateEffect] = field(default_factory=list)
    dead: set[str] = field(default_factory=set)
    paused: set[str] = field(default_factory=set)
    drained: set[str] = field(default_factory=set)
    slots_rejected: bool = False
    sent_nonces: set[str] = field(default_factory=set)
    sent_requests: set[int] = field(default_factory=set)
    forbidden_sends: list[str] = field(default_factory=list)
    nodes: dict[str, Node] = field(default_factory=dict)

    async def park(self, instance: str, label: str, *, due: float = 0.0) -> Fault:
        """Wait until the test resumes this step; for ever on a dead instance."""
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
        """Return the steps that are due now or within `READY_TIMER_S`."""
        return [step for step in self.list_running() if step.due <= self.now + READY_TIMER_S]

    def list_timers(self) -> list[Step]:
        """Return the timers that are due later."""
        return [step for step in self.list_running() if step.due > self.now + READY_TIMER_S]

    def add_not_run_row(self, key: str, body: bytes) -> None:
        """Write the ``not_run`` row of an earlier request."""
        operation = Operation(
            key=OperationKey(organisation="acme", key=key),
            nonce="earlier",
            request_digest=compute_request_digest("ledger", "settle", body),
            state=OperationState.NOT_RUN,
            started_at=self.now,
            due_at=self.now,
        )
        row = Write(
            table=OPERATIONS_TABLE, key=operation.key.row_key, value=encode_operation(operation)
        )
        self.tables.transact([], [row])

    def find_step(self, instance: str, label: str) -> Step | None:
        """Return an instance's first parked step with that label."""
        for step in self.steps:
            if step.instance == instance and step.label == label:
                return step
        return None

    async def run_to(self, instance: str, label: str) -> None:
        """Resume an instance's steps without a fault until it parks at a step with that label."""
        await self.settle()
        while self.find_step(instance, label) is None:
            ready = [step for step in self.list_ready() if step.instance == instance]
            await self.resume(ready[0], Fault.NONE)

    async def resume(self, step: Step, fault: Fault) -> None:
        """Resume a step; a timer first advances the time to its end."""
        if step.due:
            self.advance(max(0.0, step.due - self.now))
        self.steps.remove(step)
        step.gate.set_result(fault)
        await self.settle()

    async def settle(self) -> None:
        """Run the event loop until all tasks are parked."""
        for _ in range(SETTLE_ROUNDS):
            await asyncio.sleep(0)

    def advance(self, seconds: float) -> None:
        """Advance the time; running instances tick their pause watch at least once a second."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(end, self.now + 1.0)
            for name, node in self.nodes.items():
                if name not in self.dead and name not in self.paused:
                    node.pauses.tick(now=self.now)

    def kill(self, instance: str) -> None:
        """Kill an instance as kill -9 does: its steps never resume, and nothing is cleaned up."""
        self.dead.add(instance)
        self.steps = [step for step in self.steps if step.instance != instance]

    def send_request(
        self, instance: str, key: str, body: bytes, *, timeout_s: float = 30.0
    ) -> CallerRequest:
        """Send a caller's request to an instance."""
        siblings = [other for other in self.requests if other.key == key]
        for other in siblings:
            other.later_requested = other.later_requested or not other.replied
        request = CallerRequest(
            number=len(self.requests),
            instance=instance,
            key=key,
            body=body,
            deadline=self.now + timeout_s,
            earlier_unanswered=any(not other.replied for other in siblings),
        )
        self.requests.append(request)
        call = ServiceCall(
            request_id=str(request.number),
            organisation="acme",
            rule=CallRule(service="ledger", call="settle", idempotent=False, timeout_s=10.0),
            body=body,
            content_type="application/json",
            idempotency_key=key,
            class_name="counter",
            tier=1,
            deadline=request.deadline,
        )
        request.task = asyncio.ensure_future(self._await_reply(request, call))
        return request

    async def _await_reply(self, request: CallerRequest, call: ServiceCall) -> None:
        try:
            response = await self.nodes[request.instance].calls.run(call)
        except Refusal as refusal:
            reply, response = refusal, None
        if request.instance in self.dead:
            return
        request.response = response
        request.refusal = None if response is not None else reply
        request.runs_at_reply = sum(
            run.key == request.key and run.request != request.number for run in self.runs
        )

    async def finish(self, *, late_last: bool) -> None:
        """End all faults, resume all live instances, and apply the late effects.

        Args:
            late_last: Whether late effects happen only once all steps have ended.
        """
        self.paused.clear()
        self.drained.clear()
        self.slots_rejected = False
        for _ in range(2000):
            await self.settle()
            if self.late_effects and not (late_last and self.steps):
                self.late_effects.pop(0).apply()
            elif self.steps:
                step = min(self.steps, key=lambda step: step.due)
                await self.resume(step, Fault.NONE)
            else:
                return
        raise AssertionError("the simulation does not end")

    def find_violations(self) -> list[str]:
        """Return the violated guarantees; call after `finish`."""
        return [
            *self.forbidden_sends,
            *self._find_double_runs(),
            *self._find_false_not_run(),
            *self._find_conflicting_responses(),
            *self._find_unreplied(),
            *self._find_blocked_keys(),
            *self._find_unrecorded(),
        ]

    def _find_double_runs(self) -> list[str]:
        counts = Counter(run.key for run in self.runs)
        return [f"key {key} ran {count} times" for key, count in counts.items() if count > 1]

    def _find_false_not_run(self) -> list[str]:
        """Find requests rejected as ``not_run`` that ran, or whose key was known to have run."""
        ran = {run.request for run in self.runs}
        unread = (ErrorCode.PLATFORM_UNAVAILABLE, ErrorCode.DEADLINE_EXCEEDED)
        found = []
        for request in self.requests:
            refusal = request.refusal
            if refusal is None or refusal.outcome is not Outcome.NOT_RUN:
                continue
            if request.number in ran or request.number in self.sent_requests:
                found.append(f"request {request.number} was rejected as not_run and was sent")
            alone = not request.earlier_unanswered and not request.later_requested
            reused = refusal.code is ErrorCode.IDEMPOTENCY_KEY_REUSED
            if alone and not reused and refusal.code not in unread and request.runs_at_reply:
                found.append(f"request {request.number} was rejected as not_run though its key ran")
        return found

    def _find_conflicting_responses(self) -> list[str]:
        found = []
        responses: dict[str, Response] = {}
        bodies: dict[str, bytes] = {}
        for request in self.requests:
            if request.response is None:
                continue
            if responses.setdefault(request.key, request.response) != request.response:
                found.append(f"key {request.key} got two responses")
            if bodies.setdefault(request.key, request.body) != request.body:
                found.append(f"key {request.key} got responses for two bodies")
        return found

    def _find_unreplied(self) -> list[str]:
        return [
            f"request {request.number} got no reply"
            for request in self.requests
            if not request.replied and request.instance not in self.dead
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

    def _find_unrecorded(self) -> list[str]:
        """Find keys whose response reached a caller and was not recorded, though nothing died."""
        rows = self.tables.scan(OPERATIONS_TABLE, "")
        operations = [decode_operation(row.value) for row in rows]
        done = {item.key.key for item in operations if item.state is OperationState.DONE}
        answered_keys = {request.key for request in self.requests if request.response is not None}
        return [f"key {key} is not recorded" for key in answered_keys - done if not self.dead]
