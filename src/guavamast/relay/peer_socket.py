"""UDP socket for heartbeats, updates and scheduling messages between instances."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from guavamast.relay.catalog_update import CATALOG_PREFIX, decode_catalog_update
from guavamast.relay.endpoint_update import ENDPOINTS_PREFIX, decode_endpoint_update
from guavamast.relay.heartbeat_messages import MalformedBeat, decode_message
from guavamast.relay.quarantine import QUARANTINE_PREFIX
from guavamast.relay.scheduling_wire import (
    SCHEDULING_PREFIX,
    MalformedScheduling,
    decode_scheduling,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.catalog_update import CatalogUpdate
    from guavamast.relay.counters import Counters
    from guavamast.relay.endpoint_update import EndpointUpdate
    from guavamast.relay.heartbeat_messages import AggregatedHeartbeat, Heartbeat, LoadUpdate
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store import InstanceRecord


class PeerSocket(asyncio.DatagramProtocol):
    """Sends and receives the datagrams between instances.

    Args:
        on_message: Called with each heartbeat, aggregated heartbeat and load update.
        on_catalog_update: Called with each catalog update and its datagram.
        on_endpoint_update: Called with each endpoint update and its datagram.
        on_quarantine_report: Called with the datagram of each quarantine report.
        on_scheduling_message: Called with each scheduling message and the address of its sender.
        counters: Metrics.
    """

    __slots__ = (
        "_counters",
        "_on_message",
        "_on_catalog_update",
        "_on_endpoint_update",
        "_on_quarantine_report",
        "_on_scheduling_message",
        "_transport",
    )

    def __init__(
        self,
        *,
        on_message: Callable[[Heartbeat | LoadUpdate | AggregatedHeartbeat], None],
        on_catalog_update: Callable[[CatalogUpdate, bytes], None],
        on_endpoint_update: Callable[[EndpointUpdate, bytes], None],
        on_quarantine_report: Callable[[bytes], None],
        on_scheduling_message: Callable[[SchedulingMessage, tuple[str, int]], None],
        counters: Counters,
    ) -> None:
        self._on_catalog_update = on_catalog_update
        self._on_endpoint_update = on_endpoint_update
        self._on_quarantine_report = on_quarantine_report
        self._on_scheduling_message = on_scheduling_message
        self._on_message = on_message
        self._counters = counters
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, ip: str, port: int) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(ip, port))

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode and dispatch a datagram; count those that are malformed."""
        try:
            if data.startswith(SCHEDULING_PREFIX):
                self._on_scheduling_message(decode_scheduling(data), addr)
            elif data.startswith(CATALOG_PREFIX):
                self._on_catalog_update(decode_catalog_update(data), data)
            elif data.startswith(ENDPOINTS_PREFIX):
                self._on_endpoint_update(decode_endpoint_update(data), data)
            elif data.startswith(QUARANTINE_PREFIX):
                self._on_quarantine_report(data)
            else:
                self._on_message(decode_message(data))
        except (MalformedBeat, MalformedScheduling):
            self._counters.add("malformed_beats_total")

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
