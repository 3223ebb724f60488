"""One send of a request to one endpoint, and its result."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.loop_turns import ReaderTurn
from guavamast.relay.attempt_failure import AttemptFailed, FailureKind
from guavamast.relay.buffering import BodyTooLarge, ResponseBody
from guavamast.relay.endpoint_connection import (
    ConnectionKind,
    ConnectionLost,
    EndpointUnreachable,
    MalformedAnswer,
    NotForwarded,
    PathLost,
    UnboundedAnswer,
)
from guavamast.relay.event_framing import EventFraming
from guavamast.relay.loop_timeout import suspend_timeout
from guavamast.relay.relayed_response import RelayedResponse
from guavamast.relay.response_end import BodyEnding, BodyFraming, ResponseEnd
from guavamast.relay.stream_binding import StreamSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.buffering import MemoryAccount
    from guavamast.relay.endpoint_connection import AcquiredConnection
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.event_framing import StreamEvent
    from guavamast.relay.messages import (
        CallerRequest,
        EndpointResponseHead,
        HeaderCodec,
        SendParameters,
    )
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.silence_timeout import SilenceTimeout
    from guavamast.relay.stream_binding import StreamBinding

FRAMED_BYTES: Final = 4096
"""Bytes of a stream that are split into events at once: some hundred of the shortest ones."""
MAX_REJECTION_BYTES: Final = 65_536
"""Bytes of the body of a rejection, of which nothing is used."""
REJECTION_TIMEOUT_S: Final = 0.5
"""Seconds in which that body must have arrived: longer than a sound endpoint takes under load."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CompleteResponse:
    """A response that was read to its end."""

    head: EndpointResponseHead
    body: bytes
    held: ResponseBody
    """Holds the body's memory until it is released."""


