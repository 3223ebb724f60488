"""Tests of the functions that both daemons share."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from typing import TYPE_CHECKING

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from guavamast._daemon import bind_socket
from guavamast.caller_server import CallerServer
from guavamast.callers import build_last_responses

if TYPE_CHECKING:
    from guavamast.caller_connection import ConnectionTrace


class StopListeningTest(unittest.IsolatedAsyncioTestCase):
    """A closing listener resets no pending connection."""

    def setUp(self) -> None:
        self.unanswered: list[ConnectionTrace] = []

    async def test_connection_in_the_accept_queue_gets_a_response(self) -> None:
        """A caller that connects while the instance shuts down gets a response.

        Its connection and request wait in the accept queue while the loop is busy; closing the
        listener would reset them.
        """
        sock = bind_socket("127.0.0.1:0")
        server = CallerServer(
            respond_leaving, read_time=time.monotonic, on_unanswered=self.unanswered.append
        )
        server.add_socket(sock)
        address = sock.getsockname()
        with socket.create_connection(address) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await server.drain(deadline=time.monotonic(), responses=build_last_responses())
            response = await asyncio.to_thread(caller.recv, 65_536)
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)


def respond_leaving(request: HTTPServerRequest) -> None:
    """Respond like a leaving instance."""
    assert request.connection is not None
    headers = HTTPHeaders({"Content-Length": "0"})
    request.connection.write_headers(ResponseStartLine("HTTP/1.1", 503, "leaving"), headers)
    request.connection.finish()
