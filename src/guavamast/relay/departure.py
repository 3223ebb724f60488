"""Departure of an instance: it serves on while callers may still connect, then stops."""

from __future__ import annotations

import asyncio
from itertools import chain
from typing import TYPE_CHECKING, Final

from guavamast.relay.caller_addresses import VALIDITY_S
from guavamast.relay.connection_log import log_connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.forwarding import ForwardListener
    from guavamast.relay.listener import CallerListener
    from guavamast.relay.relayer import Relayer
    from guavamast.relay.store import Store

ADDRESS_CACHE_FACTOR: Final = 3.0
"""Factor on the validity of a response with addresses: some callers cache it that long."""
LEAVE_MARGIN_S: Final = 0.5
"""Seconds added to the time in which callers may still connect: a heartbeat plus the transit of a
request."""
MAX_ACCEPT_SHARE: Final = 0.5
"""Share of its remaining time in which a leaving instance accepts requests at most. The rest is for
their responses: in a short grace time, those accepted last would be cut."""
STOP_MARGIN_S: Final = 0.8
"""Seconds before the platform would kill the process at which it ends."""
RESPONSE_MARGIN_S: Final = 0.1
"""Seconds before the end for the responses to requests that ran out of time by it."""
CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two checks of the clock."""


class Departure:
    """Ends the service of an instance without cutting a request.

    Args:
        name: Name of this instance.
        grace_s: Time from the stop signal until the platform kills the process.
        store: Holds the record of this instance.
        listener: Accepts callers' connections.
        forward_listener: Accepts the requests of other instances.
        relayer: Counts the requests in flight.
        announce: Tells the other instances that this one leaves.
        log: Decision log.
        read_time: The local clock.
    """

    __slots__ = (
        "_announce",
        "_forward_listener",
        "_grace_s",
        "_listener",
        "_log",
        "_name",
        "_read_time",
        "_relayer",
        "_store",
    )

    def __init__(
        self,
        *,
        name: str,
        grace_s: float,
        store: Store,
        listener: CallerListener,
        forward_listener: ForwardListener,
        relayer: Relayer,
        announce: Callable[[], None],
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._grace_s = grace_s
        self._store = store
        self._listener = listener
        self._forward_listener = forward_listener
        self._relayer = relayer
        self._announce = announce
        self._log = log
        self._read_time = read_time

    async def run(self) -> None:
        """Keep serving while callers may still connect, then finish the requests in flight."""
        requested_at = self._read_time()
        self._listener.disable_keep_alive()
        self._announce()
        self._log.write("leaving", now=requested_at, in_flight=self._relayer.in_flight)
        addresses_expired_at = requested_at + ADDRESS_CACHE_FACTOR * VALIDITY_S + LEAVE_MARGIN_S
        deadline = requested_at + self._grace_s - STOP_MARGIN_S
        accepts_until = requested_at + MAX_ACCEPT_SHARE * (deadline - requested_at)
        removing = asyncio.create_task(self.unregister(self._name))
        await self._wait_until(min(addresses_expired_at, accepts_until))
        expiring = asyncio.create_task(self._expire_requests(deadline - RESPONSE_MARGIN_S))
        drained = await asyncio.gather(
            self._listener.drain(deadline=deadline),
            self._forward_listener.drain(deadline=deadline),
        )
        for trace in chain(*drained):
            log_connection(self._log, "given_up", trace, now=self._read_time())
        expiring.cancel()
        removing.cancel()

    async def _expire_requests(self, at: float) -> None:
        await self._wait_until(at)
        self._log.write("expiring", now=self._read_time(), in_flight=self._relayer.in_flight)
        self._relayer.expire_requests()

    async def _wait_until(self, moment: float) -> None:
        """Wait until a time of the local clock, which also counts suspended time."""
        while self._read_time() < moment:
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def unregister(self, name: str) -> None:
        """Remove an instance's record; if that fails, the remaining record does no harm."""
        try:
            await self._store.remove_instance(name)
        except Exception as error:  # noqa: BLE001
            self._log.write("unregister_failed", now=self._read_time(), who=name, reason=str(error))
