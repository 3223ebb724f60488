"""Tests of what other instances, all real processes, do while one leaves."""

from __future__ import annotations

import asyncio
import itertools
import signal
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform.settings import PRESSURE_CONTRACT
from guavamast.platform.standins.site import STREAM_PREFIX
from tests._platform_callers import Caller, PlatformTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Instance, Reply

STREAMS: Final = 3
EVENTS: Final = 10
STREAM_S: Final = 7.0
"""Seconds of a stream: it ends before an instance that gets SIGTERM right after its begin."""
KV_TOKENS: Final = 100_000
"""Tokens that the engine holds at most, as the site's configuration states it."""
USAGE: Final = ("X-Token-Usage", "100,23900")
"""Tokens of each request: the engine can hold all streams, and not two requests more."""
REPORT_S: Final = 1.5
"""Seconds after its start in which an instance has heard of the work of all others."""
RETRY_S: Final = 0.1
"""Seconds until a caller asks again: at first an instance grants only a part of the memory."""
SHORT_GRACE_S: Final = 4.0
"""Seconds from the signal until the platform kills a process."""
START_TIMEOUT_S: Final = 3.0
"""Seconds in which an engine has begun to run all streams."""
TIMEOUT_MS: Final = 20_000


class StartBesideDepartureTest(PlatformTestCase):
    """An instance with a new name starts while the only other one leaves."""

    pool_engines = 1
    portal_engines = 1

    async def test_new_instance_knows_what_runs_at_a_leaving_one(self) -> None:
        """Guards against memory of an engine that a new instance grants again.

        Streams of the leaving instance hold the memory of an engine that ends if it has to hold
        more. The new one finds no record of it, so neither hears of the other, and the new one
        sends the engine more. The engine ends, and the streams are cut long before their instance
        would end them.
        """
        self.site.bounds["grace_s"] = 8.0
        engine = self.site.engines["pool-0"]
        engine.events = EVENTS
        engine.event_interval_s = STREAM_S / EVENTS
        engine.kv_cache.capacity = KV_TOKENS
        leaving = await self.start_instance("one")
        streams = [
            asyncio.create_task(self.ask_until_served(leaving, f"s{one}")) for one in range(STREAMS)
        ]
        async with asyncio.timeout(START_TIMEOUT_S):
            while len(engine.runs) < STREAMS:
                await asyncio.sleep(0.02)
        leaving.process.send_signal(signal.SIGTERM)
        new = await self.start_instance("two")
        await asyncio.sleep(REPORT_S)
        asking = [asyncio.create_task(self.ask(new, f"n{one}")) for one in range(2)]
        replies = await asyncio.gather(*streams)
        self.assertEqual([(one.status, one.complete) for one in replies], [(200, True)] * STREAMS)
        self.assertEqual(self.site.crashed_engines, [])
        await asyncio.gather(*asking)
        self.assertEqual(await leaving.process.wait(), 0)
        listed = [name for name, _ in self.site.store.list_versions("instances")]
        self.assertEqual(listed, ["two"])

    async def launch(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        """Start a process that knows that engines end if they have to hold more."""
        return await super().launch(settings | {"contracts": [PRESSURE_CONTRACT]})

    async def ask_until_served(self, instance: Instance, name: str) -> Reply:
        """Send requests for a stream until one isn't rejected, and return its whole response."""
        for number in itertools.count():
            reply = await self.ask(instance, f"{name}-{number}")
            if reply.status != 503:
                break
            await asyncio.sleep(RETRY_S)
        return reply

    async def ask(self, instance: Instance, request_id: str) -> Reply:
        """Send a request for a stream, and return the whole response."""
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(
            STREAM_PREFIX + "stream",
            request_id=request_id,
            body=b"x",
            timeout_ms=TIMEOUT_MS,
            extra_headers=(USAGE,),
        )
        caller.connection.close()
        return reply


class QueryingDepartureTest(PlatformTestCase):
    """An instance leaves while a client that asks for its readiness keeps its connection."""

    async def test_process_ends_before_it_would_be_killed(self) -> None:
        """Guards against a client of queries that keeps a leaving process until it is killed.

        A stream lasts until the end of the grace time. Only then are the connections of queries
        ended, each with a wait for its client to close it, and the platform kills the process
        meanwhile.
        """
        self.site.bounds["grace_s"] = SHORT_GRACE_S
        for engine in self.site.engines.values():
            engine.event_interval_s = STREAM_S
        instance = await self.start_instance("one")
        host, _, port = instance.readiness.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        streaming = asyncio.create_task(self.send_stream(instance))
        while not any(engine.runs for engine in self.site.engines.values()):
            await asyncio.sleep(0.02)
        instance.process.send_signal(signal.SIGTERM)
        with suppress(TimeoutError):
            async with asyncio.timeout(SHORT_GRACE_S):
                await instance.process.wait()
        await instance.stop()
        await streaming
        self.assertEqual(instance.process.returncode, 0)

    async def send_stream(self, instance: Instance) -> None:
        """Send a request for a stream that the end of the instance cuts."""
        caller = await Caller.open(instance.callers)
        await caller.send_request(STREAM_PREFIX + "stream", body=b"x", timeout_ms=TIMEOUT_MS)
        caller.connection.close()


if __name__ == "__main__":
    unittest.main()
