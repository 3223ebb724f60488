"""Tests of what an instance does for others while it leaves."""

from __future__ import annotations

import asyncio
import os
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.caller_server import LINGER_S
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure import Departure
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.endpoint_connection import NotForwarded, PathLost
from guavamast.relay.listener import CallerListener
from guavamast.relay.query_listener import QueryListener
from guavamast.relay.relayer import Relayer
from guavamast.relay.store import Store
from tests.test_relay_forwarding import GRACE_S, ForwardingTestCase

if TYPE_CHECKING:
    from guavamast.caller_connection import ConnectionTrace

EVENT_INTERVAL_S = 0.1


class LeavingForwarderTest(ForwardingTestCase):
    """An instance gets the stop signal while it forwards for others."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine.event_interval_s = EVENT_INTERVAL_S
        self.leaving_port = self.find_port()
        listener = mock.create_autospec(CallerListener, instance=True)
        self.drained = asyncio.Event()
        """Set once the callers' connections have closed."""
        self.drained.set()
        listener.drain.side_effect = self.drain_callers
        self.relayer = mock.create_autospec(Relayer, instance=True)
        self.relayer.in_flight = 0
        self.queries = mock.create_autospec(QueryListener, instance=True)
        self.departure = Departure(
            name="two",
            schedule=self.schedule,
            store=mock.create_autospec(Store, instance=True),
            listener=listener,
            forward_listener=self.listener,
            relayer=self.relayer,
            announce=mock.Mock(),
            hand_over=mock.AsyncMock(),
            log=DecisionLog(instance="two", descriptor=os.open(os.devnull, os.O_WRONLY)),
            read_time=self.read_time,
        )

    async def drain_callers(self, *, deadline: float, closes_at: float) -> list[ConnectionTrace]:
        """Wait as the drain of the callers' connections does."""
        del deadline, closes_at
        await self.drained.wait()
        return []

    async def begin_departure(self) -> asyncio.Task[None]:
        """Give the stop signal; return the task of the departure."""
        self.signalled_at = self.simulation.now
        self.schedule.begin(now=self.signalled_at)
        leaving = asyncio.create_task(self.departure.run([self.queries]))
        await asyncio.sleep(0)
        return leaving

    async def end_departure(self, leaving: asyncio.Task[None]) -> None:
        """Let the grace time pass, and wait for the end of the departure."""
        self.simulation.now += GRACE_S
        async with asyncio.timeout(5.0):
            await leaving

    async def test_an_order_that_crosses_the_signal_is_taken_by_another_instance(self) -> None:
        """Guards against requests of others that a leaving instance takes, and cuts at its end.

        Another instance hasn't heard yet that this one leaves, and has it forward a stream. The
        stream lasts longer than this instance, and its caller, at the other one, loses the rest.
        """
        leaving = await self.begin_departure()
        staying_port = await self.start_forwarder(DepartureSchedule(grace_s=GRACE_S))
        for seed in range(4):
            self.client = self.build_client(self.leaving_port, staying_port, seed=seed)
            acquired = await self.connect()
            self.assertEqual(acquired.forwarder, f"peer{staying_port}")
            acquired.connection.close()
        await self.end_departure(leaving)

    async def test_a_kept_link_is_not_used_for_another_order(self) -> None:
        """Guards against a leaving instance that still takes orders on its open connections.

        The other instance keeps the connection of its last request, and would send the next order
        on it at any moment until the end.
        """
        acquired = await self.connect()
        await self.send(acquired)
        head = await acquired.connection.read_head()
        await self.read_body(acquired)
        acquired.keep(PlatformHeaders().decode_response(head.status, head.headers))
        leaving = await self.begin_departure()
        with self.assertRaises(PathLost):
            await self.connect()
        await self.end_departure(leaving)

    async def test_a_request_sent_by_a_permission_of_before_the_signal_is_not_run(self) -> None:
        """Guards against a request that is permitted before the signal and sent after it.

        The other instance gets a permission, and the body of its message is read after the signal.
        It is told that the request was not sent, and asks elsewhere.
        """
        acquired = await self.connect()
        leaving = await self.begin_departure()
        with self.assertRaises(NotForwarded):
            await self.send(acquired)
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])
        await self.end_departure(leaving)

    async def test_a_stream_forwarded_before_the_signal_is_whole(self) -> None:
        """Guards against a departure that ends what it has taken."""
        acquired = await self.connect()
        await self.send(acquired, "/stream/1")
        await acquired.connection.read_head()
        leaving = await self.begin_departure()
        self.assertEqual((await self.read_body(acquired)).count(b"id:"), self.engine.events)
        await self.end_departure(leaving)

    async def test_queries_end_while_the_last_requests_are_served(self) -> None:
        """Guards against an instance that the platform kills while it waits for queries to close.

        Streams last until the end. Then the listeners of queries would wait for callers that keep
        idle connections, beyond the grace time.
        """
        self.drained.clear()
        leaving = await self.begin_departure()
        self.simulation.now = self.schedule.queries_end_at - 0.1
        await asyncio.sleep(0.2)
        self.queries.stop.assert_not_called()
        self.simulation.now = self.schedule.queries_end_at
        async with asyncio.timeout(5.0):
            while not self.queries.stop.called:
                await asyncio.sleep(0.01)
        self.assertFalse(leaving.done())
        self.drained.set()
        await self.end_departure(leaving)
        self.assertLess(self.schedule.queries_end_at + LINGER_S, GRACE_S + self.signalled_at)

    async def test_queries_are_answered_until_the_callers_connections_have_closed(self) -> None:
        """Guards against callers without addresses while their instance still serves."""
        self.drained.clear()
        leaving = await self.begin_departure()
        self.simulation.now = self.schedule.accepts_until
        await asyncio.sleep(0.2)
        self.queries.stop.assert_not_called()
        self.drained.set()
        async with asyncio.timeout(5.0):
            await leaving
        self.queries.stop.assert_called_once_with(closes_at=self.schedule.closes_at)

    async def test_streams_whose_callers_are_behind_end_last(self) -> None:
        """Guards against streams of slow callers that are cut early, or by the kill.

        All others end at the same moment as before. These end while their connections are still
        open, so that the log tells that the instance has ended them.
        """
        self.drained.clear()
        leaving = await self.begin_departure()
        for moment, also_behind in (
            (self.schedule.requests_end_at, []),
            (self.schedule.streams_end_at, [{"also_behind": True}]),
        ):
            self.simulation.now = moment
            expected = [{}, *also_behind]
            async with asyncio.timeout(5.0):
                while len(self.relayer.expire_requests.call_args_list) < len(expected):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.1)
            calls = [one.kwargs for one in self.relayer.expire_requests.call_args_list]
            self.assertEqual(calls, expected)
        self.assertLess(self.schedule.streams_end_at, self.schedule.closes_at)
        self.drained.set()
        await self.end_departure(leaving)


if __name__ == "__main__":
    unittest.main()
