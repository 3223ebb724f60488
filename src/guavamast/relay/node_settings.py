"""What one instance of the relay is told at its start."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketAddress:
    """Where a listener is bound or a server reached."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Place, addresses and bounds of one instance."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers: SocketAddress
    """Listener for callers' requests."""
    directory: SocketAddress | None
    """Listener for callers that ask where to connect."""
    readiness: SocketAddress | None
    """Listener for the platform's checks."""
    metrics: SocketAddress
    peers: SocketAddress
    """UDP socket for the beats of other instances."""
    store: SocketAddress
    change_s: float
    """Time after which a changed configuration must be in force."""
    leaving_s: float
    """Time after which an endpoint that leaves must get nothing more."""
    revocation_s: float
    """Time after which a key that was taken away must not work."""
    grace_s: float
    """Time from the request to stop until the process is killed."""
    repeat_ratio: float
    """Repeats allowed for each request of a window."""
    repeat_slack: float
    """Repeats allowed in a window beyond the ratio, over all instances."""
    repeat_window_s: float
    link_mbps: float = 0.0
    """Width of the instance's link in Mbit/s; 0 if not stated."""
    processor_share: float = 0.0
    """Cores that the process may use; 0 if not stated."""
