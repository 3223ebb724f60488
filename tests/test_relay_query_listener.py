"""Tests of the listeners for single queries."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from unittest import mock

from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.query_listener import QueryHandler, QueryListener

BODY = "ready\n"


class ReadyHandler(QueryHandler):
    """Answers each query alike."""

    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        del path, query
        return 200, "text/plain", BODY


class QueryListenerTest(unittest.IsolatedAsyncioTestCase):
    """A listener with one handler."""

    async def asyncSetUp(self) -> None:
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            self.port = int(reserved.getsockname()[1])
        recorder = mock.create_autospec(ListenerRecorder, instance=True)
        listener = QueryListener(
            handler=ReadyHandler(), recorder=recorder, read_time=time.monotonic
        )
        listener.listen("127.0.0.1", self.port)
        self.addAsyncCleanup(listener.stop)

    async def ask(self, method: str) -> bytes:
        """Send a query, and return what is received until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        head = f"{method} /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
        writer.write(head.encode())
        async with asyncio.timeout(5.0):
            return await reader.read()

    async def test_query_for_the_head_gets_the_head(self) -> None:
        """Guards against a query by HEAD whose connection is closed without a response.

        A load balancer asks for readiness without the body. The HTTP server refuses to write a body
        there, and the caller takes a ready instance for a dead one.
        """
        whole = await self.ask("GET")
        head, _, body = whole.partition(b"\r\n\r\n")
        self.assertEqual(body, BODY.encode())
        self.assertEqual(await self.ask("HEAD"), head + b"\r\n\r\n")


if __name__ == "__main__":
    unittest.main()
