"""Calls of plain services, from the caller's request to its single response.

An HTTP handler builds a `ServiceCall` from its request and awaits `ServiceCalls.run`::

    try:
        response = await service_calls.run(call)
    except Refusal as refusal:
        write_refusal(refusal)         # status, code, outcome, Retry-After
    else:
        self.set_status(response.status)
        self.set_header("Content-Type", response.content_type)
        self.finish(response.body)

``GET /v1/operations/{key}`` awaits `ServiceCalls.get_operation` in the same way. A handler may be
cancelled at any time: a non-idempotent call continues on its own until its response is recorded,
and a daemon that shuts down awaits `ServiceCalls.drain` before it exits. The daemon calls
``PauseWatch.beat`` every ``BEAT_INTERVAL_S``, as every call is rejected otherwise, and runs
`ServiceCalls.delete_expired`, which never returns, in a task of its own.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.at_most_once_fetch import AnswerLost, NotSent
from guavamast.at_most_once_runs import PLATFORM_RETRY_AFTER_S, SEND_RETRY_AFTER_S, AtMostOnceRunner
from guavamast.attempts import AttemptRunner, Obstructed, StopFlag
from guavamast.deferred_writes import DeferredWrites
from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.metrics import NoMetrics
from guavamast.operation_store import AnswerMissing
from guavamast.operations import (
    Operation,
    OperationKey,
    OperationState,
    compute_sweep_interval,
    select_sweep_prefix,
)
from guavamast.platform_client import PlatformUnavailable
from guavamast.service_call import (
    RetryPolicy,
    ServiceCall,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from guavamast.at_most_once_runs import AtMostOnceRun
    from guavamast.clocks import Clock
    from guavamast.endpoint_sender import EndpointSender
    from guavamast.metrics import Metrics
    from guavamast.operation_store import OperationStore
    from guavamast.operations import Response
    from guavamast.send_gates import PauseDetector, SendGate

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
"""Response statuses of an endpoint after which an idempotent call may be retried at another."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OperationView:
    """What a caller may see of its non-idempotent call."""

    state: OperationState
    started_at: float
    ended_at: float
    response: Response | None


def owns_every_prefix(prefix: str) -> bool:  # noqa: ARG001
    """Return True for every part of the table, as a single instance cleans up all of them."""
    return True


