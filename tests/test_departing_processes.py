"""Tests of the end of an instance's process, after its last line in the log."""

from __future__ import annotations

import asyncio
import unittest
from typing import Final

from soak.process_ends import ProcessEnd, stop_process

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._platform_callers import PlatformTestCase

CALLERS: Final = 4
EVENTS: Final = 10
STREAM_S: Final = 12.0
GRACE_S: Final = 4.0
BEGIN_S: Final = 1.0
"""Seconds in which all streams begin before the signal."""


class EndsInTimeTest(PlatformTestCase):
    """Base: an instance has streams until its end, and is killed after its grace time."""

    slots = 400
    idle_timeout_ms = 20_000

    async def stop_instance(self) -> ProcessEnd:
        """Stop an instance that has streams, and return how its process ended."""
        self.site.bounds["grace_s"] = GRACE_S
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        self.instance = await self.start_instance("one")
        callers = KeptCallers(
            addresses=[self.instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=20_000,
        )
        process = self.instance.process
        sending = asyncio.create_task(callers.run(lambda _: process.returncode is not None))
        await asyncio.sleep(BEGIN_S)
        end = await stop_process(process.pid, grace_s=GRACE_S)
        await sending
        assert end is not None
        self.assertGreater(end.took_s, GRACE_S / 2)
        return end


class SlowInterpreterTest(EndsInTimeTest):
    """The interpreter of an instance takes long to end."""

    entry_module = "tests._slow_interpreter_end"

    async def test_a_process_ends_in_time_though_its_interpreter_would_not(self) -> None:
        """Guards against a process that is killed, and counts as crashed, with its work all done.

        Its last connection is closed and its log is written. Only the interpreter is left to end,
        which takes as long as it waits for a processor.
        """
        end = await self.stop_instance()
        self.assertFalse(end.killed)
        self.assertEqual(await self.instance.process.wait(), 0)


class LateLoopTest(EndsInTimeTest):
    """The event loop of an instance gets no further turn at the end."""

    entry_module = "tests._late_loop_end"

    async def test_a_process_ends_in_time_though_its_loop_is_late(self) -> None:
        """Guards against a process that is killed, and counts as crashed, in its last turns.

        Beside busy processes its loop gets so few turns that the last ones, in which it closes
        connections and says that it has stopped, come after the kill.
        """
        end = await self.stop_instance()
        self.assertFalse(end.killed)
        self.assertEqual(await self.instance.process.wait(), 0)


if __name__ == "__main__":
    unittest.main()
