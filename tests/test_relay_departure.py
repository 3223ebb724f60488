"""Tests of what an instance does for others while it leaves."""

from __future__ import annotations

import asyncio
import os
import unittest
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure import Departure
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.endpoint_connection import NotForwarded, PathLost
from guavamast.relay.listener import CallerListener
from guavamast.relay.relayer import Relayer
from guavamast.relay.store import Store
from tests.test_relay_forwarding import ForwardingTestCase

GRACE_S = 8.0
EVENT_INTERVAL_S = 0.1


class LeavingForwarderTest(ForwardingTestCase):
    """An instance gets the stop signal while it forwards for others."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine.event_interval_s = EVENT_INTERVAL_S
        self.leaving_port = self.find_port()
        self.schedule = DepartureSchedule(grace_s=GRACE_S)
        listener = mock.create_autospec(CallerListener, instance=True)
        listener.drain.return_value = []
        relayer = mock.create_autospec(Relayer, instance=True)
        relayer.in_flight = 0
        self.departure = Departure(
            name="two",
            schedule=self.schedule,
            store=mock.create_autospec(Store, instance=True),
            listener=listener,
            forward_listener=self.listener,
            relayer=relayer,
            announce=mock.Mock(),
            log=DecisionLog(instance="two", descriptor=os.open(os.devnull, os.O_WRONLY)),
            read_time=self.read_time,
        )

    async def begin_departure(self) -> asyncio.Task[None]:
        """Give the stop signal; return the task of the departure."""
        self.schedule.begin(now=self.simulation.now)
        leaving = asyncio.create_task(self.departure.run())
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
        staying_port = await self.start_forwarder()
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


if __name__ == "__main__":
    unittest.main()
