"""HTTP listeners: one for callers, and small ones for single queries such as readiness."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError

from guavamast.relay.messages import ResponseWriter

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1Connection

    from guavamast.relay.catalog import CallerLimits
    from guavamast.relay.messages import CallerRequest, Header, HeaderCodec
    from guavamast.relay.node_settings import SocketAddress
    from guavamast.relay.relayer import Relayer

HARD_HEADER_BYTES: Final = 262_144
"""Bytes of headers beyond which the connection is closed; the configured limit is lower and gets an
error response."""
HARD_BODY_BYTES: Final = 67_108_864
"""Bytes of a body beyond which the connection is closed."""
DEFAULT_IDLE_S: Final = 60.0
"""Seconds that a connection may be idle until a configured limit applies."""


class _TornadoWriter(ResponseWriter):
    """Writes a response to a ``tornado`` connection."""

    __slots__ = ("_started", "_connection")

    def __init__(self, connection: HTTP1Connection) -> None:
        self._connection = connection
        self._started = False

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    async def send(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response with its length."""
        self._write_head(status, [*headers, ("Content-Length", str(len(body)))], body)
        await self.end()

    def start(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of a response whose length is not known yet.

        Nagle's algorithm is disabled, so that each later part is sent at once.
        """
        self._connection.stream.set_nodelay(True)
        self._write_head(status, headers, b"")

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        try:
            await self._connection.write(chunk)
        except StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def end(self) -> None:
        """Mark the response as complete."""
        self._connection.finish()

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self._connection.close()

    def _write_head(self, status: int, headers: list[Header], body: bytes) -> None:
        self._started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        reason = httputil.responses.get(status, "Unknown")
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._connection.write_headers(start, fields, body or None)


class _CallerRequestHandler(httputil.HTTPMessageDelegate):
    """Buffers one request of a caller and starts its relay."""

    def __init__(self, listener: CallerListener, connection: HTTP1Connection) -> None:
        self._listener = listener
        self._connection = connection
        self._start: httputil.RequestStartLine | None = None
        self._headers: httputil.HTTPHeaders | None = None
        self._body = bytearray()
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
        elif int(headers.get("Content-Length", "0")) > limits.body_bytes:
            self._reject(413)
        return None

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Buffer the body, up to the limit."""
        limits = self._listener.limits
        if self._rejected:
            return None
        if limits is not None and len(self._body) + len(chunk) > limits.body_bytes:
            self._reject(413)
            return None
        self._body += chunk
        return None

    def finish(self) -> None:
        """Start the relay of the request."""
        if self._rejected:
            return
        assert self._start is not None and self._headers is not None
        request = self._listener.read_request(
            self._start, list(self._headers.get_all()), bytes(self._body)
        )
        writer = _TornadoWriter(self._connection)
        self._connection.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._listener.relay(request, writer))

    def on_connection_close(self) -> None:
        """Cancel the relay for a caller that has disconnected."""
        if self._task is not None:
            self._task.cancel()

    def _reject(self, status: int) -> None:
        """Reject a request that is too large; its unread rest ends the connection."""
        self._rejected = True
        self._listener.on_rejection(status)
        writer = _TornadoWriter(self._connection)
        self._task = asyncio.create_task(writer.send(status, [], b""))


class CallerListener(httputil.HTTPServerConnectionDelegate):
    """Accepts callers' requests.

    Args:
        relayer: Relays them.
        codec: Encodes and decodes headers.
        read_time: Reads the local clock.
        on_rejection: Called with the status of each request that exceeds a limit.
        on_error: Called with an unexpected error raised while a request was relayed.
    """

    def __init__(
        self,
        *,
        relayer: Relayer,
        codec: HeaderCodec,
        read_time: Callable[[], float],
        on_rejection: Callable[[int], None],
        on_error: Callable[[CallerRequest, Exception], None],
    ) -> None:
        self._relayer = relayer
        self._codec = codec
        self._read_time = read_time
        self.on_rejection = on_rejection
        self._note_fault = on_error
        self.limits: CallerLimits | None = None
        """Limits on requests; None before the first configuration."""
        self._server = HTTPServer(
            self,
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
        self._server.conn_params.no_keep_alive = True

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.stop()

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the handler of a new request."""
        del server_conn
        return _CallerRequestHandler(self, request_conn)  # type: ignore[arg-type]

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
            self._note_fault(request, error)
            writer.abort()


class QueryHandler(ABC):
    """Handles one kind of query on a small listener."""

    @abstractmethod
    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return status, content type and body; None if the path is not handled."""


class QueryListener:
    """A small HTTP listener for queries that are answered from memory.

    Args:
        handlers: Handlers, tried in order.
    """

    def __init__(self, *, handlers: list[QueryHandler]) -> None:
        self._questions = handlers
        self._server = HTTPServer(self._handle)

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        self._server.listen(port, ip)

    def stop(self) -> None:
        """Accept no more connections."""
        self._server.stop()

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        status, content_type, text = 404, "text/plain", "not found\n"
        for question in self._questions:
            response = question.handle(request.path or "", request.query)
            if response is not None:
                status, content_type, text = response
                break
        body = text.encode()
        headers = httputil.HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        reason = httputil.responses.get(status, "Unknown")
        assert request.connection is not None
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason), headers, body
        )
        request.connection.finish()


def open_query_listener(address: SocketAddress, query: QueryHandler) -> QueryListener:
    """Return a listener that answers one kind of query at an address."""
    listener = QueryListener(handlers=[query])
    listener.listen(address.ip, address.port)
    return listener
