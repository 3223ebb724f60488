"""End-to-end tests of engines that send bytes without end, until the connection is closed."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import TYPE_CHECKING

import psutil

from guavamast.platform.standins.endless_answer import EndlessAnswer
from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.site import LOOKUP_PREFIX, RESUMABLE_PREFIX
from guavamast.relay.http_connection import ConnectionLost
from tests._platform_callers import Caller, PlatformTestCase

if TYPE_CHECKING:
    from tests._platform_callers import Reply

CALLERS = 24
MAX_GROWTH_BYTES = 16 * 1024 * 1024
"""Memory by which one instance may grow while all of them are served."""
MAX_HELD_S = 2.0
"""Seconds for which a connection that sends without end may be held, on a quiet machine."""
BUSY_FACTOR = 4.0
"""Factor for a busy machine, on which stand-in and instance share one core."""
STREAM_WAYS = (EndlessAnswer.LINES, EndlessAnswer.COMMENTS, EndlessAnswer.BLANK_LINES)
SMALL_PARTS = (EndlessAnswer.SMALL_CHUNKS, EndlessAnswer.SMALL_EVENTS)
"""Ways in which few bytes take long to read; their test is `test_platform_small_parts`."""
BOTH_WAYS = (EndlessAnswer.HEADERS, EndlessAnswer.INTERIM_HEADS, EndlessAnswer.REJECTION)


class EndlessAnswersTest(PlatformTestCase):
    """Answers without end cost little memory and time, and requests are answered elsewhere."""

    pool_engines = 3
    portal_engines = 3
    retry_slack = 400

    def prepare_site(self) -> None:
        self.site.max_attempts = 3

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.instance = await self.start_instance()
        self.number = 0

    async def ask(self, target: str) -> Reply | None:
        """Send a request; None if its connection ends first."""
        self.number += 1
        caller = await Caller.open(self.instance.callers)
        try:
            return await caller.send_request(
                target, request_id=f"r{self.number}", body=b"x", timeout_ms=12_000
            )
        except ConnectionLost:
            return None
        finally:
            caller.connection.close()

    async def ask_all(self, target: str) -> list[Reply | None]:
        """Send the requests of all callers at once."""
        return await asyncio.gather(*(self.ask(target) for _ in range(CALLERS)))

    async def check(self, target: str, service: str, kind: EndlessAnswer) -> None:
        """Let two of three engines send without end; all callers must be answered by the third."""
        process = psutil.Process(self.instance.process.pid)
        await self.ask_all(target)
        for number in (0, 1):
            self.site.engines[f"{service}-{number}"].endless = kind
        before = process.memory_info().rss
        peak = before
        started = time.monotonic()
        asking = asyncio.ensure_future(self.ask_all(target))
        while not asking.done():
            peak = max(peak, process.memory_info().rss)
            await asyncio.sleep(0.01)
        took_s = time.monotonic() - started
        replies = await asking
        served = sum(reply is not None and reply.status == 200 for reply in replies)
        self.assertEqual(served, CALLERS, [reply and reply.status for reply in replies])
        self.assertLess(peak - before, MAX_GROWTH_BYTES)
        self.assertLess(took_s, MAX_HELD_S * BUSY_FACTOR)
        for number in (0, 1):
            self.site.engines[f"{service}-{number}"].endless = None

    async def test_lookups_are_answered_elsewhere(self) -> None:
        """Guards against memory that runs out, and lookups that fail, while an engine sends on."""
        for kind in EndlessAnswer:
            if kind in STREAM_WAYS or kind in SMALL_PARTS:
                continue
            with self.subTest(kind=kind):
                await self.check(LOOKUP_PREFIX + "x", "portal", kind)

    async def test_resumable_streams_go_on_elsewhere(self) -> None:
        """Guards against memory that runs out, and streams that stop, while an engine sends on."""
        for kind in (*STREAM_WAYS, *BOTH_WAYS):
            with self.subTest(kind=kind):
                await self.check(RESUMABLE_PREFIX + "stream/x", "pool", kind)

    async def test_streams_that_have_begun_go_on_elsewhere(self) -> None:
        """Guards against streams that stop as an engine which sends on keeps the instance busy.

        One engine breaks streams off, and another one sends without end.
        """
        cutting, endless = (self.site.engines[f"pool-{number}"] for number in (0, 1))
        for kind in STREAM_WAYS:
            with self.subTest(kind=kind):
                cutting.fault, endless.endless = EngineFault.CUT, kind
                replies = await self.ask_all(RESUMABLE_PREFIX + "stream/x")
                cutting.fault, endless.endless = EngineFault.NONE, None
                outcomes = [reply and (reply.status, reply.complete) for reply in replies]
                self.assertEqual(outcomes, [(200, True)] * CALLERS)

    async def test_slow_and_large_answers_of_sound_engines_pass(self) -> None:
        """Guards against bounds that end answers which are only slow, commented or large."""
        for engine in self.site.engines.values():
            engine.event_interval_s = 0.9
            engine.comments_before_event = 200
            engine.events = 3
            engine.padding_bytes = 2_000_000
        stream, lookup = await asyncio.gather(
            self.ask(RESUMABLE_PREFIX + "stream/x"), self.ask(LOOKUP_PREFIX + "x")
        )
        assert stream is not None
        assert lookup is not None
        self.assertEqual((stream.status, stream.complete), (200, True))
        self.assertEqual(stream.body.count(b"data: "), 3)
        self.assertEqual(stream.body.count(b": keep-alive"), 600)
        self.assertEqual((lookup.status, lookup.complete), (200, True))
        self.assertGreater(len(lookup.body), 2_000_000)


if __name__ == "__main__":
    unittest.main()
