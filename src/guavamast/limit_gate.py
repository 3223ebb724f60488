"""The entry's enforcement of organisations' limits: admits, waits for an allotment, or rejects."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast._allotment_wire import decode_allotment, encode_allotment_ask
from guavamast.allotments import select_home
from guavamast.errors import Refusal, SendLatch
from guavamast.limits import AdmissionState

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast import peer_pb2
    from guavamast.allotments import AllotmentAsk
    from guavamast.entry_state import EntryState
    from guavamast.fleet_objects import Organisation
    from guavamast.limits import EntryLimiter
    from guavamast.slot_links import SlotLinks

RENEW_INTERVAL_S: Final = 0.5
"""Interval between checks for allotments that are due for renewal."""
TOO_MANY_REQUESTS: Final = 429


class LimitGate:
    """Admits requests against the allotments from the organisations' homes.

    Args:
        limiter: Decides on each request.
        state: The entry's state, with its view of the members.
        links: The streams to dispatchers.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        limiter: EntryLimiter,
        state: EntryState,
        links: SlotLinks,
        clock: Callable[[], float],
    ) -> None:
        self._limiter = limiter
        self._state = state
        self._links = links
        self._clock = clock
        self._answered: dict[str, asyncio.Event] = {}

    async def admit(self, organisation: Organisation) -> None:
        """Wait until a request is admitted; `release` must be called at its end.

        Raises:
            Refusal: A limit is reached.
        """
        admission = self._limiter.admit(organisation, now=self._clock())
        while admission.state is AdmissionState.PENDING:
            await self._wait_for_allotment(organisation.name, admission.retry_after_s)
            admission = self._limiter.admit(organisation, now=self._clock())
        self._send_asks()
        if admission.state is AdmissionState.REFUSED:
            raise self._create_rejection(organisation, admission.code, admission.retry_after_s)

    def release(self, organisation: Organisation) -> None:
        """End an admitted request."""
        self._limiter.release(organisation.name, now=self._clock())

    def apply_allotment(self, message: peer_pb2.AllotmentMessage) -> None:
        """Apply a home's answer and wake the requests that wait for it."""
        allotment = decode_allotment(message)
        self._limiter.record_allotment(allotment, now=self._clock())
        answered = self._answered.pop(allotment.organisation, None)
        if answered is not None:
            answered.set()

    async def run(self) -> None:
        """Renew allotments until cancelled."""
        while True:
            await asyncio.sleep(RENEW_INTERVAL_S)
            self._send_asks()

    async def _wait_for_allotment(self, organisation: str, timeout_s: float) -> None:
        answered = self._answered.setdefault(organisation, asyncio.Event())
        self._send_asks()
        try:
            async with asyncio.timeout(timeout_s):
                await answered.wait()
        except TimeoutError:
            # The home does not answer; the next admission falls back to the even share.
            return

    def _send_asks(self) -> None:
        for ask in self._limiter.collect_asks(now=self._clock()):
            address = self._find_home_address(ask)
            if address:
                self._links.send(address, encode_allotment_ask(ask))

    def _find_home_address(self, ask: AllotmentAsk) -> str:
        home = select_home(ask.organisation, self._state.view)
        return home.instance.peer_address if home else ""

    def _create_rejection(
        self, organisation: Organisation, code: str, retry_after_s: float
    ) -> Refusal:
        return SendLatch().reject(
            code,
            f"{organisation.name} has reached a limit of its contract",
            status=TOO_MANY_REQUESTS,
            retry_after_s=retry_after_s,
        )
