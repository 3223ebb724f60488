"""One send of a request to one endpoint, and its result."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.relay.connection_pool import CONNECT_TIMEOUT_S
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.connection_pool import ConnectionPool
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.event_framing import EventFraming, StreamEvent
    from guavamast.relay.messages import (
        CallerRequest,
        EndpointResponseHead,
        HeaderCodec,
        SendParameters,
    )
    from guavamast.relay.reachability import ReachabilityMonitor

MAX_RESPONSE_BYTES: Final = 16_777_216
"""Bytes of a response body that may be buffered before it is forwarded."""


class ConnectionKind(StrEnum):
    """Connection of an attempt."""

    NONE = "none"
    """There was none."""
    NEW = "new"
    KEPT = "kept"
    """An idle connection from an earlier request."""


class FailureKind(StrEnum):
    """Why an attempt produced no response."""

    OUTDATED = "outdated"
    """The decision to send the request is no longer valid; no byte was sent."""
    NOT_CONNECTED = "not_connected"
    """No byte was sent."""
    REFUSED = "refused"
    """The endpoint states that it did not run the request."""
    MISDIRECTED = "misdirected"
    """The address now belongs to another endpoint; the intended one is gone."""
    LOST = "lost"
    """The connection ended; the request may have run."""
    INVALID = "invalid"
    """The data received is not a complete response to this request; it may have run."""
    SILENT = "silent"
    """Nothing was received within the attempt's timeout; the request may have run."""
    ERROR = "error"
    """The endpoint ran the request and responded with an error of its own."""


FAILURE_WEIGHTS: Final = {
    FailureKind.OUTDATED: 0.0,
    FailureKind.NOT_CONNECTED: 6.0,
    FailureKind.REFUSED: 0.3,
    FailureKind.MISDIRECTED: 6.0,
    FailureKind.LOST: 1.0,
    FailureKind.INVALID: 1.0,
    FailureKind.SILENT: 1.0,
    FailureKind.ERROR: 0.3,
}
"""Weight of each failure in its endpoint's failure score. A rejection mostly means a full queue;
an error response may be the request's fault."""
_NOT_EXECUTED_KINDS: Final = (
    FailureKind.OUTDATED,
    FailureKind.NOT_CONNECTED,
    FailureKind.REFUSED,
    FailureKind.MISDIRECTED,
)


class AttemptFailed(Exception):
    """An attempt produced no response.

    Args:
        kind: Why.
        detail: What was observed, for the log.
    """

    def __init__(self, kind: FailureKind, detail: str) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.connection = ConnectionKind.NONE
        """Connection of the attempt."""

    @property
    def weight(self) -> float:
        """Weight of the failure in its endpoint's failure score."""
        return FAILURE_WEIGHTS[self.kind]

    @property
    def not_run(self) -> bool:
        """Whether the endpoint certainly did not run the request and will not."""
        return self.kind in _NOT_EXECUTED_KINDS


@dataclass(frozen=True, slots=True, kw_only=True)
class CompleteResponse:
    """A response that was read to its end."""

    head: EndpointResponseHead
    body: bytes


