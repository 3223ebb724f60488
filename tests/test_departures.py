"""Tests of callers that connect while an instance leaves, each instance a real process."""

from __future__ import annotations

import asyncio
import json
import signal
import unittest

from guavamast.local_fleet import CALLER_KEY
from guavamast.platform.standins.site import CALL_PREFIX, HOST, KEY, STREAM_PREFIX
from tests._callers import Caller, build_chat_body, read_error
from tests._departure_callers import Attempt, DepartureCallers, SendPattern
from tests._platform_callers import PlatformTestCase
from tests._processes import ProcessFleet

LEAVE_STATUSES = {200, 503}
"""Served, or refused as not run."""
LAST_CHUNK = b"0\r\n\r\n"
"""End of a whole response without a length."""


def build_request(path: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a POST request on a connection that isn't kept."""
    fields = {**headers, "Content-Length": str(len(body)), "Connection": "close"}
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join([*lines, "", ""]).encode() + body


def describe(attempts: list[Attempt]) -> str:
    """Return the attempts, one a line."""
    return "\n" + "\n".join(str(attempt) for attempt in attempts)


class LeavingEntryTest(unittest.IsolatedAsyncioTestCase):
    """One of two entries gets SIGTERM."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.fleet = ProcessFleet(instances=2, engines=2)
        self.addCleanup(self.fleet.close)
        await self.fleet.start()

    async def test_connection_accepted_before_the_end_gets_a_response(self) -> None:
        """A caller's connection isn't closed without a response, however late it sends."""
        entry = self.fleet.entries[0]
        request = build_request(
            "/v1/chat/completions",
            {"Host": "entry", "Authorization": f"Bearer {CALLER_KEY}"},
            build_chat_body("a chat", stream=False),
        )
        address = self.fleet.settings[0].instance.caller_address
        callers = DepartureCallers(address=address, request=request)
        entry.terminate()
        await callers.run(lambda: entry.popen.poll() is not None)
        self.assertEqual(entry.popen.returncode, 0)
        self.assertEqual(callers.list_unanswered(), [], describe(callers.list_unanswered()))
        self.assertLessEqual({attempt.status for attempt in callers.attempts}, LEAVE_STATUSES)
        self.assertEqual({attempt.pattern for attempt in callers.attempts}, set(SendPattern))

    async def test_second_signal_leaves_no_caller_without_a_response(self) -> None:
        """A caller of a request in flight is told that its outcome is unknown, others that none."""
        entry = self.fleet.entries[0]
        caller = Caller(url=self.fleet.urls[0])
        chat = asyncio.create_task(caller.chat("tokens=400;long"))
        host, _, port = self.fleet.settings[0].instance.caller_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        await self.wait_for_load()
        entry.terminate()
        await asyncio.sleep(0.1)
        entry.terminate()
        self.assertEqual(await asyncio.to_thread(entry.popen.wait, 20), 1)
        self.assertEqual(read_error(await chat)["outcome"], "outcome_unknown")
        self.assertIn(b'"outcome": "not_run"', await reader.read())

    async def wait_for_load(self) -> None:
        """Wait until an engine runs a request."""
        async with asyncio.timeout(20):
            while True:
                for _, url in self.fleet.engines:
                    response = await Caller(url=url).fetch("/runs", method="GET")
                    if any(run["state"] == "running" for run in json.loads(response.body)["runs"]):
                        return
                await asyncio.sleep(0.02)


class SignalDuringStartTest(PlatformTestCase):
    """An instance gets SIGTERM between the opening of its listeners and the end of its start."""

    entry_module = "tests._signal_during_start"

    async def test_callers_that_connect_meanwhile_get_a_response(self) -> None:
        """Guards against a process that the signal ends at once, with callers connected.

        Callers connect as soon as the port is open. The signal comes before the start is over, and
        by its default action the process would be gone, and their connections reset.
        """
        settings = self.site.build_settings("one")
        process = await self.launch(settings)
        instance = self.build_instance(process, settings)
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Attempt-Id": "r1",
            "X-Request-Deadline-Ms": "2000",
        }
        request = build_request(CALL_PREFIX + "x", headers, b"pay 5")
        callers = DepartureCallers(address=instance.callers, request=request)
        await callers.run(lambda: process.returncode is not None)
        self.assertEqual(process.returncode, 0)
        self.assertGreater(len(callers.attempts), 0)
        self.assertEqual(callers.list_unanswered(), [], describe(callers.list_unanswered()))


class LeavingRelayTest(PlatformTestCase):
    """One of two instances of the relay gets SIGTERM."""

    async def test_connection_accepted_before_the_end_gets_a_response(self) -> None:
        """A caller's connection isn't closed without a response, however late it sends."""
        self.site.bounds["grace_s"] = 8
        callers = await self.leave(CALL_PREFIX + "x")
        self.assertEqual(callers.list_unanswered(), [], describe(callers.list_unanswered()))
        self.assertLessEqual({attempt.status for attempt in callers.attempts}, LEAVE_STATUSES)
        self.assertEqual({attempt.pattern for attempt in callers.attempts}, set(SendPattern))

    async def test_request_accepted_within_a_short_grace_time_gets_its_whole_response(self) -> None:
        """A stream isn't accepted so late that the end of the instance cuts it."""
        self.site.bounds["grace_s"] = 4
        callers = await self.leave(STREAM_PREFIX + "stream")
        cut = [
            attempt
            for attempt in callers.attempts
            if attempt.status not in LEAVE_STATUSES
            or (attempt.status == 200 and not attempt.received.endswith(LAST_CHUNK))
        ]
        self.assertEqual(cut, [], describe(cut))

    async def leave(self, target: str) -> DepartureCallers:
        """Stop an instance, and return the callers that connected until it was gone."""
        instance = await self.start_instance("one")
        await self.start_instance("two")
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Attempt-Id": "r1",
            "X-Request-Deadline-Ms": "20000",
        }
        request = build_request(target, headers, b"pay 5")
        callers = DepartureCallers(address=instance.callers, request=request)
        instance.process.send_signal(signal.SIGTERM)
        await callers.run(lambda: instance.process.returncode is not None)
        self.assertEqual(instance.process.returncode, 0)
        return callers
