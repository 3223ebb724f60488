"""Tests of the moment from which a departure counts, on a real process whose loop is late."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import Final

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

CALLERS: Final = 16
EVENTS: Final = 10
STREAM_S: Final = 20.0
GRACE_S: Final = 8.0
BEGIN_S: Final = 1.0
"""Seconds in which all streams begin before the signal."""
BLOCKED_BEFORE_S: Final = 0.1
"""Seconds for which the loop has been blocked when SIGTERM comes."""


class DepartingClockTest(PlatformTestCase):
    """An instance gets SIGTERM while its event loop is blocked for 1.2 s."""

    slots = 400
    idle_timeout_ms = 20_000
    entry_module = "tests._blocked_loop"

    async def test_an_instance_ends_before_it_is_killed_however_late_its_loop_is(self) -> None:
        """Guards against a process that is killed with streams of which nothing was said.

        The loop gets to the signal 1.1 s late. If its departure counted from there, it would end
        0.6 s after the platform has killed it.
        """
        self.site.bounds["grace_s"] = GRACE_S
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        instance = await self.start_instance("one")
        process = instance.process
        callers = KeptCallers(
            addresses=[instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=40_000,
        )
        sending = asyncio.create_task(callers.run(lambda _: process.returncode is not None))
        await asyncio.sleep(BEGIN_S)
        process.send_signal(signal.SIGUSR1)
        await asyncio.sleep(BLOCKED_BEFORE_S)
        process.send_signal(signal.SIGTERM)
        await asyncio.sleep(GRACE_S)
        if process.returncode is None:
            process.kill()
        await sending
        self.assertEqual(await process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
