"""Search for a slot for one request, asking further keepers while one may still grant it."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode
from guavamast.placement import EndpointRequirements
from guavamast.slot_hold import AskRefused
from guavamast.slot_race import RaceRules, SlotRace
from guavamast.slots import Ask, Queued, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.entry_state import EntryState
    from guavamast.errors import Refusal, SendLatch
    from guavamast.slot_hold import SlotHold
    from guavamast.slot_links import SlotLinks

NO_ENDPOINT_RETRY_S: Final = 2.0

UNAVAILABLE_CODES: Final = frozenset({ErrorCode.LEAVING, ErrorCode.NO_ENDPOINT})
"""Rejection codes of a keeper whose endpoint is out of use."""
STATUS_BY_CODE: Final = {
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.CONCURRENCY_LIMITED: 429,
}
"""HTTP statuses of rejections; 503 for all other codes."""


@dataclass(slots=True, kw_only=True)
class SlotRequirements:
    """What one request requires of a slot."""

    organisation: str
    class_name: str
    tier: int
    kind: str
    deadline: float
    """On the entry's monotonic clock."""
    model: str = ""
    service: str = ""
    prefix_key: str = ""
    prompt_tokens: int = 0
    max_tokens: int = 0
    idempotent: bool = True
    excluded: set[str] = field(default_factory=set)
    """Endpoints that have failed this request."""


class _Search:
    """The open asks of one request and their results.

    Args:
        links: The streams to keepers.
    """

    __slots__ = ("_events", "_links", "_tasks", "_winner", "race", "rejections")

    def __init__(self, *, links: SlotLinks) -> None:
        self.race = SlotRace(rules=RaceRules())
        self.rejections: list[AskRefused] = []
        self._links = links
        self._events: asyncio.Queue[Queued | _AskEnded] = asyncio.Queue()
        self._tasks: dict[str, asyncio.Task[SlotHold]] = {}
        self._winner: SlotHold | None = None

    def start(self, ask: Ask) -> None:
        """Ask one keeper for a slot."""
        self.race.record_ask(ask.ask_id, ask.endpoint)
        acquire = self._links.acquire(ask, on_queued=self._events.put_nowait)
        task = asyncio.ensure_future(acquire)
        task.add_done_callback(lambda _: self._events.put_nowait(_AskEnded(ask_id=ask.ask_id)))
        self._tasks[ask.ask_id] = task

    def wants_another(self) -> bool:
        """Return whether to ask another keeper now."""
        return self._winner is None and self.race.may_ask

    async def wait(self) -> SlotHold | None:
        """Wait for a slot; return None when another keeper is to be asked.

        Raises:
            TimeoutError: The deadline has passed.
        """
        while True:
            event = await self._events.get()
            if isinstance(event, Queued):
                if self.race.record_queued(event):
                    return None
            elif self._handle_end(event.ask_id):
                return self._winner

    async def wait_for_any(self) -> SlotHold | None:
        """Wait until a slot is held or no open ask may still be granted."""
        while self._winner is None and self.race.is_waiting:
            await self.wait()
        return self._winner

    def close(self) -> None:
        """Withdraw the other asks; a grant that arrived at the same moment is released unused."""
        for ask_id, task in self._tasks.items():
            if not task.done():
                task.cancel()
            elif self._winner is None or ask_id != self._winner.ask.ask_id:
                self._release_unused(task)

    def _handle_end(self, ask_id: str) -> bool:
        """Record the end of an ask; return whether to stop waiting, with or without a slot."""
        try:
            hold = self._tasks[ask_id].result()
        except AskRefused as rejection:
            self.rejections.append(rejection)
            return self.race.record_refused(ask_id) or not self.race.is_waiting
        if self.race.record_granted(ask_id):
            self._winner = hold
        return True

    def _release_unused(self, task: asyncio.Task[SlotHold]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        ask = task.result().ask
        unused = Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=False)
        self._links.release(task.result(), unused)


