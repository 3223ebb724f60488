"""Tests of the engine stand-in's behaviour under hard load."""

from __future__ import annotations

import asyncio
import socket
import time
import unittest
from typing import TYPE_CHECKING

from guavamast.platform.standins.engine import EngineStandIn
from guavamast.platform.standins.kv_cache import KvCache
from guavamast.platform.standins.prefill_batch import PrefillBatch

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

UNREAD_S = 0.3
LARGE_BYTES = 400_000
"""Bytes that exceed what the system buffers for a connection with small buffers."""


class EngineUnderLoadTest(unittest.IsolatedAsyncioTestCase):
    """The stand-in does to slow readers and to overload what engines do."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineStandIn(engine_id="x")
        await self.engine.listen()
        self.addAsyncCleanup(self.engine.stop)

    async def ask(
        self,
        target: str = "/x",
        *,
        body: bytes = b"",
        tokens: str = "0,0",
        pace: Callable[[], Awaitable[None]] | None = None,
    ) -> bytes:
        """Return the bytes of an answer, read in pieces with a pause before each."""
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", self.engine.port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=2_048)
            head = f"POST {target} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: r\r\nConnection: close\r\n"
            head += f"X-Token-Usage: {tokens}\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            received = b""
            try:
                while True:
                    if pace is not None:
                        await pace()
                    piece = await reader.read(20_000)
                    if not piece:
                        return received
                    received += piece
            except ConnectionError:
                return received
            finally:
                writer.close()

    async def measure(self, target: str, *, tokens: str = "0,0") -> float:
        """Return the seconds that a whole answer takes."""
        started = time.monotonic()
        await self.ask(target, tokens=tokens)
        return time.monotonic() - started

    async def test_an_unread_answer_is_cut(self) -> None:
        """Guards against tests in which callers that stop reading cost an engine nothing."""
        self.engine.unread_s, self.engine.padding_bytes = UNREAD_S, LARGE_BYTES

        async def stop_reading() -> None:
            await asyncio.sleep(4.0 * UNREAD_S)

        self.assertLess(len(await self.ask(pace=stop_reading)), LARGE_BYTES)
        self.assertEqual(self.engine.abandoned, 1)
        self.assertEqual(self.engine.completed, [])

    async def test_an_answer_that_is_read_slowly_is_whole(self) -> None:
        """Guards against a stand-in that cuts whoever takes longer than it waits in total."""
        self.engine.unread_s, self.engine.padding_bytes = UNREAD_S, LARGE_BYTES

        async def read_slowly() -> None:
            await asyncio.sleep(0.02)

        started = time.monotonic()
        self.assertGreater(len(await self.ask(pace=read_slowly)), LARGE_BYTES)
        self.assertGreater(time.monotonic() - started, UNREAD_S)

    async def test_requests_are_read_at_a_pace(self) -> None:
        """Guards against request bodies that never occupy an instance's memory in tests."""
        self.engine.read_bytes_per_s = 20_000.0
        started = time.monotonic()
        self.assertIn(b"200", await self.ask(body=b"x" * 10_000))
        self.assertGreater(time.monotonic() - started, 0.4)
        self.assertEqual(len(self.engine.runs[0].body), 10_000)

    async def test_a_slow_engine_takes_longer_for_everything(self) -> None:
        """Guards against engines of unlike speed that differ in one part of their work only."""
        self.engine.batch = PrefillBatch(slots=4, tokens_per_s=1_000.0)
        self.engine.processing_s = 0.05
        usual_s = await self.measure("/stream", tokens="100,9")
        self.engine.speed = 0.5
        self.assertGreater(await self.measure("/stream", tokens="100,9"), 1.6 * usual_s)

    async def test_an_engine_ends_when_its_requests_exceed_its_memory(self) -> None:
        """Guards against placements beyond an engine's memory that no test notices.

        Waiting requests count as well, and the output that was asked for.
        """
        ended: list[bool] = []
        self.engine.on_crash = lambda: ended.append(True)
        self.engine.kv_cache = KvCache(capacity=100)
        self.engine.batch = PrefillBatch(slots=1, tokens_per_s=1_000.0)
        for _ in range(2):
            self.assertIn(b"200", await self.ask(tokens="40,20"))
        self.assertEqual((ended, self.engine.kv_cache.held), ([], 0))
        answers = await asyncio.gather(*(self.ask(tokens="40,20") for _ in range(2)))
        self.assertEqual((answers, ended), ([b"", b""], [True]))
        self.assertEqual(self.engine.kv_cache.most_held, 120)

    async def test_the_end_of_each_run_is_recorded_once(self) -> None:
        """Guards against runs whose ends only their callers tell, who may be late."""
        self.engine.event_interval_s = 0.02
        await self.ask("/stream")
        self.assertEqual((len(self.engine.completed), self.engine.aborted), (1, []))
        self.engine.event_interval_s = 0.1

        async def leave() -> None:
            if len(self.engine.runs) > 1:
                raise ConnectionError

        left_at = time.monotonic()
        await self.ask("/stream", pace=leave)
        while not self.engine.aborted:
            await asyncio.sleep(0.02)
        (aborted,) = self.engine.aborted
        self.assertEqual(len(self.engine.completed), 1)
        self.assertGreater(aborted.ended, left_at)
        self.assertLess(aborted.ended, time.monotonic() + 0.02)


if __name__ == "__main__":
    unittest.main()
