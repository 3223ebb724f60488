"""End-to-end tests of answers that break off, by their framing, their ending and their way."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from soak.partitions import FOLLOW_INTERVAL_S, PartitionKind

from guavamast.platform.standins.answer_body import WHOLE, AnswerEnding, Closing
from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_answer, encode_event
from guavamast.platform.standins.site import (
    CALL_PREFIX,
    HOST,
    KEY,
    LOOKUP_PREFIX,
    RESUMABLE_PREFIX,
    STREAM_PREFIX,
)
from guavamast.relay.response_end import BodyFraming
from tests._platform_callers import READY_S, Caller, PartitionableTestCase

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import EngineStandIn, Run
    from tests._platform_callers import Instance, Reply

LEAVING_S: Final = 1.5
"""Seconds from an engine's leaving to its last answer, in which all instances learn of it."""
LEAVING_EVENTS: Final = 3
LEAVING_INTERVAL_S: Final = 0.6
"""Seconds between two events of its last stream: the first of them take longer than that."""
LAST_EVENT_BYTES: Final = len(encode_event("r10", EVENTS_PER_STREAM))


@dataclass(frozen=True, slots=True, kw_only=True)
class BrokenEnd:
    """Where a stream breaks off, and the complete events before that."""

    pieces: int
    part_bytes: int

    def close(self, closing: Closing) -> AnswerEnding:
        return AnswerEnding(pieces=self.pieces, part_bytes=self.part_bytes, closing=closing)


ENDS_INSIDE_EVENTS: Final = (
    BrokenEnd(pieces=2, part_bytes=9),
    BrokenEnd(pieces=0, part_bytes=5),
    BrokenEnd(pieces=EVENTS_PER_STREAM - 1, part_bytes=LAST_EVENT_BYTES - 1),
)


def build_stream(request_id: str, events: int = EVENTS_PER_STREAM) -> bytes:
    """Return the first events of a stream."""
    return b"".join(encode_event(request_id, number) for number in range(1, events + 1))


