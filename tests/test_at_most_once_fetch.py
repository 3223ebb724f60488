"""Tests that one request is sent at most once, and that its errors tell whether it was sent."""

from __future__ import annotations

import asyncio
import unittest

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import AnswerLost, NotSent, fetch_once
from guavamast.engine_client import EndpointBroken, EngineCall, EngineClient
from guavamast.fleet_objects import Endpoint, EndpointKind
from guavamast.order_http import HttpOrderSender
from guavamast.orders import Order, OrderOutcome
from guavamast.platform_client import PlatformAnswerLost, Write
from guavamast.platform_http import HttpPlatformClient


class RawServer:
    """Accepts connections, records the received bytes and responds with fixed bytes."""

    def __init__(self, response: bytes) -> None:
        self.response = response
        self.received: list[bytes] = []
        self.url = ""
        self.accepted = asyncio.Event()

    async def start(self) -> None:
        """Listen on a port chosen by the operating system."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{self.port}/calls/pay"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted.set()
        received = await reader.read(65536)
        if received:
            self.received.append(received)
            writer.write(self.response)
        writer.close()


class AtMostOnceFetchTest(unittest.IsolatedAsyncioTestCase):
    """The HTTP client neither retries nor follows redirects nor accepts truncated responses."""

    async def start(self, response: bytes) -> RawServer:
        server = RawServer(response)
        await server.start()
        self.addCleanup(server.server.close)
        return server

    async def fetch(self, url: str, **options: object) -> object:
        request = HTTPRequest(
            url, method="POST", body=b"{}", connect_timeout=5.0, request_timeout=5.0
        )
        return await fetch_once(request, **options)

    async def test_each_request_has_its_own_connection_and_whole_answer(self) -> None:
        server = await self.start(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        for _ in range(2):
            self.assertEqual((await self.fetch(server.url)).body, b"ok")
        self.assertEqual(len(server.received), 2)

    async def test_redirect_is_returned_and_not_followed(self) -> None:
        # A service redirects with 307 to its own address: a client that follows it would send the
        # call twice.
        server = await self.start(b"")
        server.response = (
            f"HTTP/1.1 307 See\r\nLocation: {server.url}\r\nContent-Length: 0\r\n\r\n".encode()
        )
        self.assertEqual((await self.fetch(server.url)).code, 307)
        self.assertEqual(len(server.received), 1)

    async def test_cut_connection_is_not_tried_again(self) -> None:
        # The service reads the call and closes the connection. Many clients retry after a
        # connection was closed without a response; the call would run twice.
        server = await self.start(b"")
        with self.assertRaises(AnswerLost):
            await self.fetch(server.url)
        self.assertEqual(len(server.received), 1)

    async def test_truncated_response_is_not_accepted_as_whole(self) -> None:
        for response in (
            b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n{}",
            b"HTTP/1.1 200",
            b"nonsense\r\n\r\n",
        ):
            server = await self.start(response)
            with self.subTest(response=response), self.assertRaises(AnswerLost):
                await self.fetch(server.url)

    async def test_a_status_of_no_final_response_is_no_answer(self) -> None:
        """Guards against a call that is recorded as answered by a server in trouble."""
        for status in ("000", "099", "600", "999"):
            response = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            server = await self.start(response)
            with self.subTest(status=status), self.assertRaises(AnswerLost):
                await self.fetch(server.url)
            self.assertEqual(len(server.received), 1)

    async def test_an_order_with_such_an_answer_may_have_been_taken(self) -> None:
        """Guards against an order that counts as taken, or as rejected, by a status of neither."""
        for status in ("000", "099", "600"):
            response = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            server = await self.start(response)
            endpoint = Endpoint(
                name="e",
                kind=EndpointKind.ENGINE,
                url=f"http://127.0.0.1:{server.port}",
                failure_domain="d",
                slots=1,
            )
            order = Order(endpoint="e", fencing=1, model="m", version="1")
            with self.subTest(status=status):
                outcome = await HttpOrderSender().send(endpoint, order)
                self.assertEqual(outcome, OrderOutcome.UNKNOWN)

    async def test_a_write_with_such_an_answer_may_have_been_performed(self) -> None:
        """Guards against a write that is repeated though it was performed."""
        for status in ("000", "099", "600"):
            response = f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\n{{}}".encode()
            server = await self.start(response)
            url = f"http://127.0.0.1:{server.port}"
            client = HttpPlatformClient(tables_url=url, objects_url=url)
            with self.subTest(status=status), self.assertRaises(PlatformAnswerLost):
                await client.transact([], [Write(table="t", key="k", value={})])

    async def test_no_events_are_read_from_a_chat_with_another_status(self) -> None:
        """Guards against a failed chat whose body looks like one that was answered."""
        for status in ("000", "500", "600", "202"):
            body = "data: {}\n\n"
            server = await self.start(
                f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            call = EngineCall(
                url=f"http://127.0.0.1:{server.port}",
                request_id="r",
                model="m",
                messages=[],
                max_tokens=1,
                priority=0,
            )
            events = []
            with self.subTest(status=status), self.assertRaises(EndpointBroken):
                async for some in EngineClient().stream(call, before_send=lambda: None):
                    events += some
            self.assertEqual(events, [])

    async def test_refused_connection_proves_not_sent(self) -> None:
        server = await self.start(b"")
        server.server.close()
        await server.server.wait_closed()
        with self.assertRaises(NotSent):
            await self.fetch(server.url)

    async def test_hook_runs_after_the_connect_and_can_stop_the_send(self) -> None:
        server = await self.start(b"")

        def stop() -> None:
            raise KeyError("stopped")

        with self.assertRaises(KeyError):
            await self.fetch(server.url, before_write=stop)
        await asyncio.wait_for(server.accepted.wait(), 5.0)
        self.assertEqual(server.received, [])

    async def test_cancelled_request_is_never_written_later(self) -> None:
        # The caller is cancelled during the connect and told "not run". Tornado continues the
        # connect of a cancelled fetch and would write the request afterwards.
        server = await self.start(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        task = asyncio.ensure_future(self.fetch(server.url))
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.1)
        self.assertEqual(server.received, [])
