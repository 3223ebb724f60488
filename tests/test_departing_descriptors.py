"""Tests of the end of an instance, a real process, that has no free file descriptor."""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import time
import unittest
from itertools import count
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Instance

CALLERS: Final = 12
WAITING_CALLERS: Final = 6
EVENTS: Final = 10
STREAM_S: Final = 6.0
"""Seconds of a stream that ends well before its instance."""
GRACE_S: Final = 8.0
BEGIN_S: Final = 1.0
"""Seconds in which all streams begin before the signal."""
QUEUE_S: Final = 0.2
"""Seconds in which further connections reach the queue of the listener."""


class DepartingDescriptorsTest(PlatformTestCase):
    """An instance gets SIGTERM while connections wait that it has no descriptor for."""

    slots = 400
    idle_timeout_ms = 20_000

    async def test_no_stream_is_cut_by_connections_that_can_not_be_accepted(self) -> None:
        """Guards against an instance whose end fails before its streams are over.

        Its listeners accept what waits in their queues before they close. Without a free descriptor
        that failed, the process ended with an error, and all streams were cut that would have ended
        in time.
        """
        self.site.bounds["grace_s"] = GRACE_S
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        instance = await self.start_instance("one")
        assert instance.process.stderr is not None
        reading = asyncio.create_task(instance.process.stderr.read())
        callers = KeptCallers(
            addresses=[instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=20_000,
        )
        sending = asyncio.create_task(
            callers.run(lambda _: instance.process.returncode is not None)
        )
        await asyncio.sleep(BEGIN_S)
        self.take_free_descriptors(instance)
        host, _, port = instance.callers.rpartition(":")
        for _ in range(WAITING_CALLERS):
            _, writer = await asyncio.open_connection(host, int(port))
            self.addCleanup(writer.close)
        await asyncio.sleep(QUEUE_S)
        signalled_at = time.monotonic()
        instance.process.send_signal(signal.SIGTERM)
        await sending
        await reading
        self.assertEqual(await instance.process.wait(), 0)
        before = [one for one in callers.requests if one.sent_at < signalled_at]
        self.assertEqual(len(before), CALLERS)
        self.assertEqual([one for one in before if not one.complete], [])

    def take_free_descriptors(self, instance: Instance) -> None:
        """Limit the descriptors of a process to those that it has."""
        pid = instance.process.pid
        _, hard = resource.prlimit(pid, resource.RLIMIT_NOFILE)
        used = {int(name) for name in os.listdir(f"/proc/{pid}/fd")}
        lowest_free = next(number for number in count() if number not in used)
        resource.prlimit(pid, resource.RLIMIT_NOFILE, (lowest_free, hard))


if __name__ == "__main__":
    unittest.main()
