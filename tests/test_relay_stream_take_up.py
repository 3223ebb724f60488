"""Tests of streams that go on within an answer, or at their caller's next attempt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from guavamast.platform.standins.answer_body import AnswerEnding, Closing
from guavamast.platform.standins.engine import EVENTS_PER_STREAM, EngineStandIn, encode_event
from guavamast.relay.catalog import RouteKind, WeightedService
from guavamast.relay.stream_binding import StreamBinding, compute_stream_key
from tests._relay_case import RecordingWriter, RelayTestCase
from tests.relay_fixtures import BOUNDS, build_endpoint, build_route

if TYPE_CHECKING:
    from guavamast.platform.standins.engine import Run

V1 = StreamBinding(service="portal", software_version="v1")
BROKEN = AnswerEnding(pieces=2, closing=Closing.RESET)
TWO_EVENTS = encode_event("r1", 1) + encode_event("r1", 2)
STREAM_ROUTE: dict[str, Any] = {
    "path_prefix": "/stream/",
    "kind": RouteKind.STREAM,
    "resumable": True,
    "timeout_s": 30.0,
    "longest_pause_s": 1.0,
}


class StreamTestCase(RelayTestCase):
    """Base of tests with two engines, of which the first one is chosen for new streams."""

    request_changes = {"target": "/stream/1"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.simulation.replace_routes(build_route(**STREAM_ROUTE))
        self.row_version = 1
        self.second = EngineStandIn(engine_id="y")
        self.second_port = await self.second.listen()
        self.addAsyncCleanup(self.second.stop)
        self.list_second()
        await self.read_table()

    def list_second(self, **changes: Any) -> None:
        """List the second engine, further away than the first one."""
        self.row_version += 1
        values = {
            "port": self.second_port,
            "failure_domain": "b",
            "row_version": self.row_version,
        } | changes
        self.simulation.change_endpoints(self.record, build_endpoint("y", **values))

    async def read_table(self) -> None:
        await self.simulation.admit()
        await self.simulation.reader.endpoints.join()

    async def relay_stream(self, **changes: Any) -> RecordingWriter:
        """Relay a request; return what its caller received."""
        self.request_changes = {"target": "/stream/1"} | changes
        writer = RecordingWriter()
        await self.relay(writer=writer)
        return writer

    def call_on_run(self, engine: EngineStandIn, change: Any) -> None:
        def apply(run: Run) -> None:
            del run
            engine.on_run = None
            change()

        engine.on_run = apply


class ResumedAnswerTest(StreamTestCase):
    """A stream that broke off goes on only where its software is known to run."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.engine.ending = BROKEN

    def assert_broken_off(self, writer: RecordingWriter) -> None:
        self.assertEqual(writer.body, TWO_EVENTS)
        self.assertEqual((writer.completed, writer.aborted), (False, True))
        self.assertEqual(self.second.runs, [])

    async def test_it_goes_on_at_the_same_software(self) -> None:
        writer = await self.relay_stream()
        self.assertEqual((writer.body.count(b"id:"), writer.completed), (EVENTS_PER_STREAM, True))

    async def test_it_does_not_go_on_at_other_software(self) -> None:
        """Guards against a retry at any endpoint of the service."""
        self.list_second(software_version="v2")
        await self.read_table()
        self.assert_broken_off(await self.relay_stream())

    async def test_it_does_not_go_on_where_the_software_is_not_stated(self) -> None:
        """Guards against a row without a version that is taken for any version."""
        self.list_second(software_version=None)
        await self.read_table()
        self.assert_broken_off(await self.relay_stream())

    async def test_a_stream_of_an_endpoint_without_a_version_does_not_go_on(self) -> None:
        """Guards against endpoints without a version that are taken for alike."""
        self.record = build_endpoint("x", port=self.record.port, software_version=None)
        self.list_second(software_version=None)
        await self.read_table()
        self.assert_broken_off(await self.relay_stream())

    async def test_it_does_not_go_on_by_an_old_table(self) -> None:
        """Guards against an endpoint that was started again while the store was away."""

        def lose_store() -> None:
            self.simulation.unavailable = True
            self.simulation.now += BOUNDS.endpoints_s + 0.1

        self.call_on_run(self.engine, lose_store)
        self.assert_broken_off(await self.relay_stream())

    async def test_an_old_table_is_read_first(self) -> None:
        """Guards against streams that break off although the store tells what serves."""

        def grow_old() -> None:
            self.simulation.now += BOUNDS.endpoints_s + 0.1

        self.call_on_run(self.engine, grow_old)
        writer = await self.relay_stream()
        self.assertTrue(writer.completed)

    async def test_it_goes_on_although_its_endpoint_is_gone_by_then(self) -> None:
        """Guards against streams of engines that left, whose rows were confirmed before."""

        async def read_and_leave() -> None:
            await asyncio.sleep(0.05)
            await self.simulation.reader.endpoints.join()
            await asyncio.sleep(0.25)
            self.row_version += 1
            self.simulation.change_endpoints(build_endpoint("y", port=self.second_port))
            await self.simulation.reader.endpoints.join()

        self.engine.events = 20
        self.engine.ending = AnswerEnding(pieces=19, closing=Closing.RESET)
        self.second.events = 20
        tasks: list[asyncio.Future[None]] = []
        self.call_on_run(self.engine, lambda: tasks.append(asyncio.ensure_future(read_and_leave())))
        writer = await self.relay_stream()
        await asyncio.gather(*tasks)
        self.assertEqual((writer.body.count(b"id:"), writer.completed), (20, True))

    async def test_an_endpoint_that_is_started_again_before_the_send_gets_nothing(self) -> None:
        """Guards against a send by the row of an endpoint's earlier start."""

        async def restart_second() -> None:
            self.list_second(software_version="v2", started_ms=2)
            await self.simulation.reader.endpoints.join()

        def begin_restart() -> None:
            self.connector.on_connect = [
                lambda: tasks.append(asyncio.ensure_future(restart_second()))
            ]

        tasks: list[asyncio.Future[None]] = []
        self.call_on_run(self.engine, begin_restart)
        self.assert_broken_off(await self.relay_stream())
        await asyncio.gather(*tasks)

    async def test_an_endpoint_that_changed_before_its_first_event_binds_nothing(self) -> None:
        """Guards against a stream that is bound by the row of an endpoint's earlier start."""

        def list_restart() -> None:
            self.record = build_endpoint(
                "x", port=self.record.port, software_version="v2", started_ms=2, row_version=9
            )
            self.list_second()
            self.simulation.now += BOUNDS.endpoints_s / 2

        self.engine.processing_s = 0.1
        self.call_on_run(self.engine, list_restart)
        relaying = asyncio.ensure_future(self.relay_stream())
        await asyncio.sleep(0.05)
        await self.simulation.reader.endpoints.join()
        self.assert_broken_off(await relaying)


