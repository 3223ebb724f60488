"""Tests of streams whose callers are behind when their instance ends its requests."""

from __future__ import annotations

import asyncio
import unittest

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from guavamast.relay.catalog import RouteKind
from tests._relay_case import RelayTestCase
from tests._waits import wait_until
from tests.relay_fixtures import build_route
from tests.test_relay_slow_readers import SlowWriter

FIRST_EVENT = encode_event("r1", 1)


class DepartingReadersTest(RelayTestCase):
    """The engine of a stream is done; its caller has taken nothing yet."""

    request_changes = {"target": "/stream/1"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        route = build_route(path_prefix="/stream/", kind=RouteKind.STREAM, timeout_s=60.0)
        self.simulation.replace_routes(route)
        self.writer = SlowWriter()
        self.writer.status = None
        self.relaying = asyncio.create_task(self.relay(writer=self.writer))
        await wait_until(lambda: bool(self.engine.completed))
        self.assertEqual(self.writer.body, FIRST_EVENT)

    async def take_until_the_end(self) -> None:
        """Take what is written until the request is over."""
        async with asyncio.timeout(10.0):
            while not self.relaying.done():
                if self.writer.writing is not None:
                    await self.writer.take()
                await asyncio.sleep(0.001)
        await self.relaying

    async def test_a_stream_whose_caller_is_behind_is_delivered(self) -> None:
        """Guards against a stream that its engine has sent whole and whose caller gets a part.

        The instance reads the engine no faster than the caller takes the events, so it has read one
        event as the time of its requests ends. The others have arrived by then.
        """
        self.relayer.expire_requests()
        await self.take_until_the_end()
        self.assertEqual(self.writer.body.count(b"id:"), EVENTS_PER_STREAM)
        self.assertEqual((self.writer.completed, self.writer.aborted), (True, False))

    async def test_a_stream_whose_caller_takes_nothing_ends_with_its_instance(self) -> None:
        """Guards against a cut stream that isn't told as such, as the process ends before it."""
        self.relayer.expire_requests()
        self.relayer.expire_requests(also_behind=True)
        async with asyncio.timeout(10.0):
            await self.relaying
        self.assertEqual(self.writer.body, FIRST_EVENT)
        self.assertEqual((self.writer.completed, self.writer.aborted), (False, True))


if __name__ == "__main__":
    unittest.main()
