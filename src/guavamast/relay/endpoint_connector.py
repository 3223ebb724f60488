"""Connections to endpoints: directly, or through another instance while the direct path is lost."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.endpoint_connection import (
    AcquiredConnection,
    EndpointUnreachable,
    NotForwarded,
    PathLost,
)
from guavamast.relay.response_end_check import ListenProbe

if TYPE_CHECKING:
    from guavamast.relay.direct_connector import DirectConnector
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.forwarding import ForwardClient
    from guavamast.relay.reachability import ReachabilityMonitor
    from guavamast.relay.response_end_check import ListenState
    from guavamast.relay.stream_binding import StreamBinding


class EndpointConnector(ListenProbe):
    """Finds a connection to an endpoint for one request.

    Args:
        direct: Connects from this instance.
        forwarding: Connects through other instances.
        monitor: Services that this instance doesn't reach.
    """

    __slots__ = ("_direct", "_forwarding", "_monitor")

    def __init__(
        self,
        *,
        direct: DirectConnector,
        forwarding: ForwardClient,
        monitor: ReachabilityMonitor,
    ) -> None:
        self._direct = direct
        self._forwarding = forwarding
        self._monitor = monitor

    async def connect(
        self,
        record: EndpointRecord,
        *,
        request_id: str,
        row_version: int,
        binding: StreamBinding | None = None,
        permitted: bool = False,
    ) -> AcquiredConnection:
        """Return a connection to an endpoint; nothing of the request has been sent yet.

        Args:
            record: The endpoint.
            request_id: Id of the request.
            row_version: Row version of the configuration by which it was admitted.
            binding: What the endpoint must be known to run; None if it may run anything.
            permitted: Whether the request is permitted under the endpoint's rate limit.

        Raises:
            EndpointUnreachable: The endpoint can't be connected to, while others can.
            NotForwarded: Another instance knows that the endpoint or the configuration has changed.
            PathLost: There is no way to the endpoints of the service.
        """
        kept = self._direct.find_kept(record)
        if kept is not None:
            return kept
        was_blocked = self._monitor.is_blocked(record.service)
        if not was_blocked:
            try:
                return await self._direct.connect(record)
            except PathLost:
                pass  # Logged by the connector; there may be another way.
        try:
            return await self._forwarding.connect(
                record,
                request_id=request_id,
                row_version=row_version,
                binding=binding,
                permitted=permitted,
            )
        except PathLost:
            if not was_blocked:
                raise
        return await self._direct.connect(record)

    async def check_listening(self, record: EndpointRecord, *, timeout_s: float) -> ListenState:
        """Return what an endpoint's host does with a connection that is opened directly."""
        return await self._direct.check_listening(record, timeout_s=timeout_s)

    async def is_refused(self, record: EndpointRecord, *, row_version: int) -> bool:
        """Return whether an endpoint's host refuses connections, as seen from a sound path.

        Behind a partition that resets connections, every host seems to refuse.
        """
        try:
            acquired = await self._connect_for_check(record, row_version=row_version)
        except EndpointUnreachable as error:
            return error.refused
        except (NotForwarded, PathLost):
            return False
        acquired.connection.close()
        return False

    async def is_accepting(self, record: EndpointRecord, *, row_version: int) -> bool:
        """Return whether an endpoint's host accepts a connection."""
        try:
            acquired = await self._connect_for_check(record, row_version=row_version)
        except (EndpointUnreachable, NotForwarded, PathLost):
            return False
        acquired.connection.close()
        return True

    async def _connect_for_check(
        self, record: EndpointRecord, *, row_version: int
    ) -> AcquiredConnection:
        """Connect to an endpoint, through another instance if this one doesn't reach its service.

        Raises:
            EndpointUnreachable, NotForwarded, PathLost: There is no connection.
        """
        if self._monitor.is_blocked(record.service):
            # No request follows, so none of the endpoint's limits counts.
            return await self._forwarding.connect(
                record, request_id="", row_version=row_version, permitted=True
            )
        return await self._direct.connect(record)
