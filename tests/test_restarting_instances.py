"""Tests of the next process of an instance, which starts at the addresses of one that leaves."""

from __future__ import annotations

import asyncio
import signal
import unittest
from typing import TYPE_CHECKING, Final

from soak.process_signals import handles_signal, send_signal

from guavamast.platform.standins.site import CALL_PREFIX, HOST, KEY, STREAM_PREFIX
from tests._departure_callers import DepartureCallers
from tests._platform_callers import Caller, PlatformTestCase
from tests.test_departures import build_request, describe

if TYPE_CHECKING:
    from tests._platform_callers import Instance

GRACE_S: Final = 8.0
SHORT_GRACE_S: Final = 2.0
SIGNAL_INTERVAL_S: Final = 0.003
EVENTS: Final = 10
STREAM_S: Final = 7.0
"""Seconds of a stream that keeps the former process until shortly before its end."""
RESTART_INTERVAL_S: Final = 0.1
"""Seconds after which a supervisor starts a process again that has ended."""
TIMEOUT_MS: Final = 20_000


class RestartTestCase(PlatformTestCase):
    """Base of the tests: callers send to an address while processes end and start there."""

    def build_callers(self, address: str) -> DepartureCallers:
        """Return callers that send calls to an instance."""
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Attempt-Id": "r1",
            "X-Request-Deadline-Ms": "2000",
        }
        request = build_request(CALL_PREFIX + "x", headers, b"pay 5")
        return DepartureCallers(address=address, request=request)


class RestartTest(RestartTestCase):
    """A supervisor starts the next process of an instance as soon as the former gets SIGTERM."""

    async def test_callers_get_a_response_while_the_next_process_can_not_start_yet(self) -> None:
        """Guards against a start that accepts callers before it has all of its addresses.

        The former process accepts no callers any more, finishes a stream and still answers queries.
        The next one opens the address for callers first, finds that for queries in use, and ends:
        the connections that callers have opened meanwhile are reset.
        """
        self.site.bounds["grace_s"] = GRACE_S
        for engine in self.site.engines.values():
            engine.events = EVENTS
            engine.event_interval_s = STREAM_S / EVENTS
        former = await self.start_instance("one")
        streaming = asyncio.create_task(self.send_stream(former))
        while not any(engine.runs for engine in self.site.engines.values()):
            await asyncio.sleep(0.02)
        former.process.send_signal(signal.SIGTERM)
        restarting = asyncio.create_task(self.restart(former))
        callers = self.build_callers(former.callers)
        await callers.run(restarting.done)
        await streaming
        self.assertEqual(await former.process.wait(), 0)
        self.assertGreater(await restarting, 1)
        self.assertEqual(callers.list_unanswered(), [], describe(callers.list_unanswered()))

    async def restart(self, former: Instance) -> int:
        """Start the next process until one stays; return how many were started."""
        starts = 0
        while True:
            starts += 1
            process = await self.launch(self.settings[former.callers])
            instance = self.build_instance(process, self.settings[former.callers])
            if await instance.wait_ready():
                return starts
            assert process.stderr is not None
            self.assertIn(b"Address already in use", await process.stderr.read())
            await asyncio.sleep(RESTART_INTERVAL_S)

    async def send_stream(self, instance: Instance) -> None:
        """Send a request for a stream, and read the whole response."""
        caller = await Caller.open(instance.callers)
        reply = await caller.send_request(
            STREAM_PREFIX + "stream", body=b"x", timeout_ms=TIMEOUT_MS
        )
        caller.connection.close()
        self.assertEqual((reply.status, reply.complete), (200, True))


class SignalsDuringStartTest(RestartTestCase):
    """An instance gets SIGTERM again and again from a moment of its start on."""

    async def test_signals_before_they_are_handled_reset_no_connection(self) -> None:
        """Guards against callers at a process that the signal's default action ends."""
        process = await self.signal_until_end(since=signal.SIGHUP)
        self.assertIn(process.returncode, (0, -signal.SIGTERM))

    async def test_signals_in_series_leave_no_caller_without_a_response(self) -> None:
        """Guards against a second signal that ends an instance whose start is interrupted.

        The first signal comes as soon as signals are handled, around the opening of the listeners,
        the others at each later step of the start and of the departure.
        """
        process = await self.signal_until_end(since=signal.SIGTERM)
        self.assertEqual(process.returncode, 0)
        self.assertGreater(len(self.callers.attempts), 0)

    async def signal_until_end(self, *, since: signal.Signals) -> asyncio.subprocess.Process:
        """Send a process SIGTERM until it has ended, while callers connect.

        Args:
            since: The signal that the process handles or ignores when the first one is sent.

        Returns:
            The process, after no connection of a caller was left without a response.
        """
        self.site.bounds["grace_s"] = SHORT_GRACE_S
        settings = self.site.build_settings("one")
        process = await self.launch(settings)
        callers = self.build_callers(self.build_instance(process, settings).callers)
        self.callers = callers
        sending = asyncio.create_task(callers.run(lambda: process.returncode is not None))
        while not handles_signal(process.pid, since):
            await asyncio.sleep(0.002)
        while process.returncode is None:
            send_signal(process, signal.SIGTERM)
            await asyncio.sleep(SIGNAL_INTERVAL_S)
        await sending
        self.assertEqual(callers.list_unanswered(), [], describe(callers.list_unanswered()))
        return process


if __name__ == "__main__":
    unittest.main()
