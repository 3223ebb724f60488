"""Finds a slot for one request, going on from keeper to keeper while one may still take it."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode
from guavamast.placement import Wanted
from guavamast.races import RaceRules, SlotRace
from guavamast.slot_holds import AskRefused
from guavamast.slots import Ask, Queued, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.entry_state import EntryState
    from guavamast.errors import Refusal, SendLatch
    from guavamast.slot_holds import SlotHold
    from guavamast.slot_links import SlotLinks

NO_ENDPOINT_RETRY_S: Final = 2.0

GOING_CODES: Final = frozenset({ErrorCode.LEAVING, ErrorCode.NO_ENDPOINT})
"""Codes of a keeper whose endpoint is out of use."""
STATUS_BY_CODE: Final = {
    ErrorCode.DEADLINE_EXCEEDED: 504,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.CONCURRENCY_LIMITED: 429,
}
"""Statuses of refusals; 503 for the others."""


@dataclass(slots=True, kw_only=True)
class SlotWish:
    """What one request needs a slot for."""

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
    """The open asks of one request and what has become of them.

    Args:
        links: The streams to keepers.
    """

    __slots__ = ("_events", "_links", "_tasks", "_winner", "race", "refusals")

    def __init__(self, *, links: SlotLinks) -> None:
        self.race = SlotRace(rules=RaceRules())
        self.refusals: list[AskRefused] = []
        self._links = links
        self._events: asyncio.Queue[Queued | _Ended] = asyncio.Queue()
        self._tasks: dict[str, asyncio.Task[SlotHold]] = {}
        self._winner: SlotHold | None = None

    def start(self, ask: Ask) -> None:
        """Ask one keeper."""
        self.race.record_ask(ask.ask_id, ask.endpoint)
        acquire = self._links.acquire(ask, on_queued=self._events.put_nowait)
        task = asyncio.ensure_future(acquire)
        task.add_done_callback(lambda _: self._events.put_nowait(_Ended(ask_id=ask.ask_id)))
        self._tasks[ask.ask_id] = task

    def wants_another(self) -> bool:
        """Return whether a further keeper is to be asked now."""
        return self._winner is None and self.race.may_ask

    async def wait(self) -> SlotHold | None:
        """Wait for a slot, or until a further keeper is to be asked, which gives None.

        Raises:
            TimeoutError: The deadline has passed.
        """
        while True:
            event = await self._events.get()
            if isinstance(event, Queued):
                if self.race.record_queued(event):
                    return None
            elif self._take_end(event.ask_id):
                return self._winner

    async def wait_for_any(self) -> SlotHold | None:
        """Wait until a slot is held or no keeper is left that may give one."""
        while self._winner is None and self.race.is_waiting:
            await self.wait()
        return self._winner

    def close(self) -> None:
        """Withdraw the other asks; a grant that came at the same moment is given back unused."""
        for ask_id, task in self._tasks.items():
            if not task.done():
                task.cancel()
            elif self._winner is None or ask_id != self._winner.ask.ask_id:
                self._give_back(task)

    def _take_end(self, ask_id: str) -> bool:
        """Return whether the wait is over: a slot is held or a further keeper is to be asked."""
        try:
            hold = self._tasks[ask_id].result()
        except AskRefused as refused:
            self.refusals.append(refused)
            return self.race.record_refused(ask_id) or not self.race.is_waiting
        if self.race.record_granted(ask_id):
            self._winner = hold
        return True

    def _give_back(self, task: asyncio.Task[SlotHold]) -> None:
        if task.cancelled() or task.exception() is not None:
            return
        ask = task.result().ask
        unused = Release(ask_id=ask.ask_id, endpoint=ask.endpoint, used=False)
        self._links.release(task.result(), unused)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Ended:
    """An ask has ended, with a slot or without."""

    ask_id: str


class SlotFinder:
    """Chooses endpoints and asks their keepers.

    Args:
        state: The entry's configuration, view and chooser.
        links: The streams to keepers.
        clock: Monotonic time.
    """

    def __init__(self, *, state: EntryState, links: SlotLinks, clock: Callable[[], float]) -> None:
        self._state = state
        self._links = links
        self._clock = clock

    async def find(self, wish: SlotWish, latch: SendLatch) -> SlotHold:
        """Return a held slot.

        A request that a keeper lets wait is raced at a second one; the later grant is given back.

        Args:
            wish: What the slot is for.
            latch: The request's latch, which proves the outcome of a refusal.

        Raises:
            Refusal: No keeper of the pool gives a slot in time.
        """
        search = _Search(links=self._links)
        try:
            while search.wants_another() and self._start_next(search, wish):
                hold = await search.wait()
                if hold is not None:
                    return hold
            hold = await search.wait_for_any()
        except TimeoutError:
            raise self._refuse_late(latch) from None
        finally:
            search.close()
        if hold is None:
            raise self._refuse(search.refusals, latch)
        return hold

    def _start_next(self, search: _Search, wish: SlotWish) -> bool:
        """Ask one more keeper; False when there is none."""
        asked = search.race.asked | wish.excluded
        candidates = self._choose(wish, frozenset(asked))
        if not candidates or self._clock() >= wish.deadline:
            return False
        search.start(self._make_ask(wish, candidates[0]))
        return True

    def _choose(self, wish: SlotWish, asked: frozenset[str]) -> list[str]:
        wanted = Wanted(
            tier=wish.tier,
            model=wish.model,
            service=wish.service,
            prefix_key=wish.prefix_key,
            prompt_tokens=wish.prompt_tokens,
            excluded=asked,
            idempotent=wish.idempotent,
        )
        return self._state.chooser.choose(wanted, now=self._clock())

    def _make_ask(self, wish: SlotWish, endpoint: str) -> Ask:
        return Ask(
            ask_id=uuid.uuid4().hex,
            entry=self._state.instance.name,
            endpoint=endpoint,
            organisation=wish.organisation,
            class_name=wish.class_name,
            tier=wish.tier,
            kind=wish.kind,
            model=wish.model,
            prompt_tokens=wish.prompt_tokens,
            max_tokens=wish.max_tokens,
            deadline=wish.deadline,
            idempotent=wish.idempotent,
        )

    def _refuse_late(self, latch: SendLatch) -> Refusal:
        return latch.refuse(
            ErrorCode.DEADLINE_EXCEEDED,
            "no slot became free before the deadline",
            status=504,
            retry_after_s=NO_ENDPOINT_RETRY_S,
        )

    def _refuse(self, refusals: list[AskRefused], latch: SendLatch) -> Refusal:
        if not refusals:
            return latch.refuse(
                ErrorCode.NO_ENDPOINT,
                "no endpoint can take the request now",
                status=503,
                retry_after_s=NO_ENDPOINT_RETRY_S,
            )
        # An endpoint that leaves tells nothing of when the others will have room.
        staying = [refused for refused in refusals if refused.code not in GOING_CODES]
        soonest = min(staying or refusals, key=lambda refused: refused.retry_after_s)
        return latch.refuse(
            soonest.code,
            f"refused by {len(refusals)} endpoints' keepers",
            status=STATUS_BY_CODE.get(soonest.code, 503),
            retry_after_s=soonest.retry_after_s if staying else NO_ENDPOINT_RETRY_S,
        )
