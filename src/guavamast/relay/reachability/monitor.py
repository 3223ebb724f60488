"""Which services this instance reaches, from its own connections to their endpoints."""

from __future__ import annotations


class _Service:
    """Signs of life of one service's endpoints, with local times in seconds."""

    __slots__ = ("connected_at", "heard_at")

    def __init__(self) -> None:
        self.connected_at: dict[str, float] = {}
        """When a new connection to an endpoint was last established, by endpoint id."""
        self.heard_at: float | None = None
        """When any of its endpoints last accepted a connection or sent something."""


class ReachabilityMonitor:
    """Tells a lost path from a failed endpoint, for each service.

    An endpoint that ends and a partition of this instance look the same on one connection. They
    differ in whether the service's other endpoints are reached at the same time.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_connected(self, service: str, endpoint_id: str, *, now: float) -> None:
        """Record a new connection to an endpoint."""
        state = self._get(service)
        state.connected_at[endpoint_id] = now
        state.heard_at = now

    def record_received(self, service: str, *, now: float) -> None:
        """Record that an endpoint has sent something."""
        self._get(service).heard_at = now

    def compute_silence(self, service: str, *, now: float) -> float | None:
        """Return the seconds since the last sign of life of a service; None without any."""
        state = self._services.get(service)
        if state is None or state.heard_at is None:
            return None
        return now - state.heard_at

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the endpoints that are gone."""
        for state in self._services.values():
            state.connected_at = {
                key: at for key, at in state.connected_at.items() if key in endpoint_ids
            }

    def _get(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        return state
