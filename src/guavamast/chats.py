"""Routing of chats: slot, send, validated response, and resumption when an engine fails."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Final

from guavamast.engine_client import EndpointBroken, EngineCall, SendForbidden
from guavamast.errors import ErrorCode, Outcome, Refusal, SendLatch
from guavamast.log import get_logger
from guavamast.response_checker import AnswerInvalid, ResponseChecker
from guavamast.retries import compute_backoff
from guavamast.slot_finder import SlotRequirements
from guavamast.slots import Release

if TYPE_CHECKING:
    import random
    from collections.abc import AsyncIterator, Callable

    from guavamast.caller_input import ChatBody
    from guavamast.engine_client import EngineClient
    from guavamast.entry_state import EntryState
    from guavamast.event_stream import Event
    from guavamast.fleet_objects import Organisation, ServiceClass
    from guavamast.metrics import Metrics
    from guavamast.response_checker import ResponseChunk
    from guavamast.retries import RetryBudget
    from guavamast.send_gates import PauseDetector
    from guavamast.slot_finder import SlotFinder
    from guavamast.slot_hold import SlotHold
    from guavamast.slot_links import SlotLinks

STALL_S: Final = 10.0
"""Idle time within a response after which an engine counts as failed."""
FIRST_TOKEN_STALL_FACTOR: Final = 10.0
"""Multiple of the class's first-token target after which an idle engine counts as failed."""
FAILED_RETRY_S: Final = 1.0
FORBIDDEN_RETRY_DELAY_S: Final = 0.05
"""Delay after a send that the final check forbade, so that the event loop applies updates."""
MAX_SENDS: Final = 5
"""Maximum number of engines that one chat is sent to."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Chat:
    """One caller's chat request."""

    request_id: str
    organisation: Organisation
    service_class: ServiceClass
    kind: str
    body: ChatBody
    deadline: float
    """On the entry's monotonic clock."""


class ResponseSink(ABC):
    """Destination of a response's chunks."""

    @abstractmethod
    async def write(self, chunks: list[ResponseChunk]) -> None:
        """Forward the next chunks, each exactly once and in order."""


class SendResult(Enum):
    """How one send ended."""

    WHOLE = 1
    FAILED = 2
    PAUSED = 3
    FORBIDDEN = 4


@dataclass(slots=True, kw_only=True)
class _Progress:
    """The part of the response that was forwarded."""

    next_index: int = 0
    text_crc: int = 0
    texts: list[str] = field(default_factory=list)
    sends: int = 0

    def add(self, chunks: list[ResponseChunk], checker: ResponseChecker) -> None:
        """Add chunks, before they are forwarded."""
        self.texts.extend(chunk.text for chunk in chunks)
        self.next_index = checker.next_index
        self.text_crc = checker.text_crc


@dataclass(slots=True, kw_only=True)
class _Send:
    """One send to one engine."""

    hold: SlotHold
    started_at: float
    first_token_at: float | None = None
    sent: bool = False
    """Whether bytes of the request may have reached the engine."""
    tokens: int = 0
    reason: str = ""
    paused: asyncio.Event = field(default_factory=asyncio.Event)


