"""Tests of streams whose endpoint is silent for a while and then goes on."""

from __future__ import annotations

import asyncio
import signal
import time
import unittest
from typing import Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM
from guavamast.platform.standins.site import RESUMABLE_PREFIX
from tests._platform_callers import Caller, PlatformTestCase

SILENCE_S: Final = 2.5
EVENT_INTERVAL_S: Final = 0.3


class SilentEndpointTest(PlatformTestCase):
    """The one endpoint of a service sends nothing for some seconds in the middle of a stream."""

    pool_engines = 1

    async def test_a_stream_of_a_leaving_instance_outlasts_a_silence(self) -> None:
        """Guards against a stream that is ended for a silence, though no endpoint can resume it.

        A stream that may be resumed has begun, its instance gets SIGTERM, and its endpoint pauses.
        After 1.5 s without an event the instance gives the endpoint up, finds no other one and cuts
        the stream, which its endpoint would have ended in time.
        """
        self.site.bounds["grace_s"] = 8.0
        (engine,) = (one for name, one in self.site.engines.items() if name.startswith("pool"))
        engine.event_interval_s = EVENT_INTERVAL_S
        instance = await self.start_instance("one")
        caller = await Caller.open(instance.callers)
        receiving = asyncio.create_task(
            caller.send_request(RESUMABLE_PREFIX + "stream/r1", body=b"r1", timeout_ms=20_000)
        )
        await asyncio.sleep(2 * EVENT_INTERVAL_S)
        instance.process.send_signal(signal.SIGTERM)
        engine.silent_until = time.monotonic() + SILENCE_S
        reply = await receiving
        self.assertEqual((reply.status, reply.complete), (200, True), reply.body)
        self.assertEqual(reply.body.count(b"id:"), EVENTS_PER_STREAM)


if __name__ == "__main__":
    unittest.main()