class TakenUpStreamTest(StreamTestCase):
    """A caller's attempt that takes a stream up is sent where the stream began, or nowhere."""

    def bind(self, binding: StreamBinding = V1, *, request_id: str = "r0") -> None:
        key = compute_stream_key("bakery", request_id)
        self.bindings.bind(key, binding, lifetime_s=60.0)

    def assert_refused(self, writer: RecordingWriter) -> None:
        self.assertEqual(writer.status, 503)
        self.assertGreater(float(writer.headers["retry-after"]), 0.0)
        self.assertEqual([*self.engine.runs, *self.second.runs], [])

    async def test_a_known_stream_goes_on_at_its_software(self) -> None:
        self.list_second(software_version="v2")
        await self.read_table()
        self.bind(StreamBinding(service="portal", software_version="v2"))
        writer = await self.relay_stream(resumed_request_id="r0", last_event_id="2")
        self.assertTrue(writer.completed)
        self.assertEqual((len(self.engine.runs), len(self.second.runs)), (0, 1))

    async def test_an_attempt_that_took_a_stream_up_is_bound_as_well(self) -> None:
        """Guards against a caller that names its second attempt."""
        self.bind()
        await self.relay_stream(resumed_request_id="r0", last_event_id="2")
        found = await self.bindings.find(compute_stream_key("bakery", "r1"))
        assert found.stream is not None
        self.assertEqual(found.stream.binding, V1)

    async def test_an_unknown_stream_is_refused(self) -> None:
        """Guards against a guess."""
        self.assert_refused(await self.relay_stream(resumed_request_id="r0", last_event_id="2"))

    async def test_a_stream_without_the_attempt_that_began_it_is_refused(self) -> None:
        """Guards against a caller's last event that is passed to any endpoint."""
        self.assert_refused(await self.relay_stream(last_event_id="2"))

    async def test_a_stream_that_names_itself_is_unknown(self) -> None:
        self.assert_refused(await self.relay_stream(resumed_request_id="r1", last_event_id="2"))

    async def test_an_id_of_two_streams_is_refused(self) -> None:
        """Guards against a repeated id whose streams began at different software."""
        self.bind()
        self.bind(StreamBinding(service="portal", software_version="v2"))
        self.assert_refused(await self.relay_stream(resumed_request_id="r0", last_event_id="2"))

    async def test_a_stream_whose_route_has_moved_is_refused(self) -> None:
        """Guards against a stream that goes on at another service, or at one no longer allowed."""
        self.bind()
        services = (WeightedService(service="annex", weight=1.0),)
        self.simulation.replace_routes(build_route(**STREAM_ROUTE | {"services": services}))
        await self.simulation.reader.catalog.join()
        self.assert_refused(await self.relay_stream(resumed_request_id="r0", last_event_id="2"))

    async def test_it_stays_at_its_service_when_it_is_admitted_again(self) -> None:
        """Guards against a new choice among a route's services after the configuration changed."""
        services = tuple(WeightedService(service=name, weight=1.0) for name in ("portal", "annex"))
        route = build_route(**STREAM_ROUTE | {"services": services})
        self.simulation.replace_routes(route)
        await self.simulation.reader.catalog.join()
        taken = next(
            f"r{number}" for number in range(99) if route.pick_service(f"r{number}") == "annex"
        )
        self.bind()
        changed = asyncio.Event()

        async def change_configuration() -> None:
            self.simulation.replace_routes(route)
            await self.simulation.reader.catalog.join()
            changed.set()

        self.connector.on_connect = [lambda: asyncio.ensure_future(change_configuration())]
        writer = await self.relay_stream(
            request_id=taken, resumed_request_id="r0", last_event_id="2"
        )
        await changed.wait()
        self.assertNotEqual(writer.status, None)
        self.assertEqual([run.tenant for run in self.engine.runs], ["bakery"])

    async def test_no_stream_is_taken_up_on_a_route_that_forbids_it(self) -> None:
        """Guards against a second run of a stream that may run once."""
        self.simulation.replace_routes(build_route(**STREAM_ROUTE | {"resumable": False}))
        await self.simulation.reader.catalog.join()
        self.bind()
        self.assert_refused(await self.relay_stream(resumed_request_id="r0", last_event_id="2"))

    async def test_other_requests_may_carry_the_headers(self) -> None:
        """Guards against plain requests that are refused for a header of streams."""
        self.simulation.replace_routes(build_route(**STREAM_ROUTE | {"kind": RouteKind.IDEMPOTENT}))
        await self.simulation.reader.catalog.join()
        writer = await self.relay_stream(resumed_request_id="r0", last_event_id="2")
        self.assertEqual(writer.status, 200)

    async def test_a_table_too_old_to_rely_on_refuses(self) -> None:
        """Guards against a send to an endpoint that was started again while the store was away."""
        self.bind()
        self.simulation.unavailable = True
        self.simulation.now += BOUNDS.endpoints_s + 0.1
        self.assert_refused(await self.relay_stream(resumed_request_id="r0", last_event_id="2"))