class BrokenAnswerTest(PartitionableTestCase):
    """An answer that breaks off never looks complete, and a whole one is delivered."""

    pool_engines = 5

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.number = 9

    def list_engines(self) -> list[EngineStandIn]:
        """Return the engines, also those that have ended."""
        return [*self.site.engines.values(), *self.site.crashed_engines]

    def set_answers(self, framing: BodyFraming | None = None, ending: AnswerEnding = WHOLE) -> None:
        """Choose the framing and the ending of all engines' answers."""
        for engine in self.list_engines():
            engine.on_run = None
            engine.framing = framing
            engine.ending = ending

    def spoil_first_answer(
        self, framing: BodyFraming, ending: AnswerEnding, *, leaving: bool = False
    ) -> None:
        """Let only the engine that runs the next request end its answer so.

        Args:
            framing: Framing of all answers.
            ending: Where and how that answer ends.
            leaving: Whether the engine says that it leaves before it begins the answer.
        """
        self.set_answers(framing, ending)

        def spare_others(run: Run) -> None:
            for engine in self.list_engines():
                engine.on_run = None
                if run not in engine.runs:
                    engine.ending = WHOLE
                elif leaving:
                    self.leave(engine)

        for engine in self.list_engines():
            engine.on_run = spare_others

    def leave(self, engine: EngineStandIn) -> None:
        """Let an engine say that it leaves, and end its answer when all instances know."""
        self.site.register_engine(engine.engine_id, "pool", engine.port, state="draining")
        engine.event_interval_s = LEAVING_INTERVAL_S

    def count_runs(self, request_id: str) -> int:
        return sum(
            run.request_id == request_id for engine in self.list_engines() for run in engine.runs
        )

    async def ask(self, instance: Instance, target: str, *, body: bytes = b"") -> Reply:
        """Send the next request on a new connection, again with a new id while it is refused.

        The only forwarder refuses for a moment when its process runs late.
        """
        async with asyncio.timeout(READY_S):
            while True:
                self.number += 1
                reply = await self.ask_once(instance, target, body)
                if reply.status != 503:
                    return reply
                self.assertEqual(self.count_runs(f"r{self.number}"), 0)
                await asyncio.sleep(0.1)

    async def ask_once(self, instance: Instance, target: str, body: bytes) -> Reply:
        caller = await Caller.open(instance.callers)
        try:
            return await caller.send_request(
                target, request_id=f"r{self.number}", body=body, timeout_ms=6000
            )
        finally:
            caller.connection.close()

    def check_broken_off(self, reply: Reply, end: BrokenEnd) -> None:
        """Check the reply to a stream that ran once and can't be resumed."""
        name = f"r{self.number}"
        self.assertEqual(self.count_runs(name), 1)
        if end.pieces:
            self.assertEqual((reply.status, reply.complete), (200, False))
            self.assertEqual(reply.body, build_stream(name, end.pieces))
        else:
            self.assertEqual((reply.status, reply.body), (502, b""))

    async def check_streams_inside_events(self, instance: Instance) -> None:
        for framing in BodyFraming:
            for closing in (Closing.FRAMED, Closing.CLOSE, Closing.RESET):
                for end in ENDS_INSIDE_EVENTS:
                    with self.subTest(framing=framing, closing=closing, end=end):
                        self.set_answers(framing, end.close(closing))
                        reply = await self.ask(instance, STREAM_PREFIX + "stream")
                        self.check_broken_off(reply, end)

    async def check_resumed_streams(self, instance: Instance) -> None:
        for framing in BodyFraming:
            for end in ENDS_INSIDE_EVENTS[:2]:
                with self.subTest(framing=framing, end=end):
                    self.spoil_first_answer(framing, end.close(Closing.FRAMED))
                    reply = await self.ask(instance, RESUMABLE_PREFIX + "stream")
                    name = f"r{self.number}"
                    self.assertEqual(
                        (reply.status, reply.complete, reply.body), (200, True, build_stream(name))
                    )
                    self.assertEqual(self.count_runs(name), 2)
                    spoilt = [e for e in self.list_engines() if e.ending is not WHOLE]
                    if end.pieces:
                        seal = reply.headers["x-engine-seal"]
                        self.assertEqual(seal, f"seal-{spoilt[0].engine_id}")

    async def test_streams_that_end_inside_an_event_are_broken_off(self) -> None:
        """Guards against a short stream that looks complete, as its end was in order."""
        await self.check_streams_inside_events(self.instances[0])
        await self.check_resumed_streams(self.instances[0])

    async def test_forwarded_streams_that_end_inside_an_event_are_broken_off(self) -> None:
        """Guards against a forwarder that turns the end of a connection into a last chunk."""
        await self.cut_second_instance()
        await self.check_streams_inside_events(self.instances[1])
        await self.check_resumed_streams(self.instances[1])

    async def cut_second_instance(self) -> None:
        """Cut the second instance from all engines; return once the cut is in force."""
        self.cut(PartitionKind.REFUSE, [1])
        await asyncio.sleep(10 * FOLLOW_INTERVAL_S)

    async def check_whole_answers(self, instance: Instance) -> None:
        for framing in BodyFraming:
            for tail in (b"", b"\n", b"\r\n", b": end\n", b"\n\n"):
                with self.subTest(framing=framing, tail=tail):
                    self.set_answers(framing, AnswerEnding(tail=tail))
                    for prefix in (STREAM_PREFIX, RESUMABLE_PREFIX):
                        reply = await self.ask(instance, prefix + "stream")
                        name = f"r{self.number}"
                        self.assertEqual((reply.status, reply.complete), (200, True))
                        self.assertEqual(reply.body, build_stream(name) + tail)
                        self.assertEqual(self.count_runs(name), 1)
            with self.subTest(framing=framing):
                self.set_answers(framing)
                for target in (CALL_PREFIX, LOOKUP_PREFIX):
                    reply = await self.ask(instance, target + "x", body=b"pay")
                    name = f"r{self.number}"
                    self.assertEqual((reply.status, reply.body), (200, encode_answer(name)))

    async def test_whole_answers_are_delivered_in_each_framing(self) -> None:
        """Guards against a check for broken-off streams that cuts whole ones."""
        await self.check_whole_answers(self.instances[0])

    async def test_whole_forwarded_answers_are_delivered_in_each_framing(self) -> None:
        """Guards against a check for broken-off streams that cuts forwarded whole ones."""
        await self.cut_second_instance()
        await self.check_whole_answers(self.instances[1])

    async def check_crashes_between_events(self, instance: Instance) -> None:
        """Check streams whose engine ends between two events; each ends one engine."""
        framing = BodyFraming.CONNECTION
        end = BrokenEnd(pieces=2, part_bytes=0)
        self.spoil_first_answer(framing, end.close(Closing.CRASH))
        reply = await self.ask(instance, STREAM_PREFIX + "stream")
        self.check_broken_off(reply, end)
        self.spoil_first_answer(framing, end.close(Closing.CRASH))
        reply = await self.ask(instance, RESUMABLE_PREFIX + "stream")
        name = f"r{self.number}"
        self.assertEqual((reply.status, reply.complete), (200, True))
        self.assertEqual(reply.body, build_stream(name))
        end = BrokenEnd(pieces=0, part_bytes=0)
        self.spoil_first_answer(framing, end.close(Closing.CRASH))
        reply = await self.ask(instance, STREAM_PREFIX + "stream")
        self.check_broken_off(reply, end)

    async def test_streams_of_an_engine_that_crashes_between_events_are_broken_off(self) -> None:
        """Guards against a short stream that looks complete, as it ends with a whole event."""
        await self.check_crashes_between_events(self.instances[0])

    async def test_a_crash_of_the_last_engine_of_a_service_is_seen(self) -> None:
        """Guards against a crash that is taken for a lost path, as no other engine listens."""
        _, *others = [name for name in self.site.engines if name.startswith("pool")]
        for name in others:
            self.site.store.drop("servers", name)
        await asyncio.sleep(LEAVING_S)
        end = BrokenEnd(pieces=2, part_bytes=0)
        self.set_answers(BodyFraming.CONNECTION, end.close(Closing.CRASH))
        reply = await self.ask(self.instances[0], STREAM_PREFIX + "stream")
        self.check_broken_off(reply, end)

    async def test_forwarded_streams_of_such_an_engine_are_broken_off(self) -> None:
        """Guards against a forwarder that hides how an engine's stream was framed."""
        await self.cut_second_instance()
        await self.check_crashes_between_events(self.instances[1])

    async def test_a_part_of_a_call_of_an_engine_that_crashes_is_not_delivered(self) -> None:
        """Guards against a part of a plain answer without length that is taken for the whole."""
        ending = AnswerEnding(pieces=0, part_bytes=4, closing=Closing.CRASH)
        self.spoil_first_answer(BodyFraming.CONNECTION, ending)
        reply = await self.ask(self.instances[0], CALL_PREFIX + "x", body=b"pay")
        self.assertEqual((reply.status, self.count_runs(f"r{self.number}")), (502, 1))

    async def check_exits_between_events(self, instance: Instance, closing: Closing) -> None:
        """Check streams that their leaving engine breaks off by its exit; each ends one engine."""
        framing = BodyFraming.CONNECTION
        end = BrokenEnd(pieces=LEAVING_EVENTS, part_bytes=0)
        self.spoil_first_answer(framing, end.close(closing), leaving=True)
        reply = await self.ask(instance, STREAM_PREFIX + "stream")
        self.check_broken_off(reply, end)
        self.spoil_first_answer(framing, end.close(closing), leaving=True)
        reply = await self.ask(instance, RESUMABLE_PREFIX + "stream")
        name = f"r{self.number}"
        self.assertEqual(
            (reply.status, reply.complete, reply.body), (200, True, build_stream(name))
        )
        self.assertEqual(self.count_runs(name), 2)

    async def test_streams_that_a_leaving_engine_breaks_off_are_not_complete(self) -> None:
        """Guards against a short stream that looks complete, as its engine was to leave.

        The engine says that it leaves, serves on for longer than it has to, and exits between two
        events. Its caller sees a cut, or the rest from another engine where that is allowed.
        """
        for closing in (Closing.CRASH, Closing.EXIT):
            with self.subTest(closing=closing):
                await self.check_exits_between_events(self.instances[0], closing)

    async def test_forwarded_streams_that_a_leaving_engine_breaks_off_are_not_complete(
        self,
    ) -> None:
        """Guards against a forwarder that passes the exit of a leaving engine on as an end."""
        await self.cut_second_instance()
        await self.check_exits_between_events(self.instances[1], Closing.EXIT)

    async def check_leaving_engine(self, instance: Instance) -> None:
        """Check whole answers of an engine that leaves and serves on for a moment."""

        def leave(run: Run) -> None:
            (engine,) = [engine for engine in self.list_engines() if run in engine.runs]
            self.leave(engine)
            if run.target == CALL_PREFIX + "x":
                engine.processing_s = LEAVING_S

        for target in (STREAM_PREFIX + "stream", RESUMABLE_PREFIX + "stream", CALL_PREFIX + "x"):
            with self.subTest(target=target):
                self.set_answers(BodyFraming.CONNECTION)
                for engine in self.list_engines():
                    engine.on_run = leave
                reply = await self.ask(instance, target)
                name = f"r{self.number}"
                whole = build_stream(name) if "stream" in target else encode_answer(name)
                self.assertEqual((reply.status, reply.body, reply.complete), (200, whole, True))
                self.assertEqual(self.count_runs(name), 1)

    async def test_the_last_answers_of_a_leaving_engine_are_delivered(self) -> None:
        """Guards against whole answers that are cut because their engine is leaving."""
        await self.check_leaving_engine(self.instances[0])

    async def test_forwarded_last_answers_of_a_leaving_engine_are_delivered(self) -> None:
        """Guards against a forwarder that cuts whole answers as their engine is leaving."""
        await self.cut_second_instance()
        await self.check_leaving_engine(self.instances[1])

    async def test_the_events_of_an_engine_that_exits_with_its_last_one_are_delivered(self) -> None:
        """Guards against events that are lost, or sent twice, as nothing tells that all have come.

        The engine exits in the moment in which its stream ends: this looks like an exit between
        two events. Another engine is asked for the rest, of which there is none; where that isn't
        allowed, the caller has all events and sees a cut.
        """
        ending = AnswerEnding(closing=Closing.CRASH)
        self.spoil_first_answer(BodyFraming.CONNECTION, ending, leaving=True)
        reply = await self.ask(self.instances[0], RESUMABLE_PREFIX + "stream")
        whole = build_stream(f"r{self.number}")
        self.assertEqual((reply.status, reply.complete, reply.body), (200, True, whole))
        self.spoil_first_answer(BodyFraming.CONNECTION, ending, leaving=True)
        reply = await self.ask(self.instances[0], STREAM_PREFIX + "stream")
        whole = build_stream(f"r{self.number}")
        self.assertEqual((reply.status, reply.complete, reply.body), (200, False, whole))
        self.assertEqual(self.count_runs(f"r{self.number}"), 1)
        self.assertEqual(len(self.site.crashed_engines), 2)

    async def test_broken_answers_that_are_no_streams_are_not_delivered(self) -> None:
        """Guards against a part of a plain answer that is taken for the whole."""
        endings = [
            (framing, closing)
            for framing in BodyFraming
            for closing in (Closing.CLOSE, Closing.RESET)
            if (framing, closing) != (BodyFraming.CONNECTION, Closing.CLOSE)
        ]
        for framing, closing in endings:
            with self.subTest(framing=framing, closing=closing):
                ending = AnswerEnding(pieces=0, part_bytes=4, closing=closing)
                self.set_answers(framing, ending)
                reply = await self.ask(self.instances[0], CALL_PREFIX + "x", body=b"pay")
                self.assertEqual((reply.status, self.count_runs(f"r{self.number}")), (502, 1))
                self.spoil_first_answer(framing, ending)
                reply = await self.ask(self.instances[0], LOOKUP_PREFIX + "x")
                name = f"r{self.number}"
                self.assertEqual((reply.status, reply.body), (200, encode_answer(name)))
                self.assertEqual(self.count_runs(name), 2)


