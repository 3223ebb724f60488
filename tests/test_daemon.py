"""Tests of what both daemons share."""

from __future__ import annotations

import asyncio
import socket
import unittest

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

from guavamast._daemon import bind_socket, stop_listening


class StopListeningTest(unittest.IsolatedAsyncioTestCase):
    """A listener that is closed leaves nobody without an answer."""

    async def test_a_caller_that_waits_to_be_accepted_is_answered(self) -> None:
        """The caller gets an answer although the instance ends as it connects.

        It connects and sends its request while the loop is busy, so the connection waits in the
        system's queue. Then the listener is closed, which would reset it.
        """
        sock = bind_socket("127.0.0.1:0")
        server = HTTPServer(refuse)
        server.add_sockets([sock])
        address = sock.getsockname()
        with socket.create_connection(address) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await stop_listening(server, sock)
            answer = await asyncio.to_thread(caller.recv, 65_536)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(address)


def refuse(request: HTTPServerRequest) -> None:
    """Answer as a leaving instance does."""
    assert request.connection is not None
    headers = HTTPHeaders({"Content-Length": "0"})
    request.connection.write_headers(ResponseStartLine("HTTP/1.1", 503, "leaving"), headers)
    request.connection.finish()
