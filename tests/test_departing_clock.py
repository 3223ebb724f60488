"""Tests of the moment from which a departure counts, on a real process whose loop is late."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALLERS: Final = 16
EVENTS: Final = 10
STREAM_S: Final = 20.0
GRACE_S: Final = 8.0
BEGIN_S: Final = 1.0
"""Seconds in which all streams begin before the signal."""
BLOCKED_BEFORE_S: Final = 0.1
"""Seconds for which the instance has been held up when SIGTERM comes."""
SUSPENDED_S: Final = 0.7
"""Seconds after SIGTERM at which a suspended instance runs on."""


class DepartingClockTest(PlatformTestCase):
    """An instance gets SIGTERM while it can't get to it."""

    slots = 400
    idle_timeout_ms = 20_000
    entry_module = "tests._blocked_loop"

    async def test_an_instance_ends_before_it_is_killed_however_late_its_loop_is(self) -> None:
        """Guards against a process that is killed with streams of which nothing was said.

        The loop gets to the signal 1.1 s late. If its departure counted from there, it would end
        0.6 s after the platform has killed it.
        """

        async def stop(process: asyncio.subprocess.Process) -> None:
            process.send_signal(signal.SIGUSR1)
            await asyncio.sleep(BLOCKED_BEFORE_S)
            process.send_signal(signal.SIGTERM)

        self.assertEqual(await self.run_until_killed(stop), 0)

    async def test_an_instance_that_had_no_processor_ends_before_it_is_killed(self) -> None:
        """Guards against a process that is killed as it didn't run when its signal came.

        It is suspended, gets SIGTERM, and runs on 0.7 s later: no handler can tell when the signal
        was sent. But its next heartbeat is overdue by then, which bounds when that may have been.
        """

        async def stop(process: asyncio.subprocess.Process) -> None:
            process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(BLOCKED_BEFORE_S)
            process.send_signal(signal.SIGTERM)
            asyncio.get_running_loop().call_later(SUSPENDED_S, process.send_signal, signal.SIGCONT)

        self.assertEqual(await self.run_until_killed(stop), 0)

    async def run_until_killed(
        self, stop: Callable[[asyncio.subprocess.Process], Awaitable[None]]
    ) -> int:
        """Return the exit status of an instance with long streams, killed after the grace time.

        Args:
            stop: Sends SIGTERM, and returns at once.
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
        await stop(process)
        await asyncio.sleep(GRACE_S)
        if process.returncode is None:
            process.kill()
        await sending
        return await process.wait()


if __name__ == "__main__":
    unittest.main()
