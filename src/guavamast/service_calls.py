"""Calls of plain services, from the caller's request to its one answer.

An HTTP handler makes a `ServiceCall` of its request and awaits `ServiceCalls.run`::

    try:
        answer = await service_calls.run(call)
    except Refusal as refusal:
        write_refusal(refusal)         # status, code, outcome, Retry-After
    else:
        self.set_status(answer.status)
        self.set_header("Content-Type", answer.content_type)
        self.finish(answer.body)

``GET /v1/operations/{key}`` awaits `ServiceCalls.show` in the same way. A handler may be cancelled
at any time: a non-idempotent call goes on by itself until its answer is recorded, and a daemon
that leaves awaits `ServiceCalls.drain` before it exits. The daemon calls ``PauseWatch.beat`` every
``BEAT_INTERVAL_S``, else every call is refused, and awaits `ServiceCalls.delete_expired` for ever
in a task of its own.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.attempts import AttemptRunner, Obstructed, Stop
from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.metrics import NoMetrics
from guavamast.operation_store import AnswerMissing
from guavamast.operations import (
    Operation,
    OperationKey,
    OperationState,
    compute_sweep_interval,
    find_due_prefix,
)
from guavamast.platform_client import PlatformUnavailable
from guavamast.repairs import Repairs
from guavamast.service_call import (
    RetryPolicy,
    ServiceCall,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)
from guavamast.single_fetch import AnswerLost, NotSent
from guavamast.single_runs import PLATFORM_RETRY_AFTER_S, SEND_RETRY_AFTER_S, SingleRunner

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from guavamast.clocks import Clock
    from guavamast.endpoint_sender import EndpointSender
    from guavamast.metrics import Metrics
    from guavamast.operation_store import OperationStore
    from guavamast.operations import Answer
    from guavamast.send_gates import PauseWatch, SendGate
    from guavamast.single_runs import SingleRun

__all__ = [
    "OperationView",
    "RetryPolicy",
    "ServiceCall",
    "ServiceCalls",
    "SlotGrant",
    "SlotSource",
    "SlotUnavailable",
]

RETRIED_STATUSES: Final = frozenset({502, 503, 504})
"""Answers of an endpoint after which an idempotent call may go to another."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationView:
    """What a caller may see of its non-idempotent call."""

    state: OperationState
    started_at: float
    ended_at: float
    answer: Answer | None


def take_all(prefix: str) -> bool:  # noqa: ARG001
    """Take every part of the table, as a lone instance does."""
    return True


