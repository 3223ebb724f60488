"""The HTTP server for callers, which knows each of its open connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado import httputil
from tornado.httpserver import HTTPServer
from tornado.netutil import add_accept_handler

from guavamast.caller_connection import CallerStream, RequestStage

if TYPE_CHECKING:
    import socket
    from collections.abc import Awaitable, Callable

    from tornado.http1connection import HTTP1ServerConnection

    from guavamast.caller_connection import ConnectionTrace

__all__ = ["CallerServer"]


class _TracedRequest(httputil.HTTPMessageDelegate):
    """Records how far a request has come, and passes it on.

    Args:
        request: Receives the request.
        stream: The request's connection.
    """

    __slots__ = ("_request", "_stream")

    def __init__(self, *, request: httputil.HTTPMessageDelegate, stream: CallerStream) -> None:
        self._request = request
        self._stream = stream

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> Awaitable[None] | None:
        """Record that the head was received."""
        self._stream.trace.head_received = True
        return self._request.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a part of the body."""
        return self._request.data_received(chunk)

    def finish(self) -> None:
        """Record that the request is complete."""
        self._stream.trace.request_complete = True
        self._request.finish()

    def on_connection_close(self) -> None:
        """Pass on that the connection closed before the request was complete."""
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
        self._listening: list[tuple[socket.socket, Callable[[], None]]] = []

    def add_socket(self, sock: socket.socket) -> None:
        """Begin to accept connections on a listening socket."""
        self._listening.append((sock, add_accept_handler(sock, self._accept)))

    def list_traces(self) -> list[ConnectionTrace]:
        """Return the traces of the open connections."""
        return [stream.trace for stream in self._streams]

    def stop_accepting(self) -> bool:
        """Accept the connections in the queue of each listening socket, then close the sockets.

        Without this, the system resets the connections that arrived while the loop was busy.

        Returns:
            Whether a connection was accepted.
        """
        before = len(self._streams)
        for sock, remove_handler in self._listening:
            remove_handler()
            self._accept_pending(sock)
            sock.close()
        self._listening.clear()
        return len(self._streams) > before

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the delegate of a connection's next request."""
        stream = _get_stream(server_conn)
        if not stream.closed():
            stream.trace.begin_request()
        request = super().start_request(server_conn, request_conn)
        return _TracedRequest(request=request, stream=stream)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has closed."""
        super().on_close(server_conn)
        stream = _get_stream(server_conn)
        self._streams.discard(stream)
        trace = stream.trace
        between_requests = trace.stage is RequestStage.IDLE and trace.responses > 0
        if trace.closed_by_caller or trace.sent_bytes or between_requests:
            return
        self._report_unanswered(trace)

    def _accept_pending(self, sock: socket.socket) -> None:
        while True:
            try:
                connection, address = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue  # The caller has disconnected: nobody waits for a response.
            connection.setblocking(False)
            self._accept(connection, address)

    def _accept(self, connection: socket.socket, address: tuple[str, int]) -> None:
        stream = CallerStream(
            connection,
            address=f"{address[0]}:{address[1]}",
            read_time=self._read_time,
            max_buffer_size=self.max_buffer_size,
        )
        self._streams.add(stream)
        self.handle_stream(stream, address)


def _get_stream(server_conn: object) -> CallerStream:
    connection: HTTP1ServerConnection = server_conn  # type: ignore[assignment]
    stream = connection.stream
    assert isinstance(stream, CallerStream)
    return stream
