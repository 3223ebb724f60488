"""Tests of responses that arrive where the response to another request is awaited."""

from __future__ import annotations

import asyncio
import unittest
from typing import Final
from unittest import mock

from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.standins.engine import EngineFault, EngineStandIn
from guavamast.relay.attempt import Attempt
from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.buffering import MemoryAccount
from guavamast.relay.catalog import RouteKind
from guavamast.relay.messages import SendParameters
from guavamast.relay.quarantine import CrashGuard
from guavamast.relay.reachability import ReachabilityMonitor
from tests._relay_case import RelayTestCase
from tests.relay_fixtures import build_endpoint, build_request, build_route
from tests.test_relay_forwarding import ROW_VERSION, ForwardingTestCase

HEADERS: Final = (("Host", "portal.example"), ("X-Attempt-Id", "r1"))
REJECTION_STATUSES: Final = (400, 408, 421, 429, 503)
OTHER_IDS: Final = ("other", "", None)
"""Ids in responses that don't name the request; None for a response without one."""
LONG_BODY: Final = b"x" * 8_000_000
"""More than the sockets between two processes hold."""


def encode_rejection(status: int, request_id: str | None) -> bytes:
    """Return the bytes of a rejection of a request."""
    name = "" if request_id is None else f"X-Attempt-Id: {request_id}\r\n"
    head = f"HTTP/1.1 {status} Rejected\r\n{name}X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    return head.encode()


class StrayRejectionTest(RelayTestCase):
    """An engine rejects another request while it runs this one, which must not run twice."""

    request_changes = {"method": "POST", "request_id": "r1"}

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.other = EngineStandIn(engine_id="y")
        port = await self.other.listen()
        self.addAsyncCleanup(self.other.stop)
        self.simulation.change_endpoints(self.record, build_endpoint("y", port=port))
        self.replace_route(RouteKind.NON_IDEMPOTENT)

    def replace_route(self, kind: RouteKind) -> None:
        self.simulation.replace_routes(build_route(kind=kind, timeout_s=30.0))

    def send_stray(self, data: bytes) -> None:
        """Have all engines send bytes before the response to each request."""
        self.engine.stray_response = self.other.stray_response = data

    def count_runs(self) -> int:
        return len(self.engine.runs) + len(self.other.runs)

    async def test_a_call_that_runs_is_not_reported_as_not_run(self) -> None:
        """Guards against payments that are made twice, as their callers send them again.

        While an engine runs a call, a late rejection of another request arrives on its connection.
        A caller that got 503 would send the call again; 502 promises nothing.
        """
        for status in REJECTION_STATUSES:
            for request_id in OTHER_IDS:
                with self.subTest(status=status, request_id=request_id):
                    await self.asyncSetUp()
                    self.send_stray(encode_rejection(status, request_id))
                    writer = await self.relay()
                    self.assertEqual(writer.send.call_args.args[0], 502)
                    self.assertEqual(self.count_runs(), 1)

    async def test_a_stray_misdirection_removes_no_endpoint(self) -> None:
        """Guards against sound endpoints that are taken for gone."""
        self.send_stray(encode_rejection(421, "other"))
        with mock.patch.object(CrashGuard, "record_gone") as record_gone:
            await self.relay()
        record_gone.assert_not_called()

    async def test_an_idempotent_request_goes_on_elsewhere(self) -> None:
        self.replace_route(RouteKind.IDEMPOTENT)
        self.engine.stray_response = encode_rejection(503, "other")
        for _ in range(6):
            writer = await self.relay()
            self.assertEqual(writer.send.call_args.args[0], 200)
            if self.engine.runs:
                break
        self.assertEqual(len(self.engine.runs), 1)

    async def test_a_rejection_of_the_call_itself_is_believed(self) -> None:
        """Guards against calls that fail, although their engines were merely full."""
        self.engine.fault = EngineFault.FULL
        for _ in range(6):
            writer = await self.relay()
            self.assertEqual(writer.send.call_args.args[0], 200)
        self.assertGreater(len(self.engine.arrivals), 0)
        self.other.fault = EngineFault.FULL
        writer = await self.relay()
        self.assertEqual(writer.send.call_args.args[0], 503)
        self.assertEqual(self.count_runs(), 6)

    async def test_a_rejection_before_the_whole_body_counts_for_its_own_request_only(self) -> None:
        """Guards against a call that is taken for not run by a rejection of another one.

        The engine answers after the head, reads nothing of a long body and closes.
        """
        for request_id, kind in (("r1", FailureKind.REFUSED), ("other", FailureKind.INVALID)):
            with self.subTest(request_id=request_id):
                rejection = encode_rejection(503, request_id)
                await self.replace_engine(rejection)
                self.request_changes = {"method": "POST", "body": LONG_BODY, "has_body": True}
                with self.assertRaises(AttemptFailed) as caught:
                    await self.run_attempt()
                self.assertEqual(caught.exception.kind, kind)

    async def replace_engine(self, rejection: bytes) -> None:
        """Replace the engine by one that sends bytes after each head, and then closes."""

        async def reject(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(rejection)
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        server = await asyncio.start_server(reject, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.record = build_endpoint("x", port=server.sockets[0].getsockname()[1])
        self.simulation.change_endpoints(self.record)


class ForwardedRejectionTest(ForwardingTestCase):
    """The same through another instance."""

    async def fail_attempt(self) -> AttemptFailed:
        """Send a request through the other instance; return the failure."""
        attempt = Attempt(
            request=build_request(method="POST", headers=HEADERS),
            record=self.record,
            codec=PlatformHeaders(),
            connector=self.client,  # type: ignore[arg-type]
            reachability=ReachabilityMonitor(),
            memory=MemoryAccount(),
            on_head=mock.Mock(),
            read_time=self.read_time,
        )
        await attempt.connect(row_version=ROW_VERSION, binding=None, permitted=False)
        parameters = SendParameters(
            endpoint_id="x", organisation=None, remaining_s=5.0, urgency=None, resume_after=None
        )
        with self.assertRaises(AttemptFailed) as caught:
            await attempt.send(parameters)
        attempt.abandon()
        return caught.exception

    async def test_a_rejection_of_another_request_is_not_believed(self) -> None:
        """Guards against calls that run twice, as another instance passes on a stray rejection."""
        for status in REJECTION_STATUSES:
            for request_id in OTHER_IDS:
                with self.subTest(status=status, request_id=request_id):
                    self.engine.stray_response = encode_rejection(status, request_id)
                    self.assertFalse((await self.fail_attempt()).not_run)

    async def test_a_rejection_of_the_request_itself_is_believed(self) -> None:
        self.engine.fault = EngineFault.FULL
        self.assertEqual((await self.fail_attempt()).kind, FailureKind.REFUSED)


if __name__ == "__main__":
    unittest.main()
