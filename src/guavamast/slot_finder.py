"""Finds a slot for one request, going on from keeper to keeper while one may still take it."""

from __future__ import annotations

import uuid
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.errors import ErrorCode
from guavamast.placement import Wanted
from guavamast.slot_links import AskRefused
from guavamast.slots import Ask

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.entry_state import EntryState
    from guavamast.errors import Refusal, SendLatch
    from guavamast.slot_links import SlotHold, SlotLinks

MAX_KEEPERS_ASKED: Final = 32
"""Bound of the keepers that one request goes through before it is refused."""
NO_ENDPOINT_RETRY_S: Final = 2.0

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

        Args:
            wish: What the slot is for.
            latch: The request's latch, which proves the outcome of a refusal.

        Raises:
            Refusal: No keeper of the pool gives a slot in time.
        """
        asked = set(wish.excluded)
        refusals: list[AskRefused] = []
        while len(refusals) < MAX_KEEPERS_ASKED:
            candidates = self._choose(wish, frozenset(asked))
            if not candidates:
                break
            for name in candidates:
                asked.add(name)
                try:
                    return await self._links.acquire(self._make_ask(wish, name))
                except AskRefused as refused:
                    refusals.append(refused)
                except TimeoutError:
                    raise self._refuse_late(latch) from None
            if self._clock() >= wish.deadline:
                raise self._refuse_late(latch)
        raise self._refuse(refusals, latch)

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
        soonest = min(refusals, key=lambda refused: refused.retry_after_s)
        return latch.refuse(
            soonest.code,
            f"refused by {len(refusals)} endpoints' keepers",
            status=STATUS_BY_CODE.get(soonest.code, 503),
            retry_after_s=soonest.retry_after_s,
        )
