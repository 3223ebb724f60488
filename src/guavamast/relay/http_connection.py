"""One persistent HTTP/1.1 client connection, parsed by ``h11``.

``tornado``'s client can't tell a reset from an end of data, nor forward a body without a length as
it arrives; ``h11`` leaves both to the connection.
"""

from __future__ import annotations

import asyncio
import select
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from guavamast.http_status import is_final_status
from guavamast.loop_turns import ReaderTurn
from guavamast.relay.endpoint_connection import (
    ConnectionLost,
    ConnectionRefused,
    EndpointConnection,
    MalformedAnswer,
    ResponseHead,
    UnboundedAnswer,
)
from guavamast.relay.http_messages import build_body_events, encode_headers, find_framing
from guavamast.relay.loop_timeout import wait_in_steps
from guavamast.relay.response_end import BodyEnding, BodyFraming
from guavamast.relay.unreceived_bytes import count_unreceived

if TYPE_CHECKING:
    from guavamast.relay.messages import Header

__all__ = [
    "ConnectionLost",
    "ConnectionRefused",
    "HttpConnection",
    "MalformedAnswer",
    "ResponseHead",
    "UnboundedAnswer",
]

READ_AHEAD_BYTES: Final = 65_536
"""Bytes received and not yet consumed beyond which the connection pauses reading."""
WRITE_BYTES: Final = 65_536
"""Bytes of a request that are written at once."""
MAX_HEAD_BYTES: Final = 65_536
"""Bytes of the lines before a body, or after one in chunks."""
MAX_INTERIM_RESPONSES: Final = 8
"""Answers with an interim status before the head of a response."""


