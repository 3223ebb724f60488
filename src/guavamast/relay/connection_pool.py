"""Idle connections to endpoints, and when they may be reused."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.http_connection import HttpConnection

CONNECT_TIMEOUT_S: Final = 0.35
"""Seconds to connect: beyond them the endpoint is unreachable or overloaded."""
REUSE_MARGIN_S: Final = 0.6
"""Seconds before the server's idle timeout at which a connection is no longer reused: covers the
network latency of a message and a pause of either process."""
MAX_IDLE_PER_ENDPOINT: Final = 12
"""Connections that are kept idle to one endpoint at most."""
IDLE_CONNECTION_SHARE: Final = 0.5
"""Share of an endpoint's connection limit that all instances together keep idle."""


@dataclass(slots=True, kw_only=True)
class _IdleConnection:
    connection: HttpConnection
    usable_until: float


class ConnectionPool:
    """Idle connections by endpoint.

    Connections are keyed by endpoint id, so that one is never used for another endpoint that is
    assigned the same address later.
    """

    __slots__ = ("_idle",)

    def __init__(self) -> None:
        self._idle: dict[str, deque[_IdleConnection]] = {}

    def acquire(self, endpoint_id: str, *, now: float) -> HttpConnection | None:
        """Return an idle, quiet connection that its server holds open, most recently used first."""
        idle = self._idle.get(endpoint_id)
        while idle:
            entry = idle.pop()
            connection = entry.connection
            usable = connection.reusable and now < entry.usable_until
            if usable and not connection.has_unread_input():
                return connection
            connection.close()
        return None

    def release(
        self,
        endpoint_id: str,
        connection: HttpConnection,
        *,
        keep_alive_s: float | None,
        limit: int,
        now: float,
    ) -> None:
        """Keep a connection after a complete response, or close it.

        Args:
            endpoint_id: The endpoint that it connects to.
            connection: The connection.
            keep_alive_s: Seconds until its server closes it, as stated in the response.
            limit: Maximum idle connections to this endpoint.
            now: The current time.
        """
        idle = self._idle.setdefault(endpoint_id, deque())
        usable_s = (keep_alive_s or 0.0) - REUSE_MARGIN_S
        if not connection.reusable or usable_s <= 0 or len(idle) >= limit:
            connection.close()
            return
        idle.append(_IdleConnection(connection=connection, usable_until=now + usable_s))

    def discard(self, endpoint_id: str) -> None:
        """Close all idle connections to an endpoint."""
        for entry in self._idle.pop(endpoint_id, ()):
            entry.connection.close()

    def retain(self, endpoint_ids: set[str], *, now: float) -> None:
        """Close the connections to endpoints that are gone and those that can't be reused."""
        for endpoint_id in list(self._idle):
            idle = self._idle[endpoint_id]
            known = endpoint_id in endpoint_ids
            retained = deque(
                e for e in idle if known and e.connection.reusable and now < e.usable_until
            )
            for entry in idle:
                if entry not in retained:
                    entry.connection.close()
            if retained:
                self._idle[endpoint_id] = retained
            else:
                del self._idle[endpoint_id]


def compute_idle_limit(max_connections: int, instances: int) -> int:
    """Return how many idle connections one instance may keep to one endpoint.

    Args:
        max_connections: Connections that the endpoint accepts from all instances.
        instances: Number of instances that send to it.
    """
    share = int(max_connections * IDLE_CONNECTION_SHARE / max(1, instances))
    return max(1, min(MAX_IDLE_PER_ENDPOINT, share))