class ServiceCalls:
    """Runs calls of plain services.

    Args:
        store: The rows of non-idempotent calls.
        slots: Where slots come from.
        sender: Sends to endpoints.
        gate: The configuration's word right before a send.
        pauses: Whether this process was paused.
        retries: For idempotent calls.
        clock: Source of times.
        metrics: Where counts of operations go.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_repairs",
        "_retries",
        "_single_runner",
        "_slots",
        "_store",
        "_tasks",
    )

    def __init__(
        self,
        *,
        store: OperationStore,
        slots: SlotSource,
        sender: EndpointSender,
        gate: SendGate,
        pauses: PauseWatch,
        retries: RetryPolicy,
        clock: Clock,
        metrics: Metrics | None = None,
    ) -> None:
        self._store = store
        self._slots = slots
        self._retries = retries
        self._clock = clock
        self._attempts = AttemptRunner(sender=sender, gate=gate, pauses=pauses, clock=clock)
        metrics = metrics or NoMetrics()
        self._repairs = Repairs(clock=clock, metrics=metrics)
        self._single_runner = SingleRunner(
            store=store,
            slots=slots,
            attempts=self._attempts,
            repairs=self._repairs,
            clock=clock,
            metrics=metrics,
        )
        self._tasks: set[asyncio.Task[Answer]] = set()

    async def run(self, call: ServiceCall) -> Answer:
        """Run a call and return its answer.

        Raises:
            Refusal: There is no answer; the outcome says what is known.
        """
        if call.rule.idempotent:
            return await self._run_idempotent(call)
        run = self._single_runner.prepare(call)
        return await self._wait_until_deadline(run)

    async def show(self, organisation: str, key: str) -> OperationView:
        """Return the state of an organisation's non-idempotent call.

        Raises:
            Refusal: There is no such key, or its row can't be read now.
        """
        try:
            operation = await self._store.find(OperationKey(organisation=organisation, key=key))
            if operation is None:
                raise _refuse_unknown_key()
            return await self._make_view(operation)
        except (PlatformUnavailable, AnswerMissing) as error:
            raise Refusal(
                error.code,
                error.message,
                status=503,
                outcome=Outcome.OUTCOME_UNKNOWN,
                retry_after_s=PLATFORM_RETRY_AFTER_S,
            ) from None

    async def drain(self) -> None:
        """Wait until all non-idempotent calls have ended and are recorded."""
        while self._tasks:
            await asyncio.wait(self._tasks)
        await self._repairs.drain()

    async def delete_expired(
        self, *, retention_s: float, is_mine: Callable[[str], bool] = take_all
    ) -> None:
        """Delete old rows for ever, a part of the table at a time.

        Args:
            retention_s: Age at which a finished row may go.
            is_mine: Whether this instance takes the part with that prefix. Without a division each
                instance scans the whole table once a retention period; two that both take a part
                do no harm.
        """
        while True:
            prefix = find_due_prefix(retention_s=retention_s, now=self._clock.read_wall())
            if is_mine(prefix):
                with suppress(PlatformUnavailable):
                    await self._store.delete_expired(prefix, retention_s=retention_s)
            await self._clock.sleep(compute_sweep_interval(retention_s))

    async def _wait_until_deadline(self, run: SingleRun) -> Answer:
        """Wait for a run that goes on by itself.

        The run may outlast the caller, so that its answer is recorded for the next time. After the
        deadline ``stop`` keeps an unsent run from being sent, so ``not_run`` stays true.
        """
        task = self._start(self._single_runner.run(run))
        remaining_s = run.call.deadline - self._clock.read_monotonic()
        timer = asyncio.ensure_future(self._clock.sleep(max(0.0, remaining_s)))
        try:
            await asyncio.wait({task, timer}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            timer.cancel()
        if task.done():
            return task.result()
        run.stop.is_set = True
        raise self._single_runner.refuse_unread(
            run, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", status=504
        )

    def _start(self, work: Coroutine[None, None, Answer]) -> asyncio.Task[Answer]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def _forget(self, task: asyncio.Task[Answer]) -> None:
        """Drop an ended task; its result may have lost its caller."""
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _make_view(self, operation: Operation) -> OperationView:
        recorded = operation.answer
        return OperationView(
            state=operation.state,
            started_at=operation.started_at,
            ended_at=operation.ended_at,
            answer=None if recorded is None else await self._store.load_answer(recorded),
        )

    async def _run_idempotent(self, call: ServiceCall) -> Answer:
        latch = SendLatch()
        failed: frozenset[str] = frozenset()
        attempt = 0
        while True:
            attempt += 1
            grant = await self._acquire(call, latch, failed)
            failed |= {grant.endpoint.name}
            answer: Answer | None = None
            try:
                answer = await self._send_idempotent(call, grant, latch)
            except (NotSent, AnswerLost, Obstructed) as error:
                reason = error
            if answer is not None and answer.status not in RETRIED_STATUSES:
                self._retries.record_success(call)
                return answer
            wait_s = self._retries.plan(call, attempt=attempt, now=self._clock.read_monotonic())
            if wait_s is None:
                if answer is not None:
                    return answer
                raise _refuse_idempotent(latch, reason)
            await self._clock.sleep(wait_s)

    async def _acquire(
        self, call: ServiceCall, latch: SendLatch, failed: frozenset[str]
    ) -> SlotGrant:
        try:
            return await self._slots.acquire(call, excluded=failed)
        except SlotUnavailable as error:
            raise latch.refuse(
                error.code, error.message, status=error.status, retry_after_s=error.retry_after_s
            ) from None

    async def _send_idempotent(
        self, call: ServiceCall, grant: SlotGrant, latch: SendLatch
    ) -> Answer:
        remaining_s = call.deadline - self._clock.read_monotonic()
        timeout_s = max(0.001, min(call.rule.timeout_s, remaining_s))
        return await self._attempts.send(call, grant, latch, Stop(), timeout_s=timeout_s)


def _refuse_idempotent(latch: SendLatch, reason: Exception) -> Refusal:
    if isinstance(reason, Obstructed) and reason.code is ErrorCode.DEADLINE_EXCEEDED:
        return latch.refuse(reason.code, "the deadline has passed", status=504)
    code = ErrorCode.ENDPOINT_FAILED if latch.sent else ErrorCode.NO_ENDPOINT
    message = "no endpoint gave a whole answer"
    return latch.refuse(code, message, status=503, retry_after_s=SEND_RETRY_AFTER_S)


def _refuse_unknown_key() -> Refusal:
    """Make the answer for a key without a row: it never started, or its row was deleted."""
    return Refusal(
        ErrorCode.NOT_FOUND,
        "no call with this key is known; it never started or its record has expired",
        status=404,
        outcome=Outcome.OUTCOME_UNKNOWN,
    )
