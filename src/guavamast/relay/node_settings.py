"""Settings of one instance of the relay."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.relay.sharing import NO_SHARING, SharingPolicy
from guavamast.relay.store import InstanceRecord

if TYPE_CHECKING:
    from guavamast.relay.duty_settings import DutySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class SocketAddress:
    """Address that a listener binds or a server listens on."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeSettings:
    """Location, addresses and time bounds of one instance."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers: SocketAddress
    """Listener for callers' requests."""
    directory: SocketAddress | None
    """Listener for callers that look up instance addresses."""
    readiness: SocketAddress | None
    """Listener for the platform's readiness checks."""
    metrics: SocketAddress
    peers: SocketAddress
    """Port of other instances: by UDP their messages, by TCP the requests to forward."""
    store: SocketAddress
    change_s: float
    """Time after which a changed configuration must be in force."""
    leaving_s: float
    """Time after which a leaving endpoint must receive nothing."""
    revocation_s: float
    """Time after which a revoked key must not work."""
    grace_s: float
    """Time from the stop signal until the platform kills the process."""
    spread_s: float
    """Time in which all instances must know what one of them has learned."""
    retry_ratio: float
    """Retries allowed per request in a window."""
    retry_slack: float
    """Retries allowed in a window beyond the ratio, over all instances."""
    retry_window_s: float
    link_mbps: float = 0.0
    """Bandwidth of the instance's network link in Mbit/s; 0 if not stated."""
    processor_share: float = 0.0
    """CPU cores that the process may use; 0 if not stated."""
    memory_bytes: int = 0
    """Memory in bytes beyond which the process is killed; 0 if not stated."""
    memory_pressure: bool = False
    """Whether engines end when the requests that they hold exceed their KV cache."""
    duties: DutySettings | None = None
    """Duties that one instance at a time performs for the fleet; None if there are none."""
    sharing: SharingPolicy = NO_SHARING
    """How organisations share the engines of a service."""

    def build_record(self) -> InstanceRecord:
        """Return the record by which the other instances know this one."""
        return InstanceRecord(
            name=self.name,
            ip=self.ip,
            failure_domain=self.failure_domain,
            region=self.region,
            callers_address=str(self.callers),
            peer_port=self.peers.port,
            link_mbps=self.link_mbps,
            processor_share=self.processor_share,
        )
