"""Tests of requests under way, at a real process, while the configuration changes."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM
from guavamast.platform.standins.site import LOOKUP_PREFIX, RESUMABLE_PREFIX, STREAM_PREFIX
from tests._platform_callers import Caller, PlatformTestCase
from tests._waits import wait_until

if TYPE_CHECKING:
    from tests._platform_callers import Reply

EVENT_INTERVAL_S: Final = 0.4
STREAMS: Final = 6
"""Streams of each kind; more than the engines have slots for."""
LOOKUPS: Final = 6
SILENCE_S: Final = 2.2
"""Longer than an engine may be silent before a stream is resumed elsewhere."""
APPLY_S: Final = 0.5
"""Seconds between two changes, in which each is applied."""
BODY: Final = b"r" * 64


class ChangingConfigurationTest(PlatformTestCase):
    """Streams run, and other requests wait for slots, as the configuration changes."""

    slots = 3
    idle_timeout_ms = 20_000

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for engine in self.site.engines.values():
            engine.event_interval_s = EVENT_INTERVAL_S
            engine.processing_s = 0.2
        self.instance = await self.start_instance("one")

    def list_runs(self) -> set[str]:
        """Return the ids of the requests that engines have begun to run."""
        return {run.request_id for engine in self.site.engines.values() for run in engine.runs}

    async def send(self, prefix: str, request_id: str) -> Reply:
        caller = await Caller.open(self.instance.callers)
        try:
            return await caller.send_request(
                f"{prefix}{request_id}", request_id=request_id, body=BODY, timeout_ms=20_000
            )
        finally:
            caller.connection.close()

    def start_requests(self) -> dict[str, asyncio.Task[Reply]]:
        """Send streams and lookups at once; return the tasks by request id."""
        kinds = ((STREAM_PREFIX, "s"), (RESUMABLE_PREFIX + "stream/", "r"), (LOOKUP_PREFIX, "l"))
        return {
            f"{name}{number}": asyncio.create_task(self.send(prefix, f"{name}{number}"))
            for prefix, name in kinds
            for number in range(LOOKUPS if prefix == LOOKUP_PREFIX else STREAMS)
        }

    async def change(self) -> None:
        """Change weights, routes, limits and keys, one after the other."""
        self.site.route_weights = {
            prefix: {"pool": 1e-6, "portal": 1.0} for prefix in (STREAM_PREFIX, RESUMABLE_PREFIX)
        }
        self.site.publish_configuration()
        await asyncio.sleep(APPLY_S)
        self.site.route_weights = {}
        self.site.route_services |= {STREAM_PREFIX: "portal", RESUMABLE_PREFIX: "portal"}
        self.site.idle_timeout_ms = 1
        self.site.publish_configuration()
        await asyncio.sleep(APPLY_S)
        self.site.keys = ["another"]
        self.site.publish_configuration()

    async def test_what_runs_as_the_configuration_changes_is_whole(self) -> None:
        """Guards against streams that a change cuts, and requests that it leaves without an answer.

        Streams have begun and further requests wait for slots. Their route is moved, the time of
        idle connections shrinks and their key is taken away; then all engines are silent for a
        while. A stream that was given up for that could go on nowhere.
        """
        tasks = self.start_requests()
        await wait_until(lambda: any(one.startswith("r") for one in self.list_runs()))
        await asyncio.sleep(2.0 * EVENT_INTERVAL_S)
        begun = self.list_runs()
        await self.change()
        await asyncio.sleep(APPLY_S)
        for engine in self.site.engines.values():
            engine.silent_until = time.monotonic() + SILENCE_S
        replies = dict(zip(tasks, await asyncio.gather(*tasks.values()), strict=True))
        cut = [name for name, reply in replies.items() if not reply.complete]
        self.assertEqual(cut, [])
        streams = {name: replies[name] for name in begun if not name.startswith("l")}
        self.assertGreater(len(streams), 0)
        parts = {
            name: reply.body.count(b"id:")
            for name, reply in streams.items()
            if reply.body.count(b"id:") != EVENTS_PER_STREAM
        }
        self.assertEqual(parts, {})


if __name__ == "__main__":
    unittest.main()
