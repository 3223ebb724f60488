"""End-to-end tests of requests that end the engines that run them."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import TYPE_CHECKING

from guavamast.errors import GuavamastError
from guavamast.platform.quarantine_admin import lift_attribute, list_attributes
from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.lethal_requests import LETHAL_BODY_PREFIX
from guavamast.platform.standins.site import RESUMABLE_PREFIX, STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost
from guavamast.relay.node_settings import SocketAddress
from guavamast.relay.quarantine.guard import MIN_RETRY_AFTER_S
from tests._platform_callers import Caller, PlatformTestCase, Reply

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import Run

INSTANCES = 3
ENGINES = 6
LETHAL_BODY = LETHAL_BODY_PREFIX + b"dossier"
WINDOW_S = 3.0
"""Seconds after the third end in which the fleet has to learn of it."""
MAX_LATER_RUNS = 3
"""Runs of such a request that may begin after that."""
REFUSED_WITHIN_S = 30.0
"""Seconds in which such a request must be refused, on a busy machine."""
CALLING_S = 9.0
"""Seconds for which callers repeat it."""
PAUSE_S = 0.35
"""Seconds between two callers' tries, at one instance after the other."""


def is_quarantined(reply: Reply) -> bool:
    """Return whether a request was refused for its content: others are to return sooner."""
    retry_after_s = float(reply.headers.get("retry-after", "0"))
    return reply.status == 503 and retry_after_s >= MIN_RETRY_AFTER_S


class QuarantineTest(PlatformTestCase):
    """A request that ends engines is kept from them; those beside it are answered."""

    pool_engines = ENGINES

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instances = await self.start_instances(INSTANCES)

    async def ask(self, number: int, target: str, body: bytes) -> Reply | None:
        """Send a request to one of the instances; None if the connection ends first."""
        caller = await Caller.open(self.instances[number % INSTANCES].callers)
        try:
            return await caller.send_request(target, request_id=f"{body!r}{number}", body=body)
        except ConnectionLost:
            return None
        finally:
            caller.connection.close()

    def list_lethal_runs(self) -> list[Run]:
        """Return the runs of the lethal request, in order."""
        engines = [*self.site.crashed_engines, *self.site.engines.values()]
        runs = [run for engine in engines for run in engine.runs if run.body == LETHAL_BODY]
        return sorted(runs, key=lambda run: run.began)

    async def repeat_lethal(self, target: str) -> list[Reply | None]:
        """Let callers repeat the lethal request at one instance after the other."""
        replies = []
        until = time.monotonic() + CALLING_S
        while time.monotonic() < until:
            replies.append(await self.ask(len(replies), target, LETHAL_BODY))
            await asyncio.sleep(PAUSE_S)
        return replies

    def assert_contained(self) -> None:
        """Check that few runs begin once the fleet had time to learn of the third end."""
        runs = self.list_lethal_runs()
        self.assertGreaterEqual(len(runs), 3)
        later = [run for run in runs if run.began > runs[2].began + WINDOW_S]
        self.assertLessEqual(len(later), MAX_LATER_RUNS)

    async def repeat_until_refused(self) -> None:
        """Let callers repeat the lethal request until the fleet refuses it."""
        async with asyncio.timeout(REFUSED_WITHIN_S):
            number = 0
            while True:
                reply = await self.ask(number, STREAM_PREFIX + "stream", LETHAL_BODY)
                if reply is not None and is_quarantined(reply):
                    return
                number += 1
                await asyncio.sleep(PAUSE_S)

    async def test_a_request_that_ends_engines_is_kept_from_them(self) -> None:
        """Guards against a caller's retries that end engine after engine."""
        replies = await self.repeat_lethal(STREAM_PREFIX + "stream")
        self.assert_contained()
        last = replies[-1]
        assert last is not None
        self.assertTrue(is_quarantined(last))

    async def test_requests_beside_it_are_answered(self) -> None:
        """Guards against innocent requests that are refused since they ran at the same engines."""
        stop = asyncio.Event()

        async def keep_asking(name: int) -> None:
            number = name
            while not stop.is_set():
                await self.ask(number, RESUMABLE_PREFIX + "stream", b"innocent %d" % name)
                number += 1

        beside = [asyncio.create_task(keep_asking(name)) for name in range(8)]
        await self.repeat_lethal(STREAM_PREFIX + "stream")
        stop.set()
        await asyncio.gather(*beside)
        self.assert_contained()
        for name in range(8):
            body = b"innocent %d" % name
            reply = await self.ask(name, RESUMABLE_PREFIX + "stream", body)
            assert reply is not None
            self.assertEqual((reply.status, reply.complete), (200, True))

    async def test_a_repeatable_request_that_ends_engines_is_kept_from_them(self) -> None:
        """Guards against the fleet's own retries, which end a further engine each."""
        await self.repeat_lethal(RESUMABLE_PREFIX + "stream")
        self.assert_contained()

    async def test_it_stays_refused_after_all_instances_were_killed(self) -> None:
        """Guards against a fleet that forgets all it has learned and ends as many engines again."""
        await self.repeat_until_refused()
        async with asyncio.timeout(REFUSED_WITHIN_S):
            while not self.site.store.list_versions("quarantine"):
                await asyncio.sleep(0.05)
        for instance in self.instances:
            await instance.stop()
        self.instances = await self.start_instances(INSTANCES)
        runs = len(self.list_lethal_runs())
        for number in range(INSTANCES):
            reply = await self.ask(number, STREAM_PREFIX + "stream", LETHAL_BODY)
            assert reply is not None
            self.assertTrue(is_quarantined(reply))
        self.assertEqual(len(self.list_lethal_runs()), runs)

    async def test_an_operator_lists_and_releases_it(self) -> None:
        await self.repeat_until_refused()
        async with asyncio.timeout(REFUSED_WITHIN_S):
            while not (rows := self.site.store.list_versions("quarantine")):
                await asyncio.sleep(0.05)
        ((content, _),) = rows
        address = SocketAddress(ip="127.0.0.1", port=self.site.store_port)
        listed = await list_attributes(address)
        self.assertIn(content, listed)
        self.assertIn("bakery", listed)
        with self.assertRaises(GuavamastError):
            await lift_attribute(address, "0" * 32, by="ana")
        await lift_attribute(address, content, by="ana")
        self.assertEqual(len(self.site.store.list_versions("quarantine_audit")), 1)
        runs = len(self.list_lethal_runs())
        async with asyncio.timeout(REFUSED_WITHIN_S):
            while len(self.list_lethal_runs()) == runs:
                await self.ask(0, STREAM_PREFIX + "stream", LETHAL_BODY)
                await asyncio.sleep(PAUSE_S)

    async def test_requests_that_engines_lose_without_ending_are_not_refused(self) -> None:
        """Guards against a quarantine by reset connections, with no engine that ended."""
        for engine in self.site.engines.values():
            engine.fault = EngineFault.LOSE
        for number in range(12):
            await self.ask(number, STREAM_PREFIX + "stream", b"innocent")
        for engine in self.site.engines.values():
            engine.fault = EngineFault.NONE
        await asyncio.sleep(1.0)
        reply = await self.ask(0, STREAM_PREFIX + "stream", b"innocent")
        assert reply is not None
        self.assertEqual((reply.status, reply.complete), (200, True))


if __name__ == "__main__":
    unittest.main()
