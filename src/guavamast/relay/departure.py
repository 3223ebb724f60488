"""Departure of an instance: it serves on while callers may still connect, then stops."""

from __future__ import annotations

import asyncio
from itertools import chain
from typing import TYPE_CHECKING, Final

from guavamast.relay.connection_log import log_connection

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.forwarding import ForwardListener
    from guavamast.relay.listener import CallerListener
    from guavamast.relay.query_listener import QueryListener
    from guavamast.relay.relayer import Relayer
    from guavamast.relay.store import Store

CHECK_INTERVAL_S: Final = 0.05
"""Seconds between two checks of the clock."""
UNREGISTER_S: Final = 1.0
"""Seconds before the end of an instance at which it is unregistered at the latest, and its memory
of streams is handed over for the last time."""


class Departure:
    """Ends the service of an instance without cutting a request.

    Args:
        name: Name of this instance.
        schedule: Moments of the departure; begun by the stop signal.
        store: Holds the record of this instance.
        listener: Accepts callers' connections.
        forward_listener: Accepts the requests of other instances.
        relayer: Counts the requests in flight.
        announce: Tells the other instances that this one leaves.
        hand_over: Sends those that stay what only this one may remember.
        log: Decision log.
        read_time: The local clock.
    """

    __slots__ = (
        "_announce",
        "_forward_listener",
        "_hand_over",
        "_listener",
        "_log",
        "_name",
        "_read_time",
        "_relayer",
        "_schedule",
        "_store",
    )

    def __init__(
        self,
        *,
        name: str,
        schedule: DepartureSchedule,
        store: Store,
        listener: CallerListener,
        forward_listener: ForwardListener,
        relayer: Relayer,
        announce: Callable[[], None],
        hand_over: Callable[[], Awaitable[None]],
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._schedule = schedule
        self._store = store
        self._listener = listener
        self._forward_listener = forward_listener
        self._relayer = relayer
        self._announce = announce
        self._hand_over = hand_over
        self._log = log
        self._read_time = read_time

    async def run(self, queries: list[QueryListener]) -> None:
        """Keep serving while callers may still connect, then finish the requests in flight.

        Orders of other instances end at once: those know of others that take them, and a request
        that is forwarded for longer than this instance lasts would be cut. Queries are answered
        until the last connections close, or until they must end for this instance to end in time.

        Args:
            queries: The listeners of queries.
        """
        schedule = self._schedule
        self._listener.disable_keep_alive()
        self._announce()
        now = self._read_time()
        self._log.write(
            "leaving",
            now=now,
            essential=True,
            in_flight=self._relayer.in_flight,
            signal_delay_s=schedule.compute_offset(now),
        )
        drained = asyncio.Event()
        removing = asyncio.create_task(self._unregister_last(drained))
        limits = {"deadline": schedule.ends_at, "closes_at": schedule.closes_at}
        forwarding = asyncio.create_task(self._forward_listener.drain(**limits))
        await self._wait_until(schedule.accepts_until)
        # By now, the signals of instances that leave at the same time are known.
        handing_over = asyncio.create_task(self._hand_over_memory(drained))
        expiring = asyncio.create_task(self._expire_requests())
        draining = asyncio.gather(self._listener.drain(**limits), forwarding)
        draining.add_done_callback(lambda _: drained.set())
        await self._end_queries(queries, drained)
        for trace in chain(*await draining):
            log_connection(
                self._log,
                "given_up",
                trace,
                now=self._read_time(),
                received_after_signal_s=schedule.compute_offset(trace.completed_at),
            )
        expiring.cancel()
        left_s = schedule.ends_at - self._read_time()
        last = (removing, handing_over)
        await asyncio.wait(last, timeout=min(UNREGISTER_S, max(0.0, left_s)))
        for task in last:
            task.cancel()

    async def _end_queries(self, queries: list[QueryListener], drained: asyncio.Event) -> None:
        """Answer queries until the last response, or until this instance has to end."""
        await self._wait_until(self._schedule.queries_end_at, unless=drained)
        closes_at = self._schedule.closes_at
        await asyncio.gather(*(listener.stop(closes_at=closes_at) for listener in queries))

    async def _unregister_last(self, drained: asyncio.Event) -> None:
        """Remove this instance's record after its last response, or shortly before its end.

        New instances meet the others by their records. One that doesn't know of this instance gets
        no reports of its work, and sends endpoints more than they have room for.
        """
        await self._wait_until(self._schedule.ends_at - UNREGISTER_S, unless=drained)
        await self.unregister(self._name)

    async def _hand_over_memory(self, drained: asyncio.Event) -> None:
        """Hand over what only this instance may remember; again before its end.

        If all instances leave at once, those that stay start while these serve their last streams.
        """
        await self._hand_over()
        await self._wait_until(self._schedule.ends_at - UNREGISTER_S, unless=drained)
        await self._hand_over()

    async def _expire_requests(self) -> None:
        """End the time of all requests; later, that of streams whose callers are behind."""
        await self._wait_until(self._schedule.requests_end_at)
        in_flight = self._relayer.in_flight
        self._log.write("expiring", now=self._read_time(), essential=True, in_flight=in_flight)
        self._relayer.expire_requests()
        await self._wait_until(self._schedule.streams_end_at)
        self._relayer.expire_requests(also_behind=True)

    async def _wait_until(self, moment: float, *, unless: asyncio.Event | None = None) -> None:
        """Wait until a time of the local clock, which also counts suspended time.

        Args:
            moment: The time.
            unless: Ends the wait earlier once it is set.
        """
        while self._read_time() < moment and not (unless is not None and unless.is_set()):
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def unregister(self, name: str) -> None:
        """Remove an instance's record; if that fails, the remaining record does no harm."""
        try:
            await self._store.remove_instance(name)
        except Exception as error:  # noqa: BLE001
            self._log.write("unregister_failed", now=self._read_time(), who=name, reason=str(error))
