"""An instance's state about work at endpoints: its own and that published by other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.length_buckets import PromptDemand
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.rejection_history import RejectionHistory

if TYPE_CHECKING:
    from guavamast.relay.engine_profile import ProfileEstimates
    from guavamast.relay.heartbeat_messages import AggregatedHeartbeat, Heartbeat, LoadUpdate

DOMAIN_PREFIX: Final = "domain "
"""Prefix of the name of a source that is a failure domain."""


class WorkState:
    """Loads, cached prompts, demand, engine speeds and rejections, from the same heartbeats."""

    __slots__ = ("cache", "demand", "loads", "profiles", "rejections")

    def __init__(self) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.demand = PromptDemand()
        self.profiles = EngineProfiles()
        self.rejections = RejectionHistory()

    def apply_heartbeat(self, beat: Heartbeat, *, now: float) -> None:
        """Replace the previous state of an instance by that in its heartbeat."""
        name = beat.record.name
        self.loads.replace_peer(name, beat.loads)
        self.demand.replace_peer(name, beat.demand)
        self.profiles.replace_peer(name, beat.profiles)
        self.rejections.replace_peer(name, beat.rejections, now=now)
        self.cache.apply_peer_sends(name, beat.incarnation, beat.sends)

    def apply_aggregated_heartbeat(self, bundle: AggregatedHeartbeat) -> None:
        """Replace the previous engine profiles of failure domains."""
        for domain, profiles in bundle.profiles.items():
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

    def apply_load_update(self, notice: LoadUpdate) -> None:
        """Apply an instance's load update for some endpoints."""
        self.loads.update_peer(notice.instance, notice.loads)
        self.cache.apply_peer_sends(notice.instance, notice.incarnation, notice.sends)

    def retain(self, *, endpoint_ids: set[str], instances: set[str]) -> None:
        """Drop the endpoints and instances that no longer exist."""
        self.loads.retain(endpoint_ids)
        self.cache.retain(endpoint_ids)
        self.loads.retain_peers(instances)
        self.demand.retain_peers(instances)
        self.rejections.retain_peers(instances)
        domains = {one for one in self.profiles.list_peers() if one.startswith(DOMAIN_PREFIX)}
        self.profiles.retain_peers(instances | domains)


def _format_domain_source(domain: str) -> str:
    """Return the source name of a failure domain, which differs from any instance's name."""
    return DOMAIN_PREFIX + domain
