"""HTTP listener for callers' requests."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING, Final

from tornado import httputil

from guavamast.caller_connection import CallerStream
from guavamast.caller_server import CallerServer, LastResponses, encode_response
from guavamast.relay.buffering import RequestBody
from guavamast.relay.departure_gate import RETRY_AFTER_LEAVING_S
from guavamast.relay.tornado_writer import TornadoWriter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection

    from guavamast.caller_connection import ConnectionTrace
    from guavamast.relay.buffering import MemoryAccount
    from guavamast.relay.catalog import CallerLimits
    from guavamast.relay.listener_recorder import ListenerRecorder
    from guavamast.relay.messages import CallerRequest, Header, HeaderCodec, ResponseWriter
    from guavamast.relay.relayer import Relayer

HARD_HEADER_BYTES: Final = 262_144
"""Bytes of headers beyond which the connection is closed; the configured limit is lower and gets an
error response."""
HARD_BODY_BYTES: Final = 67_108_864
"""Bytes of a body beyond which the connection is closed."""
DEFAULT_IDLE_S: Final = 60.0
"""Seconds that a connection may be idle until a configured limit applies."""
RETRY_AFTER_FULL_S: Final = 0.5
"""Seconds until a caller retries a large request that found the memory full."""
_TARGET: Final = re.compile(r"[!-~]+")
"""What a request may ask for: visible ASCII characters; others can't be sent on."""


class _CallerRequestHandler(httputil.HTTPMessageDelegate):
    """Buffers one request of a caller and starts its relay."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self._listener = listener
        self._connection = connection
        self._start: httputil.RequestStartLine | None = None
        self._headers: httputil.HTTPHeaders | None = None
        self._body = listener.open_body()
        self._rejected = False
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Check the headers against the limits."""
        assert isinstance(start_line, httputil.RequestStartLine)
        self._start = start_line
        self._headers = headers
        limits = self._listener.limits
        if limits is None:
            return None
        size = len(start_line.path) + sum(len(k) + len(v) + 4 for k, v in headers.get_all())
        if size > limits.header_bytes:
            self._reject(431)
            return None
        stated = _parse_length(headers.get("Content-Length", "0"))
        if _TARGET.fullmatch(start_line.path) is None:
            self._reject(400, reason="the target has characters that need escaping")
        elif stated > limits.body_bytes:
            self._reject(413)
        elif not self._body.reserve(stated):
            self._reject_for_memory()
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer the body, up to the limit."""
        limits = self._listener.limits
        if self._rejected:
            return None
        size = self._body.size + len(chunk)
        if limits is not None and size > limits.body_bytes:
            self._reject(413)
        elif not self._body.reserve(size):
            self._reject_for_memory()
        else:
            self._body.append(chunk)
        return None

    def finish(self) -> None:
        """Start the relay of the request."""
        if self._rejected:
            return
        assert self._start is not None and self._headers is not None
        request = self._listener.read_request(
            self._start, list(self._headers.get_all()), self._body.take()
        )
        _record_id(self._connection, request.request_id)
        writer = TornadoWriter(connection=self._connection, http_version=self._start.version)
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._listener.relay(request, writer))
        self._task.add_done_callback(lambda _: self._body.release())

    def on_connection_close(self) -> None:
        """Cancel the relay for a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()
        else:
            self._body.release()

    def _reject_for_memory(self) -> None:
        """Reject a request that hasn't run, as its body doesn't fit into the memory now."""
        assert self._start is not None and self._headers is not None
        headers = self._listener.encode_full(self._start, list(self._headers.get_all()))
        self._reject(503, headers=headers, reason="memory is full")

    def _reject(
        self, status: int, *, headers: list[Header] | None = None, reason: str = "over a limit"
    ) -> None:
        """Reject a request that is too large; its unread rest ends the connection."""
        self._rejected = True
        self._body.release()
        self._listener.recorder.record_rejection(status, reason=reason)
        assert self._start is not None
        writer = TornadoWriter(
            connection=self._connection, http_version=self._start.version, closes=True
        )
        self._task = asyncio.create_task(writer.send(status, headers or [], b""))


