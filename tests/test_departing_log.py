"""Tests of the log of a leaving instance, a real process whose log reader is behind."""

from __future__ import annotations

import asyncio
import fcntl
import json
import os
import signal
import sys
import unittest
from typing import Any, Final

from guavamast.platform.standins.site import STREAM_PREFIX, write_settings
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

CALLERS: Final = 24
EVENTS: Final = 10
STREAM_S: Final = 12.0
GRACE_S: Final = 6.0
PIPE_BYTES: Final = 4096
"""Capacity of the pipe to the reader: a few lines."""
BEGIN_S: Final = 1.5
"""Seconds in which all streams begin before the signal."""


class DepartingLogTest(PlatformTestCase):
    """An instance gets SIGTERM while nobody reads its log."""

    slots = 400
    idle_timeout_ms = 20_000

    async def launch(self, settings: dict[str, Any]) -> asyncio.subprocess.Process:
        """Start a process whose log goes into a small pipe."""
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        try:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                self.entry_module,
                env=os.environ | {"GUAVAMAST_SETTINGS": write_settings(settings, self.directory)},
                stdout=write_end,
                stderr=asyncio.subprocess.PIPE,
            )
        finally:
            os.close(write_end)

    async def test_each_cut_stream_has_a_line_though_the_reader_is_behind(self) -> None:
        """Guards against cuts without a trace: the last lines were dropped as the process ended.

        The reader of the log pauses from the start until the streams have been cut, and then reads
        all. Lines that wait for it are in the process's memory by then.
        """
        self.site.bounds["grace_s"] = GRACE_S
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        instance = await self.start_instance("one")
        callers = KeptCallers(
            addresses=[instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=20_000,
        )
        sending = asyncio.create_task(
            callers.run(lambda _: instance.process.returncode is not None)
        )
        await asyncio.sleep(BEGIN_S)
        instance.process.send_signal(signal.SIGTERM)
        await self.wait_until_cut(callers)
        events = await asyncio.to_thread(self.read_log)
        await sending
        self.assertEqual(await instance.process.wait(), 0)
        cut = {one.request_id for one in callers.requests if one.is_cut}
        self.assertEqual(len(cut), CALLERS)
        ended = {one["request_id"] for one in events if one["event"] == "ended"}
        self.assertEqual(cut - ended, set())
        self.assertEqual(events[-1]["event"], "stopped")

    async def wait_until_cut(self, callers: KeptCallers) -> None:
        while sum(one.is_cut for one in callers.requests) < CALLERS:
            await asyncio.sleep(0.02)

    def read_log(self) -> list[dict[str, Any]]:
        """Return the lines of the log until the process has closed it."""
        data = b""
        while chunk := os.read(self.read_end, 65_536):
            data += chunk
        self.assertTrue(data.endswith(b"\n"), data[-80:])
        return [json.loads(line) for line in data.splitlines()]


if __name__ == "__main__":
    unittest.main()
