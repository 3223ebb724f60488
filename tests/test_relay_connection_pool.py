"""Tests of kept connections on which something has arrived that the loop hasn't read yet."""

from __future__ import annotations

import select
import socket
import unittest
from typing import Final

from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.http_connection import HttpConnection

RESPONSE: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
ARRIVAL_TIMEOUT_S: Final = 5.0
"""Seconds for bytes to arrive on a busy machine."""


class ConnectionPoolTest(unittest.IsolatedAsyncioTestCase):
    """A connection is kept after a response; its server is a socket that the test writes to."""

    async def asyncSetUp(self) -> None:
        listening = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(listening.close)
        port = listening.getsockname()[1]
        self.connection = await HttpConnection.open("127.0.0.1", port, timeout_s=5.0)
        self.addCleanup(self.connection.close)
        self.server, _ = listening.accept()
        self.addCleanup(self.server.close)
        await self.connection.send("GET", "/", [("Host", "h")], b"")
        self.server.sendall(RESPONSE)
        await self.connection.read_head()
        while await self.connection.read_chunk() is not None:
            pass
        self.pool = ConnectionPool()
        self.pool.release("x", self.connection, keep_alive_s=5.0, limit=4, now=0.0)

    def wait_for_arrival(self) -> None:
        """Wait without a turn of the loop until something has arrived at the connection."""
        transport = self.connection._transport
        assert transport is not None
        received = transport.get_extra_info("socket")
        readable, _, _ = select.select([received], [], [], ARRIVAL_TIMEOUT_S)
        self.assertTrue(readable)

    async def test_a_quiet_connection_is_used_again(self) -> None:
        self.assertIs(self.pool.acquire("x", now=0.0), self.connection)

    async def test_a_connection_with_a_waiting_response_is_not_used_again(self) -> None:
        """Guards against calls that fail for a late response to another request.

        It arrived before the call was sent, while the loop was busy. The call would be sent, read
        that response as its own and fail with 502, though it runs.
        """
        self.server.sendall(RESPONSE)
        self.wait_for_arrival()
        self.assertIsNone(self.pool.acquire("x", now=0.0))

    async def test_a_connection_that_was_closed_meanwhile_is_not_used_again(self) -> None:
        """Guards against calls that fail as their server closed an idle connection."""
        self.server.close()
        self.wait_for_arrival()
        self.assertIsNone(self.pool.acquire("x", now=0.0))


if __name__ == "__main__":
    unittest.main()
