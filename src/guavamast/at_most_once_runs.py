"""At-most-once runs of non-idempotent calls, across retries by callers at any instance."""

from __future__ import annotations

import secrets
from collections import OrderedDict
from typing import TYPE_CHECKING, Final, NoReturn

from guavamast.at_most_once_fetch import NotSent
from guavamast.attempts import Obstructed, StopFlag
from guavamast.errors import ErrorCode, GuavamastError, Outcome, Refusal, SendLatch
from guavamast.operation_store import AnswerMissing, Claim, ClaimUnsettled
from guavamast.operations import (
    DUE_MARGIN_S,
    Insert,
    KeyReused,
    Operation,
    OperationKey,
    OperationState,
    Recorded,
    Running,
    check_key,
    compute_request_digest,
    decide_claim,
)
from guavamast.platform_client import PlatformAnswerLost, PlatformUnavailable
from guavamast.service_call import SlotUnavailable

if TYPE_CHECKING:
    from guavamast.attempts import AttemptRunner
    from guavamast.clocks import Clock
    from guavamast.deferred_writes import DeferredWrites
    from guavamast.metrics import Metrics
    from guavamast.operation_store import OperationStore
    from guavamast.operations import ClaimDecision, Response
    from guavamast.service_call import ServiceCall, SlotGrant, SlotSource

PLATFORM_RETRY_AFTER_S: Final = 5.0
"""Retry-After for callers while the platform is down."""

SEND_RETRY_AFTER_S: Final = 1.0
"""Retry-After for callers when the call was not sent or is still in progress."""

SEND_ATTEMPTS: Final = 3
"""Endpoints at which one call is attempted while no byte of it was sent."""

RECORD_ATTEMPTS: Final = 2
"""Attempts to record a response before it is returned and recorded in the background."""

MAX_SENT_KEYS: Final = 10_000
"""Latest sent keys that a process keeps in memory, for rejections while the platform is down."""


class AtMostOnceRun:
    """State of one caller's request to run a call under a key.

    Args:
        call: The request.
        now: Wall time.
        remaining_s: Time until the caller's deadline.
    """

    __slots__ = ("call", "latch", "stop", "operation")

    def __init__(self, *, call: ServiceCall, now: float, remaining_s: float) -> None:
        self.call = call
        self.latch = SendLatch()
        self.stop = StopFlag()
        rule = call.rule
        self.operation = Operation(
            key=OperationKey(organisation=call.organisation, key=call.idempotency_key),
            nonce=secrets.token_hex(16),
            request_digest=compute_request_digest(rule.service, rule.call, call.body),
            state=OperationState.STARTED,
            started_at=now,
            due_at=now + max(0.0, remaining_s) + rule.timeout_s + DUE_MARGIN_S,
        )


