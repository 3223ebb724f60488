"""Tests of a persistent connection: what ends a response, and what ends the connection."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import tracemalloc
import unittest
from unittest import mock

from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from guavamast.relay.response_end import BodyEnding, BodyFraming
from tests.early_engine import EarlyEnd, EarlyEngine

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
LARGE_BYTES = 16 * 1024 * 1024
EARLY_BYTES = 900_000
EARLY_REQUEST = b"x" * EARLY_BYTES
RESPONSE_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nok"


class HttpConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A connection over a mocked transport."""

    async def asyncSetUp(self) -> None:
        self.transport = mock.create_autospec(asyncio.Transport, instance=True)
        self.transport.get_write_buffer_size.return_value = 0
        self.transport.get_extra_info.return_value = None
        self.connection = HttpConnection()
        self.connection.connection_made(self.transport)
        await self.connection.send("GET", "/", [("Host", "h")], b"")

    async def read_body(self) -> bytes:
        """Return the body of the response."""
        await self.connection.read_head()
        body = b""
        while (chunk := await self.connection.read_chunk()) is not None:
            body += chunk
        return body

    async def test_a_whole_answer_leaves_the_connection_usable(self) -> None:
        self.connection.data_received(RESPONSE)
        self.assertEqual(await self.read_body(), b"ok")
        self.assertTrue(self.connection.reusable)
        await self.connection.send("GET", "/", [("Host", "h")], b"")

    async def test_bytes_behind_an_answer_end_the_connection(self) -> None:
        self.connection.data_received(RESPONSE + b"HTTP/1.1 200 OK")
        self.assertEqual(await self.read_body(), b"ok")
        self.assertFalse(self.connection.reusable)
        self.transport.abort.assert_called()

    async def test_bytes_without_a_request_end_the_connection(self) -> None:
        self.connection.data_received(RESPONSE)
        await self.read_body()
        self.connection.data_received(RESPONSE)
        self.assertFalse(self.connection.reusable)
        self.transport.abort.assert_called()

    async def test_an_answer_without_length_ends_with_its_connection(self) -> None:
        self.connection.data_received(RESPONSE_WITHOUT_LENGTH)
        self.connection.eof_received()
        self.connection.connection_lost(None)
        self.assertEqual(await self.read_body(), b"ok")
        self.assertFalse(self.connection.reusable)

    async def test_a_reset_does_not_end_the_response(self) -> None:
        self.connection.data_received(RESPONSE_WITHOUT_LENGTH)
        self.connection.connection_lost(ConnectionResetError())
        with self.assertRaises(ConnectionLost):
            await self.read_body()

    async def test_an_answer_that_ends_before_its_request_was_received_is_incomplete(self) -> None:
        """Guards against a part that looks complete, as its end came before the reset."""
        for reset in (False, True):
            with self.subTest(reset=reset):
                await self.asyncSetUp()
                self.connection.data_received(RESPONSE_WITHOUT_LENGTH)
                self.transport.get_write_buffer_size.return_value = 10
                self.connection.eof_received()
                self.connection.connection_lost(BrokenPipeError() if reset else None)
                with self.assertRaises(ConnectionLost):
                    await self.read_body()
                ending = BodyEnding.RESET if reset else BodyEnding.EARLY
                self.assertEqual(self.connection.ending, ending)

    async def test_a_reset_after_the_end_of_the_data_ends_no_response(self) -> None:
        """Guards against the rest of an upload whose reset comes after a part was read."""
        self.connection.data_received(RESPONSE_WITHOUT_LENGTH)
        self.connection.eof_received()
        self.connection.connection_lost(ConnectionResetError())
        with self.assertRaises(ConnectionLost):
            await self.read_body()

    async def test_a_status_of_no_final_response_is_malformed(self) -> None:
        """Guards against a status that callers take for an answer, or can't read."""
        for status in (b"600", b"999", b"099", b"000", b"99", b"0200", b"+20"):
            with self.subTest(status=status):
                await self.asyncSetUp()
                head = b"HTTP/1.1 " + status + b" X\r\nContent-Length: 2\r\n\r\nok"
                self.connection.data_received(head)
                with self.assertRaises(MalformedAnswer):
                    await self.read_body()
                self.assertFalse(self.connection.reusable)

    async def test_a_truncated_response_is_incomplete(self) -> None:
        self.connection.data_received(RESPONSE[:-1])
        self.connection.eof_received()
        with self.assertRaises(ConnectionLost):
            await self.read_body()

    async def test_malformed_bytes_are_distinguished_from_a_lost_connection(self) -> None:
        self.connection.data_received(b"\x00\x01 no answer\r\n\r\n")
        with self.assertRaises(MalformedAnswer):
            await self.read_body()

    async def test_a_long_answer_stops_being_read_until_it_is_taken(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"
        self.connection.data_received(head + b"x" * 100_000)
        self.transport.pause_reading.assert_called_once()
        await self.connection.read_head()
        reading = asyncio.create_task(self.connection.read_chunk())
        self.assertEqual(len(await reading or b""), 100_000)
        waiting = asyncio.create_task(self.connection.read_chunk())
        await asyncio.sleep(0)
        self.transport.resume_reading.assert_called_once()
        waiting.cancel()

    async def test_framing_and_ending_of_responses_are_told_apart(self) -> None:
        """Guards against a reset, an ordered end and a stated end that look alike in the log."""
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        cases = (
            (RESPONSE, BodyFraming.LENGTH, "", BodyEnding.FRAMED),
            (RESPONSE[:-1], BodyFraming.LENGTH, "eof", BodyEnding.CLOSED),
            (RESPONSE[:-1], BodyFraming.LENGTH, "reset", BodyEnding.RESET),
            (chunked + b"0\r\n\r\n", BodyFraming.CHUNKED, "", BodyEnding.FRAMED),
            (chunked, BodyFraming.CHUNKED, "eof", BodyEnding.CLOSED),
            (chunked, BodyFraming.CHUNKED, "reset", BodyEnding.RESET),
            (RESPONSE_WITHOUT_LENGTH, BodyFraming.CONNECTION, "eof", BodyEnding.CLOSED),
            (RESPONSE_WITHOUT_LENGTH, BodyFraming.CONNECTION, "reset", BodyEnding.RESET),
            (RESPONSE_WITHOUT_LENGTH, BodyFraming.CONNECTION, "close", BodyEnding.OPEN),
        )
        for data, framing, end, ending in cases:
            with self.subTest(framing=framing, ending=ending):
                await self.asyncSetUp()
                self.connection.data_received(data)
                self.assertEqual((await self.connection.read_head()).framing, framing)
                if end == "eof":
                    self.connection.eof_received()
                    self.connection.connection_lost(None)
                elif end == "reset":
                    self.connection.connection_lost(ConnectionResetError())
                elif end == "close":
                    self.connection.close()
                    self.connection.connection_lost(None)
                with contextlib.suppress(ConnectionLost):
                    while await self.connection.read_chunk() is not None:
                        pass
                self.assertEqual(self.connection.ending, ending)


class EarlyEndTest(unittest.IsolatedAsyncioTestCase):
    """Answers without a length of a server that ends the connection while it is written to."""

    async def test_a_part_is_no_whole_answer(self) -> None:
        """Guards against a part that looks complete, as its end came before the reset."""
        for end, body in itertools.product(EarlyEnd, (b"a part", b"y" * 300_000)):
            with self.subTest(end=end, length=len(body)):
                engine = EarlyEngine(end=end, body=body)
                engine.start()
                self.addCleanup(engine.stop)
                connection = await HttpConnection.open("127.0.0.1", engine.port, timeout_s=5.0)
                length = ("Content-Length", str(EARLY_BYTES))
                with self.assertRaises(ConnectionLost):
                    async with asyncio.timeout(5.0):
                        await connection.send("POST", "/", [("Host", "h"), length], EARLY_REQUEST)
                        await connection.read_head()
                        while await connection.read_chunk() is not None:
                            pass
                self.assertFalse(connection.reusable)
                self.assertEqual(engine.received_whole, set())
                self.assertIn(connection.ending, (BodyEnding.EARLY, BodyEnding.RESET))
                connection.close()


class LargeRequestTest(unittest.IsolatedAsyncioTestCase):
    """A large request is written as its server takes it."""

    async def asyncSetUp(self) -> None:
        self.reads = asyncio.Event()
        self.received = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.connection = await HttpConnection.open("127.0.0.1", port, timeout_s=5.0)
        self.addCleanup(self.connection.close)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read a request once the test says so, and answer it."""
        await self.reads.wait()
        await reader.readuntil(b"\r\n\r\n")
        self.received = len(await reader.readexactly(LARGE_BYTES))
        writer.write(RESPONSE)
        await writer.drain()

    async def test_a_body_is_not_copied_while_it_waits(self) -> None:
        """Guards against uploads that take twice the memory that is counted for them."""
        body = b"x" * LARGE_BYTES
        headers = [("Host", "h"), ("Content-Length", str(LARGE_BYTES))]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        sending = asyncio.ensure_future(self.connection.send("POST", "/", headers, body))
        await asyncio.sleep(0.2)
        self.assertFalse(sending.done())
        self.assertLess(tracemalloc.get_traced_memory()[0], LARGE_BYTES // 4)
        self.reads.set()
        await sending
        self.assertEqual((await self.connection.read_head()).status, 200)
        while await self.connection.read_chunk() is not None:
            pass
        self.assertEqual(self.received, LARGE_BYTES)
        self.assertTrue(self.connection.reusable)


if __name__ == "__main__":
    unittest.main()
