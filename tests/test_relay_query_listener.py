"""Tests of the listeners for single queries."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.query_listener import QueryHandler, QueryListener

if TYPE_CHECKING:
    from collections.abc import Callable

BODY = "ready\n"


class ReadyHandler(QueryHandler):
    """Answers each query alike."""

    def __init__(self) -> None:
        self.on_query: Callable[[], None] = lambda: None

    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        del path, query
        self.on_query()
        return 200, "text/plain", BODY


class QueryListenerTest(unittest.IsolatedAsyncioTestCase):
    """A listener with one handler."""

    async def asyncSetUp(self) -> None:
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            self.port = int(reserved.getsockname()[1])
        recorder = mock.create_autospec(ListenerRecorder, instance=True)
        self.handler = ReadyHandler()
        self.listener = QueryListener(
            handler=self.handler, recorder=recorder, read_time=time.monotonic
        )
        self.listener.listen("127.0.0.1", self.port)
        self.addAsyncCleanup(self.listener.stop)

    async def ask(self, method: str, *, connection: str = "close") -> bytes:
        """Send a query, and return what is received until the connection is closed."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        head = f"{method} /v1/ready HTTP/1.1\r\nHost: h\r\nConnection: {connection}\r\n\r\n"
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

    async def test_connection_whose_response_was_just_written_gets_the_last_response(self) -> None:
        """Guards against a kept connection that the end of the instance closes between queries.

        The response has been written, and the HTTP server hasn't come to read the next query yet.
        The connection seemed to serve a query beyond its time. The caller sends its next query
        right after the response, and gets none.
        """
        stopping: list[asyncio.Task[None]] = []
        self.handler.on_query = lambda: stopping.append(asyncio.create_task(self.listener.stop()))
        received = await self.ask("GET", connection="keep-alive")
        self.assertIn(b"HTTP/1.1 200 ", received)
        self.assertIn(BODY.encode() + b"HTTP/1.1 503 ", received)
        await asyncio.gather(*stopping)


if __name__ == "__main__":
    unittest.main()