class AtMostOnceRunner:
    """Runs non-idempotent calls.

    The order is: look up the key, acquire a slot, insert the row, connect, check again, send,
    record, respond. The look-up comes first so that calls are rejected at once in an outage, a
    recorded response needs no slot, and a rejection for lack of a slot is never ``not_run`` for a
    key that ran before.

    Args:
        store: Rows of the operations.
        slots: Grants slots.
        attempts: Sends after the last check.
        repairs: Retries writes in the background while the platform is down.
        clock: Source of the present time.
        metrics: Counts claims, recorded responses and unknown outcomes.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_metrics",
        "_repairs",
        "_sent_keys",
        "_slots",
        "_store",
    )

    def __init__(
        self,
        *,
        store: OperationStore,
        slots: SlotSource,
        attempts: AttemptRunner,
        repairs: DeferredWrites,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._metrics = metrics
        self._store = store
        self._slots = slots
        self._attempts = attempts
        self._repairs = repairs
        self._clock = clock
        self._sent_keys: OrderedDict[OperationKey, None] = OrderedDict()

    def prepare(self, call: ServiceCall) -> AtMostOnceRun:
        """Return the state of a new request.

        Raises:
            Refusal: The key is invalid.
        """
        try:
            check_key(call.idempotency_key)
        except GuavamastError as error:
            raise SendLatch().reject(error.code, error.message, status=400) from None
        remaining_s = call.deadline - self._clock.read_monotonic()
        return AtMostOnceRun(call=call, now=self._clock.read_wall(), remaining_s=remaining_s)

    async def run(self, run: AtMostOnceRun) -> Response:
        """Run the call unless its key ran before.

        Returns:
            The response of the key's only run.

        Raises:
            Refusal: There is no response; the outcome says what is known about the run.
        """
        if self._repairs.is_full:
            raise self._create_platform_rejection(run, "too many rows wait to be written")
        earlier = await self._look_up(run)
        if earlier is not None:
            return earlier
        try:
            grant = await self._slots.acquire(run.call, excluded=frozenset())
        except SlotUnavailable as error:
            earlier = await self._look_up(run)
            if earlier is not None:
                return earlier
            raise run.latch.reject(
                error.code, error.message, status=error.status, retry_after_s=error.retry_after_s
            ) from None
        return await self._run_with_slot(run, grant)

    async def _look_up(self, run: AtMostOnceRun) -> Response | None:
        """Return the key's recorded response, or None when the key is free."""
        try:
            found = await self._store.find(run.operation.key)
        except PlatformUnavailable as error:
            raise self._create_platform_rejection(run, error.message) from None
        now = self._clock.read_wall()
        decision = decide_claim(run.operation, found, version=0, now=now)
        return None if isinstance(decision, Insert) else await self._serve_existing(run, decision)

    async def _run_with_slot(self, run: AtMostOnceRun, grant: SlotGrant) -> Response:
        try:
            self._attempts.check(run.call, grant.endpoint)
            claim = await self._claim(run)
        except Obstructed as error:
            grant.release(used=False, failed=False, duration_s=0.0)
            raise _create_unsent_rejection(run, error) from None
        except BaseException:
            grant.release(used=False, failed=False, duration_s=0.0)
            raise
        if not isinstance(claim, Claim):
            grant.release(used=False, failed=False, duration_s=0.0)
            return await self._serve_existing(run, claim)
        self._metrics.count("operations.claimed")
        response = await self._send(run, grant)
        await self._record(claim, response)
        return response

    async def _claim(self, run: AtMostOnceRun) -> Claim | ClaimDecision:
        try:
            return await self._store.claim(run.operation)
        except ClaimUnsettled as error:
            self._repairs.add(lambda: self._store.mark_not_run(run.operation, run.latch))
            raise self._create_platform_rejection(run, error.message) from None
        except PlatformUnavailable as error:
            raise self._create_platform_rejection(run, error.message) from None

    async def _send(self, run: AtMostOnceRun, grant: SlotGrant) -> Response:
        """Send the call; try other endpoints as long as no byte was sent."""
        failed: frozenset[str] = frozenset()
        try:
            while True:
                failed |= {grant.endpoint.name}
                try:
                    return await self._send_to(run, grant)
                except (NotSent, Obstructed) as error:
                    grant = await self._acquire_other(run, failed, error)
        except Exception as error:
            await self._settle_failure(run, error)
        finally:
            if run.latch.sent:
                self._record_sent_key(run.operation.key)

    async def _send_to(self, run: AtMostOnceRun, grant: SlotGrant) -> Response:
        timeout_s = run.call.rule.timeout_s
        return await self._attempts.send(run.call, grant, run.latch, run.stop, timeout_s=timeout_s)

    async def _acquire_other(
        self, run: AtMostOnceRun, failed: frozenset[str], error: NotSent | Obstructed
    ) -> SlotGrant:
        """Return a slot of another endpoint, or raise the last attempt's error."""
        expired = isinstance(error, Obstructed) and error.code is ErrorCode.DEADLINE_EXCEEDED
        if run.latch.sent or expired or len(failed) >= SEND_ATTEMPTS:
            raise error
        try:
            return await self._slots.acquire(run.call, excluded=failed)
        except SlotUnavailable:
            raise error from None

    async def _settle_failure(self, run: AtMostOnceRun, error: Exception) -> NoReturn:
        """Reject after a send without a response.

        The row of a call that may have been sent stays ``started`` for good, as nothing can tell
        whether it ran.
        """
        if run.latch.sent:
            self._metrics.count("operations.unknown")
            message = "the endpoint's response was lost; the call may have run"
            raise run.latch.reject(ErrorCode.ENDPOINT_FAILED, message, status=503) from error
        try:
            await self._store.mark_not_run(run.operation, run.latch)
        except (PlatformUnavailable, PlatformAnswerLost):
            self._repairs.add(lambda: self._store.mark_not_run(run.operation, run.latch))
        raise _create_unsent_rejection(run, error) from error

    async def _record(self, claim: Claim, response: Response) -> None:
        """Record a response, in the background if the first attempts fail.

        The caller gets the response either way: it is the only one this key can have. Until it is
        recorded, retries of the key get ``in_progress`` or ``outcome_unknown``.
        """
        for _ in range(RECORD_ATTEMPTS):
            try:
                await self._store.record(claim, response)
                self._metrics.count("operations.recorded")
                return
            except (PlatformUnavailable, PlatformAnswerLost):
                continue
        self._repairs.add(lambda: self._store.record(claim, response))

    async def _serve_existing(self, run: AtMostOnceRun, decision: ClaimDecision) -> Response:
        """Return the recorded response, or reject a request whose key is not free.

        The latch only covers this request, which did not run, but its key may have. A caller that
        reads ``not_run`` would repeat the call under a new key and run it twice.
        """
        if isinstance(decision, Recorded):
            return await self._serve_recorded(decision)
        if isinstance(decision, KeyReused):
            message = "the key was used for another call or body; this one did not run"
            raise run.latch.reject(ErrorCode.IDEMPOTENCY_KEY_REUSED, message, status=422)
        if isinstance(decision, Running):
            raise Refusal(
                ErrorCode.IN_PROGRESS,
                "the call is in progress; retry later",
                status=409,
                outcome=Outcome.OUTCOME_UNKNOWN,
                retry_after_s=max(SEND_RETRY_AFTER_S, decision.retry_after_s),
            )
        message = "the call was started and its outcome is unknown; it is not run again"
        raise Refusal(
            ErrorCode.OUTCOME_UNKNOWN, message, status=503, outcome=Outcome.OUTCOME_UNKNOWN
        )

    async def _serve_recorded(self, decision: Recorded) -> Response:
        try:
            return await self._store.load_response(decision.response)
        except (PlatformUnavailable, AnswerMissing) as error:
            raise Refusal(
                error.code,
                "the call ran; its recorded response can't be read now",
                status=503,
                outcome=Outcome.OUTCOME_UNKNOWN,
                retry_after_s=PLATFORM_RETRY_AFTER_S,
            ) from None

    def create_unread_rejection(
        self,
        run: AtMostOnceRun,
        code: ErrorCode,
        message: str,
        *,
        status: int,
        retry_after_s: float | None = None,
    ) -> Refusal:
        """Create the rejection of a call whose row could not be read or written in time.

        The outcome is that of this request. A key that this process has sent before may have run,
        so it gets ``outcome_unknown``; keys sent by other processes are not known here.
        """
        if run.latch.sent or run.operation.key in self._sent_keys:
            unknown = Outcome.OUTCOME_UNKNOWN
            return Refusal(
                code, message, status=status, outcome=unknown, retry_after_s=retry_after_s
            )
        return run.latch.reject(code, message, status=status, retry_after_s=retry_after_s)

    def _create_platform_rejection(self, run: AtMostOnceRun, message: str) -> Refusal:
        return self.create_unread_rejection(
            run,
            ErrorCode.PLATFORM_UNAVAILABLE,
            message,
            status=503,
            retry_after_s=PLATFORM_RETRY_AFTER_S,
        )

    def _record_sent_key(self, key: OperationKey) -> None:
        self._sent_keys[key] = None
        self._sent_keys.move_to_end(key)
        while len(self._sent_keys) > MAX_SENT_KEYS:
            self._sent_keys.popitem(last=False)


def _create_unsent_rejection(run: AtMostOnceRun, error: Exception) -> Refusal:
    """Create the rejection after a send that did not begin, as the latch proves."""
    if isinstance(error, Obstructed) and error.code is ErrorCode.DEADLINE_EXCEEDED:
        return run.latch.reject(error.code, "the deadline has passed", status=504)
    unsent = isinstance(error, Obstructed | NotSent)
    code = ErrorCode.NO_ENDPOINT if unsent else ErrorCode.INTERNAL
    message = "the call could not be sent to an endpoint; nothing was sent"
    return run.latch.reject(code, message, status=503, retry_after_s=SEND_RETRY_AFTER_S)