class UnchunkedCallerTest(PartitionableTestCase):
    """A caller that speaks HTTP/1.0 gets no chunks: the end of its connection tells all."""

    instance_count = 1
    idle_timeout_ms = 60_000  # Longer than these tests wait, so that it ends nothing.

    async def open_stream(self, target: str, *, keep_alive: bool = False) -> asyncio.StreamReader:
        """Send a request and return what receives its response."""
        host, _, port = self.instances[0].callers.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        lines = [
            f"GET {target} HTTP/1.0",
            f"Host: {HOST}",
            f"Authorization: Bearer {KEY}",
            "X-Attempt-Id: r10",
            "X-Request-Deadline-Ms: 6000",
            *(["Connection: keep-alive"] if keep_alive else []),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        return reader

    async def ask(self, target: str, *, keep_alive: bool = False) -> bytes:
        """Return the body of a response that ended in order.

        Raises:
            ConnectionResetError: The response was broken off.
        """
        reader = await self.open_stream(target, keep_alive=keep_alive)
        async with asyncio.timeout(READY_S):
            received = await reader.read(-1)
        head, _, body = received.partition(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        return body

    async def test_a_broken_stream_does_not_end_in_order(self) -> None:
        """Guards against a short stream that looks complete to a caller without chunks."""
        for engine in self.site.engines.values():
            engine.ending = AnswerEnding(pieces=2, part_bytes=9, closing=Closing.RESET)
        with self.assertRaises(ConnectionResetError):
            await self.ask(STREAM_PREFIX + "stream")

    async def test_a_stream_of_a_killed_instance_does_not_end_in_order(self) -> None:
        """Guards against a short stream that looks complete as the system closes its connection."""
        reader = await self.open_stream(STREAM_PREFIX + "stream")
        async with asyncio.timeout(READY_S):
            await reader.readuntil(encode_event("r10", 1))
            self.instances[0].process.kill()
            with self.assertRaises(ConnectionResetError):
                await reader.read(-1)

    async def test_whole_responses_end_in_order(self) -> None:
        """Guards against a caller that waits for the end of a whole response until it times out."""
        for keep_alive in (False, True):
            body = await self.ask(STREAM_PREFIX + "stream", keep_alive=keep_alive)
            self.assertEqual(body, build_stream("r10"))
        self.assertEqual(await self.ask(LOOKUP_PREFIX + "x"), encode_answer("r10"))


if __name__ == "__main__":
    unittest.main()
