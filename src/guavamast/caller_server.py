"""The HTTP server for callers, which knows each of its open connections."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING, Final

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler

from guavamast.caller_connection import CallerStream, RequestStage, discard_rest

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable, Iterable

    from tornado.http1connection import HTTP1ServerConnection

    from guavamast.caller_connection import ConnectionTrace

__all__ = ["CallerServer", "LastResponses", "encode_response"]

LINGER_S: Final = 0.5
"""Seconds for a caller to close its side of an ended connection."""
CHECK_INTERVAL_S: Final = 0.02
"""Seconds between two checks of the open connections during a drain."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LastResponses:
    """Responses of a server that ends, each a whole HTTP response that closes its connection."""

    not_run: bytes
    """For a connection whose next request hasn't been received completely."""
    unfinished: bytes
    """For a request whose response doesn't begin in time; it may have run."""


@dataclass(frozen=True, slots=True, kw_only=True)
class _DrainTimes:
    """Times on the server's clock until which a drain waits."""

    deadline: float
    """For a response to begin."""
    begun_until: float
    """For the rest of a response that has begun."""
    latest: float
    """For callers to close ended connections."""


def encode_response(status: int, headers: list[tuple[str, str]], body: bytes) -> bytes:
    """Return an HTTP response that closes its connection."""
    reason = httputil.responses[status]
    fields = [*headers, ("Content-Length", str(len(body))), ("Connection", "close")]
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode() + body


class _TracedRequest(httputil.HTTPMessageDelegate):
    """Records how far a request has come, and passes it on until its connection is ended.

    Without the check, a request that arrives in the same turn of the loop as the end of its
    connection runs, although its caller was told that it has not run.

    Args:
        request: Receives the request.
        trace: Trace of the request's connection.
        read_time: Reads the clock of the trace.
    """

    __slots__ = ("_read_time", "_request", "_trace")

    def __init__(
        self,
        *,
        request: httputil.HTTPMessageDelegate,
        trace: ConnectionTrace,
        read_time: Callable[[], float],
    ) -> None:
        self._request = request
        self._trace = trace
        self._read_time = read_time

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Record that the head was received, and pass it on."""
        if self._trace.ended_at is not None:
            return None
        self._trace.head_received = True
        return self._request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""
        if self._trace.ended_at is not None:
            return None
        return self._request.data_received(chunk)

    def finish(self) -> None:
        """Record that the request is complete, and pass this on."""
        if self._trace.ended_at is not None:
            self.on_connection_close()
            return
        self._trace.request_complete = True
        self._trace.completed_at = self._read_time()
        self._request.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection closed before the request was complete."""
        if self._trace.head_received:
            self._request.on_connection_close()


