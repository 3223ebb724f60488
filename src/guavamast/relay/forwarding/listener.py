"""HTTP listener for requests that other instances can't send to endpoints themselves."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from tornado import httputil

from guavamast.caller_server import CallerServer, LastResponses, encode_response
from guavamast.decoding import MalformedData
from guavamast.relay.forwarding.protocol import (
    REASON_HEADER,
    REJECTED_STATUS,
    OrderRejected,
    RejectionReason,
    decode_order,
    decode_request,
)
from guavamast.relay.tornado_writer import TornadoWriter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection

    from guavamast.caller_connection import ConnectionTrace
    from guavamast.relay.forwarding.server import ForwardServer, PermittedOrder
    from guavamast.relay.listener_recorder import ListenerRecorder

IDLE_TIMEOUT_S: Final = 30.0
"""Seconds that a connection of another instance may be idle: longer than that one keeps it."""
MAX_MESSAGE_BYTES: Final = 67_108_864
"""Bytes of a request beyond which the connection is closed."""


class _OrderHandler(httputil.HTTPMessageDelegate):
    """Receives one order, and its request once that is permitted."""

    def __init__(self, listener: ForwardListener, connection: HTTP1Connection) -> None:
        self._server = listener.server
        self._recorder = listener.recorder
        self._connection = connection
        self._body = bytearray()
        self._permitted: PermittedOrder | None = None
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Decide on the order; ``tornado`` asks for the body only afterwards."""
        del start_line
        return self._decide(headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer the request."""
        self._body += chunk
        return None

    def finish(self) -> None:
        """Forward the request, now that all of it has been received."""
        if self._permitted is None:
            return
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._forward(self._permitted))

    def on_connection_close(self) -> None:
        """End the request of an instance that has closed its connection."""
        if self._task is not None:
            self._task.cancel()
        elif self._permitted is not None:
            self._server.discard(self._permitted)

    async def _decide(self, headers: httputil.HTTPHeaders) -> None:
        try:
            self._permitted = await self._server.accept(decode_order(headers))
        except OrderRejected as rejection:
            await self._reject(rejection.reason)
        except MalformedData:
            self._recorder.record_rejection(400)
            await TornadoWriter(connection=self._connection).send(400, [], b"")

    async def _reject(self, reason: RejectionReason) -> None:
        writer = TornadoWriter(connection=self._connection)
        await writer.send(REJECTED_STATUS, [(REASON_HEADER, str(reason))], b"")

    async def _forward(self, permitted: PermittedOrder) -> None:
        writer = TornadoWriter(connection=self._connection)
        try:
            request = decode_request(bytes(self._body))
        except MalformedData:
            self._server.discard(permitted)
            self._recorder.record_rejection(400)
            writer.abort()
            return
        try:
            await self._server.forward(permitted, request, writer)
        except Exception as error:  # noqa: BLE001
            self._recorder.record_fault(permitted.order.request_id, error)
            writer.abort()


class ForwardListener(httputil.HTTPServerConnectionDelegate):
    """Accepts the orders of other instances.

    Args:
        server: Decides on orders and forwards requests.
        recorder: Records malformed orders and connections without a response.
        read_time: Reads the local clock.
    """

    def __init__(
        self,
        *,
        server: ForwardServer,
        recorder: ListenerRecorder,
        read_time: Callable[[], float],
    ) -> None:
        self.server = server
        self.recorder = recorder
        self._http = CallerServer(
            self,
            read_time=read_time,
            on_unanswered=recorder.record_unanswered,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            max_body_size=MAX_MESSAGE_BYTES,
            max_buffer_size=MAX_MESSAGE_BYTES,
        )

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        self._http.listen(port, ip)

    async def drain(
        self, *, deadline: float, closes_at: float | None = None
    ) -> list[ConnectionTrace]:
        """Accept no more orders, and finish the requests that are being forwarded.

        Args:
            deadline: Local time until which they may take.
            closes_at: Local time by which the last connection is closed; None without a bound.

        Returns:
            The connections whose requests had no complete response by then.
        """
        busy = encode_response(REJECTED_STATUS, [(REASON_HEADER, str(RejectionReason.BUSY))], b"")
        lost = encode_response(502, [], b"")
        responses = LastResponses(not_run=busy, unfinished=lost)
        return await self._http.drain(deadline=deadline, responses=responses, closes_at=closes_at)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the handler of a new order."""
        del server_conn
        return _OrderHandler(self, request_conn)  # type: ignore[arg-type]
