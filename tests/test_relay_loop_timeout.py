"""Tests of the timeout that does not mistake a slow event loop for a silent server."""

from __future__ import annotations

import asyncio
import socketserver
import threading
import time
import unittest
from unittest import mock

from guavamast.relay.http_connection import HttpConnection
from guavamast.relay.loop_timeout import wait_in_steps

BLOCKED_S = 0.06
"""Seconds that each loop iteration takes while the process is blocked."""


class Handler(socketserver.StreamRequestHandler):
    """Answers one request at once, or never."""

    silent = False

    def handle(self) -> None:
        while self.rfile.readline().strip():
            pass
        if not self.silent:
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        self.rfile.read()


class WaitInStepsTest(unittest.IsolatedAsyncioTestCase):
    """Data that arrived while the process was blocked counts as in time."""

    async def asyncSetUp(self) -> None:
        self.server = socketserver.ThreadingTCPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        thread = threading.Thread(target=self.server.serve_forever, args=(0.01,))
        thread.start()
        self.addCleanup(self.server.server_close)
        self.addCleanup(thread.join)
        self.addCleanup(self.server.shutdown)
        ip, port = self.server.server_address
        self.connection = await HttpConnection.open(str(ip), int(port), timeout_s=5.0)
        self.addCleanup(self.connection.close)

    async def send_request(self) -> int:
        await self.connection.send("GET", "/", [("Host", "x")], b"")
        return (await self.connection.read_head()).status

    def block_loop(self, iterations: int) -> None:
        """Block the loop in this and each of the next iterations."""
        time.sleep(BLOCKED_S)
        if iterations:
            asyncio.get_running_loop().call_soon(self.block_loop, iterations - 1)

    async def test_an_accepted_connection_is_returned(self) -> None:
        """A store that answers at once does not seem unavailable to a blocked instance.

        Each loop iteration takes longer than the timeout, and the connection is accepted within the
        first. With a single timer, the timeout is reached before the socket is checked.
        """
        asyncio.get_running_loop().call_soon(self.block_loop, 20)
        ip, port = self.server.server_address
        connection = await HttpConnection.open(str(ip), int(port), timeout_s=BLOCKED_S / 2)
        connection.close()

    async def test_an_answer_buffered_in_the_socket_is_read(self) -> None:
        asyncio.get_running_loop().call_soon(self.block_loop, 20)
        self.assertEqual(await wait_in_steps(self.send_request(), timeout_s=BLOCKED_S / 2), 200)

    async def test_a_silent_server_reaches_the_limit(self) -> None:
        with mock.patch.object(Handler, "silent", True), self.assertRaises(TimeoutError):
            await wait_in_steps(self.send_request(), timeout_s=0.07)

    async def test_cancelling_the_waiter_cancels_the_work(self) -> None:
        ended = asyncio.Event()

        async def work() -> None:
            try:
                await asyncio.sleep(60.0)
            finally:
                ended.set()

        waiting = asyncio.create_task(wait_in_steps(work(), timeout_s=60.0))
        await asyncio.sleep(0.01)
        waiting.cancel()
        await asyncio.wait_for(ended.wait(), 5.0)


if __name__ == "__main__":
    unittest.main()
