"""Forwards other instances' requests to endpoints."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.attempt_failure import AttemptFailed
from guavamast.relay.endpoint_connection import (
    ConnectionLost,
    EndpointUnreachable,
    MalformedAnswer,
    PathLost,
)
from guavamast.relay.forwarding.protocol import (
    FORWARDED_STATUS,
    REASON_HEADER,
    REJECTED_STATUS,
    OrderRejected,
    RejectionReason,
    encode_response_headers,
)
from guavamast.relay.response_end_check import ResponseEndCheck
from guavamast.relay.stream_binding import StreamSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.direct_connector import DirectConnector
    from guavamast.relay.endpoint_connection import AcquiredConnection, ResponseHead
    from guavamast.relay.endpoint_statements import EndpointStatements
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.forwarding.protocol import EncodedRequest, ForwardOrder
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.messages import EndpointResponseHead, HeaderCodec, ResponseWriter
    from guavamast.relay.rate_limits import RateLimitSharing
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.response_end import BodyFraming
    from guavamast.relay.stream_binding import SoftwareVersions

MAX_FORWARDED: Final = 200
"""Requests of others that are forwarded at a time; each takes two descriptors."""
MAX_LOOP_DELAY_S: Final = 0.25
"""Seconds of delay of this process beyond which it forwards nothing, as its own callers wait."""
MAX_SEND_DELAY_S: Final = 0.3
"""Seconds between the permission to send a request and the send: below the margins that the bounds
on the age of tables leave for the transit to an endpoint."""


class PermittedOrder:
    """An order that was accepted, with the connection that its request will use."""

    __slots__ = ("acquired", "order", "permitted_at", "record", "sent_at")

    def __init__(
        self,
        *,
        order: ForwardOrder,
        record: EndpointRecord,
        acquired: AcquiredConnection,
        permitted_at: float,
    ) -> None:
        self.order = order
        self.record = record
        self.acquired = acquired
        self.permitted_at = permitted_at
        self.sent_at = float("inf")
        """Local time at which its request was sent."""


class ForwardServer:
    """Decides on other instances' orders and forwards their requests.

    It connects to endpoints directly only, so a request passes one other instance at most.

    Args:
        direct: Connects to endpoints.
        monitor: Services that this instance doesn't reach.
        admission: Checks each request as it is sent.
        fleet_state: Endpoints and configuration.
        versions: Software of the endpoints.
        codec: Decodes the headers of responses.
        loop_delay: Delay of this process.
        schedule: Moments of this instance's departure.
        statements: Told what endpoints state about themselves.
        rate_limits: Rate limits that endpoints state.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_admission",
        "_codec",
        "_counters",
        "_direct",
        "_end_check",
        "_fleet_state",
        "_forwarded",
        "_log",
        "_loop_delay",
        "_monitor",
        "_rate_limits",
        "_read_time",
        "_schedule",
        "_statements",
        "_versions",
    )

    def __init__(
        self,
        *,
        direct: DirectConnector,
        monitor: ReachabilityMonitor,
        admission: CallerAdmission,
        fleet_state: FleetState,
        versions: SoftwareVersions,
        codec: HeaderCodec,
        loop_delay: LoopDelay,
        schedule: DepartureSchedule,
        statements: EndpointStatements,
        rate_limits: RateLimitSharing,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._direct = direct
        self._end_check = ResponseEndCheck(
            probe=direct, admission=admission, fleet_state=fleet_state, read_time=read_time
        )
        self._monitor = monitor
        self._admission = admission
        self._fleet_state = fleet_state
        self._versions = versions
        self._codec = codec
        self._loop_delay = loop_delay
        self._schedule = schedule
        self._statements = statements
        self._rate_limits = rate_limits
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._forwarded = 0

    async def accept(self, order: ForwardOrder) -> PermittedOrder:
        """Connect to the endpoint of an order, and permit its request to be sent.

        The other instance may end another attempt for the permission. So what denies it is asked
        once more after the connect, as it will be when the request is sent.

        Raises:
            OrderRejected: The request must not be sent, or can't be.
        """
        self._check_staying()
        now = self._read_time()
        if self._forwarded >= MAX_FORWARDED or self._loop_delay.read(now=now) > MAX_LOOP_DELAY_S:
            raise OrderRejected(RejectionReason.BUSY)
        record = self._check_current(order)
        acquired = self._direct.find_kept(record)
        if acquired is None:
            acquired = await self._connect(record)
        await self._confirm_software(order, record, acquired)
        try:
            self._check_staying()
            self._check_current(order)
        except OrderRejected:
            acquired.connection.close()
            raise
        return PermittedOrder(
            order=order, record=record, acquired=acquired, permitted_at=self._read_time()
        )

    async def forward(
        self, permitted: PermittedOrder, request: EncodedRequest, writer: ResponseWriter
    ) -> None:
        """Send a request to its endpoint and forward the response as it arrives.

        The instance that has the caller validates the response; this one decides whether its end
        can be passed on, and whether its connection can be used again.
        """
        self._forwarded += 1
        self._counters.set("forwarded_requests", self._forwarded)
        outcome = "left"
        kept = False
        framing: BodyFraming | None = None
        try:
            self._check_send(permitted)
            received = await self._send(permitted, request)
            framing = received.framing
            head = await self._forward_response(permitted, received, writer)
            await self._confirm_end(permitted, head)
            outcome = f"status {head.status}"
            kept = self._keep(permitted, head)
            await writer.end()
        except OrderRejected as rejection:
            outcome = str(rejection.reason)
            await writer.send(REJECTED_STATUS, [(REASON_HEADER, outcome)], b"")
        except (ConnectionLost, MalformedAnswer) as error:
            # The missing end tells the other instance that the request may have run.
            outcome = f"lost: {error}"
            writer.abort()
        finally:
            if not kept:
                permitted.acquired.connection.close()
            self._forwarded -= 1
            self._counters.set("forwarded_requests", self._forwarded)
            self._record(permitted, outcome, framing)

    def discard(self, permitted: PermittedOrder) -> None:
        """Close the connection of an order whose request never came."""
        permitted.acquired.connection.close()

    def _check_staying(self) -> None:
        """Raise from the stop signal on.

        The drain that rejects orders begins some turns of the loop later. A stream that is sent
        until then would be cut at the end of this instance, though its caller's stays.
        """
        if self._schedule.is_leaving:
            raise OrderRejected(RejectionReason.BUSY)

    def _check_current(self, order: ForwardOrder) -> EndpointRecord:
        """Return the endpoint of an order if this instance knows nothing newer about it.

        The newer configuration decides. If the other instance has it, this one need not: the
        request is checked there. If this one has it, the request may no longer be allowed.
        """
        catalog = self._fleet_state.catalog
        record = self._fleet_state.endpoints.find(order.endpoint_id)
        if catalog is None:
            raise OrderRejected(RejectionReason.NO_PATH)
        if catalog.row_version > order.row_version:
            raise OrderRejected(RejectionReason.OUTDATED)
        if record is None or not record.ready:
            raise OrderRejected(RejectionReason.UNREACHABLE)
        if self._monitor.is_blocked(record.service):
            raise OrderRejected(RejectionReason.NO_PATH)
        self._check_permit(order, record)
        return record

    def _check_permit(self, order: ForwardOrder, record: EndpointRecord) -> None:
        """Raise if the endpoint of an order states a rate limit and its request has no permit.

        The instance that has the caller may not have heard of the limit, so it is told.
        """
        if order.permitted or self._rate_limits.ledger.find(record) is None:
            return
        self._rate_limits.tell_peer(record.service, order.origin)
        raise OrderRejected(RejectionReason.RATE_LIMITED)

    async def _confirm_software(
        self, order: ForwardOrder, record: EndpointRecord, acquired: AcquiredConnection
    ) -> None:
        """Raise unless the endpoint of an order is known to run what its request needs."""
        needed = order.software_version
        if needed is None:
            return
        source = StreamSource(record=record, established_at=acquired.established_at)
        confirmed = await self._versions.confirm(source)
        if confirmed is None or confirmed.software_version != needed:
            acquired.connection.close()
            raise OrderRejected(RejectionReason.OTHER_SOFTWARE)

    async def _connect(self, record: EndpointRecord) -> AcquiredConnection:
        try:
            return await self._direct.connect(record)
        except EndpointUnreachable as error:
            reason = RejectionReason.REFUSED if error.refused else RejectionReason.UNREACHABLE
            raise OrderRejected(reason) from error
        except PathLost as error:
            raise OrderRejected(RejectionReason.NO_PATH) from error

    def _check_send(self, permitted: PermittedOrder) -> None:
        """Raise if a request must no longer be sent.

        A process that was suspended finds requests in its sockets that were decided on long ago.
        The time since the permission, by this instance's clock, bounds the age of the decision.
        """
        self._check_staying()
        now = self._read_time()
        if now - permitted.permitted_at > MAX_SEND_DELAY_S:
            raise OrderRejected(RejectionReason.LATE)
        catalog = self._fleet_state.catalog
        if catalog is None or catalog.row_version > permitted.order.row_version:
            raise OrderRejected(RejectionReason.OUTDATED)
        self._check_permit(permitted.order, permitted.record)
        try:
            self._admission.check_endpoint(permitted.record, now=now)
        except AttemptFailed as error:
            raise OrderRejected(RejectionReason.OUTDATED) from error
        if permitted.order.software_version is not None and self._versions.has_changed(
            permitted.record
        ):
            raise OrderRejected(RejectionReason.OTHER_SOFTWARE)

    async def _send(self, permitted: PermittedOrder, request: EncodedRequest) -> ResponseHead:
        """Send a request and return the head of its response as received."""
        connection = permitted.acquired.connection
        permitted.sent_at = self._read_time()
        await connection.send(request.method, request.target, request.headers, request.body)
        received = await connection.read_head()
        self._record_received(permitted)
        return received

    async def _forward_response(
        self, permitted: PermittedOrder, received: ResponseHead, writer: ResponseWriter
    ) -> EndpointResponseHead:
        """Forward a response without its end; return its decoded head."""
        connection = permitted.acquired.connection
        head = self._codec.decode_response(received.status, received.headers)
        self._statements.record(
            permitted.record,
            head,
            request_id=permitted.order.request_id,
            sent_at=permitted.sent_at,
        )
        headers = encode_response_headers(received.status, received.framing, head.headers)
        writer.start(FORWARDED_STATUS, headers)
        while (chunk := await connection.read_chunk()) is not None:
            self._record_received(permitted)
            if chunk:
                await writer.write(chunk)
        return head

    async def _confirm_end(self, permitted: PermittedOrder, head: EndpointResponseHead) -> None:
        """Raise if a response was broken off although its bytes look whole.

        The end of this instance's message would make it look complete to the other one.
        """
        ending = permitted.acquired.connection.ending
        if await self._end_check.is_broken_off(
            permitted.record, ending=ending, event_stream=head.event_stream
        ):
            raise ConnectionLost("the endpoint ended with its response")

    def _keep(self, permitted: PermittedOrder, head: EndpointResponseHead) -> bool:
        """Keep a connection on which its own response has arrived; return whether it did."""
        own = head.request_id == permitted.order.request_id
        if own:
            permitted.acquired.keep(head)
        return own

    def _record_received(self, permitted: PermittedOrder) -> None:
        self._monitor.record_received(permitted.record.service, now=self._read_time())

    def _record(self, permitted: PermittedOrder, outcome: str, framing: BodyFraming | None) -> None:
        now = self._read_time()
        self._log.write(
            "forwarded",
            now=now,
            request_id=permitted.order.request_id,
            origin=permitted.order.origin,
            endpoint=permitted.record.endpoint_id,
            outcome=outcome,
            framing=framing,
            ending=permitted.acquired.connection.ending,
            took_s=round(now - permitted.permitted_at, 4),
        )
