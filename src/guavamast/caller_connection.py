"""A caller's connection that knows what was received and sent for its current request."""

from __future__ import annotations

import asyncio
import socket
from asyncio import Future
from contextlib import closing, suppress
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from tornado.iostream import IOStream, StreamClosedError

from guavamast.loop_turns import ReaderTurn
from guavamast.socket_options import has_unsent_bytes, may_linger

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["CallerStream", "ConnectionTrace", "RequestStage", "discard_rest"]

REST_TIMEOUT_S: Final = 5.0
"""Seconds for a caller to finish sending a request that was responded to before its end."""
READ_BYTES: Final = 65_536
"""Bytes discarded at once."""
_CONTINUE: Final = b"HTTP/1.1 100 "
"""What the HTTP server writes, in one piece, to ask for the body of a request."""


class RequestStage(StrEnum):
    """How far the current request of a connection has come."""

    IDLE = "idle"
    """Nothing of it has been received."""
    RECEIVING = "receiving"
    """A part has been received."""
    SERVING = "serving"
    """All of it has been received, and the response isn't complete."""


@dataclass(slots=True, kw_only=True)
class ConnectionTrace:
    """What happened on one connection, with times of the server's clock in seconds."""

    address: str
    """``ip:port`` of the caller."""
    accepted_at: float
    active_at: float
    """When the connection was accepted or last received bytes."""
    responses: int = 0
    """Complete responses, all handed to the operating system."""
    received_bytes: int = 0
    """Bytes received of the current request."""
    sent_bytes: int = 0
    """Bytes of the current response that were handed to the operating system."""
    head_received: bool = False
    request_complete: bool = False
    completed_at: float | None = None
    """When the current request had been received completely."""
    request_id: str | None = None
    """Id of the current request, once it is known."""
    response_begun: bool = False
    """Whether a byte of the current response was written, possibly not yet sent. An interim one
    doesn't count: nothing has run, and another response may follow."""
    close_announced: bool = False
    """Whether the current response says that its connection is closed after it."""
    closed_by_caller: bool = False
    ended_at: float | None = None
    """When the server sent its last response and stopped reading requests."""

    @property
    def stage(self) -> RequestStage:
        """How far the current request has come."""
        if self.request_complete:
            return RequestStage.SERVING
        return RequestStage.RECEIVING if self.received_bytes else RequestStage.IDLE

    def begin_request(self) -> None:
        """Start over with the connection's next request; an earlier one has its response."""
        if self.request_complete:
            self.responses += 1
        self.received_bytes = 0
        self.sent_bytes = 0
        self.head_received = False
        self.request_complete = False
        self.completed_at = None
        self.request_id = None
        self.response_begun = False
        self.close_announced = False


class CallerStream(IOStream):
    """A caller's connection with a trace.

    Args:
        connection: The accepted socket.
        address: ``ip:port`` of the caller.
        read_time: Reads the server's clock.
        on_early_close: Takes over the socket if the stream is closed after a response and before
            the whole request was received, or before its caller has received the whole response.
    """

    def __init__(
        self,
        connection: socket.socket,
        *,
        address: str,
        read_time: Callable[[], float],
        on_early_close: Callable[[socket.socket], None],
        max_buffer_size: int | None = None,
    ) -> None:
        super().__init__(connection, max_buffer_size=max_buffer_size)
        now = read_time()
        self._read_time = read_time
        self._hand_over = on_early_close
        self.trace = ConnectionTrace(address=address, accepted_at=now, active_at=now)
        self._turn = ReaderTurn()

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Future[bytes]:
        """Read up to a delimiter; a caller that sends many small chunks takes turns with others."""
        return self._take_turn(super().read_until(delimiter, max_bytes))

    def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> Future[bytes]:
        """Read a head; a caller that sends many requests at once takes turns with others."""
        return self._take_turn(super().read_until_regex(regex, max_bytes))

    def _take_turn(self, read: Future[bytes]) -> Future[bytes]:
        """Return a read that is done in this connection's next turn of the loop, if one is due.

        The HTTP server leaves the loop now and then while it reads what has been received, but each
        of many such connections then goes on in the same iteration, and others get a step between
        two of them only.
        """
        if not self._turn.is_over():
            return read
        return asyncio.ensure_future(self._finish_later(read))

    async def _finish_later(self, read: Future[bytes]) -> bytes:
        await self._turn.wait_next()
        return await read

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Receive bytes and record them; discard them once the connection has been ended."""
        count = self._receive(buf)
        return None if count and self.trace.ended_at is not None else count

    def write(self, data: bytes | memoryview) -> Future[None]:
        """Write a part of the current response; fail once the connection has been ended."""
        if self.trace.ended_at is not None:
            return _fail_closed()
        if bytes(data[: len(_CONTINUE)]) != _CONTINUE:
            self.trace.response_begun = True
        return super().write(data)

    def write_to_fd(self, data: memoryview) -> int:
        """Send bytes and record them."""
        count = super().write_to_fd(data)
        self.trace.sent_bytes += count
        return count

    @property
    def is_delivering(self) -> bool:
        """Whether the system holds bytes that the caller hasn't received."""
        return not self.closed() and has_unsent_bytes(self.socket)

    def close_fd(self) -> None:
        """Close the socket, or hand it over while its caller may still be sending or receiving."""
        trace = self.trace
        responded = trace.response_begun and trace.ended_at is None and not trace.closed_by_caller
        if responded and (trace.stage is RequestStage.RECEIVING or may_linger(self.socket)):
            self._hand_over(self.socket)
            self.socket = None  # type: ignore[assignment]
            return
        super().close_fd()

    def end(self, response: bytes) -> None:
        """Send the last response of this connection and read no more requests from it.

        Only the write side is closed. Closing a socket that has unread bytes, or receives more,
        resets the connection, and the reset can overtake the response.

        Args:
            response: A whole response; empty after one that has announced the close.
        """
        sending = self.write(response)
        self.trace.ended_at = self._read_time()
        sending.add_done_callback(self._shut_writes)

    def _receive(self, buf: bytearray | memoryview) -> int | None:
        try:
            count = super().read_from_fd(buf)
        except ConnectionError:
            self.trace.closed_by_caller = True
            raise
        if count == 0:
            self.trace.closed_by_caller = True
        elif count is not None:
            self.trace.received_bytes += count
            self.trace.active_at = self._read_time()
        return count

    def _shut_writes(self, sending: Future[None]) -> None:
        if sending.exception() is not None or self.closed():
            return  # The caller has disconnected.
        with suppress(OSError):  # Likewise, but the stream hasn't noticed yet.
            self.socket.shutdown(socket.SHUT_WR)


async def discard_rest(connection: socket.socket) -> None:
    """Close a socket once its caller has closed its side.

    A socket that is closed earlier is reset by the next bytes that arrive, and a caller that is
    still sending, also further requests, gets the reset instead of its response or of its rest.
    """
    loop = asyncio.get_running_loop()
    # Nothing is owed to a caller that disconnects, or that sends on for too long.
    with closing(connection), suppress(OSError, TimeoutError):
        connection.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(REST_TIMEOUT_S):
            while await loop.sock_recv(connection, READ_BYTES):
                pass


def _fail_closed() -> Future[None]:
    """Return a future that has failed as a write to a closed stream does."""
    future: Future[None] = Future()
    future.set_exception(StreamClosedError())
    future.exception()  # Retrieved here, as not every writer waits for its writes.
    return future