class Attempt:
    """Sends one request over one connection and validates the response.

    Args:
        request: The caller's request.
        record: The endpoint.
        codec: Encodes and decodes headers.
        pool: Idle connections.
        idle_limit: Maximum idle connections to this endpoint.
        reachability: Told of each sign of life of the endpoint.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_codec",
        "_connection",
        "_idle_limit",
        "_pool",
        "_reachability",
        "_read_time",
        "_request",
        "connection",
        "head",
        "record",
    )

    def __init__(
        self,
        *,
        request: CallerRequest,
        record: EndpointRecord,
        codec: HeaderCodec,
        pool: ConnectionPool,
        idle_limit: int,
        reachability: ReachabilityMonitor,
        read_time: Callable[[], float],
    ) -> None:
        self._request = request
        self.record = record
        self._codec = codec
        self._pool = pool
        self._idle_limit = idle_limit
        self._reachability = reachability
        self._read_time = read_time
        self.connection = ConnectionKind.NONE
        """Connection that the request was sent on."""
        self._connection: HttpConnection | None = None
        self.head: EndpointResponseHead | None = None
        """The response head, once received."""

    async def connect(self, *, now: float) -> bool:
        """Acquire an idle connection or open one; return whether it is new.

        Raises:
            AttemptFailed: With ``NOT_CONNECTED``.
        """
        self._connection = self._pool.acquire(self.record.endpoint_id, now=now)
        if self._connection is not None:
            self.connection = ConnectionKind.KEPT
            return False
        try:
            self._connection = await HttpConnection.open(
                self.record.host, self.record.port, timeout_s=CONNECT_TIMEOUT_S
            )
        except ConnectionLost as error:
            raise AttemptFailed(FailureKind.NOT_CONNECTED, str(error)) from error
        self.connection = ConnectionKind.NEW
        self._reachability.record_connected(
            self.record.service, self.record.endpoint_id, now=self._read_time()
        )
        return True

    async def send(self, parameters: SendParameters) -> EndpointResponseHead:
        """Send the request and return the validated head of its response.

        Raises:
            AttemptFailed: There is no response, or it does not belong to this request.
        """
        assert self._connection is not None
        headers = self._codec.encode_request(self._request, parameters)
        if self._request.has_body:
            headers.append(("Content-Length", str(len(self._request.body))))
        try:
            await self._connection.send(
                self._request.method, self._request.target, headers, self._request.body
            )
            received = await self._connection.read_head()
        except ConnectionLost as error:
            raise AttemptFailed(FailureKind.LOST, str(error)) from error
        except MalformedAnswer as error:
            raise AttemptFailed(FailureKind.INVALID, str(error)) from error
        self._reachability.record_received(self.record.service, now=self._read_time())
        self.head = self._codec.decode_response(received.status, received.headers)
        await self._check_head(self.head)
        return self.head

    async def read_response(self) -> CompleteResponse:
        """Return the response with its whole body; the connection stays open.

        Raises:
            AttemptFailed: The body is incomplete or too large.
        """
        assert self.head is not None
        body = bytearray()
        while (chunk := await self._read_chunk()) is not None:
            body += chunk
            if len(body) > MAX_RESPONSE_BYTES:
                raise AttemptFailed(FailureKind.INVALID, "response body exceeds the size limit")
        return CompleteResponse(head=self.head, body=bytes(body))

    async def read_events(self, framing: EventFraming) -> list[StreamEvent] | None:
        """Return the next complete events, possibly none yet; None at the end of the stream.

        Raises:
            AttemptFailed: The stream broke.
        """
        chunk = await self._read_chunk()
        if chunk is None:
            return None
        try:
            return framing.append(chunk)
        except ValueError as error:
            raise AttemptFailed(FailureKind.INVALID, str(error)) from error

    def finish(self, *, now: float) -> None:
        """Return the connection to the pool for another request, after a complete response."""
        if self._connection is None or self.head is None:
            return
        keep_alive_s = None if self.head.closes_connection else self.head.keep_alive_s
        self._pool.release(
            self.record.endpoint_id,
            self._connection,
            keep_alive_s=keep_alive_s,
            limit=self._idle_limit,
            now=now,
        )
        self._connection = None

    def abandon(self) -> None:
        """Close the connection, so that the endpoint stops its work."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _read_chunk(self) -> bytes | None:
        assert self._connection is not None
        try:
            chunk = await self._connection.read_chunk()
        except ConnectionLost as error:
            raise AttemptFailed(FailureKind.LOST, str(error)) from error
        except MalformedAnswer as error:
            raise AttemptFailed(FailureKind.INVALID, str(error)) from error
        self._reachability.record_received(self.record.service, now=self._read_time())
        return chunk

    async def _check_head(self, head: EndpointResponseHead) -> None:
        """Raise unless the head belongs to this request and may be forwarded."""
        if head.not_run:
            await self.read_response()
            misdirected = head.status == 421
            kind = FailureKind.MISDIRECTED if misdirected else FailureKind.REFUSED
            raise AttemptFailed(kind, f"status {head.status}")
        if head.request_id != self._request.request_id:
            raise AttemptFailed(FailureKind.INVALID, "response belongs to another request")
        if head.status < 300 and not head.signed:
            raise AttemptFailed(FailureKind.INVALID, "response is not signed by the endpoint")
        if head.encoded:
            raise AttemptFailed(FailureKind.INVALID, "response has a content encoding")
        if head.status in (408, 421, 429, 503):
            raise AttemptFailed(
                FailureKind.INVALID, f"status {head.status} without proof that it did not run"
            )
