"""An instance's state about work at endpoints: its own and that published by other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.placement import (
    AdmissionHistory,
    EndpointSpeeds,
    EngineProfiles,
    PromptCache,
    PromptDemand,
)
from guavamast.relay.sharing import EQUAL_SHARES, ShareLedger, SharingPolicy

if TYPE_CHECKING:
    from guavamast.relay.heartbeat_messages import AggregatedHeartbeat, Heartbeat, LoadUpdate
    from guavamast.relay.placement import ProfileEstimates

DOMAIN_PREFIX: Final = "domain "
"""Prefix of the name of a source that is a failure domain."""


class WorkState:
    """Loads, cached prompts, demand, engine speeds and rejections, from the same heartbeats."""

    __slots__ = (
        "cache",
        "demand",
        "loads",
        "profiles",
        "rejections",
        "shares",
        "speeds",
    )

    def __init__(self, sharing: SharingPolicy = EQUAL_SHARES) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.demand = PromptDemand()
        self.profiles = EngineProfiles()
        self.rejections = AdmissionHistory()
        self.shares = ShareLedger(sharing)
        self.speeds = EndpointSpeeds()
        """Speeds of the engines by this instance's own streams."""

    def apply_heartbeat(self, heartbeat: Heartbeat, *, now: float) -> None:
        """Replace the previous state of an instance by that in its heartbeat."""
        name = heartbeat.record.name
        self.loads.replace_peer(name, heartbeat.loads)
        self.demand.replace_peer(name, heartbeat.demand)
        self.profiles.replace_peer(name, heartbeat.profiles)
        self.rejections.replace_peer(name, heartbeat.rejections, now=now)
        self.shares.replace_peer_served(name, heartbeat.served, now=now)
        self.cache.apply_peer_sends(name, heartbeat.incarnation, heartbeat.sends)

    def apply_aggregated_heartbeat(self, aggregate: AggregatedHeartbeat) -> None:
        """Replace the previous engine profiles of failure domains."""
        for domain, profiles in aggregate.profiles.items():
            self.profiles.replace_peer(_format_domain_source(domain), profiles)

    def aggregate_profiles(
        self, domain: str, instances: list[str], *, now: float
    ) -> dict[str, dict[str, ProfileEstimates]]:
        """Return the engine profiles by failure domain.

        Args:
            domain: Failure domain of this instance, combined from what its instances published.
            instances: Other instances of this failure domain.
            now: Current time.
        """
        domains = {
            source.removeprefix(DOMAIN_PREFIX): profiles
            for source, profiles in self.profiles.list_peers().items()
            if source.startswith(DOMAIN_PREFIX)
        }
        domains[domain] = self.profiles.combine(instances, now=now)
        return domains

    def apply_load_update(self, notice: LoadUpdate, *, now: float) -> None:
        """Apply an instance's load update for some endpoints."""
        self.rejections.update_peer_waiting(notice.instance, notice.waiting, now=now)
        self.shares.replace_peer_waiting(notice.instance, notice.organisations, now=now)
        self.loads.update_peer(notice.instance, notice.loads)
        self.cache.apply_peer_sends(notice.instance, notice.incarnation, notice.sends)

    def retain(self, *, endpoint_ids: set[str], instances: set[str]) -> None:
        """Drop the endpoints and instances that no longer exist."""
        self.loads.retain(endpoint_ids)
        self.cache.retain(endpoint_ids)
        self.speeds.retain(endpoint_ids)
        self.loads.retain_peers(instances)
        self.demand.retain_peers(instances)
        self.rejections.retain_peers(instances)
        self.shares.retain_peers(instances)
        domains = {one for one in self.profiles.list_peers() if one.startswith(DOMAIN_PREFIX)}
        self.profiles.retain_peers(instances | domains)


def _format_domain_source(domain: str) -> str:
    """Return the source name of a failure domain, which differs from any instance's name."""
    return DOMAIN_PREFIX + domain
