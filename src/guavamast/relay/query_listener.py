"""Small HTTP listeners for single queries such as readiness."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from tornado import httputil

from guavamast.caller_server import CallerServer, LastResponses, encode_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.listener_recorder import ListenerRecorder
    from guavamast.relay.node_settings import SocketAddress

RESPONSE_TIMEOUT_S: Final = 0.1
"""Seconds for the last responses. Without them, a connection is closed whose response has just been
written, and its caller's next query gets none."""


class QueryHandler(ABC):
    """Handles one kind of query on a small listener."""

    @abstractmethod
    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return status, content type and body; None if the path is not handled."""


class QueryListener:
    """A small HTTP listener for queries that are answered from memory.

    Args:
        handler: Answers the queries.
        recorder: Records connections without a response.
        read_time: Reads the local clock.
    """

    def __init__(
        self,
        *,
        handler: QueryHandler,
        recorder: ListenerRecorder,
        read_time: Callable[[], float],
    ) -> None:
        self._handler = handler
        self._read_time = read_time
        self._server = CallerServer(
            self._handle, read_time=read_time, on_unanswered=recorder.record_unanswered
        )

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        self._server.listen(port, ip)

    async def stop(self, *, closes_at: float | None = None) -> None:
        """Accept no more connections, and close the open ones with a response.

        Args:
            closes_at: Local time by which the last connection is closed; None without a bound.
        """
        unavailable = encode_response(503, [], b"")
        responses = LastResponses(not_run=unavailable, unfinished=unavailable)
        deadline = self._read_time() + RESPONSE_TIMEOUT_S
        await self._server.drain(deadline=deadline, responses=responses, closes_at=closes_at)

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        response = self._handler.handle(request.path or "", request.query)
        status, content_type, text = response or (404, "text/plain", "not found\n")
        body = text.encode()
        headers = httputil.HTTPHeaders(
            {"Content-Type": content_type, "Content-Length": str(len(body))}
        )
        reason = httputil.responses.get(status, "Unknown")
        assert request.connection is not None
        request.connection.write_headers(
            httputil.ResponseStartLine("HTTP/1.1", status, reason),
            headers,
            None if request.method == "HEAD" else body,
        )
        request.connection.finish()


def open_query_listeners(
    handlers: list[tuple[SocketAddress | None, QueryHandler]],
    *,
    recorder: ListenerRecorder,
    read_time: Callable[[], float],
) -> list[QueryListener]:
    """Return a listener for each handler that has an address.

    Args:
        handlers: The address and the handler of each kind of query.
        recorder: Records connections without a response.
        read_time: Reads the local clock.
    """
    listeners = []
    for address, handler in handlers:
        if address is None:
            continue
        listener = QueryListener(handler=handler, recorder=recorder, read_time=read_time)
        listener.listen(address.ip, address.port)
        listeners.append(listener)
    return listeners
