"""Batch of an engine stand-in: slots by urgency, and prompts that are prefilled one by one."""

from __future__ import annotations

import asyncio
from heapq import heappop, heappush
from typing import Final

DEFAULT_URGENCY: Final = 5
"""Rank of requests that state no urgency."""


class PrefillBatch:
    """The requests that an engine runs or keeps waiting.

    The most urgent of those that wait gets the next slot. A request's first event comes once its
    prompt, and those admitted before it, are prefilled.

    Args:
        slots: Requests that run at a time.
        tokens_per_s: Prompt tokens that are prefilled in a second.
    """

    def __init__(self, *, slots: int, tokens_per_s: float) -> None:
        self._free = slots
        self._tokens_per_s = tokens_per_s
        self._prefilled_at = 0.0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = 0

    async def join(self, *, urgency: int, tokens: int, speed: float = 1.0) -> None:
        """Return once a request has a slot and its prompt is prefilled.

        Args:
            urgency: Its rank; 0 goes first.
            tokens: Length of its prompt.
            speed: Factor on the tokens that are prefilled in a second.
        """
        loop = asyncio.get_running_loop()
        if self._free == 0:
            self._arrivals += 1
            turn: asyncio.Future[None] = loop.create_future()
            heappush(self._waiting, (urgency, self._arrivals, turn))
            await turn
        else:
            self._free -= 1
        start = max(loop.time(), self._prefilled_at)
        self._prefilled_at = start + tokens / (speed * self._tokens_per_s)
        await asyncio.sleep(self._prefilled_at - loop.time())

    def leave(self) -> None:
        """Pass the slot of a request on that has ended."""
        while self._waiting:
            _, _, turn = heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._free += 1
