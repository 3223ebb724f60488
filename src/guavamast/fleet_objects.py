"""The fleet's configuration and the objects that it describes.

All are immutable; durations are in seconds unless a name says otherwise.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from enum import StrEnum
from types import MappingProxyType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True, kw_only=True)
class FailureDomain:
    """A set of machines that fail together."""

    name: str
    region: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """A machine that runs an entry and a dispatcher."""

    name: str
    failure_domain: FailureDomain
    caller_address: str
    """``ip:port`` of the entry's HTTP listener."""
    peer_address: str
    """``ip:port`` of the dispatcher's gRPC listener."""

    def with_peer_address(self, address: str) -> Instance:
        """Return a copy with the bound address of the dispatcher's listener."""
        return replace(self, peer_address=address)

    def with_caller_address(self, address: str) -> Instance:
        """Return a copy with the bound address of the entry's listener."""
        return replace(self, caller_address=address)


class EndpointKind(StrEnum):
    """What an endpoint runs."""

    ENGINE = "engine"
    SERVICE = "service"


class EndpointState(StrEnum):
    """State that the operators request for an endpoint or instance."""

    ACTIVE = "active"
    LEAVING = "leaving"


class Fencing(StrEnum):
    """Whether an endpoint rejects an order with an outdated fencing number."""

    CHECKED = "checked"
    IGNORED = "ignored"


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An engine or a plain service that requests are sent to."""

    name: str
    kind: EndpointKind
    url: str
    failure_domain: str
    slots: int
    """Requests that it runs concurrently."""
    service: str = ""
    """Name of the service; empty for an engine."""
    models: frozenset[str] = frozenset()
    fencing: Fencing = Fencing.CHECKED
    state: EndpointState = EndpointState.ACTIVE


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceClass:
    """A tier with its latency targets, share and queue limit. Tier 1 is the highest."""

    name: str
    tier: int
    first_token_ms: float
    token_interval_ms: float
    completion_s: float
    guaranteed_share: float
    """Share of request starts, 0 to 1, that the class gets while it has waiting requests."""
    queue_limit: int
    """Requests of the class that may wait at one endpoint's keeper."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Contract:
    """Limits of an organisation and the class of each kind of request it may send."""

    requests_per_second: float
    concurrent: int
    classes: Mapping[str, str]
    """Name of the class by kind of request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Organisation:
    """A customer whose callers share one key and one contract."""

    name: str
    key_sha256: str
    contract: Contract


@dataclass(frozen=True, slots=True, kw_only=True)
class CallRule:
    """Retry and timeout rules of one call of a plain service."""

    service: str
    call: str
    idempotent: bool
    timeout_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """A language model and the version that engines have to run."""

    name: str
    version: str


def _empty() -> MappingProxyType:
    return MappingProxyType({})


@dataclass(frozen=True, slots=True, kw_only=True)
class Configuration:
    """A version of the fleet's configuration."""

    version: int
    """0 means that there is no configuration yet; each accepted plan adds 1."""
    text: str = ""
    """The INI text that it was parsed from."""
    classes: Mapping[str, ServiceClass] = field(default_factory=_empty)
    organisations: Mapping[str, Organisation] = field(default_factory=_empty)
    endpoints: Mapping[str, Endpoint] = field(default_factory=_empty)
    calls: Mapping[tuple[str, str], CallRule] = field(default_factory=_empty)
    """Rules by service and call."""
    models: Mapping[str, Model] = field(default_factory=_empty)
    leaving_instances: frozenset[str] = frozenset()
    """Instances that the operators drain; each shuts down gracefully when it finds its own name."""
