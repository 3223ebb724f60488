"""Tests of requests that reach an endpoint through another instance."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from random import Random
from typing import TYPE_CHECKING
from unittest import mock

from guavamast.decoding import MalformedData
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineFault, EngineStandIn
from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.direct_connector import DirectConnector
from guavamast.relay.endpoint_connection import (
    ConnectionLost,
    EndpointUnreachable,
    MalformedAnswer,
    NotForwarded,
    PathLost,
)
from guavamast.relay.endpoint_statements import EndpointStatements
from guavamast.relay.forwarding import (
    ForwardClient,
    ForwarderChoice,
    ForwardListener,
    ForwardServer,
)
from guavamast.relay.forwarding.client import AVOID_S
from guavamast.relay.forwarding.protocol import (
    decode_order,
    decode_request,
    encode_request,
)
from guavamast.relay.forwarding.server import MAX_SEND_DELAY_S
from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peers import Peer
from guavamast.relay.rate_limits import RateLimitLedger, RateLimitSharing
from guavamast.relay.reachability import PeerReachability, ReachabilityMonitor, ReachabilityReport
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from guavamast.relay.stream_binding import StreamBinding
from tests.relay_fixtures import BOUNDS, build_catalog, build_endpoint, build_instance
from tests.test_relay_caller_admission import AdmissionSimulation

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.endpoint_connection import AcquiredConnection
    from guavamast.relay.endpoint_table import EndpointRecord

ROW_VERSION = 5
"""Row version of the configuration at all instances."""
GRACE_S = 8.0
"""Seconds from the stop signal until the platform kills a process."""
DEADLINE_S = 5.0
"""Seconds for anything here to happen on a busy machine."""


def build_peer(
    name: str,
    *,
    domain: str = "a",
    port: int = 0,
    state: InstanceState = InstanceState.SERVING,
) -> Peer:
    """Return another instance that has just sent a heartbeat."""
    record = build_instance(name, domain=domain, port=port)
    return Peer(record=record, received_at=100.0, changed_at=0.0, state=state)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Return once a condition holds."""
    async with asyncio.timeout(DEADLINE_S):
        while not condition():
            await asyncio.sleep(0.01)


class ForwardingTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests with two endpoints, an instance that forwards, and one that asks it."""

    async def asyncSetUp(self) -> None:
        self.engine = EngineStandIn(engine_id="x")
        other = EngineStandIn(engine_id="y")
        self.record = build_endpoint("x", port=await self.engine.listen())
        self.other = build_endpoint("y", port=await other.listen(), failure_domain="b")
        self.addAsyncCleanup(self.engine.stop)
        self.addAsyncCleanup(other.stop)
        self.simulation = AdmissionSimulation()
        """The tables and the clock of the instance that forwards."""
        self.simulation.change_endpoints(self.record, self.other)
        await self.simulation.admit()
        self.monitor = ReachabilityMonitor()
        self.loop_delay = LoopDelay()
        self.schedule = DepartureSchedule(grace_s=GRACE_S)
        """Departure of the instance that forwards."""
        self.counters = Counters()
        self.rate_limits = mock.create_autospec(RateLimitSharing, instance=True)
        self.rate_limits.ledger = RateLimitLedger()
        self.statements = mock.create_autospec(EndpointStatements, instance=True)
        self.client = self.build_client(await self.start_forwarder(self.schedule))

    async def start_forwarder(self, schedule: DepartureSchedule) -> int:
        """Start an instance that forwards; return its port."""
        log = DecisionLog(instance="two", descriptor=os.open(os.devnull, os.O_WRONLY))
        direct = DirectConnector(
            pool=ConnectionPool(),
            monitor=self.monitor,
            fleet_state=self.simulation.fleet_state,
            on_blocked=mock.Mock(),
            on_restored=mock.Mock(),
            random=Random(1),
            read_time=self.read_time,
        )
        server = ForwardServer(
            direct=direct,
            monitor=self.monitor,
            admission=self.simulation.admission,
            fleet_state=self.simulation.fleet_state,
            versions=self.simulation.versions,
            codec=PlatformHeaders(),
            loop_delay=self.loop_delay,
            schedule=schedule,
            statements=self.statements,
            rate_limits=self.rate_limits,
            log=log,
            counters=self.counters,
            read_time=self.read_time,
        )
        self.listener = ForwardListener(
            server=server,
            recorder=ListenerRecorder(log=log, counters=self.counters, read_time=self.read_time),
            read_time=self.read_time,
        )
        with socket.socket() as reserved:
            reserved.bind(("127.0.0.1", 0))
            port = int(reserved.getsockname()[1])
        self.listener.listen("127.0.0.1", port)
        self.addAsyncCleanup(self.listener.drain, deadline=0.0)
        return port

    def build_client(self, *ports: int, seed: int = 1) -> ForwardClient:
        """Return the client of an instance that knows others at some ports."""
        peers = [build_peer(f"peer{port}", port=port) for port in ports]
        fleet_state = mock.Mock()
        fleet_state.peers.list_live.return_value = peers
        self.read_catalog = mock.AsyncMock(return_value=True)
        record = build_instance("one")
        choice = ForwarderChoice(
            record=record, reachability=PeerReachability(), random=Random(seed)
        )
        return ForwardClient(
            record=record,
            choice=choice,
            fleet_state=fleet_state,
            links=ConnectionPool(),
            read_catalog=self.read_catalog,
            log=DecisionLog(instance="one", descriptor=os.open(os.devnull, os.O_WRONLY)),
            counters=self.counters,
            read_time=self.read_time,
        )

    def read_time(self) -> float:
        return self.simulation.now

    async def connect(self, *, row_version: int = ROW_VERSION) -> AcquiredConnection:
        return await self.client.connect(self.record, request_id="r1", row_version=row_version)

    async def send(self, acquired: AcquiredConnection, target: str = "/call/1") -> None:
        headers = [("Host", "portal.example"), ("X-Attempt-Id", "r1"), ("Content-Length", "4")]
        await acquired.connection.send("POST", target, headers, b"body")

    async def read_body(self, acquired: AcquiredConnection) -> bytes:
        body = b""
        while (chunk := await acquired.connection.read_chunk()) is not None:
            body += chunk
        return body

    def find_port(self) -> int:
        """Return the port of the instance that forwards."""
        ((sock, _),) = self.listener._http._listening
        return int(sock.getsockname()[1])


class ForwardingTest(ForwardingTestCase):
    """What holds for requests on the direct path holds on the path through another instance."""

    async def test_a_response_arrives_unchanged(self) -> None:
        acquired = await self.connect()
        await self.send(acquired)
        head = await acquired.connection.read_head()
        decoded = PlatformHeaders().decode_response(head.status, head.headers)
        self.assertEqual((head.status, decoded.request_id, decoded.signed), (200, "r1", True))
        self.assertEqual(await self.read_body(acquired), b"answer r1")
        (run,) = self.engine.runs
        self.assertEqual((run.target, run.body, run.request_id), ("/call/1", b"body", "r1"))
        self.assertFalse([name for name in run.headers if name.startswith("guavamast")])
        acquired.keep(decoded)
        again = await self.connect()
        await self.send(again)
        self.assertEqual((await again.connection.read_head()).status, 200)
        self.assertEqual(self.engine.connections, 1)

    async def test_a_status_without_run_arrives_as_such(self) -> None:
        self.engine.fault = EngineFault.FULL
        acquired = await self.connect()
        await self.send(acquired)
        head = await acquired.connection.read_head()
        decoded = PlatformHeaders().decode_response(head.status, head.headers)
        self.assertEqual((head.status, decoded.not_run), (503, True))

    async def test_events_arrive_as_they_are_made(self) -> None:
        """Guards against streams that are collected before they are passed on."""
        acquired = await self.connect()
        await self.send(acquired, "/stream/1")
        await acquired.connection.read_head()
        first = await acquired.connection.read_chunk()
        assert first is not None
        self.assertLess(first.count(b"id:"), self.engine.events)
        self.assertEqual((first + await self.read_body(acquired)).count(b"id:"), self.engine.events)

    async def test_nothing_runs_before_the_whole_request_was_sent(self) -> None:
        """Guards against a request that runs although its caller was told that it did not."""
        acquired = await self.connect()
        acquired.connection.close()
        await asyncio.sleep(0.1)
        self.assertEqual(self.engine.runs, [])

    async def test_a_forwarder_that_was_suspended_sends_nothing(self) -> None:
        """Guards against old requests that a process finds in its sockets when it resumes."""
        acquired = await self.connect()
        self.simulation.now += MAX_SEND_DELAY_S + 0.01
        await self.send(acquired)
        with self.assertRaises(NotForwarded):
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])

    async def test_an_endpoint_that_leaves_meanwhile_gets_nothing(self) -> None:
        """Guards against a send by the older of two instances' tables."""
        acquired = await self.connect()
        self.simulation.change_endpoints(self.other)
        await self.simulation.reader.endpoints.join()
        await self.send(acquired)
        with self.assertRaises(NotForwarded):
            await acquired.connection.read_head()
        self.simulation.now += AVOID_S
        with self.assertRaises(EndpointUnreachable) as caught:
            await self.connect()
        self.assertFalse(caught.exception.refused)
        self.assertEqual(self.engine.runs, [])

    async def test_the_newer_configuration_decides(self) -> None:
        """Guards against a request that is sent by a route that the forwarder knows has moved."""
        with self.assertRaises(NotForwarded):
            await self.connect(row_version=ROW_VERSION - 1)
        self.read_catalog.assert_awaited_once()
        self.simulation.now += AVOID_S
        acquired = await self.connect(row_version=ROW_VERSION + 1)
        self.assertEqual(acquired.forwarder, f"peer{self.find_port()}")

    async def test_old_tables_forward_nothing(self) -> None:
        self.simulation.now += BOUNDS.endpoints_s - 0.1
        acquired = await self.connect()
        self.simulation.now += 0.2
        await self.send(acquired)
        with self.assertRaises(NotForwarded):
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])

    async def connect_bound(self, software_version: str) -> AcquiredConnection:
        """Ask for a connection to the endpoint if it runs a software version."""
        binding = StreamBinding(service="portal", software_version=software_version)
        return await self.client.connect(
            self.record, request_id="r1", row_version=ROW_VERSION, binding=binding
        )

    async def test_an_endpoint_with_a_rate_limit_gets_only_what_is_permitted(self) -> None:
        """Guards against requests of instances that haven't heard of a limit yet."""
        self.rate_limits.ledger.record(self.record, 2.0, sent_at=1.0, now=2.0)
        with self.assertRaises(NotForwarded):
            await self.connect()
        self.rate_limits.tell_peer.assert_called_with(self.record.service, "one")
        acquired = await self.client.connect(
            self.record, request_id="r1", row_version=ROW_VERSION, permitted=True
        )
        await self.send(acquired)
        self.assertEqual((await acquired.connection.read_head()).status, 200)

    async def test_a_forwarder_reads_what_the_endpoint_states_once(self) -> None:
        """Guards against statements that only the instance with the caller learns of."""
        acquired = await self.connect()
        sent_at = self.simulation.now
        await self.send(acquired)
        await acquired.connection.read_head()
        self.statements.record.assert_called_once()
        self.assertEqual(self.statements.record.call_args.kwargs["sent_at"], sent_at)

    async def test_a_limit_that_is_told_meanwhile_holds_a_forwarded_request_back(self) -> None:
        """Guards against a limit that is checked only before the connection is opened."""
        acquired = await self.connect()
        self.rate_limits.ledger.record(self.record, 2.0, sent_at=1.0, now=2.0)
        with self.assertRaises(NotForwarded):
            await self.send(acquired)
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])

    async def test_a_bound_stream_goes_only_to_the_software_that_began_it(self) -> None:
        """Guards against a forwarder that sends although it knows of other software."""
        with self.assertRaises(PathLost):
            await self.connect_bound("v 2/é")
        (await self.connect_bound("v1")).connection.close()
        self.simulation.unavailable = True
        self.simulation.now += 0.1
        with self.assertRaises(PathLost):
            await self.connect_bound("v1")
        self.assertEqual(self.engine.runs, [])

    async def test_a_bound_stream_is_checked_again_as_it_is_sent(self) -> None:
        """Guards against an endpoint that is started again between permission and send."""
        acquired = await self.connect_bound("v1")
        restarted = build_endpoint(
            "x", port=self.record.port, started_ms=2, software_version="v2", row_version=9
        )
        self.simulation.change_endpoints(restarted, self.other)
        await self.simulation.reader.endpoints.join()
        await self.send(acquired)
        with self.assertRaises(NotForwarded):
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])

    async def test_a_request_passes_one_instance_at_most(self) -> None:
        """Guards against requests that circle among instances without a path."""
        self.monitor.record_blocked("portal", now=self.simulation.now)
        with self.assertRaises(PathLost):
            await self.connect()
        self.assertEqual(self.engine.connections, 0)

    async def test_an_ended_endpoint_is_told_from_a_lost_path(self) -> None:
        await self.engine.stop()
        with self.assertRaises(EndpointUnreachable) as caught:
            await self.connect()
        self.assertTrue(caught.exception.refused)

    async def test_an_ended_endpoint_is_no_failure_of_its_forwarder(self) -> None:
        """Guards against requests to other endpoints that find no way for a second."""
        await self.engine.stop()
        with self.assertRaises(EndpointUnreachable):
            await self.connect()
        acquired = await self.client.connect(self.other, request_id="r2", row_version=ROW_VERSION)
        acquired.connection.close()

    async def test_a_busy_instance_forwards_nothing(self) -> None:
        """Guards against callers of the few instances with a path that wait for those of others."""
        self.loop_delay.record(1.0, now=self.simulation.now)
        with self.assertRaises(PathLost):
            await self.connect()
        self.simulation.now += 5.0
        await self.simulation.admit()
        acquired = await self.connect()
        acquired.connection.close()

    async def test_an_instance_that_leaves_accepts_no_order(self) -> None:
        """Guards against streams of others that a leaving instance takes on, and cuts at its end.

        The signal has come, and the loop is late: the drain that ends the connections of the others
        hasn't begun. The instance that has the caller hears of the departure later still.
        """
        self.schedule.begin(now=self.simulation.now)
        with self.assertRaises(PathLost):
            await self.connect()
        self.assertEqual(self.engine.connections, 0)

    async def test_what_changes_while_it_connects_denies_the_permission(self) -> None:
        """Guards against permissions for requests that are rejected as they are sent.

        While the instance connects, it begins to leave, gets a newer configuration, or hears that
        the endpoint leaves. The other instance relies on the permission, and ends what else it had.
        """
        for change, error in (
            (self.leave, PathLost),
            (self.apply_newer_catalog, NotForwarded),
            (self.remove_endpoint, EndpointUnreachable),
        ):
            with self.subTest(change=change.__name__):
                await self.asyncSetUp()
                connect = DirectConnector.connect

                async def connect_slowly(
                    direct: DirectConnector,
                    record: EndpointRecord,
                    connect: Callable[..., Awaitable[AcquiredConnection]] = connect,
                    change: Callable[[], None] = change,
                ) -> AcquiredConnection:
                    acquired = await connect(direct, record)
                    change()
                    return acquired

                with (
                    mock.patch.object(DirectConnector, "connect", connect_slowly),
                    self.assertRaises(error),
                ):
                    await self.connect()
                self.assertEqual(self.engine.runs, [])

    def leave(self) -> None:
        self.schedule.begin(now=self.simulation.now)

    def apply_newer_catalog(self) -> None:
        catalog = build_catalog(row_version=ROW_VERSION + 1)
        snapshot = CatalogSnapshot(catalog=catalog, store_time=self.simulation.now)
        self.simulation.fleet_state.apply_catalog(snapshot)

    def remove_endpoint(self) -> None:
        snapshot = EndpointSnapshot(
            records=[self.other], digest="without it", store_time=self.simulation.now
        )
        self.simulation.fleet_state.apply_endpoints(snapshot)

    async def test_an_instance_that_leaves_meanwhile_sends_nothing(self) -> None:
        """Guards against the same cut if the signal comes between permission and request.

        The request counts as not run, so that its instance sends it by another way.
        """
        acquired = await self.connect()
        self.schedule.begin(now=self.simulation.now)
        await self.send(acquired)
        with self.assertRaises(NotForwarded):
            await acquired.connection.read_head()
        self.assertEqual(self.engine.runs, [])

    async def test_an_instance_that_is_gone_is_passed_over(self) -> None:
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            port = int(unused.getsockname()[1])
            for _ in range(4):
                self.client = self.build_client(port, self.find_port())
                (await self.connect()).connection.close()

    async def test_an_instance_that_is_silent_is_passed_over(self) -> None:
        """Guards against requests that wait for an instance whose connections went silent."""

        async def ignore(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(-1)
            writer.close()

        silent = await asyncio.start_server(ignore, "127.0.0.1", 0)
        self.addCleanup(silent.close)
        port = int(silent.sockets[0].getsockname()[1])
        for seed in range(4):
            self.client = self.build_client(port, self.find_port(), seed=seed)
            acquired = await self.connect()
            self.assertEqual(acquired.forwarder, f"peer{self.find_port()}")
            acquired.connection.close()

    async def test_a_response_that_breaks_off_is_not_complete(self) -> None:
        """Guards against a cut stream that looks like a whole one."""
        self.engine.fault = EngineFault.CUT
        acquired = await self.connect()
        await self.send(acquired, "/stream/1")
        await acquired.connection.read_head()
        with self.assertRaises(ConnectionLost):
            await self.read_body(acquired)

    async def send_to_killed_forwarder(self, response: bytes) -> AcquiredConnection:
        """Send a request to a forwarder that is killed after a part of its response."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 100 (Continue)\r\n\r\n")
            await reader.readuntil(b"0\r\n\r\n")
            writer.write(response)
            writer.close()

        killed = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(killed.close)
        self.client = self.build_client(int(killed.sockets[0].getsockname()[1]))
        acquired = await self.connect()
        await self.send(acquired)
        return acquired

    async def test_a_forwarder_that_is_killed_leaves_no_complete_response(self) -> None:
        """Guards against a response without length that ends with the forwarder's process."""
        head = b"HTTP/1.1 200 OK\r\nGuavamast-Status: 200\r\n"
        chunk = b"Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"
        acquired = await self.send_to_killed_forwarder(head + chunk)
        await acquired.connection.read_head()
        with self.assertRaises(ConnectionLost):
            await self.read_body(acquired)

    async def test_a_message_that_does_not_mark_its_end_is_malformed(self) -> None:
        """Guards against a forwarder's message that ends with its connection, whole or not."""
        head = b"HTTP/1.1 200 OK\r\nGuavamast-Status: 200\r\n"
        acquired = await self.send_to_killed_forwarder(head + b"\r\npart")
        with self.assertRaises(MalformedAnswer):
            await acquired.connection.read_head()

    async def test_a_caller_that_leaves_ends_the_work_at_the_endpoint(self) -> None:
        """Guards against engines that work for nobody behind another instance."""
        self.engine.fault = EngineFault.HANG
        acquired = await self.connect()
        await self.send(acquired)
        await wait_until(lambda: len(self.engine.runs) == 1)
        acquired.connection.close()
        await wait_until(lambda: self.engine.abandoned == 1)

    async def test_a_connection_with_another_response_is_not_used_again(self) -> None:
        """Guards against a response that reaches another request."""
        self.engine.fault = EngineFault.CROSSED
        acquired = await self.connect()
        await self.send(acquired)
        await acquired.connection.read_head()
        await self.read_body(acquired)
        self.engine.fault = EngineFault.NONE
        await self.connect()
        await wait_until(lambda: self.engine.connections == 2)


class ForwarderChoiceTest(unittest.TestCase):
    """Requests are spread over instances that reach the service, near ones first."""

    def setUp(self) -> None:
        self.reachability = PeerReachability()
        self.choice = ForwarderChoice(
            record=build_instance("one"), reachability=self.reachability, random=Random(1)
        )

    def report(self, name: str, *blocked: str) -> None:
        report = ReachabilityReport(
            instance=name, failure_domain="a", incarnation=1, sequence=1, blocked=blocked
        )
        self.reachability.apply(report, now=100.0)

    def rank(self, *peers: Peer, avoided: tuple[str, ...] = ()) -> list[str]:
        ranked = self.choice.rank("pool", list(peers), avoided=set(avoided), now=100.0)
        return [record.name for record in ranked]

    def test_the_own_failure_domain_goes_first(self) -> None:
        peers = [build_peer("far", domain="b"), build_peer("near")]
        self.assertEqual({tuple(self.rank(*peers)) for _ in range(20)}, {("near", "far")})

    def test_few_near_instances_are_not_preferred(self) -> None:
        """Guards against one instance that forwards for all others of its failure domain."""
        cut = [build_peer(f"cut{number}") for number in range(3)]
        for peer in cut:
            self.report(peer.record.name, "pool")
        peers = [*cut, build_peer("near"), build_peer("far", domain="b")]
        self.assertEqual({self.rank(*peers)[0] for _ in range(20)}, {"near", "far"})

    def test_instances_without_a_path_or_leaving_are_not_asked(self) -> None:
        self.report("cut", "pool")
        self.report("other", "portal")
        peers = [
            build_peer("cut"),
            build_peer("other"),
            build_peer("leaving", state=InstanceState.LEAVING),
            build_peer("failed"),
        ]
        self.assertEqual(self.rank(*peers, avoided=("failed",)), ["other"])

    def test_nobody_is_asked_when_all_have_lost_the_path(self) -> None:
        """Guards against a storm of orders among instances that all miss a service."""
        peers = [build_peer(f"cut{number}") for number in range(5)]
        for peer in peers:
            self.report(peer.record.name, "pool")
        self.assertEqual(self.rank(*peers), [])


class ForwardProtocolTest(unittest.TestCase):
    """Messages survive the encoding, and malformed ones are told apart."""

    def test_a_request_survives(self) -> None:
        headers = [("Host", "h"), ("X-Name", "v"), ("Content-Length", "3")]
        request = decode_request(encode_request("POST", "/p?q=1", headers, b"abc"))
        self.assertEqual((request.method, request.target, request.body), ("POST", "/p?q=1", b"abc"))
        self.assertEqual(request.headers, headers)

    def test_incomplete_requests_are_malformed(self) -> None:
        """Guards against a part of a request that is sent to an endpoint."""
        data = encode_request("POST", "/p", [("Host", "h"), ("Content-Length", "3")], b"abc")
        for length in (0, 10, len(data) - 1):
            with self.assertRaises(MalformedData):
                decode_request(data[:length])

    def test_orders_without_a_field_are_malformed(self) -> None:
        with self.assertRaises(MalformedData):
            decode_order({"Guavamast-Endpoint": "x"})


if __name__ == "__main__":
    unittest.main()
