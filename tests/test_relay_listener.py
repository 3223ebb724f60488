"""Tests of the listener for callers' requests."""

from __future__ import annotations

import asyncio
import socket
import time
import tracemalloc
import unittest
from dataclasses import replace
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.relay.buffering import MemoryAccount
from guavamast.relay.catalog import CallerLimits
from guavamast.relay.listener import CallerListener
from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.relayer import Relayer

if TYPE_CHECKING:
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.tornado_writer import TornadoWriter

LIMITS = CallerLimits(
    header_bytes=1_000, body_bytes=1_000, header_timeout_s=5.0, idle_timeout_s=5.0
)
READ_TIMEOUT_S = 5.0
MIB = 1024 * 1024


class ListenerTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with a listener on a port."""

    body_bytes = 1_000
    """Bytes of a request body at most."""

    async def asyncSetUp(self) -> None:
        self.relayer = mock.create_autospec(Relayer, instance=True)
        self.memory = MemoryAccount(limit_bytes=10 * MIB)
        self.listener = CallerListener(
            relayer=self.relayer,
            codec=PlatformHeaders(),
            recorder=mock.create_autospec(ListenerRecorder, instance=True),
            memory=self.memory,
            rejects_large=True,
            read_time=time.monotonic,
        )
        self.listener.set_limits(replace(LIMITS, body_bytes=self.body_bytes))
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            self.port = int(reserved.getsockname()[1])
        self.listener.listen("127.0.0.1", self.port)
        self.addAsyncCleanup(self.listener.drain, deadline=0.0)

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes, and return what is received until the connection ends."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(sent)
        async with asyncio.timeout(READ_TIMEOUT_S):
            return await reader.read()


class EarlyRejectionTest(ListenerTestCase):
    """Requests that are rejected by their head, before their bodies are read."""

    async def test_rejection_of_a_large_body_says_that_the_connection_closes(self) -> None:
        """Guards against a connection that closes although its response promised otherwise.

        The rest of the body isn't read, so the connection ends with the response. A caller that
        isn't told sends its next request, and gets no response to it.
        """
        response = await self.exchange(
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n" + b"x" * 100
        )
        self.assertTrue(response.startswith(b"HTTP/1.1 413"), response)
        self.assertIn(b"Connection: close", response)

    async def test_rejection_of_a_large_head_closes_the_connection_that_it_announces(self) -> None:
        """Guards against the same for a request without a body, whose connection was kept or not.

        The response is written in a later turn of the loop, by which the request has been read.
        """
        head = b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 2_000 + b"\r\n\r\n"
        response = await self.exchange(head + b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(response.startswith(b"HTTP/1.1 431"), response)
        self.assertIn(b"Connection: close", response)
        self.relayer.relay.assert_not_called()


class LargeBodyTest(ListenerTestCase):
    """Large bodies stay within the memory that the instance may hold, and are held once."""

    body_bytes = 4 * MIB

    async def test_bodies_that_come_at_once_are_received_only_as_far_as_there_is_room(self) -> None:
        """Guards against a process that is ended by its memory, as all heads find room at once."""
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {4 * MIB}\r\n\r\n".encode()
        callers = [asyncio.ensure_future(self.exchange(head)) for _ in range(6)]
        await asyncio.wait(callers, timeout=0.5)
        rejected = [caller.result() for caller in callers if caller.done()]
        self.assertEqual(len(rejected), 4)
        for response in rejected:
            self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
        for caller in callers:
            caller.cancel()
        self.relayer.relay.assert_not_called()

    async def test_room_is_given_back_by_callers_that_leave(self) -> None:
        """Guards against uploads that are rejected for ever after some have been broken off."""
        head = f"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: {4 * MIB}\r\n\r\n".encode()
        for _ in range(3):
            _, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(head)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_a_response_is_held_once_until_its_caller_has_it(self) -> None:
        """Guards against slow callers whose responses take twice the memory that is counted."""
        body = b"y" * (4 * MIB)
        sent = asyncio.Event()

        async def relay(request: CallerRequest, writer: TornadoWriter) -> None:
            del request
            await writer.send(200, [], body)
            writer.call_when_sent(sent.set)

        self.relayer.relay.side_effect = relay
        # A caller that reads nothing; a stream of this process would hold a part of the response.
        caller = socket.socket()
        caller.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(caller, ("127.0.0.1", self.port))
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        await loop.sock_sendall(caller, b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await asyncio.sleep(0.3)
        self.assertLess(tracemalloc.get_traced_memory()[0], len(body) // 4)
        self.assertFalse(sent.is_set())
        reader, writer = await asyncio.open_connection(sock=caller)
        self.addCleanup(writer.close)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(f"Content-Length: {len(body)}".encode(), head)
        self.assertEqual(await reader.readexactly(len(body)), body)
        async with asyncio.timeout(READ_TIMEOUT_S):
            await sent.wait()


if __name__ == "__main__":
    unittest.main()
