"""Tests of responses whose connections end while the server leaves."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Final, cast

from guavamast.relay.tornado_writer import TornadoWriter
from tests._waits import wait_until
from tests.test_caller_server import GET, CallerServerTestCase

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

CLOSE = b"Connection: close"
READ_TIMEOUT_S: Final = 5.0
END = b"\r\n0\r\n\r\n"
"""End of a chunked response."""


class LeavingServerTest(CallerServerTestCase):
    """A server that stops keeping connections while it serves requests."""

    async def receive(self, sent: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, send requests, and wait until the server has the first one."""
        reader, writer = await self.connect(sent)
        await wait_until(lambda: bool(self.requests))
        return reader, writer

    def build_writer(self, number: int) -> TornadoWriter:
        """Return the writer of the response to a request."""
        return TornadoWriter(connection=cast("HTTP1Connection", self.requests[number].connection))

    async def read_all(self, reader: asyncio.StreamReader) -> bytes:
        """Return what is received until the connection ends."""
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await reader.read()

    async def test_whole_response_begun_after_the_signal_closes_its_connection(self) -> None:
        """Guards against callers that send their next request to a leaving instance.

        The request was read before the signal, and the HTTP server decided then that its connection
        is kept. Its response comes after the signal and doesn't say otherwise.
        """
        reader, writer = await self.receive(GET)
        self.server.disable_keep_alive()
        await self.build_writer(0).send(200, [], b"body")
        response = await self.read_all(reader)
        self.assertIn(CLOSE, response)
        self.assertTrue(response.endswith(b"body"), response)
        writer.write(GET)
        writer.close()
        await wait_until(lambda: not self.server.list_traces())
        self.assertEqual(len(self.requests), 1)

    async def test_stream_begun_after_the_signal_closes_its_connection(self) -> None:
        """Guards against the same with a response whose length isn't known.

        A second request that was sent with the first one isn't run, as nobody would read its
        response.
        """
        reader, writer = await self.receive(GET + GET)
        self.server.disable_keep_alive()
        response = self.build_writer(0)
        response.start(200, [])
        await response.write(b"part")
        await response.end()
        received = await self.read_all(reader)
        self.assertIn(CLOSE, received)
        self.assertTrue(received.endswith(END), received)
        writer.close()
        await wait_until(lambda: not self.server.list_traces())
        self.assertEqual(len(self.requests), 1)

    async def test_response_that_has_not_said_so_leaves_its_connection_open(self) -> None:
        """Guards against a connection that closes although its response promised otherwise.

        The head was written before the signal, so the caller may have sent its next request. That
        is served, and its response says that the connection is closed.
        """
        reader, writer = await self.receive(GET)
        response = self.build_writer(0)
        response.start(200, [])
        self.server.disable_keep_alive()
        await response.end()
        self.assertNotIn(CLOSE, await reader.readuntil(b"0\r\n\r\n"))
        writer.write(GET)
        await wait_until(lambda: len(self.requests) == 2)
        await self.build_writer(1).send(200, [], b"")
        self.assertIn(CLOSE, await self.read_all(reader))


if __name__ == "__main__":
    unittest.main()
