"""Tests of the moment from which a departure counts, on a real process whose loop is late."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import unittest
from pathlib import Path
from typing import Any, Final

from soak.process_signals import send_signal

from guavamast.platform.standins.site import STREAM_PREFIX, write_settings
from guavamast.relay.peers import HEARTBEAT_INTERVAL_S
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
SUSPENDED_S: Final = 0.7
"""Seconds after SIGTERM at which a suspended instance runs on."""


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
        send_signal(process, signal.SIGKILL)
        await sending
        self.assertEqual(await process.wait(), 0)


class SuspendedProcessTest(PlatformTestCase):
    """An instance gets SIGTERM while its process is suspended."""

    async def launch(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        """Start a process whose log goes into a file."""
        self.log = Path(self.directory) / "log"
        with open(self.log, "wb") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.entry_module,
                env=os.environ | {"GUAVAMAST_SETTINGS": write_settings(settings, self.directory)},
                stdout=log,
                stderr=asyncio.subprocess.PIPE,
            )

    async def test_the_time_without_a_processor_counts_as_a_delay_of_the_signal(self) -> None:
        """Guards against a process that is killed as it didn't run when its signal came.

        It is suspended, gets SIGTERM, and runs on 0.7 s later: no handler can tell when the signal
        was sent. But its next heartbeat is overdue by then, which bounds when that may have been.
        """
        self.site.bounds["grace_s"] = GRACE_S
        instance = await self.start_instance("one")
        instance.process.send_signal(signal.SIGSTOP)
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(SUSPENDED_S)
        instance.process.send_signal(signal.SIGCONT)
        self.assertEqual(await instance.process.wait(), 0)
        events = [json.loads(line) for line in self.log.read_text().splitlines()]
        leaving = next(one for one in events if one["event"] == "leaving")
        self.assertGreater(leaving["signal_delay_s"], SUSPENDED_S - HEARTBEAT_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
