"""End-to-end tests of engines and callers that send in many small parts without end."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from typing import Final

from guavamast.platform.standins.endless_answer import EndlessAnswer
from guavamast.platform.standins.site import CALL_PREFIX, HOST, KEY, STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost
from tests._platform_callers import Caller, PlatformTestCase

STREAMS: Final = 6
"""Streams without end at once."""
UPLOADS: Final = 16
"""Callers at once that send in chunks of a byte."""
CALLS: Final = 20
CALL_INTERVAL_S: Final = 0.1
CALL_TIMEOUT_MS: Final = 2500
"""Milliseconds after which the caller of a call has left; it takes a tenth beside nothing else."""


class SmallPartsTest(PlatformTestCase):
    """Calls to sound engines are answered beside engines and callers that send without end.

    A few streams are asked for, and their engine sends the smallest parts there are. Reading what
    has come of them takes half a second each, in which nobody else was served, again and again.
    """

    pool_engines = 1
    portal_engines = 2

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.start_instance()

    async def call(self, number: int) -> int:
        """Return the status of a call; 0 without an answer."""
        caller = await Caller.open(self.instance.callers)
        request = caller.send_request(
            CALL_PREFIX + "x", request_id=f"call-{number}", body=b"x", timeout_ms=CALL_TIMEOUT_MS
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_MS / 1000):
                return (await request).status
        except (ConnectionLost, TimeoutError):
            return 0
        finally:
            caller.connection.close()

    async def receive_stream(self, number: int) -> None:
        """Ask for a stream and read for as long as it lasts."""
        caller = await Caller.open(self.instance.callers)
        try:
            with contextlib.suppress(ConnectionLost):
                await caller.send_request(
                    STREAM_PREFIX + "x", request_id=f"stream-{number}", body=b"x", timeout_ms=20_000
                )
        finally:
            caller.connection.close()

    async def upload(self, number: int) -> None:
        """Send a body in chunks of a byte that is too large, again and again."""
        host, _, port = self.instance.callers.rpartition(":")
        while True:
            _, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"POST {CALL_PREFIX}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
                f"X-Attempt-Id: upload-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            writer.write(head.encode() + b"1\r\na\r\n" * 60_000)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
            await asyncio.sleep(0.5)
            writer.close()

    async def check_calls(self, others: list[asyncio.Task[None]]) -> None:
        """Check that calls are answered beside others that never end."""
        await asyncio.sleep(1.0)
        calls = []
        for number in range(CALLS):
            calls.append(asyncio.create_task(self.call(number)))
            await asyncio.sleep(CALL_INTERVAL_S)
        statuses = await asyncio.gather(*calls)
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
        self.assertEqual(statuses, [200] * CALLS)

    async def check_endless(self, kind: EndlessAnswer) -> None:
        self.site.engines["pool-0"].endless = kind
        streams = (self.receive_stream(number) for number in range(STREAMS))
        await self.check_calls([asyncio.create_task(one) for one in streams])

    async def test_beside_chunks_of_a_byte(self) -> None:
        """Guards against answers in chunks of a byte that hold up their instance."""
        await self.check_endless(EndlessAnswer.SMALL_CHUNKS)

    async def test_beside_the_shortest_events(self) -> None:
        """Guards against streams of the shortest events that hold up their instance."""
        await self.check_endless(EndlessAnswer.SMALL_EVENTS)

    async def test_beside_uploads_in_chunks_of_a_byte(self) -> None:
        """Guards against callers whose uploads hold up everybody else's requests."""
        uploads = (self.upload(number) for number in range(UPLOADS))
        await self.check_calls([asyncio.create_task(one) for one in uploads])


if __name__ == "__main__":
    unittest.main()
