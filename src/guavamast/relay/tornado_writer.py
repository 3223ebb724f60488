"""Responses on connections of ``tornado``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado import httputil
from tornado.iostream import StreamClosedError

from guavamast.relay.messages import ResponseWriter

if TYPE_CHECKING:
    from tornado.http1connection import HTTP1Connection

    from guavamast.relay.messages import Header


class TornadoWriter(ResponseWriter):
    """Writes a response to a ``tornado`` connection.

    Args:
        connection: The connection on which the request has arrived.
    """

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