class ServiceCalls:
    """Runs calls of plain services.

    Args:
        store: Stores the rows of non-idempotent calls.
        slots: Source of slots.
        sender: Sends to endpoints.
        gate: Checks right before a send that the configuration still allows it.
        pauses: Detects that this process was paused.
        retries: Retry policy of idempotent calls.
        clock: Source of times.
        metrics: Receives the counts of operations.
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
        pauses: PauseDetector,
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
        self._repairs = DeferredWrites(clock=clock, metrics=metrics)
        self._single_runner = AtMostOnceRunner(
            store=store,
            slots=slots,
            attempts=self._attempts,
            repairs=self._repairs,
            clock=clock,
            metrics=metrics,
        )
        self._tasks: set[asyncio.Task[Response]] = set()

    async def run(self, call: ServiceCall) -> Response:
        """Run a call and return its response.

        Raises:
            Refusal: There is no response; the outcome says what is known.
        """
        if call.rule.idempotent:
            return await self._run_idempotent(call)
        run = self._single_runner.prepare(call)
        return await self._wait_until_deadline(run)

    async def get_operation(self, organisation: str, key: str) -> OperationView:
        """Return the state of an organisation's non-idempotent call.

        Raises:
            Refusal: There is no such key, or its row can't be read now.
        """
        try:
            operation = await self._store.find(OperationKey(organisation=organisation, key=key))
            if operation is None:
                raise _build_unknown_key_rejection()
            return await self._build_view(operation)
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
        self, *, retention_s: float, owns_prefix: Callable[[str], bool] = owns_every_prefix
    ) -> None:
        """Delete expired rows periodically, one part of the table at a time; never return.

        Args:
            retention_s: Age in seconds from which a finished row may be deleted.
            owns_prefix: Whether this instance cleans up the part with that prefix. By default each
                instance scans the whole table once per retention period; it is harmless when two
                instances clean up the same part.
        """
        while True:
            prefix = select_sweep_prefix(retention_s=retention_s, now=self._clock.read_wall())
            if owns_prefix(prefix):
                with suppress(PlatformUnavailable):
                    await self._store.delete_expired(prefix, retention_s=retention_s)
            await self._clock.sleep(compute_sweep_interval(retention_s))

    async def _wait_until_deadline(self, run: AtMostOnceRun) -> Response:
        """Wait for a run, which continues on its own after the deadline.

        The run may outlast the caller, so that its response is recorded for the caller's next
        request. After the deadline ``stop`` prevents an unsent run from being sent, so that
        ``not_run`` stays true.
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
        raise self._single_runner.create_unread_rejection(
            run, ErrorCode.DEADLINE_EXCEEDED, "the deadline has passed", status=504
        )

    def _start(self, work: Coroutine[None, None, Response]) -> asyncio.Task[Response]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._discard_task)
        return task

    def _discard_task(self, task: asyncio.Task[Response]) -> None:
        """Remove a finished task and retrieve its exception, as its caller may be gone."""
        self._tasks.discard(task)
        if not task.cancelled():
            task.exception()

    async def _build_view(self, operation: Operation) -> OperationView:
        recorded = operation.response
        return OperationView(
            state=operation.state,
            started_at=operation.started_at,
            ended_at=operation.ended_at,
            response=None if recorded is None else await self._store.load_response(recorded),
        )

    async def _run_idempotent(self, call: ServiceCall) -> Response:
        latch = SendLatch()
        failed: frozenset[str] = frozenset()
        attempt = 0
        while True:
            attempt += 1
            grant = await self._acquire(call, latch, failed)
            failed |= {grant.endpoint.name}
            response: Response | None = None
            try:
                response = await self._send_idempotent(call, grant, latch)
            except (NotSent, AnswerLost, Obstructed) as error:
                last_error = error
            if response is not None and response.status not in RETRIED_STATUSES:
                self._retries.record_success(call)
                return response
            wait_s = self._retries.plan(call, attempt=attempt, now=self._clock.read_monotonic())
            if wait_s is None:
                if response is not None:
                    return response
                raise _build_rejection(latch, last_error)
            await self._clock.sleep(wait_s)

    async def _acquire(
        self, call: ServiceCall, latch: SendLatch, failed: frozenset[str]
    ) -> SlotGrant:
        try:
            return await self._slots.acquire(call, excluded=failed)
        except SlotUnavailable as error:
            raise latch.reject(
                error.code, error.message, status=error.status, retry_after_s=error.retry_after_s
            ) from None

    async def _send_idempotent(
        self, call: ServiceCall, grant: SlotGrant, latch: SendLatch
    ) -> Response:
        remaining_s = call.deadline - self._clock.read_monotonic()
        timeout_s = max(0.001, min(call.rule.timeout_s, remaining_s))
        return await self._attempts.send(call, grant, latch, StopFlag(), timeout_s=timeout_s)


def _build_rejection(latch: SendLatch, error: Exception) -> Refusal:
    if isinstance(error, Obstructed) and error.code is ErrorCode.DEADLINE_EXCEEDED:
        return latch.reject(error.code, "the deadline has passed", status=504)
    code = ErrorCode.ENDPOINT_FAILED if latch.sent else ErrorCode.NO_ENDPOINT
    message = "no endpoint returned a complete response"
    return latch.reject(code, message, status=503, retry_after_s=SEND_RETRY_AFTER_S)


def _build_unknown_key_rejection() -> Refusal:
    """Build the rejection for a key without a row: it never started, or its row was deleted."""
    return Refusal(
        ErrorCode.NOT_FOUND,
        "no call with this key is known; it never started or its record has expired",
        status=404,
        outcome=Outcome.OUTCOME_UNKNOWN,
    )
