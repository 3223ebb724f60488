"""Tests of signals to processes that the event loop watches."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import unittest
from unittest import mock

from soak.process_signals import send_signal


class SendSignalTest(unittest.IsolatedAsyncioTestCase):
    """A process gets signals until it is known to have ended."""

    async def test_signals_around_an_end_leave_the_exit_status(self) -> None:
        """Guards against an orderly exit that is reported as 255, as if the process had crashed."""
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", "raise SystemExit(3)")
        polled = mock.patch.object(subprocess.Popen, "poll", side_effect=AssertionError("polled"))
        with polled:
            while process.returncode is None:
                send_signal(process, signal.SIGCONT)
                await asyncio.sleep(0)
        self.assertEqual(process.returncode, 3)


if __name__ == "__main__":
    unittest.main()