class HttpConnection(asyncio.Protocol, EndpointConnection):
    """Sends requests one after the other on one connection.

    Bytes received while no request is outstanding make the connection unusable: they may be a late
    second response, which the next request would take for its own.
    """

    __slots__ = (
        "_ending",
        "_eof_received",
        "_failure",
        "_framing",
        "_http",
        "_outstanding",
        "_reading_paused",
        "_transport",
        "_turn",
        "_unread_bytes",
        "_unsent",
        "_waiter",
        "_write_waiter",
        "established_at",
    )

    def __init__(self) -> None:
        self._http = h11.Connection(our_role=h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._write_waiter: asyncio.Future[None] | None = None
        self._failure: Exception | None = None
        self._outstanding = False
        self._eof_received = False
        self._ending = BodyEnding.OPEN
        self._framing = BodyFraming.LENGTH
        self._reading_paused = False
        self._unread_bytes = 0
        self._unsent = False
        """Whether a part of the request was not written yet."""
        self._turn = ReaderTurn()
        self.established_at = float("inf")
        """Local time by which it was established, as its owner recorded it."""

    @classmethod
    async def open(cls, host: str, port: int, *, timeout_s: float) -> HttpConnection:
        """Connect to a server.

        Raises:
            ConnectionLost: No connection was established within the timeout.
            ConnectionRefused: The server's host refused the connection.
        """
        loop = asyncio.get_running_loop()
        try:
            connecting = loop.create_connection(cls, host, port)
            _, connection = await wait_in_steps(connecting, timeout_s=timeout_s)
        except ConnectionRefusedError as error:
            raise ConnectionRefused(f"connect: {type(error).__name__}") from error
        except (OSError, TimeoutError) as error:
            raise ConnectionLost(f"connect: {type(error).__name__}") from error
        return connection

    @property
    def ending(self) -> BodyEnding:
        """How the response to the last request has ended."""
        return self._ending

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return self._failure is None and not self._outstanding

    def has_unread_input(self) -> bool:
        """Return whether bytes or the server's end have arrived that the loop hasn't read yet.

        A request that is sent now would take them for its response.
        """
        received = None if self._transport is None else self._transport.get_extra_info("socket")
        if received is None:
            return False
        poll = select.poll()
        poll.register(received, select.POLLIN)
        return bool(poll.poll(0))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the parser, or fail the connection if no request is outstanding."""
        if not self._outstanding:
            self._fail(MalformedAnswer("bytes received without an outstanding request"))
            return
        self._http.receive_data(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > READ_AHEAD_BYTES:
            self.pause_reading()
        self._wake()

    def eof_received(self) -> bool:
        """Tell the parser that the server has sent all its data."""
        if not self._outstanding:
            self._fail(ConnectionLost("connection closed while idle"))
            return False
        self._eof_received = True
        if self._unsent or (self._transport is not None and count_unreceived(self._transport)):
            self._ending = BodyEnding.EARLY
        self._http.receive_data(b"")
        self._wake()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the end of the connection; without an EOF before it, as a reset."""
        if exc is not None or not self._outstanding:
            self._failure = self._failure or ConnectionLost("reset")
            if self._outstanding:
                self._ending = BodyEnding.RESET
        self._transport = None
        self._wake()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Make senders wait until the write buffer has room."""
        self._write_waiter = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Let senders continue."""
        if self._write_waiter is not None and not self._write_waiter.done():
            self._write_waiter.set_result(None)
        self._write_waiter = None

    async def send(self, method: str, target: str, headers: list[Header], body: bytes) -> None:
        """Send a complete request.

        Raises:
            ConnectionLost: The connection ended; bytes may have been sent.
        """
        head = h11.Request(method=method, target=target, headers=encode_headers(headers))
        await self._write(head, *build_body_events(body))

    async def send_head(self, method: str, target: str, headers: list[Header]) -> None:
        """Send the head of a request that expects ``100 Continue`` before its body.

        Raises:
            ConnectionLost: The connection ended.
        """
        await self._write(
            h11.Request(method=method, target=target, headers=encode_headers(headers))
        )

    async def wait_continue(self) -> ResponseHead | None:
        """Return None once the server asks for the body; otherwise the head of its response.

        Raises:
            ConnectionLost: The connection ended first.
            MalformedAnswer: The bytes are not a response.
        """
        event = await self._next_event()
        if isinstance(event, h11.InformationalResponse):
            return None
        return self._parse_head(event)

    async def send_body(self, body: bytes) -> None:
        """Send the body of a request whose head was sent.

        Raises:
            ConnectionLost: The connection ended; bytes may have been sent.
        """
        await self._write(*build_body_events(body))

    async def read_head(self) -> ResponseHead:
        """Return the head of the response to the request that was sent.

        Raises:
            ConnectionLost: The connection ended first.
            MalformedAnswer: The bytes are not a response.
            UnboundedAnswer: The head has no end within the bounds.
        """
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return self._parse_head(event)
        self.close()
        raise UnboundedAnswer("too many interim responses")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the body as they arrive; None after the whole body.

        Raises:
            ConnectionLost: The connection ended before the body was complete.
            MalformedAnswer: The bytes are not a body.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if not isinstance(event, h11.EndOfMessage):
            raise MalformedAnswer("expected a response body")
        if self._framing is BodyFraming.CONNECTION and self._eof_received:
            self._check_closed_end()
        else:
            self._ending = BodyEnding.FRAMED
        self._finish_exchange()
        return None

    def pause_reading(self) -> None:
        """Read nothing ahead until the next bytes are asked for."""
        if not self._reading_paused and self._transport is not None:
            self._reading_paused = True
            self._transport.pause_reading()

    def close(self) -> None:
        """Abort the connection at once, so that the server notices."""
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._failure = self._failure or ConnectionLost("connection closed by this side")

    async def _write(self, *events: h11.Event) -> None:
        if self._failure is not None or self._transport is None:
            raise ConnectionLost("connection closed before the send")
        self._outstanding = True
        self._ending = BodyEnding.OPEN
        self._unsent = True
        data = [self._http.send(event) or b"" for event in events]
        if sum(map(len, data)) <= WRITE_BYTES:
            data = [b"".join(data)]
        for part in data:
            if not await self._write_part(part):
                return
        self._unsent = False

    async def _write_part(self, part: bytes) -> bool:
        """Write a part of a request; return False if the connection ends before.

        It is written in pieces as the connection takes them: a transport copies what it can't send
        at once, and with all bodies twice in memory the process would exceed its own.
        """
        view = memoryview(part)
        for start in range(0, len(view), WRITE_BYTES):
            if self._transport is None or self._eof_received:
                return False
            self._transport.write(view[start : start + WRITE_BYTES])
            if self._write_waiter is not None:
                await self._write_waiter
        return True

    def _check_closed_end(self) -> None:
        """Raise unless the end of the connection can be the end of a whole response.

        A server in trouble answers a long upload at once, sends a part and closes the connection.
        The end of its data arrives before the reset that the rest of the upload causes, so the part
        looks complete. A server that sends a whole response has received the whole request before.

        Raises:
            ConnectionLost: The request was not received, or a reset followed.
        """
        if self._ending in (BodyEnding.EARLY, BodyEnding.RESET):
            self.close()
            raise ConnectionLost("connection closed before the request was received")
        self._ending = BodyEnding.CLOSED

    def _finish_exchange(self) -> None:
        self._outstanding = False
        extra, _ = self._http.trailing_data
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if extra or not done or self._unsent or self._transport is None:
            self.close()
            return
        self._resume_reading()  # So that an idle connection shows its end.
        self._http.start_next_cycle()

    async def _next_event(self) -> h11.Event:
        if self._turn.is_over():
            await self._turn.wait_next()
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self.close()
                if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
                    raise UnboundedAnswer(str(error)) from error
                if self._eof_received:
                    if self._ending is BodyEnding.OPEN:
                        self._ending = BodyEnding.CLOSED
                    raise ConnectionLost(
                        "connection closed before the response was complete"
                    ) from error
                raise MalformedAnswer(str(error)) from error
            if event is not h11.NEED_DATA and event is not h11.PAUSED:
                return event
            self._unread_bytes = 0
            self._resume_reading()
            await self._wait_for_data()

    def _resume_reading(self) -> None:
        if self._reading_paused and self._transport is not None:
            self._reading_paused = False
            self._transport.resume_reading()

    def _parse_head(self, event: h11.Event) -> ResponseHead:
        if not isinstance(event, h11.Response):
            raise MalformedAnswer("expected a response head")
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        if not is_final_status(event.status_code):
            self.close()
            raise MalformedAnswer(f"status {event.status_code} is none of a final response")
        self._framing = find_framing(event.status_code, headers)
        return ResponseHead(status=event.status_code, headers=headers, framing=self._framing)

    async def _wait_for_data(self) -> None:
        if self._failure is not None:
            raise ConnectionLost(str(self._failure))
        if self._transport is None:
            raise ConnectionLost("closed")
        self._waiter = asyncio.get_running_loop().create_future()
        try:
            await self._waiter
        finally:
            self._waiter = None
        self._turn.renew()

    def _fail(self, failure: Exception) -> None:
        self._failure = self._failure or failure
        if self._transport is not None:
            self._transport.abort()
            self._transport = None
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
