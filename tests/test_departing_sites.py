"""Tests of what other instances, all real processes, do while one leaves."""

from __future__ import annotations

import asyncio
import itertools
import signal
import unittest
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


if __name__ == "__main__":
    unittest.main()