class Attempt:
    """Sends one request over one connection and validates the response.

    Args:
        request: The caller's request.
        record: The endpoint.
        codec: Encodes and decodes headers.
        connector: Finds a connection to the endpoint.
        reachability: Told of each sign of life of the endpoint.
        memory: Bounds the bodies that are read at the same time.
        on_head: Called with this attempt and the head of its response as soon as it has arrived,
            before it is validated.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_acquired",
        "_codec",
        "_connector",
        "_events",
        "_framing",
        "_kept",
        "_length",
        "_memory",
        "_on_head",
        "_reachability",
        "_read_time",
        "_request",
        "_turn",
        "_unframed",
        "head",
        "record",
        "sent_at",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        record: EndpointRecord,
        codec: HeaderCodec,
        connector: EndpointConnector,
        reachability: ReachabilityMonitor,
        memory: MemoryAccount,
        on_head: Callable[[Attempt, EndpointResponseHead], None],
        read_time: Callable[[], float],
    ) -> None:
        self._memory = memory
        self._on_head = on_head
        self._request = request
        self.record = record
        self._codec = codec
        self._connector = connector
        self._reachability = reachability
        self._read_time = read_time
        self._acquired: AcquiredConnection | None = None
        self._events = EventFraming()
        self._unframed = memoryview(b"")
        """Bytes of the stream that weren't split into events yet."""
        self._turn = ReaderTurn()
        self._framing: BodyFraming | None = None
        self._length: int | None = None
        self._kept = False
        self.head: EndpointResponseHead | None = None
        """The response head, once received."""
        self.sent_at = float("inf")
        """Local time of the send."""

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self._request.request_id

    @property
    def connection(self) -> ConnectionKind:
        """Connection of the attempt."""
        return ConnectionKind.NONE if self._acquired is None else self._acquired.kind

    @property
    def forwarder(self) -> str | None:
        """Name of the instance that the connection leads through; None for a direct one."""
        return None if self._acquired is None else self._acquired.forwarder

    @property
    def source(self) -> StreamSource:
        """The endpoint, and the time by which its connection was established."""
        assert self._acquired is not None
        return StreamSource(record=self.record, established_at=self._acquired.established_at)

    @property
    def ending(self) -> BodyEnding:
        """How the bytes of the response have ended so far."""
        return BodyEnding.OPEN if self._acquired is None else self._acquired.connection.ending

    def describe_end(self) -> ResponseEnd:
        """Return how the response has ended so far."""
        return ResponseEnd(
            framing=self._framing,
            ending=self.ending,
            held_bytes=self._events.held_bytes,
            inside_event=self._events.is_inside_event,
            forwarder=self.forwarder,
        )

    def describe_response(self, *, began_at: float) -> RelayedResponse:
        """Return what a response that was forwarded completely shows of its endpoint.

        Args:
            began_at: Local time at which the endpoint began it.
        """
        assert self.head is not None
        return RelayedResponse(
            status=self.head.status,
            began_at=began_at,
            framed=self._framing is not BodyFraming.CONNECTION,
        )

    async def connect(
        self, *, row_version: int, binding: StreamBinding | None, permitted: bool
    ) -> None:
        """Acquire a connection.

        Args:
            row_version: Row version of the configuration by which the request was admitted.
            binding: What the endpoint must be known to run; None if it may run anything.
            permitted: Whether the request is permitted under the endpoint's rate limit.

        Raises:
            AttemptFailed: With ``NOT_CONNECTED``, ``NO_PATH`` or ``OUTDATED``.
        """
        try:
            self._acquired = await self._connector.connect(
                self.record,
                request_id=self._request.request_id,
                row_version=row_version,
                binding=binding,
                permitted=permitted,
            )
        except EndpointUnreachable as error:
            raise AttemptFailed(FailureKind.NOT_CONNECTED, str(error)) from error
        except PathLost as error:
            raise AttemptFailed(FailureKind.NO_PATH, str(error)) from error
        except NotForwarded as error:
            raise AttemptFailed(FailureKind.OUTDATED, str(error)) from error

    async def send(self, parameters: SendParameters) -> EndpointResponseHead:
        """Send the request and return the validated head of its response.

        Raises:
            AttemptFailed: There is no response, or it does not belong to this request.
        """
        assert self._acquired is not None
        connection = self._acquired.connection
        headers = self._codec.encode_request(self._request, parameters)
        if self._request.has_body:
            headers.append(("Content-Length", str(len(self._request.body))))
        self.sent_at = self._read_time()
        try:
            await connection.send(
                self._request.method, self._request.target, headers, self._request.body
            )
            received = await connection.read_head()
        except NotForwarded as error:
            raise AttemptFailed(FailureKind.OUTDATED, str(error)) from error
        except (ConnectionLost, MalformedAnswer) as error:
            raise AttemptFailed(_classify_error(error), str(error)) from error
        self._record_received()
        self._framing = received.framing
        self._length = received.length
        self.head = self._codec.decode_response(received.status, received.headers)
        self._on_head(self, self.head)
        await self._check_head(self.head)
        return self.head

    async def read_response(
        self, timeout: SilenceTimeout, *, idle_s: float | None
    ) -> CompleteResponse:
        """Return the response with its whole body; the connection stays open.

        Args:
            timeout: Timeout of the attempt; suspended while the body waits for memory, as the
                endpoint isn't to blame for that.
            idle_s: Seconds for which it is extended with the head and each part of the body; None
                if there is no timeout. Another endpoint would begin anew.

        Raises:
            AttemptFailed: The body is incomplete or too large.
        """
        assert self.head is not None
        held = ResponseBody(account=self._memory, length=self._length)
        try:
            await self._read_body(held, timeout, idle_s=idle_s)
        except BaseException:
            held.release()
            raise
        return CompleteResponse(head=self.head, body=held.complete(), held=held)

    async def read_events(self) -> list[StreamEvent] | None:
        """Return the next complete events, possibly none yet; None after the whole stream.

        An engine that crashes may leave its connection to the system, which closes it in order, and
        a forwarder frames that end anew. So the events decide: a stream that ends inside one was
        broken off, however its connection ended.

        Raises:
            AttemptFailed: The stream broke.
        """
        if not self._unframed:
            chunk = await self._read_chunk()
            if chunk is None:
                if self._events.is_inside_event:
                    raise AttemptFailed(FailureKind.LOST, "the stream ended inside an event")
                return None
            if len(chunk) <= FRAMED_BYTES:
                return self._split_events(chunk)
            self._unframed = memoryview(chunk)
            self._turn.renew()
        if self._turn.is_over():
            await self._turn.wait_next()
        part, self._unframed = self._unframed[:FRAMED_BYTES], self._unframed[FRAMED_BYTES:]
        return self._split_events(part)

    def _split_events(self, part: bytes | memoryview) -> list[StreamEvent]:
        try:
            return self._events.append(part)
        except ValueError as error:
            raise AttemptFailed(FailureKind.UNBOUNDED, str(error)) from error

    async def _read_body(
        self,
        held: ResponseBody,
        timeout: SilenceTimeout | None,
        *,
        idle_s: float | None = None,
    ) -> None:
        try:
            while (chunk := await self._read_extended(timeout, idle_s=idle_s)) is not None:
                if timeout is not None and held.needs_room(len(chunk)):
                    with suspend_timeout(timeout):
                        await held.append(chunk)
                else:
                    await held.append(chunk)
        except BodyTooLarge as error:
            raise AttemptFailed(FailureKind.UNBOUNDED, str(error)) from error

    async def _read_extended(
        self, timeout: SilenceTimeout | None, *, idle_s: float | None
    ) -> bytes | None:
        """Return the next part of a body, with the timeout extended until it arrives."""
        if timeout is not None and idle_s is not None:
            timeout.reschedule(asyncio.get_running_loop().time() + idle_s)
        return await self._read_chunk()

    def pause_reading(self) -> None:
        """Read nothing ahead until the next events are asked for."""
        if self._acquired is not None:
            self._acquired.connection.pause_reading()

    def drain_events(self) -> bytes:
        """Return the bytes of a stream that has ended after its last complete event."""
        return self._events.drain()

    def finish(self) -> None:
        """Keep the connection for another request, after a complete response."""
        if self._acquired is None or self.head is None:
            return
        self._acquired.keep(self.head)
        self._kept = True

    def abandon(self) -> None:
        """Close the connection unless it is kept, so that the endpoint stops its work."""
        if self._acquired is not None and not self._kept:
            self._acquired.connection.close()

    async def _read_chunk(self) -> bytes | None:
        assert self._acquired is not None
        try:
            chunk = await self._acquired.connection.read_chunk()
        except (ConnectionLost, MalformedAnswer) as error:
            raise AttemptFailed(_classify_error(error), str(error)) from error
        self._record_received()
        return chunk

    def _record_received(self) -> None:
        if self.forwarder is None:
            self._reachability.record_received(self.record.service, now=self._read_time())

    async def _skip_rejection(self) -> bool:
        """Read the body of a rejection; return whether it has no end within the bounds.

        The head has said that the request was not run. Its caller must not wait for a body that is
        of no use.
        """
        held = ResponseBody(account=self._memory, max_bytes=MAX_REJECTION_BYTES)
        try:
            async with asyncio.timeout(REJECTION_TIMEOUT_S):
                await self._read_body(held, None)
        except (AttemptFailed, TimeoutError) as error:
            self.abandon()
            return not isinstance(error, AttemptFailed) or error.overrun
        finally:
            held.release()
        return False

    async def _check_head(self, head: EndpointResponseHead) -> None:
        """Raise unless the head belongs to this request and may be forwarded.

        A rejection counts only if it names this request: a faulty endpoint may send that of another
        one while it runs this one, whose caller would be told that it may safely be sent again.
        """
        if not head.request_id or head.request_id != self._request.request_id:
            named = "another request" if head.request_id else "no request"
            raise AttemptFailed(
                FailureKind.INVALID, f"response with status {head.status} names {named}"
            )
        if head.not_run:
            overrun = await self._skip_rejection()
            misdirected = head.status == 421
            kind = FailureKind.MISDIRECTED if misdirected else FailureKind.REFUSED
            raise AttemptFailed(kind, f"status {head.status}", overrun=overrun)
        if head.status < 300 and not head.signed:
            raise AttemptFailed(FailureKind.INVALID, "response is not signed by the endpoint")
        if head.encoded:
            raise AttemptFailed(FailureKind.INVALID, "response has a content encoding")
        if head.status in (408, 421, 429, 503):
            raise AttemptFailed(
                FailureKind.INVALID, f"status {head.status} without proof that it did not run"
            )


def _classify_error(error: ConnectionLost | MalformedAnswer) -> FailureKind:
    """Return the kind of failure that an error of the connection to an endpoint is."""
    if isinstance(error, ConnectionLost):
        return FailureKind.LOST
    if isinstance(error, UnboundedAnswer):
        return FailureKind.UNBOUNDED
    return FailureKind.INVALID
