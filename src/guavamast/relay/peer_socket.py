"""UDP socket for heartbeats, updates and scheduling messages between instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast.decoding import MalformedData
from guavamast.relay.catalog_update import CATALOG_PREFIX, decode_catalog_update
from guavamast.relay.duty_settings import DUTY_PREFIX
from guavamast.relay.endpoint_update import ENDPOINTS_PREFIX, decode_endpoint_update
from guavamast.relay.heartbeat_wire import decode_message
from guavamast.relay.quarantine import QUARANTINE_PREFIX
from guavamast.relay.rate_limits import RATE_LIMIT_PREFIX
from guavamast.relay.reachability import REACHABILITY_PREFIX
from guavamast.relay.rejection_limits import REJECTION_LIMIT_PREFIX
from guavamast.relay.scheduling_wire import (
    SCHEDULING_PREFIX,
    decode_scheduling,
)
from guavamast.relay.stream_binding import BINDING_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.peer_messages import PeerMessages
    from guavamast.relay.store import InstanceRecord


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives the datagrams between instances.

    Args:
        counters: Metrics.
    """

    __slots__ = ("_counters", "_handlers", "_messages", "_transport")

    def __init__(self, *, counters: Counters) -> None:
        self._counters = counters
        self._messages: PeerMessages | None = None
        self._handlers: dict[bytes, Callable[[bytes, tuple[str, int]], None]] = {}
        """What handles a datagram, by its first byte."""
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, ip: str, port: int, *, messages: PeerMessages) -> None:
        """Bind the socket.

        Args:
            ip: Address to bind.
            port: UDP port to bind.
            messages: Receives what other instances send.
        """
        self._messages = messages
        self._handlers = _build_handlers(messages)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and dispatch a datagram; count those that are malformed."""
        handle = self._handlers.get(data[:1], self._handle_other)
        try:
            handle(data, addr)
        except MalformedData:
            self._counters.add("malformed_beats_total")

    def _handle_other(self, data: bytes, source: tuple[str, int]) -> None:
        """Handle a heartbeat or an update, whose first byte isn't fixed."""
        del source
        assert self._messages is not None
        self._messages.receive(decode_message(data))

    def error_received(self, exc: Exception) -> None:
        """Count a datagram that could not be delivered; the next heartbeat replaces it."""
        self._counters.add(f'beat_errors_total{{error="{type(exc).__name__}"}}')

    def send(self, data: bytes, target: InstanceRecord) -> None:
        """Send a datagram to an instance and count it."""
        self.send_to(data, (target.ip, target.peer_port))
        self._counters.add("beats_sent_total")

    def send_to(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram to an address."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


def _build_handlers(
    messages: PeerMessages,
) -> dict[bytes, Callable[[bytes, tuple[str, int]], None]]:
    """Return what handles a datagram, by its first byte."""
    return {
        SCHEDULING_PREFIX: lambda data, source: messages.receive_scheduling(
            decode_scheduling(data), source
        ),
        CATALOG_PREFIX: lambda data, _: messages.receive_catalog(decode_catalog_update(data), data),
        ENDPOINTS_PREFIX: lambda data, _: messages.receive_endpoints(
            decode_endpoint_update(data), data
        ),
        QUARANTINE_PREFIX: lambda data, _: messages.receive_quarantine(data),
        REACHABILITY_PREFIX: lambda data, _: messages.receive_reachability(data),
        RATE_LIMIT_PREFIX: messages.receive_rate_limits,
        REJECTION_LIMIT_PREFIX: lambda data, _: messages.receive_rejection_limit(data),
        BINDING_PREFIX: messages.receive_binding,
        DUTY_PREFIX: lambda data, _: messages.receive_duty(data),
    }
