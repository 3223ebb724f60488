"""Connections from this instance to endpoints, which show whether a path or an endpoint is lost."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.connection_pool import CONNECT_TIMEOUT_S, REUSE_MARGIN_S, compute_idle_limit
from guavamast.relay.endpoint_connection import (
    AcquiredConnection,
    ConnectionKind,
    ConnectionLost,
    ConnectionRefused,
    EndpointUnreachable,
    PathLost,
)
from guavamast.relay.http_connection import HttpConnection
from guavamast.relay.response_end_check import ListenProbe, ListenState

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.connection_pool import ConnectionPool
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.messages import EndpointResponseHead
    from guavamast.relay.reachability import ReachabilityMonitor

COMPARED_ENDPOINTS: Final = 2
"""Endpoints of a service that are connected to when another one fails."""
COMPARISON_TIMEOUT_S: Final = 0.1
"""Seconds for these connections: many round trips, and few enough that the request that waits can
still go through another instance in time."""
UNUSED_KEEP_S: Final = 0.5
"""Seconds for which a connection that was opened to show the path is kept for a request: an
endpoint states its idle timeout with its first response only."""


class DirectConnector(ListenProbe):
    """Opens and keeps connections to endpoints.

    Args:
        pool: Idle connections.
        monitor: Records the signs of life of each service.
        fleet_state: Endpoints, services and other instances.
        on_blocked: Called with each service whose path is found to be lost.
        on_restored: Called with each service that is reached again, and the seconds until then.
        random: Selects the endpoints that a failed one is compared with.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_comparisons",
        "_fleet_state",
        "_monitor",
        "_on_blocked",
        "_on_restored",
        "_pool",
        "_random",
        "_read_time",
    )

    def __init__(
        self,
        *,
        pool: ConnectionPool,
        monitor: ReachabilityMonitor,
        fleet_state: FleetState,
        on_blocked: Callable[[str], None],
        on_restored: Callable[[str, float], None],
        random: Random,
        read_time: Callable[[], float],
    ) -> None:
        self._pool = pool
        self._monitor = monitor
        self._fleet_state = fleet_state
        self._on_blocked = on_blocked
        self._on_restored = on_restored
        self._random = random
        self._read_time = read_time
        self._comparisons: dict[str, asyncio.Task[bool]] = {}
        """Comparison in progress, by service."""

    def find_kept(self, record: EndpointRecord) -> AcquiredConnection | None:
        """Return an idle connection to an endpoint whose service was lately heard."""
        now = self._read_time()
        if not self._monitor.has_proof(record.service, now=now):
            return None
        connection = self._pool.acquire(record.endpoint_id, now=now)
        return None if connection is None else self._wrap(record, connection, ConnectionKind.KEPT)

    async def connect(self, record: EndpointRecord) -> AcquiredConnection:
        """Open a connection to an endpoint.

        Raises:
            EndpointUnreachable: It failed, and other endpoints of the service can be reached.
            PathLost: It failed, and so did the others.
        """
        started_at = self._read_time()
        try:
            connection = await HttpConnection.open(
                record.host, record.port, timeout_s=CONNECT_TIMEOUT_S
            )
        except ConnectionLost as error:
            if not await self._has_path(record, since=started_at):
                raise PathLost(str(error)) from error
            refused = isinstance(error, ConnectionRefused)
            raise EndpointUnreachable(str(error), refused=refused) from error
        connection.established_at = self._read_time()
        self._record_connected(record)
        return self._wrap(record, connection, ConnectionKind.NEW)

    async def _has_path(self, record: EndpointRecord, *, since: float) -> bool:
        """Return whether another endpoint of the service of a failed one can be connected to.

        Args:
            record: The endpoint that failed.
            since: Local time from which on a connection to another endpoint shows this.
        """
        service = record.service
        if self._monitor.has_connected_to_other(service, record.endpoint_id, since=since):
            return True
        if self._monitor.is_blocked(service):
            return False
        comparison = self._comparisons.get(service)
        if comparison is None or comparison.done():
            comparison = asyncio.ensure_future(self._compare(record))
            self._comparisons[service] = comparison
        return await asyncio.shield(comparison)

    async def probe(self, record: EndpointRecord, *, timeout_s: float = CONNECT_TIMEOUT_S) -> bool:
        """Return whether an endpoint accepts a connection, which is then kept for a request."""
        try:
            await self._open_unused(record, timeout_s=timeout_s)
        except ConnectionLost:
            return False
        return True

    async def check_listening(self, record: EndpointRecord, *, timeout_s: float) -> ListenState:
        """Return what an endpoint's host does with a connection; one that it accepts is kept.

        It isn't compared with other endpoints: they may have ended together.
        """
        try:
            await self._open_unused(record, timeout_s=timeout_s)
        except ConnectionRefused:
            return ListenState.REFUSED
        except ConnectionLost:
            return ListenState.SILENT
        return ListenState.ACCEPTED

    async def _open_unused(self, record: EndpointRecord, *, timeout_s: float) -> None:
        """Open a connection and keep it for a request.

        Raises:
            ConnectionLost: It was not established within the timeout.
        """
        connection = await HttpConnection.open(record.host, record.port, timeout_s=timeout_s)
        connection.established_at = self._read_time()
        self._record_connected(record)
        self._keep(record, connection, keep_alive_s=UNUSED_KEEP_S + REUSE_MARGIN_S)

    async def _compare(self, record: EndpointRecord) -> bool:
        """Connect to endpoints that have little in common with one that failed."""
        others = self._list_others(record)
        self._random.shuffle(others)
        others.sort(key=lambda other: other.failure_domain == record.failure_domain)
        probes = [
            asyncio.ensure_future(self.probe(other, timeout_s=COMPARISON_TIMEOUT_S))
            for other in others[:COMPARED_ENDPOINTS]
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe:
                    return True
        finally:
            for probe in probes:
                probe.cancel()
        if self._monitor.record_blocked(record.service, now=self._read_time()):
            self._on_blocked(record.service)
        return False

    def _list_others(self, record: EndpointRecord) -> list[EndpointRecord]:
        """Return the other endpoints of a service, or those of other services if it has none."""
        ready = [
            other
            for other in self._fleet_state.endpoints.list_all()
            if other.ready and other.endpoint_id != record.endpoint_id
        ]
        return [other for other in ready if other.service == record.service] or ready

    def _record_connected(self, record: EndpointRecord) -> None:
        blocked_s = self._monitor.record_connected(
            record.service, record.endpoint_id, now=self._read_time()
        )
        if blocked_s is not None:
            self._on_restored(record.service, blocked_s)

    def _wrap(
        self, record: EndpointRecord, connection: HttpConnection, kind: ConnectionKind
    ) -> AcquiredConnection:
        def keep(head: EndpointResponseHead) -> None:
            keep_alive_s = None if head.closes_connection else head.keep_alive_s
            self._keep(record, connection, keep_alive_s=keep_alive_s)

        return AcquiredConnection(
            connection=connection,
            kind=kind,
            keep=keep,
            established_at=connection.established_at,
        )

    def _keep(
        self, record: EndpointRecord, connection: HttpConnection, *, keep_alive_s: float | None
    ) -> None:
        service = self._fleet_state.find_service(record.service)
        max_connections = service.max_connections if service is not None else 1
        self._pool.release(
            record.endpoint_id,
            connection,
            keep_alive_s=keep_alive_s,
            limit=compute_idle_limit(max_connections, self._fleet_state.count_instances()),
            now=self._read_time(),
        )
