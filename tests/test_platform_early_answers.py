"""End-to-end tests of answers that end before their request was received, and of other statuses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from soak.partitions import FOLLOW_INTERVAL_S, PartitionKind

from guavamast.platform.standins.engine import encode_event
from guavamast.platform.standins.site import (
    CALL_PREFIX,
    LOOKUP_PREFIX,
    RESUMABLE_PREFIX,
    STREAM_PREFIX,
)
from guavamast.relay.http_connection import ConnectionLost, MalformedAnswer
from tests._platform_callers import READY_S, Caller, PartitionableTestCase
from tests.early_engine import EarlyEnd, EarlyEngine

if TYPE_CHECKING:
    from tests._platform_callers import Instance, Reply

BODY: Final = b"x" * 900_000
"""A request that is longer than what the system's buffers hold."""
PLAIN: Final = (CALL_PREFIX, LOOKUP_PREFIX)
STREAMS: Final = (STREAM_PREFIX, RESUMABLE_PREFIX)
DELAYS_S: Final = (0.0, 0.03)
OTHER_STATUSES: Final = ("000", "099", "99", "0200", "+20", "600", "999")
"""Statuses that aren't those of a final response (RFC 9110, section 15)."""
LONG_PART: Final = b"y" * 300_000
"""A part of an answer that is read in many turns of the event loop."""
ENGINES: Final = 2


class EarlyAnswerTestCase(PartitionableTestCase):
    """Base of tests in which all engines are in trouble."""

    def prepare_site(self) -> None:
        self.site.max_body_bytes = 4_194_304

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.number = 0
        self.engines = [EarlyEngine() for _ in range(ENGINES)]
        for engine in self.engines:
            engine.start()
            self.addCleanup(engine.stop)
        for name in list(self.site.engines):
            self.site.store.drop("servers", name)
        for service in ("pool", "portal"):
            for number, engine in enumerate(self.engines):
                self.site.register_engine(f"{service}-early-{number}", service, engine.port)
        await asyncio.sleep(1.0)

    async def ask(self, instance: Instance, target: str, **answer: object) -> Reply | None:
        """Send the next request, again with a new id while it is rejected; return the reply to it.

        Engines that fail again and again are left alone for a moment.
        """
        async with asyncio.timeout(READY_S):
            while True:
                self.prepare(target, **answer)
                reply = await self.send(instance, target)
                if reply is None or reply.status != 503:
                    return reply
                self.assertEqual(self.count_runs(), 0)
                await asyncio.sleep(0.1)

    async def send(self, instance: Instance, target: str) -> Reply | None:
        """Send the next request; return the reply, None if there was none."""
        self.number += 1
        caller = await Caller.open(instance.callers)
        try:
            return await caller.send_request(
                target, request_id=f"r{self.number}", body=BODY, timeout_ms=4000
            )
        except (ConnectionLost, MalformedAnswer):
            return None
        finally:
            caller.connection.close()

    def prepare(self, target: str, **answer: object) -> None:
        """Choose how the engines answer the next request."""
        stream = target in STREAMS
        events = b"".join(encode_event(f"r{self.number + 1}", one) for one in (1, 2))
        for engine in self.engines:
            engine.body = events if stream else b"a part"
            engine.content_type = "text/event-stream" if stream else "text/plain"
            engine.status = "200"
            engine.delay_s = 0.0
            engine.end = EarlyEnd.SHUTDOWN
            for name, value in answer.items():
                setattr(engine, name, value)

    def count_runs(self) -> int:
        name = f"r{self.number}"
        self.assertFalse(any(name in engine.received_whole for engine in self.engines))
        return sum(run == name for engine in self.engines for run in engine.runs)


class EarlyEndTest(EarlyAnswerTestCase):
    """A part of an answer that came while the request was still being sent is no whole answer."""

    async def check(self, instance: Instance) -> None:
        for end in EarlyEnd:
            for target in (*PLAIN, *STREAMS):
                for delay_s in DELAYS_S:
                    with self.subTest(end=end, target=target, delay_s=delay_s):
                        reply = await self.ask(instance, target, end=end, delay_s=delay_s)
                        if reply is not None:
                            self.assertFalse(reply.status == 200 and reply.complete)
                            self.assertIn(reply.status, (200, 502, 504))
                        runs = self.count_runs()
                        if target in (CALL_PREFIX, STREAM_PREFIX):
                            self.assertEqual(runs, 1)

    async def test_a_part_is_not_delivered_as_a_whole_answer(self) -> None:
        """Guards against a part that looks complete, as its end came before the reset."""
        await self.check(self.instances[0])

    async def test_a_long_part_is_not_delivered_as_a_whole_answer(self) -> None:
        """Guards against an end that is read long after the reset that followed it."""
        for end in EarlyEnd:
            for target in PLAIN:
                with self.subTest(end=end, target=target):
                    reply = await self.ask(self.instances[0], target, end=end, body=LONG_PART)
                    assert reply is not None
                    self.assertGreater(self.count_runs(), 0)
                    self.assertEqual(reply.status, 502)

    async def test_a_forwarded_part_is_not_delivered_as_a_whole_answer(self) -> None:
        """Guards against a forwarder that marks the end of such a part."""
        self.cut_second_instance()
        await asyncio.sleep(10 * FOLLOW_INTERVAL_S)
        await self.check(self.instances[1])

    def cut_second_instance(self) -> None:
        self.cut_ports(PartitionKind.REFUSE, [1], frozenset(one.port for one in self.engines))


class OtherStatusTest(EarlyAnswerTestCase):
    """A status that is none of a final response is no answer."""

    async def test_other_statuses_are_not_delivered(self) -> None:
        """Guards against an engine in trouble whose status is passed on."""
        for status in OTHER_STATUSES:
            for target in (*PLAIN, *STREAMS):
                with self.subTest(status=status, target=target):
                    reply = await self.ask(self.instances[0], target, status=status)
                    assert reply is not None
                    self.assertEqual(reply.status, 502)
