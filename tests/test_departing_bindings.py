"""Tests of streams that callers take up once all instances that knew them have left."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import Final

from tests.test_platform_software_versions import STREAMS, SoftwareVersionTestCase

GRACE_S: Final = 2.0
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


if __name__ == "__main__":
    unittest.main()
