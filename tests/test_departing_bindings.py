"""Tests of streams that callers take up once all instances that knew them have left."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._platform_callers import Caller
from tests.test_platform_software_versions import STREAMS, SoftwareVersionTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Instance

GRACE_S: Final = 2.0
LONG_GRACE_S: Final = 8.0
LONG_STREAM_S: Final = 20.0
LONG_TIMEOUT_MS: Final = 30_000
START_AFTER_S: Final = 4.0
"""Seconds after the signals at which a new instance starts: callers connect nowhere by then."""
HEARD_S: Final = 1.0
"""Seconds after its start in which the others have heard of an instance."""


class ReplacedInstancesTest(SoftwareVersionTestCase):
    """All instances are replaced while callers hold parts of their streams."""

    def prepare_site(self) -> None:
        self.site.bounds["grace_s"] = GRACE_S

    async def test_streams_go_on_at_instances_that_started_later(self) -> None:
        """Guards against streams that nobody remembers after a roll of all instances.

        The instance that began a stream and those that hold a copy of its binding leave, each in
        good order. The caller takes its stream up at a new one, which refuses it for good.
        """
        streams = [await self.begin(self.instances[0]) for _ in range(STREAMS)]
        new = await self.start_instance("new")
        await asyncio.sleep(HEARD_S)
        for instance in self.instances:
            instance.process.send_signal(signal.SIGTERM)
        for instance in self.instances:
            self.assertEqual(await instance.process.wait(), 0)
        for stream in streams:
            await self.take_up(new, stream)
        self.check_going_on(streams)


class LateReplacementTest(SoftwareVersionTestCase):
    """All instances leave at once, and the first that replaces them starts some seconds later."""

    def prepare_site(self) -> None:
        self.site.bounds["grace_s"] = LONG_GRACE_S

    async def test_streams_go_on_at_an_instance_that_starts_during_the_departures(self) -> None:
        """Guards against bindings that are handed over before there is an instance that stays.

        Once no caller connects any more, those that leave know of no other. They serve their last
        streams for some seconds more, and a new instance has started by the time they end.
        """
        streams = [await self.begin(self.instances[0]) for _ in range(STREAMS)]
        holding = [asyncio.create_task(self.hold(one)) for one in self.instances]
        await asyncio.sleep(HEARD_S)
        for instance in self.instances:
            instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(START_AFTER_S)
        new = await self.start_instance("new")
        for instance in self.instances:
            self.assertEqual(await instance.process.wait(), 0)
        await asyncio.gather(*holding)
        for stream in streams:
            await self.take_up(new, stream)
        self.check_going_on(streams)

    async def hold(self, instance: Instance) -> None:
        """Keep an instance until its end by a stream that lasts longer."""
        request_id = f"holding {instance.callers}"
        for engine in self.list_engines():
            engine.stream_durations = {request_id: LONG_STREAM_S}
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(
            STREAM_PREFIX + "x", request_id=request_id, timeout_ms=LONG_TIMEOUT_MS
        )
        caller.connection.close()
        self.assertEqual(reply.status, 200)


if __name__ == "__main__":
    unittest.main()