class ChatRouter:
    """Serves chats.

    Args:
        state: The entry's configuration and view of the fleet.
        finder: Finds slots.
        links: Sends releases of slots.
        engines: Sends chats to engines.
        budget: Limits the retries.
        pauses: Detects pauses of this process.
        random: Source of the retry jitter.
        clock: Monotonic time.
        metrics: Receives the counters and timings.
    """

    def __init__(
        self,
        *,
        state: EntryState,
        finder: SlotFinder,
        links: SlotLinks,
        engines: EngineClient,
        budget: RetryBudget,
        pauses: PauseDetector,
        random: random.Random,
        clock: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._state = state
        self._finder = finder
        self._links = links
        self._engines = engines
        self._budget = budget
        self._pauses = pauses
        self._random = random
        self._clock = clock
        self._metrics = metrics

    async def serve(self, chat: Chat, sink: ResponseSink) -> None:
        """Write the complete, validated response to a sink.

        Args:
            chat: The request.
            sink: Receives the chunks.

        Raises:
            Refusal: The response can't be started or completed.
        """
        latch = SendLatch()
        progress = _Progress()
        wish = self._build_wish(chat)
        while True:
            hold = await self._find_slot(wish, latch, progress)
            result = await self._send(chat, hold, latch, progress, sink)
            if result is SendResult.WHOLE:
                self._budget.record_success(chat.service_class.name)
                return
            if result is SendResult.FAILED:
                wish.excluded.add(hold.ask.endpoint)
                await self._prepare_retry(chat, progress, latch)
            elif result is SendResult.FORBIDDEN:
                if self._clock() >= chat.deadline:
                    raise _reject_failed(ErrorCode.DEADLINE_EXCEEDED, progress, latch, status=504)
                await asyncio.sleep(FORBIDDEN_RETRY_DELAY_S)

    def _build_wish(self, chat: Chat) -> SlotRequirements:
        return SlotRequirements(
            organisation=chat.organisation.name,
            class_name=chat.service_class.name,
            tier=chat.service_class.tier,
            kind=chat.kind,
            deadline=chat.deadline,
            model=chat.body.model,
            prefix_key=chat.body.hash_prefix(),
            prompt_tokens=chat.body.count_prompt_tokens(),
            max_tokens=chat.body.max_tokens,
        )

    async def _find_slot(
        self, wish: SlotRequirements, latch: SendLatch, progress: _Progress
    ) -> SlotHold:
        try:
            return await self._finder.find(wish, latch)
        except Refusal as refusal:
            if latch.sent:
                raise _reject_failed(
                    refusal.code, progress, latch, status=refusal.status
                ) from refusal
            raise

    async def _prepare_retry(self, chat: Chat, progress: _Progress, latch: SendLatch) -> None:
        progress.sends += 1
        now = self._clock()
        late = now >= chat.deadline
        allowed = progress.sends < MAX_SENDS and self._budget.try_spend(
            chat.service_class.name, now=now
        )
        if late or not allowed:
            code = ErrorCode.DEADLINE_EXCEEDED if late else ErrorCode.ENDPOINT_FAILED
            raise _reject_failed(code, progress, latch, status=504 if late else 503)
        self._metrics.count("chat.retries")
        delay_s = compute_backoff(progress.sends, random=self._random)
        await asyncio.sleep(min(delay_s, max(0.0, chat.deadline - now)))

    async def _send(
        self,
        chat: Chat,
        hold: SlotHold,
        latch: SendLatch,
        progress: _Progress,
        sink: ResponseSink,
    ) -> SendResult:
        send = _Send(hold=hold, started_at=self._clock())
        hold.on_paused = lambda _: send.paused.set()
        result = SendResult.FORBIDDEN
        try:
            result = await self._stream(chat, send, latch, progress, sink)
        finally:
            self._release(send, result)
        return result

    async def _stream(
        self,
        chat: Chat,
        send: _Send,
        latch: SendLatch,
        progress: _Progress,
        sink: ResponseSink,
    ) -> SendResult:
        endpoint = self._state.find_active_endpoint(send.hold.ask.endpoint)
        if endpoint is None:
            return SendResult.FORBIDDEN
        checker = ResponseChecker(
            request_id=send.hold.ask.ask_id,
            next_index=progress.next_index,
            text_crc=progress.text_crc,
        )
        call = self._build_call(chat, send.hold, endpoint.url, progress)
        events = self._engines.stream(call, before_send=lambda: self._check_send(chat, send, latch))
        try:
            return await self._relay_events(chat, send, events, checker, progress, sink)
        except SendForbidden:
            return SendResult.FORBIDDEN
        except (EndpointBroken, AnswerInvalid, TimeoutError) as error:
            send.reason = str(error) or "the engine sent nothing in time"
            get_logger().info(
                "send failed: %s",
                send.reason,
                extra={"request_id": chat.request_id, "endpoint": endpoint.name},
            )
            return SendResult.FAILED
        finally:
            await events.aclose()

    def _check_send(self, chat: Chat, send: _Send, latch: SendLatch) -> None:
        """Allow a send or raise; runs when the connection is open, before the body is written.

        Without this check, a process that was paused between the grant and the send could send to
        an endpoint that has left since, or past the deadline. The check and the write are one step
        of the event loop.
        """
        endpoint = self._state.find_active_endpoint(send.hold.ask.endpoint)
        now = self._clock()
        if endpoint is None or now >= chat.deadline or not self._pauses.is_settled(now=now):
            raise SendForbidden
        latch.mark_sent()
        send.sent = True

    async def _relay_events(
        self,
        chat: Chat,
        send: _Send,
        events: AsyncIterator[list[Event]],
        checker: ResponseChecker,
        progress: _Progress,
        sink: ResponseSink,
    ) -> SendResult:
        while True:
            batch = await self._read_events(chat, send, events)
            if batch is None:
                break
            chunks: list[ResponseChunk] = []
            try:
                for event in batch:
                    chunk = checker.check(event)
                    if chunk is not None:
                        chunks.append(chunk)
            finally:
                # Valid chunks before an invalid one are forwarded, so that less is left to resume.
                if chunks:
                    self._record_tokens(send, len(chunks))
                    progress.add(chunks, checker)
                    await sink.write(chunks)
            if checker.whole:
                return SendResult.WHOLE
            if send.paused.is_set():
                return SendResult.PAUSED
        raise AnswerInvalid("the stream ended before the response was complete")

    async def _read_events(
        self, chat: Chat, send: _Send, events: AsyncIterator[list[Event]]
    ) -> list[Event] | None:
        timeout_s = STALL_S
        if send.first_token_at is None:
            target_s = chat.service_class.first_token_ms / 1000.0
            timeout_s = max(STALL_S, FIRST_TOKEN_STALL_FACTOR * target_s)
        remaining_s = chat.deadline - self._clock()
        async with asyncio.timeout(max(0.0, min(timeout_s, remaining_s))):
            return await anext(events, None)

    def _record_tokens(self, send: _Send, count: int) -> None:
        if send.first_token_at is None:
            send.first_token_at = self._clock()
            self._metrics.time("chat.first_token", send.first_token_at - send.started_at)
        send.tokens += count
        send.hold.tokens = send.tokens

    def _build_call(self, chat: Chat, hold: SlotHold, url: str, progress: _Progress) -> EngineCall:
        return EngineCall(
            url=url,
            request_id=hold.ask.ask_id,
            model=chat.body.model,
            messages=chat.body.messages,
            max_tokens=chat.body.max_tokens,
            priority=chat.service_class.tier,
            resume_from=progress.next_index,
            resume_text="".join(progress.texts),
            timeout_s=max(0.001, chat.deadline - self._clock()),
        )

    def _release(self, send: _Send, result: SendResult) -> None:
        now = self._clock()
        endpoint = send.hold.ask.endpoint
        first_token_at = send.first_token_at
        release = Release(
            ask_id=send.hold.ask.ask_id,
            endpoint=endpoint,
            used=send.sent,
            failed=result is SendResult.FAILED,
            tokens=send.tokens,
            first_token_s=first_token_at - send.started_at if first_token_at is not None else 0.0,
            duration_s=now - send.started_at,
        )
        self._links.release(send.hold, release)
        if result in (SendResult.WHOLE, SendResult.FAILED):
            succeeded = result is SendResult.WHOLE
            self._state.chooser.record_outcome(endpoint, succeeded=succeeded, now=now)


def _reject_failed(
    code: ErrorCode, progress: _Progress, latch: SendLatch, *, status: int
) -> Refusal:
    """Return the rejection of a chat that may have been sent; retrying a chat is always safe."""
    message = "the engines that received the request did not complete its response"
    if not latch.sent:
        return latch.reject(code, message, status=status, retry_after_s=FAILED_RETRY_S)
    return Refusal(
        code,
        f"{message}; {progress.next_index} tokens were forwarded",
        status=status,
        outcome=Outcome.FAILED,
        retry_after_s=FAILED_RETRY_S,
    )