@dataclass(frozen=True, slots=True, kw_only=True)
class _AskEnded:
    """The end of an ask, with or without a slot."""

    ask_id: str


class SlotFinder:
    """Finds a slot for a request by asking the keepers of chosen endpoints.

    Args:
        state: The entry's configuration, membership view and endpoint chooser.
        links: The streams to keepers.
        clock: Monotonic time.
    """

    def __init__(self, *, state: EntryState, links: SlotLinks, clock: Callable[[], float]) -> None:
        self._state = state
        self._links = links
        self._clock = clock

    async def find(self, requirements: SlotRequirements, latch: SendLatch) -> SlotHold:
        """Return a held slot.

        When a keeper queues the request, a second keeper is asked as well; the later grant is
        released unused.

        Args:
            requirements: What the request requires of the slot.
            latch: The request's send latch, which sets the outcome of a rejection.

        Raises:
            Refusal: No keeper of the pool grants a slot before the deadline.
        """
        search = _Search(links=self._links)
        try:
            while search.wants_another() and self._start_next(search, requirements):
                hold = await search.wait()
                if hold is not None:
                    return hold
            hold = await search.wait_for_any()
        except TimeoutError:
            raise self._reject_late(latch) from None
        finally:
            search.close()
        if hold is None:
            raise self._reject(search.rejections, latch)
        return hold

    def _start_next(self, search: _Search, requirements: SlotRequirements) -> bool:
        """Ask another keeper; return False when there is none or the deadline has passed."""
        asked = search.race.asked | requirements.excluded
        candidates = self._choose(requirements, frozenset(asked))
        if not candidates or self._clock() >= requirements.deadline:
            return False
        search.start(self._build_ask(requirements, candidates[0]))
        return True

    def _choose(self, requirements: SlotRequirements, asked: frozenset[str]) -> list[str]:
        endpoint_requirements = EndpointRequirements(
            tier=requirements.tier,
            model=requirements.model,
            service=requirements.service,
            prefix_key=requirements.prefix_key,
            prompt_tokens=requirements.prompt_tokens,
            excluded=asked,
            idempotent=requirements.idempotent,
        )
        return self._state.chooser.choose(endpoint_requirements, now=self._clock())

    def _build_ask(self, requirements: SlotRequirements, endpoint: str) -> Ask:
        return Ask(
            ask_id=uuid.uuid4().hex,
            entry=self._state.instance.name,
            endpoint=endpoint,
            organisation=requirements.organisation,
            class_name=requirements.class_name,
            tier=requirements.tier,
            kind=requirements.kind,
            model=requirements.model,
            prompt_tokens=requirements.prompt_tokens,
            max_tokens=requirements.max_tokens,
            deadline=requirements.deadline,
            idempotent=requirements.idempotent,
        )

    def _reject_late(self, latch: SendLatch) -> Refusal:
        return latch.reject(
            ErrorCode.DEADLINE_EXCEEDED,
            "no slot became free before the deadline",
            status=504,
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    def _reject(self, rejections: list[AskRefused], latch: SendLatch) -> Refusal:
        if not rejections:
            return latch.reject(
                ErrorCode.NO_ENDPOINT,
                "no endpoint can take the request now",
                status=503,
                retry_after_s=NO_ENDPOINT_RETRY_S,
            )
        # The retry delay of a leaving endpoint says nothing about the others' capacity.
        staying = [rejection for rejection in rejections if rejection.code not in UNAVAILABLE_CODES]
        soonest = min(staying or rejections, key=lambda rejection: rejection.retry_after_s)
        return latch.reject(
            soonest.code,
            f"refused by {len(rejections)} endpoints' keepers",
            status=STATUS_BY_CODE.get(soonest.code, 503),
            retry_after_s=soonest.retry_after_s if staying else NO_ENDPOINT_RETRY_S,
        )
