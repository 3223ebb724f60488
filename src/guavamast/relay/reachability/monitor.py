"""Which services this instance reaches, from its own connections to their endpoints."""

from __future__ import annotations

from typing import Final

PROOF_LIFETIME_S: Final = 1.0
"""Seconds after the last sign of life of a service for which idle connections to its endpoints are
reused."""


class _Service:
    """Signs of life of one service's endpoints, with local times in seconds."""

    __slots__ = ("blocked_since", "connected_at", "heard_at")

    def __init__(self) -> None:
        self.connected_at: dict[str, float] = {}
        """When a new connection to an endpoint was last established, by endpoint id."""
        self.heard_at: float | None = None
        """When any of its endpoints last accepted a connection or sent something."""
        self.blocked_since: float | None = None
        """Since when new connections to unlike endpoints have failed; None while they succeed."""


class ReachabilityMonitor:
    """Tells a lost path from a failed endpoint, for each service.

    An endpoint that ends and a partition of this instance look the same on one connection. They
    differ in whether the service's other endpoints are reached at the same time.
    """

    __slots__ = ("_services",)

    def __init__(self) -> None:
        self._services: dict[str, _Service] = {}

    def record_connected(self, service: str, endpoint_id: str, *, now: float) -> float | None:
        """Record a new connection to an endpoint.

        Returns:
            The seconds for which the service was blocked until now; None if it was not.
        """
        state = self._get(service)
        state.connected_at[endpoint_id] = now
        state.heard_at = now
        blocked_since, state.blocked_since = state.blocked_since, None
        return None if blocked_since is None else now - blocked_since

    def record_received(self, service: str, *, now: float) -> None:
        """Record that an endpoint has sent something."""
        self._get(service).heard_at = now

    def record_blocked(self, service: str, *, now: float) -> bool:
        """Record that unlike endpoints were tried in vain; return whether this is new."""
        state = self._get(service)
        is_new = state.blocked_since is None
        if is_new:
            state.blocked_since = now
        return is_new

    def is_blocked(self, service: str) -> bool:
        """Return whether new connections to the endpoints of a service fail from here."""
        state = self._services.get(service)
        return state is not None and state.blocked_since is not None

    def list_blocked(self) -> tuple[str, ...]:
        """Return the services whose endpoints can't be connected to from here, by name."""
        return tuple(sorted(name for name in self._services if self.is_blocked(name)))

    def has_proof(self, service: str, *, now: float) -> bool:
        """Return whether a service's endpoints have lately been heard.

        Behind a silent partition a request on an idle connection is lost, and one that may run only
        once can't be sent again. Without a recent sign of life, a new connection shows the path.
        """
        silence_s = self.compute_silence(service, now=now)
        return silence_s is not None and silence_s <= PROOF_LIFETIME_S

    def has_connected_to_other(self, service: str, endpoint_id: str, *, since: float) -> bool:
        """Return whether another endpoint of a service was connected to since a time."""
        state = self._services.get(service)
        return state is not None and any(
            connected_at >= since and other != endpoint_id
            for other, connected_at in state.connected_at.items()
        )

    def compute_silence(self, service: str, *, now: float) -> float | None:
        """Return the seconds since the last sign of life of a service; None without any."""
        state = self._services.get(service)
        if state is None or state.heard_at is None:
            return None
        return now - state.heard_at

    def retain(self, endpoint_ids: set[str], *, services: set[str]) -> None:
        """Drop the endpoints and services that are gone."""
        self._services = {key: one for key, one in self._services.items() if key in services}
        for state in self._services.values():
            state.connected_at = {
                key: at for key, at in state.connected_at.items() if key in endpoint_ids
            }

    def _get(self, service: str) -> _Service:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _Service()
        return state
