"""Sends requests to endpoints through another instance that reaches them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.decoding import MalformedData
from guavamast.relay.connection_pool import CONNECT_TIMEOUT_S
from guavamast.relay.endpoint_connection import (
    AcquiredConnection,
    ConnectionKind,
    ConnectionLost,
    EndpointConnection,
    EndpointUnreachable,
    MalformedAnswer,
    NotForwarded,
    PathLost,
    ResponseHead,
)
from guavamast.relay.forwarding.protocol import (
    FORWARDED_STATUS,
    METHOD,
    TARGET,
    ForwardOrder,
    OrderRejected,
    RejectionReason,
    decode_rejection,
    decode_response_head,
    encode_order,
    encode_request,
)
from guavamast.relay.http_connection import HttpConnection
from guavamast.relay.loop_timeout import wait_in_steps
from guavamast.relay.response_end import BodyEnding, BodyFraming

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.connection_pool import ConnectionPool
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.forwarding.choice import ForwarderChoice
    from guavamast.relay.messages import EndpointResponseHead, Header
    from guavamast.relay.store import InstanceRecord
    from guavamast.relay.stream_binding import StreamBinding

MAX_FORWARDERS: Final = 2
"""Instances that are asked for one attempt."""
ORDER_TIMEOUT_S: Final = CONNECT_TIMEOUT_S + 0.1
"""Seconds for an instance to connect to the endpoint and say so."""
AVOID_S: Final = 1.0
"""Seconds for which an instance that failed to forward is not asked again."""
LINK_KEEP_ALIVE_S: Final = 10.0
"""Seconds for which an idle connection to another instance is kept."""
MAX_LINKS: Final = 8
"""Connections that are kept idle to one instance at most."""
SYNC_TIMEOUT_S: Final = 0.3
"""Seconds to read a configuration that another instance has already."""


class ForwardedConnection(EndpointConnection):
    """A connection to an endpoint that leads through another instance.

    Args:
        link: The connection to that instance, which has permitted to send a request.
        on_rejected: Called if the instance states afterwards that it has not sent the request.
    """

    __slots__ = ("_framing", "_link", "_on_rejected")

    def __init__(self, *, link: HttpConnection, on_rejected: Callable[[], None]) -> None:
        self._framing: BodyFraming | None = None
        self._link = link
        self._on_rejected = on_rejected

    @property
    def ending(self) -> BodyEnding:
        """How the response has ended.

        The other instance ends its message in order when the endpoint closes its connection so.
        """
        ending = self._link.ending
        if ending is BodyEnding.FRAMED and self._framing is BodyFraming.CONNECTION:
            return BodyEnding.CLOSED
        return ending

    async def send(self, method: str, target: str, headers: list[Header], body: bytes) -> None:
        """Send a complete request."""
        await self._link.send_body(encode_request(method, target, headers, body))

    async def read_head(self) -> ResponseHead:
        """Return the head of the endpoint's response."""
        head = await self._link.read_head()
        if head.framing is BodyFraming.CONNECTION:
            raise MalformedAnswer("forwarded: the message doesn't mark its end")
        try:
            if head.status == FORWARDED_STATUS:
                endpoint_head = decode_response_head(head)
                self._framing = endpoint_head.framing
                return endpoint_head
            reason = decode_rejection(head)
        except MalformedData as error:
            raise MalformedAnswer(f"forwarded: {error}") from error
        self._on_rejected()
        raise NotForwarded(f"not forwarded: {reason}")

    async def read_chunk(self) -> bytes | None:
        """Return the next bytes of the endpoint's response."""
        return await self._link.read_chunk()

    def pause_reading(self) -> None:
        """Read nothing ahead until the next bytes are asked for."""
        self._link.pause_reading()

    def close(self) -> None:
        """Close the link, so that the other instance closes its connection to the endpoint."""
        self._link.close()


