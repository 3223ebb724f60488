"""Tests of signals that come again and again until a process has ended."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
import unittest
from typing import TYPE_CHECKING, Final

from soak.process_signals import send_signal

from guavamast.platform.standins.site import STREAM_PREFIX
from tests._kept_callers import KeptCallers
from tests._late_signals import DAEMON
from tests._platform_callers import PlatformTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Instance

CALLERS: Final = 12
EVENTS: Final = 10
STREAM_S: Final = 4.0
ADDRESS_VALIDITY_S: Final = 3.0
"""Seconds after the signal for which callers may hold the address of a leaving instance."""
CLOSED_LOOP: Final = """
import asyncio, os, signal, time
from guavamast.stop_signals import StopSignal

async def install():
    stop = StopSignal(on_receive=print, read_time=time.monotonic)
    stop.install(asyncio.get_running_loop())

asyncio.run(install())
os.kill(os.getpid(), signal.SIGTERM)
"""
"""Program that gets SIGTERM after its loop has closed."""
SIGNAL_INTERVAL_S: Final = 0.003
EXIT_TIMEOUT_S: Final = 20.0


class LateSignalTest(PlatformTestCase):
    """An instance gets SIGTERM and SIGHUP after its event loop has closed."""

    entry_module = "tests._late_signals"

    async def test_an_instance_that_has_left_ends_in_order(self) -> None:
        """Guards against a process that is killed while its interpreter ends.

        All callers have their responses. The loop has closed and restored the default actions of
        signals, so a repeated SIGTERM or a SIGHUP kills the process, and it counts as crashed.
        """
        instance = await self.start_instance("one")
        instance.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            self.assertEqual(await instance.process.wait(), 0)

    async def test_a_daemon_that_has_left_ends_in_order(self) -> None:
        """Guards against the same end of the daemons' processes."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "tests._late_signals", DAEMON
        )
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            self.assertEqual(await process.wait(), 0)


class ClosedLoopTest(unittest.TestCase):
    """A process goes on after the loop of its instance has closed."""

    def test_a_signal_ends_a_process_whose_loop_has_closed(self) -> None:
        """Guards against a process that nothing but SIGKILL ends any more.

        An instance has ended by an error, or within a larger program, and its loop has closed. The
        handler that it leaves behind has nothing left to stop, and would swallow each SIGTERM.
        """
        result = subprocess.run(
            [sys.executable, "-c", CLOSED_LOOP], timeout=EXIT_TIMEOUT_S, check=False
        )
        self.assertEqual(result.returncode, -signal.SIGTERM)


class RepeatedSignalsTest(PlatformTestCase):
    """An instance gets SIGHUP and SIGTERM again and again from its first SIGTERM on."""

    slots = 400
    idle_timeout_ms = 20_000

    async def test_streams_at_an_instance_end_as_after_one_signal(self) -> None:
        """Guards against a further signal that shortens the departure.

        Streams that began before the first SIGTERM run on for up to 4 s after it, and each signal
        that came meanwhile would cut them if it ended the process, or began the departure anew.
        """
        self.site.bounds["grace_s"] = 8.0
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        instance = await self.start_instance("one")
        callers = KeptCallers(
            addresses=[instance.callers] * CALLERS,
            target=STREAM_PREFIX + "stream",
            timeout_ms=20_000,
            stagger_s=STREAM_S / CALLERS,
        )
        sending = asyncio.create_task(
            callers.run(lambda _: instance.process.returncode is not None)
        )
        await asyncio.sleep(STREAM_S)
        signalled_at = time.monotonic()
        await self.signal_until_gone(instance)
        await sending
        self.assertEqual(instance.process.returncode, 0)
        before = callers.list_sent(instance.callers, since=0.0, until=signalled_at)
        self.assertEqual([one for one in before if one.status != 200 or not one.complete], [])
        late_from = signalled_at + ADDRESS_VALIDITY_S
        late = callers.list_sent(instance.callers, since=late_from, until=float("inf"))
        self.assertEqual([one for one in late if one.is_cut], [])

    async def signal_until_gone(self, instance: Instance) -> None:
        """Send signals until the process of an instance has ended."""
        while instance.process.returncode is None:
            for number in (signal.SIGHUP, signal.SIGTERM):
                send_signal(instance.process, number)
            await asyncio.sleep(SIGNAL_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