class CallerListener(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' requests.

    Args:
        relayer: Relays them.
        codec: Encodes and decodes headers.
        recorder: Records rejections, unexpected errors and connections without a response.
        memory: Memory that this instance holds for others.
        rejects_large: Whether large bodies are rejected while the memory is full.
        read_time: Reads the local clock.
    """

    def __init__(
        self,
        *,
        relayer: Relayer,
        codec: HeaderCodec,
        recorder: ListenerRecorder,
        memory: MemoryAccount,
        rejects_large: bool,
        read_time: Callable[[], float],
    ) -> None:
        self._relayer = relayer
        self._codec = codec
        self._read_time = read_time
        self._memory = memory
        self._rejects_large = rejects_large
        self.recorder = recorder
        self.limits: CallerLimits | None = None
        """Limits on requests; None before the first configuration."""
        self._server = CallerServer(
            self,
            read_time=read_time,
            on_unanswered=recorder.record_unanswered,
            idle_connection_timeout=DEFAULT_IDLE_S,
            max_header_size=HARD_HEADER_BYTES,
            max_body_size=HARD_BODY_BYTES,
            max_buffer_size=HARD_BODY_BYTES,
        )

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        self._server.listen(port, ip)

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the configured limits, also to open connections."""
        self.limits = limits
        self._server.conn_params.header_timeout = limits.close_idle_after_s

    def disable_keep_alive(self) -> None:
        """Close each connection after the response to its next request."""
        self._server.disable_keep_alive()

    async def drain(
        self, *, deadline: float, closes_at: float | None = None
    ) -> list[ConnectionTrace]:
        """Accept no more connections, and close the open ones with a response to each request.

        Args:
            deadline: Local time until which the requests being relayed may take.
            closes_at: Local time by which the last connection is closed; None without a bound.

        Returns:
            The connections whose requests had no complete response by then.
        """
        not_run = self._codec.encode_rejection("", RETRY_AFTER_LEAVING_S)
        unfinished = self._codec.encode_rejection("", None)
        responses = LastResponses(
            not_run=encode_response(503, not_run, b""),
            unfinished=encode_response(504, unfinished, b""),
        )
        return await self._server.drain(deadline=deadline, responses=responses, closes_at=closes_at)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the handler of a new request."""
        del server_conn
        return _CallerRequestHandler(self, request_conn)  # type: ignore[arg-type]

    def open_body(self) -> RequestBody:
        """Return the body of a new request."""
        return RequestBody(account=self._memory, rejects=self._rejects_large)

    def encode_full(self, start: httputil.RequestStartLine, headers: list[Header]) -> list[Header]:
        """Return the headers of the rejection of a request for whose body there is no room."""
        request_id = self.read_request(start, headers, b"").request_id
        return self._codec.encode_rejection(request_id, RETRY_AFTER_FULL_S)

    def read_request(
        self, start: httputil.RequestStartLine, headers: list[Header], body: bytes
    ) -> CallerRequest:
        """Decode a request."""
        return self._codec.decode_request(
            method=start.method,
            target=start.path,
            headers=headers,
            body=body,
            arrived=self._read_time(),
        )

    async def relay(self, request: CallerRequest, writer: ResponseWriter) -> None:
        """Relay a request; an unexpected error closes the caller's connection."""
        try:
            await self._relayer.relay(request, writer)
        except Exception as error:  # noqa: BLE001
            self.recorder.record_fault(request.request_id, error)
            writer.abort()


def _record_id(connection: HTTP1Connection, request_id: str) -> None:
    """Record the id of a connection's current request in its trace."""
    stream = connection.stream
    assert isinstance(stream, CallerStream)
    stream.trace.request_id = request_id


def _parse_length(value: str) -> int:
    """Return the stated length of a body; 0 for one that the HTTP server rejects next."""
    return int(value) if value.isascii() and value.isdecimal() else 0