class CallerServer(HTTPServer):
    """An HTTP server with a trace of each open connection.

    Args:
        delegate: Receives the requests.
        read_time: Reads the clock of the traces.
        on_unanswered: Called with the trace of each connection that this server closed before it
            sent a byte of the response to the current or the first request.
        options: Further options of ``HTTPServer``.
    """

    def initialize(
        self,
        delegate: (
            httputil.HTTPServerConnectionDelegate | Callable[[httputil.HTTPServerRequest], None]
        ),
        *,
        read_time: Callable[[], float],
        on_unanswered: Callable[[ConnectionTrace], None],
        **options: float | None,
    ) -> None:
        """Set the delegate and the options; ``HTTPServer`` calls this in place of a constructor."""
        super().initialize(delegate, **options)
        self._read_time = read_time
        self._report_unanswered = on_unanswered
        self._streams: set[CallerStream] = set()
        self._discarding: set[asyncio.Task[None]] = set()
        self._listening: list[tuple[socket.socket, Callable[[], None]]] = []
        self._last_responses: LastResponses | None = None
        """What ends the connections; None until the drain."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Begin to accept connections on listening sockets; ``HTTPServer`` calls this, too."""
        for sock in sockets:
            self._listening.append((sock, add_accept_handler(sock, self._accept)))

    def list_traces(self) -> list[ConnectionTrace]:
        """Return the traces of the open connections."""
        return [stream.trace for stream in self._streams]

    def disable_keep_alive(self) -> None:
        """Close each connection after the response to its current or next request."""
        self.conn_params.no_keep_alive = True

    async def drain(
        self, *, deadline: float, responses: LastResponses, closes_at: float | None = None
    ) -> list[ConnectionTrace]:
        """Close all connections, each after a response to whatever its caller has sent.

        Requests that were received completely are served. Each other connection gets a response at
        once that says that nothing has run, also if its caller has sent nothing yet: whenever such
        a caller sends its request, it finds that response. The process may exit after this, as no
        connection and no byte of a response is left in it.

        No request is taken from here on. Connections that serve none are ended in this turn of the
        loop, and each other one as soon as its response is complete, in ``start_request``: if
        that were left to a later check, a caller's next request could be complete by then, and be
        cut at the deadline.

        Args:
            deadline: Time on the server's clock until which responses are awaited. This returns at
                most twice ``LINGER_S`` later.
            responses: The last responses.
            closes_at: Time by which the last connection is closed, also one whose caller keeps it
                open; None if nothing ends the process by then. A response that has begun is awaited
                until then, as the rest of it may only wait for its caller. Without that time, it is
                awaited until the deadline.

        Returns:
            The traces of the requests without a complete response at the deadline.
        """
        self._last_responses = responses
        times = _compute_times(deadline=deadline, closes_at=closes_at)
        self.disable_keep_alive()
        self.stop_accepting(retry=True)
        for stream in tuple(self._streams):
            self._end_unserved(stream, responses.not_run)
        unfinished: list[ConnectionTrace] = []
        while self._streams or self._listening:
            now = self._read_time()
            self.stop_accepting(retry=now < deadline)
            for stream in tuple(self._streams):
                if _is_overdue(stream, times, now=now):
                    unfinished.append(stream.trace)
                self._close_overdue(stream, responses.unfinished, times, now=now)
            await asyncio.sleep(CHECK_INTERVAL_S)
        if self._discarding:
            left_s = max(0.0, times.latest - self._read_time())
            await asyncio.wait(self._discarding, timeout=min(LINGER_S, left_s))
        return unfinished

    def stop_accepting(self, *, retry: bool = False) -> None:
        """Accept the connections in the queue of each listening socket, then close the sockets.

        Without this, the system resets the connections that arrived while the loop was busy.

        Args:
            retry: Whether a socket stays open if no descriptor is free for the rest of its queue.
                A later call accepts that.
        """
        unfinished = []
        for sock, remove_handler in self._listening:
            remove_handler()
            if not self._accept_pending(sock) and retry:
                unfinished.append((sock, remove_handler))
            else:
                sock.close()
        self._listening = unfinished

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        stream = _get_stream(server_conn)
        if stream.closed():
            # The HTTP server still reads what had been received. Nobody could get a response.
            return httputil.HTTPMessageDelegate()
        if stream.trace.ended_at is None:
            close_announced = stream.trace.close_announced
            stream.trace.begin_request()
            if self._last_responses is not None:
                stream.end(self._last_responses.not_run)
            elif close_announced:
                stream.end(b"")
        request = super().start_request(server_conn, request_conn)
        return _TracedRequest(request=request, trace=stream.trace, read_time=self._read_time)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has closed."""
        super().on_close(server_conn)
        stream = _get_stream(server_conn)
        self._streams.discard(stream)
        trace = stream.trace
        between_requests = trace.stage is RequestStage.IDLE and trace.responses > 0
        response_sent = trace.response_begun and trace.sent_bytes > 0
        if trace.closed_by_caller or response_sent or between_requests:
            return
        self._report_unanswered(trace)

    def _end_unserved(self, stream: CallerStream, response: bytes) -> None:
        """End a connection whose request, if any, hasn't been received completely."""
        trace = stream.trace
        if stream.closed() or trace.ended_at is not None or trace.response_begun:
            return
        if trace.stage is not RequestStage.SERVING:
            stream.end(response)

    def _close_overdue(
        self, stream: CallerStream, unfinished: bytes, times: _DrainTimes, *, now: float
    ) -> None:
        """Close a connection whose time is up."""
        trace = stream.trace
        if stream.closed():
            return  # Its task forgets it in the next turns of the loop.
        if trace.ended_at is not None:
            lingers = now < min(trace.ended_at + LINGER_S, times.latest)
            if not lingers and not (stream.is_delivering and now < times.begun_until):
                stream.close()
        elif trace.response_begun:
            # A response that has begun is awaited. After that the missing end tells its caller
            # that it is incomplete.
            if now >= times.begun_until:
                stream.close()
        elif now >= times.deadline:
            stream.end(unfinished)

    def _accept_pending(self, sock: socket.socket) -> bool:
        """Accept the connections in a queue; return whether it is empty."""
        while True:
            try:
                connection, address = sock.accept()
            except BlockingIOError:
                return True
            except ConnectionAbortedError:
                continue  # The caller has disconnected: nobody waits for a response.
            except OSError:
                return False  # The system has no descriptor or memory for it at present.
            connection.setblocking(False)
            self._accept(connection, address)

    def _accept(self, connection: socket.socket, address: tuple[str, int]) -> None:
        stream = CallerStream(
            connection,
            address=f"{address[0]}:{address[1]}",
            read_time=self._read_time,
            on_early_close=self._discard_rest,
            max_buffer_size=self.max_buffer_size,
        )
        self._streams.add(stream)
        self.handle_stream(stream, address)

    def _discard_rest(self, connection: socket.socket) -> None:
        task = asyncio.ensure_future(discard_rest(connection))
        self._discarding.add(task)
        task.add_done_callback(self._discarding.discard)


def _compute_times(*, deadline: float, closes_at: float | None) -> _DrainTimes:
    if closes_at is None:
        return _DrainTimes(deadline=deadline, begun_until=deadline, latest=inf)
    latest = max(deadline, closes_at)
    return _DrainTimes(deadline=deadline, begun_until=latest, latest=latest)


def _is_overdue(stream: CallerStream, times: _DrainTimes, *, now: float) -> bool:
    """Return whether a request is given up that was received completely."""
    trace = stream.trace
    if stream.closed() or trace.ended_at is not None or trace.stage is not RequestStage.SERVING:
        return False
    return now >= (times.begun_until if trace.response_begun else times.deadline)


def _get_stream(server_conn: object) -> CallerStream:
    connection: HTTP1ServerConnection = server_conn  # type: ignore[assignment]
    stream = connection.stream
    assert isinstance(stream, CallerStream)
    return stream
