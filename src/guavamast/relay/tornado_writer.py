"""Responses on connections of ``tornado``."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Final

from tornado import httputil
from tornado.iostream import StreamClosedError

from guavamast.caller_connection import CallerStream
from guavamast.relay.messages import ResponseWriter
from guavamast.socket_options import set_reset_on_close

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.http1connection import HTTP1Connection

    from guavamast.relay.messages import Header


JOINED_BYTES: Final = 65_536
"""Bytes of a body that is sent together with its head, in one write."""


class TornadoWriter(ResponseWriter):
    """Writes a response to a ``tornado`` connection.

    Args:
        connection: The connection on which the request has arrived.
        http_version: Version in the request, which decides whether its caller knows chunks.
        closes: Whether the connection is closed after the response in any case.
    """

    __slots__ = ("_closes", "_connection", "_knows_chunks", "_sent", "_started")

    def __init__(
        self,
        *,
        connection: HTTP1Connection,
        http_version: str = "HTTP/1.1",
        closes: bool = False,
    ) -> None:
        self._connection = connection
        self._closes = closes
        self._knows_chunks = http_version != "HTTP/1.0"
        self._started = False
        self._sent: asyncio.Future[None] | None = None
        """Done once the connection has taken the head and what was written with it."""

    @property
    def started(self) -> bool:
        """Whether the status line has been sent."""
        return self._started

    async def send(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response with its length.

        The HTTP server joins what is sent with the head, so a slow caller's body would be held
        twice and counted once. A large one is written by itself, without a copy.
        """
        fields = [*headers, ("Content-Length", str(len(body)))]
        if len(body) <= JOINED_BYTES:
            self._write_head(status, fields, body)
        else:
            self._write_head(status, fields, b"")
            await self._write_body(body)
        self._connection.finish()

    async def _write_body(self, body: bytes) -> None:
        """Write a body once the connection has taken the head.

        The HTTP server tells of one write at a time: the end of the head's would be taken for that
        of the body's.
        """
        assert self._sent is not None
        with contextlib.suppress(StreamClosedError):
            await self._sent
        self._sent = self._connection.write(body)

    def start(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of a response whose length is not known yet.

        Nagle's algorithm is disabled, so that each later part is sent at once. To a caller that
        doesn't know chunks, the end of the connection is the end of the response. It is reset
        wherever it ends early, also by the end of this process, as the response would look
        complete otherwise.
        """
        self._connection.stream.set_nodelay(True)
        if not self._knows_chunks:
            set_reset_on_close(self._connection.stream.socket, enabled=True)
        self._write_head(status, headers, b"")

    def begin_write(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Begin to send a part of the body."""
        written = self._connection.write(chunk)
        if written.done() and written.exception() is None:
            return None
        return written

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        try:
            await self._connection.write(chunk)
        except StreamClosedError as error:
            raise asyncio.CancelledError from error

    async def end(self) -> None:
        """Mark the response as complete."""
        if self._knows_chunks:
            self._connection.finish()
            return
        await self.write(b"")  # Returns once all that was written before has been sent.
        set_reset_on_close(self._connection.stream.socket, enabled=False)
        self._connection.finish()
        self._connection.close()

    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call back once the connection has taken the response that was sent, or has ended."""
        if self._sent is None or self._sent.done():
            callback()
        else:
            self._sent.add_done_callback(lambda _: callback())

    def abort(self) -> None:
        """Close the connection without completing the response."""
        self._connection.close()

    def _announce_close(self, fields: httputil.HTTPHeaders) -> None:
        """Say that the connection is closed after this response.

        The HTTP server decides that when it reads a request. It keeps the connection of one that it
        read before, and the caller would send its next request to an instance that leaves.
        """
        fields["Connection"] = "close"
        stream = self._connection.stream
        assert isinstance(stream, CallerStream)
        stream.trace.close_announced = True

    def _write_head(self, status: int, headers: list[Header], body: bytes) -> None:
        self._started = True
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        closes = self._closes or self._connection.params.no_keep_alive
        if closes and self._knows_chunks:
            self._announce_close(fields)
        reason = httputil.responses.get(status, "Unknown")
        start = httputil.ResponseStartLine("HTTP/1.1", status, reason)
        self._sent = self._connection.write_headers(start, fields, body or None)
