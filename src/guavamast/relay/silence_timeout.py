"""Timeout of an endpoint's silence, which ends an attempt only if another one can follow."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Self

from guavamast.relay.loop_timeout import TIMEOUT_STEPS

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType


class SilenceTimeout:
    """Cancels what it encloses after a silence, once a retry has been claimed.

    An endpoint that has been silent for long may still go on. If the retry were counted on when the
    attempt began, others could have spent it by now, and the abandoned response would be cut.
    It is claimed after the silence, while what is enclosed goes on; a sign of the endpoint ends the
    claim. Once it is claimed, the retry follows; without it, the wait goes on as long again.

    The silence is counted in parts, each of which ends in a loop iteration of its own: after this
    process was blocked, what has arrived meanwhile is read before the silence is over.

    Args:
        silence_s: Seconds without a sign of the endpoint; None if no attempt can follow.
        claim_retry: Claims the retry; returns False if there is none at present. Cancelled if the
            endpoint isn't silent any more.
    """

    __slots__ = (
        "_claim",
        "_claim_retry",
        "_handle",
        "_silence_s",
        "_steps_left",
        "_timeout",
        "_when",
    )

    def __init__(
        self, *, silence_s: float | None, claim_retry: Callable[[], Awaitable[bool]]
    ) -> None:
        self._claim_retry = claim_retry
        self._claim: asyncio.Task[None] | None = None
        self._silence_s = silence_s
        self._timeout = asyncio.timeout(None)
        self._handle: asyncio.TimerHandle | None = None
        self._when: float | None = None
        self._steps_left = 0

    async def __aenter__(self) -> Self:
        await self._timeout.__aenter__()
        if self._silence_s is not None:
            self.reschedule(asyncio.get_running_loop().time() + self._silence_s)
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        claim = self._claim
        self._stop()
        if claim is not None:
            await asyncio.wait((claim,))  # What follows finds the endpoint that it had chosen free.
        return await self._timeout.__aexit__(error_type, error, traceback)

    def when(self) -> float | None:
        """Return the loop's time at which the silence is over; None if it is not counted."""
        return self._when

    def reschedule(self, when: float | None) -> None:
        """Set the loop's time at which the silence is over; None not to count it."""
        self._stop()
        self._when = when
        self._steps_left = TIMEOUT_STEPS
        if when is not None:
            self._start_step(when)

    def _start_step(self, when: float) -> None:
        loop = asyncio.get_running_loop()
        left_s = max(0.0, when - loop.time())
        self._handle = loop.call_later(left_s / self._steps_left, self._end_step, when)

    def _end_step(self, when: float) -> None:
        self._steps_left -= 1
        if self._steps_left:
            self._start_step(when)
            return
        self._claim = asyncio.get_running_loop().create_task(self._give_up())

    async def _give_up(self) -> None:
        """Cancel what is enclosed if its retry can be claimed, or count the silence anew."""
        assert self._silence_s is not None
        claimed = False
        try:
            claimed = await self._claim_retry()
        finally:
            if self._claim is asyncio.current_task():
                self._claim = None
                now = asyncio.get_running_loop().time()
                if claimed:
                    self._timeout.reschedule(now)
                else:
                    self.reschedule(now + self._silence_s)

    def _stop(self) -> None:
        """Count the silence no longer, and end a claim that is under way."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
        claim, self._claim = self._claim, None
        if claim is not None:
            claim.cancel()
