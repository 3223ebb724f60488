"""Tests of what learns from answers that were broken off: each takes one as such, and once."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING, Final
from unittest import mock

from guavamast.platform.standins.answer_body import WHOLE, AnswerEnding, Closing
from guavamast.platform.standins.engine import EVENTS_PER_STREAM, EngineStandIn, encode_event
from guavamast.relay.attempt_failure import FAILURE_WEIGHTS, AttemptFailed, FailureKind
from guavamast.relay.catalog import RouteKind
from guavamast.relay.endpoint_connection import ConnectionKind
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.placement.engine_profile import EngineProfiles
from guavamast.relay.quarantine import CrashGuard
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.response_end import BodyFraming
from guavamast.relay.retry_budget import RetryBudget
from tests._relay_case import RecordingWriter, RelayTestCase
from tests.relay_fixtures import BOUNDS, build_endpoint, build_route

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import Run
    from guavamast.relay.endpoint_table import EndpointRecord

INSIDE_THIRD_EVENT: Final = AnswerEnding(pieces=2, part_bytes=9)
BROKEN_ANSWERS: Final = (
    (BodyFraming.CONNECTION, INSIDE_THIRD_EVENT),
    (BodyFraming.CHUNKED, INSIDE_THIRD_EVENT),
    (BodyFraming.LENGTH, INSIDE_THIRD_EVENT),
    (BodyFraming.CONNECTION, AnswerEnding(pieces=2, closing=Closing.CRASH)),
    (BodyFraming.CONNECTION, AnswerEnding(pieces=2, closing=Closing.RESET)),
    (BodyFraming.CHUNKED, AnswerEnding(pieces=2, closing=Closing.CLOSE)),
)
"""Framings and endings of streams whose first two events arrive whole."""
WHOLE_STREAM: Final = b"".join(
    encode_event("r1", number) for number in range(1, EVENTS_PER_STREAM + 1)
)


class BrokenAnswerTest(RelayTestCase):
    """A stream that was broken off after two events."""

    request_changes = {"target": "/stream/1"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.replace_route(resumable=False)

    def replace_route(self, *, resumable: bool) -> None:
        route = build_route(
            path_prefix="/stream/",
            kind=RouteKind.STREAM,
            resumable=resumable,
            timeout_s=30.0,
            longest_pause_s=1.0,
        )
        self.simulation.replace_routes(route)

    async def restart_engine(self) -> None:
        """Replace the engine, which may have ended, and all that was learnt of it."""
        await self.asyncSetUp()

    async def relay_broken(
        self, framing: BodyFraming, ending: AnswerEnding, *, resumable: bool = False
    ) -> RecordingWriter:
        """Relay a stream that its engine breaks off; return what its caller received."""
        await self.restart_engine()
        self.replace_route(resumable=resumable)
        self.engine.framing = framing
        self.engine.ending = ending
        writer = RecordingWriter()
        await self.relay(writer=writer)
        return writer

    async def add_sound_engine(self) -> EngineStandIn:
        """Add an engine that is chosen after the other one only."""
        sound = EngineStandIn(engine_id="y")
        port = await sound.listen()
        self.addAsyncCleanup(sound.stop)
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=port))
        return sound

    async def test_callers_see_that_it_was_broken_off(self) -> None:
        for framing, ending in BROKEN_ANSWERS:
            with self.subTest(framing=framing, ending=ending):
                writer = await self.relay_broken(framing, ending)
                self.assertEqual(writer.body, encode_event("r1", 1) + encode_event("r1", 2))
                self.assertEqual((writer.completed, writer.aborted), (False, True))

    async def test_it_is_evidence_for_the_quarantine(self) -> None:
        """Guards against contents that end engines unseen, or are acquitted by a short answer."""
        for framing, ending in BROKEN_ANSWERS:
            with (
                self.subTest(framing=framing, ending=ending),
                mock.patch.object(CrashGuard, "record_response") as acquit,
            ):
                await self.relay_broken(framing, ending)
                acquit.assert_not_called()
                end = self.losses.confirm("x")
                assert end is not None
                self.assertEqual(len(end.lost), 1)

    async def test_it_counts_once_as_a_failure_of_its_endpoint(self) -> None:
        """Guards against engines that break off streams and are chosen like sound ones."""
        for framing, ending in BROKEN_ANSWERS:
            with (
                self.subTest(framing=framing, ending=ending),
                mock.patch.object(EndpointLoads, "record_success") as succeed,
            ):
                await self.relay_broken(framing, ending)
                succeed.assert_not_called()
                failures = self.loads.read_failures("x", now=self.simulation.now)
                self.assertEqual(failures, FAILURE_WEIGHTS[FailureKind.LOST])

    async def test_its_length_teaches_the_engine_profile_nothing(self) -> None:
        """Guards against engines that seem fast, as their streams end early."""
        for framing, ending in BROKEN_ANSWERS:
            with (
                self.subTest(framing=framing, ending=ending),
                mock.patch.object(EngineProfiles, "record_run") as record_run,
                mock.patch.object(EngineProfiles, "record_pause") as record_pause,
            ):
                await self.relay_broken(framing, ending)
                record_run.assert_not_called()
                record_pause.assert_not_called()

    async def test_it_is_resumed_once_and_spends_one_retry(self) -> None:
        """Guards against parts of events that are joined or sent twice, and retries beyond one."""
        for framing, ending in BROKEN_ANSWERS:
            with (
                self.subTest(framing=framing, ending=ending),
                mock.patch.object(
                    RetryBudget, "try_spend", autospec=True, side_effect=RetryBudget.try_spend
                ) as spend,
            ):
                await self.restart_engine()
                sound = await self.add_sound_engine()
                self.replace_route(resumable=True)
                self.engine.framing = framing
                self.engine.ending = ending
                self.loads.record_failure("y", weight=1.0, now=self.simulation.now)
                writer = RecordingWriter()
                await self.relay(writer=writer)
                self.assertEqual((writer.body, writer.completed), (WHOLE_STREAM, True))
                self.assertEqual(writer.headers["x-engine-seal"], "seal-x")
                self.assertEqual([run.headers["last-event-id"] for run in sound.runs], ["2"])
                spend.assert_called_once()

    async def test_a_stream_without_a_whole_event_gets_502(self) -> None:
        """Guards against 503, which says that it did not run, and an empty 200."""
        for framing in BodyFraming:
            ending = AnswerEnding(pieces=0, part_bytes=5)
            with self.subTest(framing=framing):
                writer = await self.relay_broken(framing, ending)
                self.assertEqual((writer.status, writer.body), (502, b""))

    async def test_an_endpoint_that_was_restarted_meanwhile_broke_it_off(self) -> None:
        """Guards against a suspended process that finds the successor of an engine alive."""
        for name in ("x", "y"):
            with self.subTest(successor=name):
                await self.restart_engine()
                self.engine.framing = BodyFraming.CONNECTION
                self.engine.ending = AnswerEnding(pieces=2)
                successor = build_endpoint(name, port=self.engine.port, row_version=9, started_ms=2)

                def restart(run: Run, successor: EndpointRecord = successor) -> None:
                    del run
                    self.simulation.now += BOUNDS.endpoints_s + 0.1
                    self.simulation.change_endpoints(successor)

                self.engine.on_run = restart
                writer = RecordingWriter()
                await self.relay(writer=writer)
                self.assertEqual((writer.completed, writer.aborted), (False, True))

    async def relay_while_leaving(
        self, ending: AnswerEnding, *, listed: bool = True
    ) -> RecordingWriter:
        """Relay a stream whose engine begins to leave; return what its caller received.

        Args:
            ending: Where and how the stream ends.
            listed: Whether the store still lists the engine.
        """
        await self.restart_engine()
        self.engine.framing = BodyFraming.CONNECTION
        self.engine.ending = ending

        def leave(run: Run) -> None:
            del run
            self.simulation.now += BOUNDS.endpoints_s + 0.1
            leaving = build_endpoint("x", port=self.engine.port, row_version=9, ready=False)
            self.simulation.change_endpoints(*[leaving][:listed])

        self.engine.on_run = leave
        writer = RecordingWriter()
        await self.relay(writer=writer)
        return writer

    async def test_a_leaving_endpoint_that_ends_with_it_broke_it_off(self) -> None:
        """Guards against a short stream that looks complete, as its engine was to leave.

        The engine says that it leaves, serves on for its time, and exits between two events.
        """
        for listed in (True, False):
            for closing in (Closing.CRASH, Closing.EXIT):
                with self.subTest(listed=listed, closing=closing):
                    ending = AnswerEnding(pieces=2, closing=closing)
                    writer = await self.relay_while_leaving(ending, listed=listed)
                    self.assertEqual(writer.body, encode_event("r1", 1) + encode_event("r1", 2))
                    self.assertEqual((writer.completed, writer.aborted), (False, True))

    async def test_a_leaving_endpoint_that_goes_on_has_ended_it(self) -> None:
        """Guards against whole streams that are cut because their engine is leaving."""
        for listed in (True, False):
            with self.subTest(listed=listed):
                writer = await self.relay_while_leaving(WHOLE, listed=listed)
                self.assertEqual((writer.body, writer.completed), (WHOLE_STREAM, True))

    async def test_its_connection_is_not_used_again(self) -> None:
        """Guards against the rest of a broken stream that answers the next request."""
        for framing, ending in BROKEN_ANSWERS[:3]:
            with self.subTest(framing=framing, ending=ending):
                await self.relay_broken(framing, ending)
                self.engine.ending = WHOLE
                with mock.patch.object(RequestRecorder, "record_connection") as record:
                    writer = RecordingWriter()
                    await self.relay(writer=writer)
                self.assertEqual(writer.body, WHOLE_STREAM)
                record.assert_called_once_with(ConnectionKind.NEW)

    async def test_schedulers_are_told_of_one_failure(self) -> None:
        """Guards against schedulers that take the endpoint of a broken stream for sound."""
        self.engine.framing, self.engine.ending = BROKEN_ANSWERS[0]
        work = mock.Mock(**{"is_expired.return_value": False})
        with self.assertRaises(AttemptFailed):
            await self.run_attempt(work=work)
        work.end.assert_called_once()
        self.assertEqual(work.end.call_args.kwargs["failure_weight"], 1.0)
        self.assertFalse(work.end.call_args.kwargs["rejected"])


if __name__ == "__main__":
    unittest.main()
