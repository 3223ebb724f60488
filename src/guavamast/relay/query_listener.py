"""Small HTTP listeners for single queries such as readiness."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.netutil import bind_sockets

from guavamast.caller_server import CallerServer, LastResponses, encode_response

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.caller_connection import ConnectionTrace


class QueryHandler(ABC):
    """Handles one kind of query on a small listener."""

    @abstractmethod
    def handle(self, path: str, query: str) -> tuple[int, str, str] | None:
        """Return status, content type and body; None if the path is not handled."""


class QueryListener:
    """A small HTTP listener for queries that are answered from memory.

    Args:
        handlers: Handlers, tried in order.
        read_time: Reads the local clock.
        on_unanswered: Called with each connection that was closed without a response.
    """

    def __init__(
        self,
        *,
        handlers: list[QueryHandler],
        read_time: Callable[[], float],
        on_unanswered: Callable[[ConnectionTrace], None],
    ) -> None:
        self._handlers = handlers
        self._read_time = read_time
        self._server = CallerServer(self._handle, read_time=read_time, on_unanswered=on_unanswered)

    def listen(self, ip: str, port: int) -> None:
        """Begin to accept connections."""
        for sock in bind_sockets(port, ip):
            self._server.add_socket(sock)

    async def stop(self) -> None:
        """Accept no more connections, and close the open ones with a response."""
        unavailable = encode_response(503, [], b"")
        responses = LastResponses(not_run=unavailable, unfinished=unavailable)
        await self._server.drain(deadline=self._read_time(), responses=responses)

    def _handle(self, request: httputil.HTTPServerRequest) -> None:
        status, content_type, text = 404, "text/plain", "not found\n"
        for handler in self._handlers:
            response = handler.handle(request.path or "", request.query)
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
