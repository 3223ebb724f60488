"""End-to-end tests of a background task that fails by an unexpected error."""

from __future__ import annotations

import asyncio
import time
import unittest

from guavamast.platform.standins.site import LOOKUP_PREFIX
from tests._platform_callers import Caller, Instance, PlatformTestCase

LISTED_S = 20.0
"""Seconds within which instances hear of each other, on a busy machine."""


class FailingTaskTest(PlatformTestCase):
    """An instance goes on, with the task, after an error that nobody foresaw.

    The heartbeats of each instance fail once, half a second after the start. Callers are served all
    the while, and the instances list each other as before.
    """

    entry_module = "tests._failing_heartbeats"

    async def test_an_instance_goes_on_with_its_heartbeats(self) -> None:
        """Guards against an instance that ends, and against one that goes on without the task."""
        instances = await self.start_instances(2)
        until = time.monotonic() + LISTED_S
        for instance in instances:
            while not await self.lists_all(instance, instances):
                self.assertLess(time.monotonic(), until)
                await asyncio.sleep(0.1)
        for instance in instances:
            caller = await Caller.open(instance.callers)
            reply = await caller.send_request(f"{LOOKUP_PREFIX}x")
            self.assertEqual(reply.status, 200)
            self.assertIsNone(instance.process.returncode)

    async def lists_all(self, instance: Instance, instances: list[Instance]) -> bool:
        """Return whether an instance gives callers the addresses of all."""
        listed = await self.list_addresses(instance)
        return all(one.callers in listed for one in instances)


if __name__ == "__main__":
    unittest.main()
