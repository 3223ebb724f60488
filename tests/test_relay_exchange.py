"""Tests of the checks between the selection of an endpoint and the send to it."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING, Any
from unittest import mock

from guavamast.platform.standins.engine import EngineFault, EngineStandIn
from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.catalog import RouteKind, WeightedService
from guavamast.relay.messages import PromptPart
from guavamast.relay.quarantine import Quarantine, name_part
from guavamast.relay.rate_limits import PERMIT_VALID_S
from guavamast.relay.request_digest import compute_request_digest
from guavamast.relay.request_progress import RequestProgress, begin_progress
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.retry_budget import USABLE_SHARE, RetryBudget, RetryBudgetSettings
from guavamast.relay.scheduling_client import PlacedRequest, SchedulingClient
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from guavamast.relay.stream_timing import StreamTiming
from tests._relay_case import RecordingWriter, RelayTestCase
from tests.relay_fixtures import (
    build_endpoint,
    build_request,
    build_route,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.platform.standins.engine import Run
    from guavamast.relay.catalog import Route


class RateLimitGateTest(RelayTestCase):
    """Right before its bytes leave, a request to an endpoint with a rate limit needs a permit."""

    def build_work(self, *, permitted: bool) -> PlacedRequest:
        client = mock.create_autospec(SchedulingClient, instance=True)
        now = self.simulation.now
        return PlacedRequest(client=client, number=1, granted_at=now, permitted=permitted)

    async def assert_held_back(self, work: PlacedRequest | None) -> None:
        with self.assertRaises(AttemptFailed) as caught:
            await self.run_attempt(work=work)
        self.assertEqual(caught.exception.kind, FailureKind.OUTDATED)
        self.assertEqual(self.engine.arrivals, [])

    def state_limit(self) -> None:
        now = self.simulation.now
        self.rate_limits.record(self.record, 2.0, sent_at=now - 1.0, now=now)

    async def test_a_request_without_a_permit_is_held_back(self) -> None:
        """Guards against each way of placement that knows nothing of the limit."""
        self.state_limit()
        await self.assert_held_back(None)
        await self.assert_held_back(self.build_work(permitted=False))

    async def test_a_limit_that_is_told_while_connecting_counts(self) -> None:
        """Guards against a limit that is checked only as a request is placed."""
        self.connector.on_connect.append(self.state_limit)
        await self.assert_held_back(None)

    async def test_a_permit_that_was_used_too_late_is_none(self) -> None:
        """Guards against permits of a suspended process that are all used at once."""
        self.state_limit()
        work = self.build_work(permitted=True)
        self.simulation.now += 2 * PERMIT_VALID_S
        await self.assert_held_back(work)

    async def test_a_permitted_request_is_sent(self) -> None:
        self.state_limit()
        await self.run_attempt(work=self.build_work(permitted=True))
        self.assertEqual(len(self.engine.arrivals), 1)

    async def test_a_response_is_recorded_with_the_time_of_its_request(self) -> None:
        sent_at = self.simulation.now
        await self.run_attempt()
        recorded_at = self.statements.record.call_args.kwargs["sent_at"]
        self.assertAlmostEqual(recorded_at, sent_at, delta=0.1)


class ExchangeTest(RelayTestCase):
    """A request is sent by the current configuration, however long the send is delayed."""

    silences_store = False
    """Whether the store falls silent once a stream has begun."""

    async def test_a_delayed_request_uses_the_new_route(self) -> None:
        """Guards against a request failing because its data went stale before the send.

        While its connection is acquired, the route moves to another service and the staleness bound
        passes. The request is admitted again and runs at the route's new service.
        """
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        annex = EngineStandIn(engine_id="z")
        port = await annex.listen()
        self.addAsyncCleanup(annex.stop)
        moved = build_endpoint("z", service="annex", port=port)
        self.connector.on_connect.append(self.simulation.move_route)
        self.connector.on_connect.append(
            lambda: self.simulation.change_endpoints(self.record, moved)
        )
        self.connector.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 200)
        self.assertEqual((len(self.engine.runs), len(annex.runs)), (0, 1))

    async def test_a_request_is_repeated_at_the_service_that_may_have_run_it(self) -> None:
        """Guards against requests that fail as the weights of their route change between two sends.

        The first endpoint is lost while it works. By the new weights the request would begin at
        another service; it may not run at both, but the route still leads to the first one.
        """
        other = EngineStandIn(engine_id="y")
        port = await other.listen()
        self.addAsyncCleanup(other.stop)
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=port))

        def lose_once(run: Run) -> None:
            del run
            if len(self.engine.runs) + len(other.runs) > 1:
                self.engine.fault = other.fault = EngineFault.NONE
            else:
                self.change_configuration(self.change_weights)

        for engine in (self.engine, other):
            engine.fault, engine.on_run = EngineFault.LOSE, lose_once
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 200)
        self.assertIs(self.simulation.fleet_state.catalog, self.simulation.catalog)
        self.assertEqual((len(self.engine.runs), len(other.runs)), (1, 1))

    async def test_a_request_is_not_repeated_that_a_newer_configuration_lets_run_once(self) -> None:
        """Guards against a second run as a route is changed to one whose requests run once at most.

        The first endpoint loses a call, or is silent, while the configuration changes: its requests
        may not be repeated any more, or only at fewer endpoints.
        """
        changes: list[dict[str, Any]] = [{"kind": RouteKind.NON_IDEMPOTENT}, {"max_endpoints": 1}]
        for change in changes:
            for fault, status in ((EngineFault.LOSE, 502), (EngineFault.NONE, 200)):
                with self.subTest(change=change, fault=fault):
                    self.simulation.replace_routes(build_route(timeout_s=30.0))
                    await self.simulation.reader.catalog.join()
                    changed = build_route(timeout_s=30.0, **change)
                    engines = await self.start_pausing_engines(lambda: None)

                    def replace_route(_: Run, changed: Route = changed) -> None:
                        self.simulation.replace_routes(changed)
                        self.apply_change(lambda: None)

                    for engine in engines:
                        engine.on_run, engine.fault = replace_route, fault
                        engine.processing_s = 0.4 if fault is EngineFault.NONE else 0.0
                    writer = await self.relay()
                    self.assertEqual(writer.send.call_args.args[0], status)
                    self.assertEqual(sum(len(one.runs) for one in engines), 1)

    async def test_a_delayed_request_without_route_is_rejected_as_not_run(self) -> None:
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        other = build_route(path_prefix="/other/")
        self.connector.on_connect.append(lambda: self.simulation.replace_routes(other))
        self.connector.delay_s = 1.7
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 404)
        self.assertEqual(self.engine.runs, [])

    async def test_a_prompt_that_endpoints_have_no_room_for_presses_on_less_urgent_ones(
        self,
    ) -> None:
        """Guards against urgent requests that engines reject while less urgent ones begin."""
        self.simulation.replace_routes(build_route(timeout_s=30.0, urgency=1))
        self.engine.fault = EngineFault.FULL
        self.request_changes = {"prompt_tokens": 500}
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 503)
        self.assertTrue(self.rejections.are_rejected("portal", 11, now=self.simulation.now))

    async def test_a_request_is_not_sent_again_once_its_content_is_held(self) -> None:
        """Guards against a request under way that goes on to further endpoints.

        The first endpoint is full. Meanwhile another instance reports that the content is kept from
        endpoints.
        """
        other = EngineStandIn(engine_id="y")
        port = await other.listen()
        self.addAsyncCleanup(other.stop)
        self.engine.fault = other.fault = EngineFault.FULL
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=port))
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        content = compute_request_digest(build_request(), organisation="bakery")
        quarantine = Quarantine(
            attribute=content,
            organisation="bakery",
            ends=3,
            since=self.simulation.now,
            requested_at=self.simulation.now,
            trials_left=2,
            next_trial_at=self.simulation.now + 60.0,
        )
        self.connector.on_connect.append(lambda: self.ledger.restore(quarantine))
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 503)
        self.assertEqual(self.engine.connections + other.connections, 1)

    async def test_a_request_is_not_sent_once_it_is_held_during_the_connect(self) -> None:
        """Guards against what waits for a connection while other instances decide."""
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        quarantine = Quarantine(
            attribute=name_part("dead"),
            organisation=None,
            ends=4,
            since=self.simulation.now,
            requested_at=self.simulation.now,
            trials_left=2,
            next_trial_at=self.simulation.now + 60.0,
        )
        self.request_changes = {
            "prompt_parts": tuple(PromptPart(part_id=one, tokens=9) for one in ("dead", "own"))
        }
        self.connector.on_connect.append(lambda: self.ledger.restore(quarantine))
        writer = await self.relay()
        status, headers, _ = writer.send.call_args.args
        self.assertEqual(status, 503)
        self.assertGreater(float(dict(headers)["Retry-After"]), 50.0)
        self.assertEqual(self.engine.runs, [])

    async def test_each_send_begins_an_answer_anew(self) -> None:
        """Guards against parts that aren't charged as an earlier send's answer had gone on."""

        def begin(*args: Any, **options: Any) -> RequestProgress:
            progress = begin_progress(*args, **options)
            progress.lasted = True
            return progress

        with mock.patch("tests._relay_case.begin_progress", begin):
            progress = await self.run_attempt()
        self.assertFalse(progress.lasted)

    async def test_a_response_that_is_not_forwarded_holds_no_memory(self) -> None:
        """Guards against memory that is never released, until large responses wait for ever."""
        for result in ({"return_value": True}, {"side_effect": asyncio.CancelledError}):
            check = mock.AsyncMock(**result)
            with (
                mock.patch.object(ResponseEndCheck, "is_broken_off", check),
                self.assertRaises((AttemptFailed, asyncio.CancelledError)),
            ):
                await self.run_attempt()
            self.assertEqual(self.memory.held_bytes, 0)

    async def test_silence_ends_no_more_requests_than_can_be_retried(self) -> None:
        """Guards against requests that fail with 502 as others have spent the retry counted on.

        A burst of calls waits for a slow endpoint, and the budget allows two retries.
        """
        self.budget = RetryBudget(
            settings=RetryBudgetSettings(ratio=0.0, slack=2.0 / USABLE_SHARE, window_s=10.0)
        )
        self.exchanger = self.make_exchanger()
        await self.add_endpoint()
        self.engine.processing_s = 0.4
        attempts = (self.run_attempt() for _ in range(6))
        results = await asyncio.gather(*attempts, return_exceptions=True)
        failed = [one for one in results if isinstance(one, AttemptFailed)]
        self.assertEqual([one.kind for one in failed], [FailureKind.SILENT] * 2)
        self.assertEqual(len(results) - len(failed), len(self.engine.completed))

    async def test_silence_ends_no_stream_that_cannot_go_on_elsewhere(self) -> None:
        """Guards against streams that are cut as others have spent the retry counted on.

        Three streams of one engine have begun as it falls silent. Each is given up after a while,
        and the budget allows one retry: the callers of the other two would get the part that came
        before the silence, though the engine goes on.
        """
        self.budget = RetryBudget(
            settings=RetryBudgetSettings(ratio=0.0, slack=1.0 / USABLE_SHARE, window_s=10.0)
        )
        self.exchanger = self.make_exchanger()
        failed = await self.run_silent_streams("y")
        self.assertEqual([one.kind for one in failed], [FailureKind.SILENT])
        self.assertEqual(len(self.engine.completed), 2)

    async def test_silence_ends_no_stream_that_no_other_endpoint_can_go_on_with(self) -> None:
        """Guards against streams that are given up for a retry that finds no endpoint.

        There is room for retries, but the only other endpoint runs other software, or there is
        none. The stream is cut after its first events, though its engine goes on.
        """
        for others in ((), ("other",)):
            self.assertEqual(await self.run_silent_streams(*others), [])
        self.assertEqual(len(self.engine.completed), 6)

    async def test_silence_ends_no_request_that_a_leaving_instance_would_not_send_again(
        self,
    ) -> None:
        """Guards against a retry that is claimed and then denied, as the instance leaves.

        A call waits for its endpoint at a leaving instance, which sends on only what is certain to
        end before it does. Its caller would get 502, though the endpoint answers in time.
        """
        await self.add_endpoint()
        self.request_changes = {"timeout_s": 30.0}
        self.simulation.replace_routes(build_route(timeout_s=30.0))
        await self.simulation.reader.catalog.join()
        self.engine.processing_s = 0.4
        self.engine.on_run = lambda _: self.schedule.begin(now=self.simulation.now - 3.0)
        self.assertEqual((await self.run_attempt()).sends, 1)
        self.assertEqual(len(self.engine.completed), 1)

    async def test_silence_ends_no_stream_while_the_store_is_silent(self) -> None:
        """Guards against a retry that is claimed, and whose endpoint's software isn't confirmed.

        The store falls silent after a stream has begun. Another endpoint of its software is listed,
        but what it runs by now can't be confirmed, and the stream would be cut.
        """
        self.silences_store = True
        self.assertEqual(await self.run_silent_streams("y"), [])
        self.assertEqual(len(self.engine.completed), 3)

    async def test_silence_ends_no_request_whose_key_is_too_old_for_another_send(self) -> None:
        """Guards against a retry that is claimed and then denied, as the store is silent.

        While the endpoint works, the configuration becomes too old for a further send of a request
        with a key. Its caller would get 502, or a part of a stream, though the endpoint answers.
        """
        await self.add_endpoint()
        self.engine.processing_s = 0.4
        self.engine.on_run = lambda _: self.pass_time(60.0)
        self.assertEqual((await self.run_attempt()).sends, 1)
        self.assertEqual(len(self.engine.completed), 1)

    async def test_silence_ends_no_request_that_may_not_be_sent_again_by_a_newer_configuration(
        self,
    ) -> None:
        """Guards against a retry that is claimed and then denied, as the route or the key is gone.

        A call is sent, its route is moved or removed, or its key is taken away, and its endpoint is
        silent for a while. It would be given up for a retry that the newer configuration forbids:
        its caller would get 502, or a part of a stream, though the endpoint answers.
        """
        self.engine.processing_s = 0.4
        await self.add_endpoint()
        for change in (self.simulation.move_route, self.remove_route, self.remove_key):
            with self.subTest(change=change.__name__):
                self.simulation.replace_routes(build_route())
                await self.simulation.reader.catalog.join()
                self.engine.on_run = lambda _, change=change: self.change_configuration(change)
                self.assertEqual((await self.run_attempt()).sends, 1)
        self.assertEqual(len(self.engine.completed), 3)

    async def test_silence_ends_a_request_that_a_newer_configuration_still_allows(self) -> None:
        """Guards against a change of anything that keeps all requests at silent endpoints."""
        await self.add_endpoint()
        self.engine.processing_s = 0.4
        self.engine.on_run = lambda _: self.change_configuration(self.change_weights)
        with self.assertRaises(AttemptFailed) as caught:
            await self.run_attempt()
        self.assertEqual(caught.exception.kind, FailureKind.SILENT)

    async def test_a_change_between_the_claim_of_a_retry_and_its_send_ends_no_stream(self) -> None:
        """Guards against streams cut by a change that comes while their retry is under way.

        A stream has begun, and its engine pauses. As another one is connected to for the retry, the
        route is moved or removed, the key is taken away, the other engine leaves, the store falls
        silent, or the content is held. The engine that has begun the stream goes on with it.
        """
        changes = (
            self.simulation.move_route,
            self.remove_route,
            self.remove_key,
            self.remove_untried,
            self.stop_store,
            self.hold_part,
        )
        for change in changes:
            with self.subTest(change=change.__name__):
                self.simulation.unavailable = False
                engines = await self.start_pausing_engines(change)
                writer = await self.relay_pausing_stream()
                self.assertEqual((writer.status, writer.completed), (200, True))
                self.assertEqual(writer.body.count(b"id:"), self.engine.events)
                self.assertEqual(sum(len(one.runs) for one in engines), 1)

    async def test_a_change_between_the_claim_of_a_retry_and_its_send_ends_no_call(self) -> None:
        """Guards against a call that gets 502 as its retry is denied, though its endpoint answers.

        While another endpoint is connected to for the retry, the route is removed, or the instance
        begins to leave, and is too late to send on what may outlast it.
        """
        for change in (self.remove_route, self.leave_late):
            with self.subTest(change=change.__name__):
                engines = await self.start_pausing_engines(change)
                for engine in engines:
                    engine.processing_s = 0.4
                self.simulation.replace_routes(build_route(timeout_s=30.0))
                await self.simulation.reader.catalog.join()
                self.request_changes = {}
                writer = await self.relay(writer=RecordingWriter())
                self.assertEqual((writer.status, writer.completed), (200, True))
                self.assertEqual(sum(len(one.runs) for one in engines), 1)

    async def test_a_limit_that_is_told_before_a_retry_is_sent_keeps_the_attempt(self) -> None:
        """Guards against attempts abandoned at endpoints that state how few rejections they bear.

        Another endpoint of the service states it while the retry is connected. The abandoned
        request would run on, and what gets its slot would be rejected.
        """
        engines = await self.start_pausing_engines(self.state_rejection_limit)
        writer = await self.relay_pausing_stream()
        self.assertEqual((writer.status, writer.completed), (200, True))
        self.assertEqual(sum(len(one.runs) for one in engines), 1)

    async def test_a_silent_stream_goes_on_at_an_endpoint_that_can_take_it(self) -> None:
        """Guards against streams that stay at a silent endpoint though another one is ready."""
        engines = await self.start_pausing_engines(lambda: None)
        writer = await self.relay_pausing_stream(all_pause=False)
        self.assertEqual((writer.status, writer.completed), (200, True))
        self.assertEqual(writer.body.count(b"id:"), self.engine.events)
        self.assertEqual(sorted(len(one.runs) for one in engines), [1, 1])
        self.assertEqual(sum(len(one.completed) for one in engines), 1)

    async def add_endpoint(self) -> None:
        """List a second endpoint of the service, which takes connections."""
        other = await self.start_engine("y")
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=other.port))
        await self.simulation.reader.endpoints.join()

    async def start_engine(self, name: str) -> EngineStandIn:
        """Return a further engine that listens."""
        engine = EngineStandIn(engine_id=name)
        await engine.listen()
        self.addAsyncCleanup(engine.stop)
        return engine

    async def start_pausing_engines(self, change: Callable[[], None]) -> list[EngineStandIn]:
        """Return two engines of a service, of which the first to run a request pauses.

        Args:
            change: Called as the next connection is acquired after that.
        """
        engines = [await self.start_engine(name) for name in ("x", "y")]
        records = [
            build_endpoint(one.engine_id, port=one.port, row_version=one.port) for one in engines
        ]
        self.engine = engines[0]
        self.simulation.now += 1.0
        self.simulation.change_endpoints(*records)
        await self.simulation.reader.endpoints.join()
        self.all_pause = True
        self.exchanger = self.make_exchanger()

        def begin(run: Run) -> None:
            if sum(len(one.runs) for one in engines) > 1:
                return
            self.read_endpoints_later()
            self.connector.on_connect.append(lambda: self.apply_change(change))
            for engine in engines:
                if self.all_pause or run in engine.runs:
                    engine.event_interval_s = 0.4

        for engine in engines:
            engine.event_interval_s = 0.0
            engine.events = 3
            engine.on_run = begin
        return engines

    async def relay_pausing_stream(self, *, all_pause: bool = True) -> RecordingWriter:
        """Relay a stream, with short patience for its engine; return its response."""
        self.all_pause = all_pause
        route = build_route(kind=RouteKind.STREAM, resumable=True, timeout_s=30.0, objective_s=0.1)
        self.simulation.replace_routes(route)
        await self.simulation.reader.catalog.join()
        ids = (str(self.engine.port), "own")
        parts = tuple(PromptPart(part_id=one, tokens=9) for one in ids)
        self.request_changes = {"target": "/status/stream", "prompt_parts": parts}
        writer = RecordingWriter()
        with (
            mock.patch("guavamast.relay.attempt_timeouts.STREAM_IDLE_TIMEOUT_S", 0.15),
            mock.patch("guavamast.relay.stream_observer.STREAM_IDLE_TIMEOUT_S", 0.15),
        ):
            await self.relay(writer=writer)
        return writer

    def apply_change(self, change: Callable[[], None]) -> None:
        """Make a change, and apply what the store then has at once, if it answers."""
        change()
        if self.simulation.unavailable:
            return
        now = self.simulation.now
        fleet_state = self.simulation.fleet_state
        fleet_state.apply_catalog(CatalogSnapshot(catalog=self.simulation.catalog, store_time=now))
        records = self.simulation.records
        fleet_state.apply_endpoints(
            EndpointSnapshot(records=records, digest=str(len(records)), store_time=now)
        )

    def remove_untried(self) -> None:
        """Remove the endpoint that has run nothing."""
        busy = {record.endpoint_id for record in self.simulation.records} - {"y"}
        if not self.engine.runs:
            busy = {"y"}
        self.simulation.change_endpoints(
            *(one for one in self.simulation.records if one.endpoint_id in busy)
        )

    def stop_store(self) -> None:
        self.simulation.unavailable = True

    def hold_part(self) -> None:
        """Have a part of the prompt kept from endpoints."""
        quarantine = Quarantine(
            attribute=name_part(str(self.engine.port)),
            organisation=None,
            ends=4,
            since=self.simulation.now,
            requested_at=self.simulation.now,
            trials_left=2,
            next_trial_at=self.simulation.now + 60.0,
        )
        self.ledger.restore(quarantine)

    def state_rejection_limit(self) -> None:
        self.limits.record("portal", now=self.simulation.now)

    def leave_late(self) -> None:
        """Begin to leave, some seconds ago."""
        self.schedule.begin(now=self.simulation.now - 3.5)

    def change_configuration(self, change: Callable[[], None]) -> None:
        """Change the configuration while an endpoint works, and have it read."""
        change()
        self.reading = asyncio.ensure_future(self.simulation.reader.catalog.join())

    def remove_route(self) -> None:
        self.simulation.replace_routes(build_route(path_prefix="/other/"))

    def remove_key(self) -> None:
        self.simulation.replace_routes(build_route())
        self.simulation.catalog.organisations = {}

    def change_weights(self) -> None:
        """Give the route a second service, to which nearly all requests go."""
        services = (
            WeightedService(service="portal", weight=1e-9),
            WeightedService(service="annex", weight=1.0),
        )
        self.simulation.replace_routes(build_route(services=services))

    def pass_time(self, seconds: float) -> None:
        self.simulation.now += seconds

    def read_endpoints_later(self) -> None:
        """Have the table read once more, which confirms what the engine of a stream runs."""
        self.simulation.now += 0.05
        self.reading = asyncio.ensure_future(self.simulation.reader.endpoints.join())
        if self.silences_store:
            self.reading.add_done_callback(lambda _: self.silence_store())

    def silence_store(self) -> None:
        self.simulation.reader.answers = False

    async def run_silent_streams(self, *others: str) -> list[AttemptFailed]:
        """Run three streams at an engine that pauses for longer than the timeout.

        Args:
            others: Ids of the other ready endpoints; ``other`` runs other software.

        Returns:
            The failures of those that were given up.
        """
        self.record = build_endpoint("x", port=self.record.port, software_version="v1")
        more = [
            build_endpoint(
                one,
                port=(await self.start_engine(one)).port,
                software_version="v2" if one == "other" else "v1",
            )
            for one in others
        ]
        self.simulation.change_endpoints(self.record, *more)
        await self.simulation.reader.endpoints.join()
        route = build_route(kind=RouteKind.STREAM, resumable=True, timeout_s=30.0, objective_s=0.1)
        self.simulation.replace_routes(route)
        await self.simulation.reader.catalog.join()
        self.request_changes = {"target": "/status/stream", "timeout_s": 30.0}
        self.engine.event_interval_s = 0.4
        self.engine.on_run = lambda _: self.read_endpoints_later()
        with (
            mock.patch("guavamast.relay.attempt_timeouts.STREAM_IDLE_TIMEOUT_S", 0.15),
            mock.patch("guavamast.relay.stream_observer.STREAM_IDLE_TIMEOUT_S", 0.15),
        ):
            attempts = (self.run_attempt(writer=RecordingWriter()) for _ in range(3))
            results = await asyncio.gather(*attempts, return_exceptions=True)
        failed = [one for one in results if isinstance(one, AttemptFailed)]
        others_failed = [one for one in results if isinstance(one, Exception)]
        self.assertEqual(others_failed, failed)
        return failed

    async def test_a_response_that_goes_on_arriving_is_not_abandoned(self) -> None:
        """Guards against large responses that are requested twice, or fail, on a busy machine.

        The whole response takes longer than the attempt timeout, and no part of it does.
        """
        head = (
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: r1\r\nX-Engine-Seal: s\r\nContent-Length: 6\r\n\r\n"
        )

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            for piece in (head.encode(), *(b"x" for _ in range(6))):
                writer.write(piece)
                await asyncio.sleep(0.05)
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.record = build_endpoint("x", port=server.sockets[0].getsockname()[1])
        self.simulation.change_endpoints(self.record)
        writer = RecordingWriter()
        await self.run_attempt(writer=writer)
        self.assertEqual((writer.status, writer.body), (200, b"xxxxxx"))

    async def test_a_response_that_cannot_be_written_holds_no_memory(self) -> None:
        """Guards against memory that is never released when a caller's connection fails."""
        writer = RecordingWriter()
        with (
            mock.patch.object(writer, "send", mock.AsyncMock(side_effect=asyncio.CancelledError)),
            self.assertRaises(asyncio.CancelledError),
        ):
            await self.run_attempt(writer=writer)
        self.assertEqual(self.memory.held_bytes, 0)

    async def test_a_stream_of_several_engines_shows_the_speed_of_none(self) -> None:
        """Guards against pauses of a slow engine that count for the one which took a stream over.

        The stream began at another engine.
        """
        self.engine.event_interval_s = 0.0
        self.request_changes = {"target": "/status/stream"}
        for earlier_sends in (0, 1):

            def begin(*args: Any, sends: int = earlier_sends, **options: Any) -> RequestProgress:
                progress = begin_progress(*args, **options)
                progress.sends = sends
                return progress

            with (
                mock.patch("tests._relay_case.begin_progress", begin),
                mock.patch.object(StreamTiming, "compute_mean_pause_ms", return_value=40.0),
                mock.patch.object(self.speeds.__class__, "record_pause") as record_pause,
            ):
                await self.run_attempt()
            pauses = [call.kwargs["pause_ms"] for call in record_pause.call_args_list]
            self.assertEqual(pauses, [0.0 if earlier_sends else 40.0])

    async def test_a_request_is_sent(self) -> None:
        self.assertEqual((await self.run_attempt()).sends, 1)
        self.assertEqual(len(self.engine.runs), 1)

    async def test_a_delayed_request_is_not_sent_with_stale_data(self) -> None:
        """Guards against a send to an endpoint that was selected too long ago.

        Acquiring the connection takes longer than the staleness bound, in which the endpoint may
        have left. No byte is sent, and the failure allows another admission.
        """
        for delay_s in (1.7, 3.0):
            self.connector.delay_s = delay_s
            with self.assertRaises(AttemptFailed) as caught:
                await self.run_attempt()
            self.assertEqual(caught.exception.kind, FailureKind.OUTDATED)
            self.assertTrue(caught.exception.not_run)
        self.assertEqual(self.engine.runs, [])


if __name__ == "__main__":
    unittest.main()
