"""Tests of how the rolls of a fleet judge the end of an instance."""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
import unittest
from typing import TYPE_CHECKING, Any, Final
from unittest import mock

from soak.roll_instance import RollInstance

if TYPE_CHECKING:
    from collections.abc import Callable

GRACE_S: Final = 1.0
LATE_S: Final = 2.0
"""Seconds by which the event loop learns late of an end, or looks late at its clock."""
ENDS_AFTER_S: Final = 0.3
PROGRAM: Final = """
import json, signal, sys, time

def end(number, frame):
    print(json.dumps({{"time": time.time(), "event": "stopped"}}, separators=",:"), flush=True)
    time.sleep({ends_after_s})
    sys.exit(0)

signal.signal(signal.SIGTERM, end)
print("ready", flush=True)
while True:
    time.sleep(1.0)
"""
"""Program that has nothing to do after SIGTERM, and ends some time later."""
ADD_CHILD_HANDLER: Final = asyncio.ThreadedChildWatcher.add_child_handler


def add_late_handler(
    watcher: asyncio.ThreadedChildWatcher, pid: int, callback: Callable[..., Any], *args: Any
) -> None:
    """Tell the event loop of the end of a process as late as a starved one learns of it."""
    loop = asyncio.get_running_loop()
    late = [LATE_S, callback]
    ADD_CHILD_HANDLER(watcher, pid, lambda *ended: loop.call_later(*late, *ended), *args)


class TerminateTest(unittest.IsolatedAsyncioTestCase):
    """An instance gets SIGTERM beside an event loop that is late."""

    async def asyncSetUp(self) -> None:
        directory = self.enterContext(tempfile.TemporaryDirectory())
        settings = {"node_name": "one", "listen": {"front": ""}}
        self.instance = RollInstance(
            settings=settings, directory=directory, source="", grace_s=GRACE_S
        )

    async def start(self, *, ends_after_s: float) -> None:
        """Start a process that ends so long after SIGTERM, and wait until it handles that."""
        program = PROGRAM.format(ends_after_s=ends_after_s)
        with open(self.instance.log, "ab") as log:
            self.instance.process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", program, stdout=log
            )
        while b"ready" not in self.instance.log.read_bytes():
            await asyncio.sleep(0.02)

    async def test_an_end_in_time_of_which_the_loop_learns_late_is_in_order(self) -> None:
        """Guards against an instance that ended in time, but is reported as killed."""
        watcher = asyncio.ThreadedChildWatcher
        with mock.patch.object(watcher, "add_child_handler", add_late_handler):
            await self.start(ends_after_s=ENDS_AFTER_S)
            await self.instance.terminate()
        assert self.instance.process is not None
        self.assertEqual(self.instance.process.returncode, 0)
        self.assertEqual(self.instance.failures, [])
        self.assertEqual(len(self.instance.signals), 1)
        self.assertEqual(len(self.instance.wall_signals), 1)

    async def test_a_late_end_is_reported_though_the_loop_looks_at_its_clock_later(self) -> None:
        """Guards against an instance that outlasts its grace time unseen, as the loop is late."""
        await self.start(ends_after_s=GRACE_S + 0.5)
        terminating = asyncio.create_task(self.instance.terminate())
        await asyncio.sleep(GRACE_S / 2)
        time.sleep(LATE_S)
        await terminating
        assert self.instance.process is not None
        self.assertEqual(self.instance.process.returncode, -signal.SIGKILL)
        self.assertEqual(len(self.instance.failures), 1)
        self.assertRegex(self.instance.failures[0], r"`stopped` logged 0\.\d\d s after it")


if __name__ == "__main__":
    unittest.main()