class ForwardClient:
    """Finds an instance that forwards a request, and a connection through it.

    Args:
        record: This instance.
        choice: Ranks the other instances.
        fleet_state: The other instances, and the configuration.
        links: Idle connections to other instances, by name.
        read_catalog: Reads the configuration from the store.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_avoided_until",
        "_choice",
        "_counters",
        "_fleet_state",
        "_links",
        "_log",
        "_read_catalog",
        "_read_time",
        "_record",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        choice: ForwarderChoice,
        fleet_state: FleetState,
        links: ConnectionPool,
        read_catalog: Callable[[], Awaitable[bool]],
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._record = record
        self._choice = choice
        self._fleet_state = fleet_state
        self._links = links
        self._read_catalog = read_catalog
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._avoided_until: dict[str, float] = {}

    async def connect(
        self,
        record: EndpointRecord,
        *,
        request_id: str,
        row_version: int,
        binding: StreamBinding | None = None,
        permitted: bool = False,
    ) -> AcquiredConnection:
        """Return a connection to an endpoint through another instance.

        Args:
            record: The endpoint.
            request_id: Id of the request, for the log of the other instance.
            row_version: Row version of the configuration by which it was admitted.
            binding: What the endpoint must be known to run; None if it may run anything.
            permitted: Whether the request is permitted under the endpoint's rate limit.

        Raises:
            EndpointUnreachable: Another instance reaches the service, but not the endpoint.
            NotForwarded: Another instance knows that the endpoint or the configuration has changed.
            PathLost: No instance is known that reaches the service, or those asked didn't.
        """
        order = ForwardOrder(
            endpoint_id=record.endpoint_id,
            row_version=row_version,
            request_id=request_id,
            origin=self._record.name,
            software_version=binding.software_version if binding is not None else None,
            permitted=permitted,
        )
        for forwarder in self._rank(record.service)[:MAX_FORWARDERS]:
            try:
                link = await self._ask(forwarder, order)
            except OrderRejected as rejection:
                self._record_failure(forwarder, order, str(rejection.reason))
                if rejection.reason in (RejectionReason.BUSY, RejectionReason.NO_PATH):
                    self._avoid(forwarder)
                await self._raise_for(rejection.reason)
            except (ConnectionLost, MalformedAnswer, MalformedData, TimeoutError) as error:
                # Other idle links may be as silent as this one.
                self._links.discard(forwarder.name)
                self._record_failure(forwarder, order, type(error).__name__)
                self._avoid(forwarder)
            else:
                self._count("accepted")
                return self._wrap(forwarder, link)
        raise PathLost("no other instance reaches the service")

    def retain(self, instances: set[str], *, now: float) -> None:
        """Drop connections to instances that are gone, and old failures."""
        self._links.retain(instances, now=now)
        self._avoided_until = {
            name: until for name, until in self._avoided_until.items() if until > now
        }

    async def _ask(self, forwarder: InstanceRecord, order: ForwardOrder) -> HttpConnection:
        """Return a link on which the request may be sent.

        Raises:
            OrderRejected: The other instance does not forward it.
            ConnectionLost: The link ended first.
            MalformedAnswer: The other instance sent no response.
            MalformedData: Its response is neither a permission nor a rejection.
            TimeoutError: It did not respond in time.
        """
        link = await self._open_link(forwarder)
        try:
            host = f"{forwarder.ip}:{forwarder.peer_port}"
            await link.send_head(METHOD, TARGET, encode_order(order, host=host))
            rejection = await wait_in_steps(link.wait_continue(), timeout_s=ORDER_TIMEOUT_S)
            if rejection is not None:
                raise OrderRejected(decode_rejection(rejection))
        except BaseException:
            link.close()
            raise
        return link

    async def _open_link(self, forwarder: InstanceRecord) -> HttpConnection:
        link = self._links.acquire(forwarder.name, now=self._read_time())
        if link is not None:
            return link
        return await HttpConnection.open(
            forwarder.ip, forwarder.peer_port, timeout_s=CONNECT_TIMEOUT_S
        )

    async def _raise_for(self, reason: RejectionReason) -> None:
        """Raise if another instance would give the same answer."""
        if reason in (RejectionReason.UNREACHABLE, RejectionReason.REFUSED):
            refused = reason is RejectionReason.REFUSED
            raise EndpointUnreachable(f"forwarded: {reason}", refused=refused)
        if reason is RejectionReason.RATE_LIMITED:
            raise NotForwarded(f"not forwarded: {reason}")
        if reason is RejectionReason.OUTDATED:
            await self._synchronize()
            raise NotForwarded(f"not forwarded: {reason}")

    async def _synchronize(self) -> None:
        """Read the configuration, as another instance knows a newer one.

        Without this, the request would be admitted and rejected again until the news arrives.
        """
        reading = asyncio.ensure_future(self._read_catalog())
        await asyncio.wait((reading,), timeout=SYNC_TIMEOUT_S)

    def _rank(self, service: str) -> list[InstanceRecord]:
        now = self._read_time()
        avoided = {name for name, until in self._avoided_until.items() if until > now}
        live = self._fleet_state.peers.list_live(now=now)
        return self._choice.rank(service, live, avoided=avoided, now=now)

    def _record_failure(self, forwarder: InstanceRecord, order: ForwardOrder, reason: str) -> None:
        """Log why an instance does not forward a request."""
        self._count(reason)
        self._log.write(
            "forward_failed",
            now=self._read_time(),
            request_id=order.request_id,
            endpoint=order.endpoint_id,
            forwarder=forwarder.name,
            reason=reason,
        )

    def _avoid(self, forwarder: InstanceRecord) -> None:
        self._avoided_until[forwarder.name] = self._read_time() + AVOID_S

    def _wrap(self, forwarder: InstanceRecord, link: HttpConnection) -> AcquiredConnection:
        def keep(head: EndpointResponseHead) -> None:
            self._links.release(
                forwarder.name,
                link,
                keep_alive_s=None if head.closes_connection else LINK_KEEP_ALIVE_S,
                limit=MAX_LINKS,
                now=self._read_time(),
            )

        return AcquiredConnection(
            connection=ForwardedConnection(link=link, on_rejected=lambda: self._avoid(forwarder)),
            kind=ConnectionKind.FORWARDED,
            keep=keep,
            # The other instance had its connection by the time of its permission.
            established_at=self._read_time(),
            forwarder=forwarder.name,
        )

    def _count(self, outcome: str) -> None:
        self._counters.add(f'forward_orders_total{{outcome="{outcome}"}}')
