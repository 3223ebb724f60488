"""Tests of an answer that comes in many small parts, over a connection of this process."""

from __future__ import annotations

import asyncio
import unittest
from typing import Final
from unittest import mock

from guavamast.relay.http_connection import HttpConnection

PARTS: Final = 200
CHUNK: Final = b"1\r\na\r\n"
HEAD: Final = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class SmallPartsTest(unittest.IsolatedAsyncioTestCase):
    """What has been received at once is read in several turns of the loop.

    An engine sends much before the first part is read. Each read finds its data, so the loop isn't
    left until all is read, and no other connection is served meanwhile.
    """

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request in chunks of a byte."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + CHUNK * PARTS + b"0\r\n\r\n")
        await writer.drain()
        writer.close()

    async def test_others_take_steps_while_chunks_are_read(self) -> None:
        """Guards against one answer in chunks of a byte that holds up its instance."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addAsyncCleanup(server.wait_closed)
        self.addCleanup(server.close)
        port = int(server.sockets[0].getsockname()[1])
        connection = await HttpConnection.open("127.0.0.1", port, timeout_s=5.0)
        await connection.send("GET", "/", [("Host", "x")], b"")
        await connection.read_head()
        await connection.read_chunk()

        async def read() -> None:
            while await connection.read_chunk() is not None:
                pass

        with mock.patch("guavamast.loop_turns.LONGEST_TURN_S", 0.0):
            reading = asyncio.create_task(read())
            steps = 0
            while not reading.done():
                await asyncio.sleep(0)
                steps += 1
        self.assertGreaterEqual(steps, PARTS - 1)


if __name__ == "__main__":
    unittest.main()
