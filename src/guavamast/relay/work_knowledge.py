"""An instance's state about work at endpoints: its own and that published by other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.prompt_cache import PromptCache
from guavamast.relay.prompt_lanes import PromptDemand
from guavamast.relay.refusal_history import RefusalHistory

if TYPE_CHECKING:
    from guavamast.relay.beats import Beat, BeatBundle, LoadNotice
    from guavamast.relay.engine_profile import ProfileEstimates

DOMAIN_PREFIX: Final = "domain "
"""Prefix of the name of a source that is a failure domain."""


class WorkKnowledge:
    """Loads, cached prompts, demand, engine speeds and rejections, from the same heartbeats."""

    __slots__ = ("cache", "demand", "loads", "profiles", "refusals")

    def __init__(self) -> None:
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.demand = PromptDemand()
        self.profiles = EngineProfiles()
        self.refusals = RefusalHistory()

    def take_beat(self, beat: Beat, *, now: float) -> None:
        """Replace the previous state of an instance by that in its heartbeat."""
        name = beat.record.name
        self.loads.take_peer(name, beat.loads)
        self.demand.take_peer(name, beat.demand)
        self.profiles.take_peer(name, beat.profiles)
        self.refusals.take_peer(name, beat.refusals, now=now)
        self.cache.take_peer(name, beat.incarnation, beat.sends)

    def take_bundle(self, bundle: BeatBundle) -> None:
        """Replace the previous engine profiles of failure domains."""
        for domain, profiles in bundle.profiles.items():
            self.profiles.take_peer(_format_domain_source(domain), profiles)

    def sum_up_profiles(
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

    def take_notice(self, notice: LoadNotice) -> None:
        """Apply an instance's load update for some endpoints."""
        self.loads.update_peer(notice.instance, notice.loads)
        self.cache.take_peer(notice.instance, notice.incarnation, notice.sends)

    def keep_only(self, *, endpoint_ids: set[str], instances: set[str]) -> None:
        """Drop the endpoints and instances that no longer exist."""
        self.loads.keep_only(endpoint_ids)
        self.cache.keep_only(endpoint_ids)
        self.loads.keep_peers(instances)
        self.demand.keep_peers(instances)
        self.refusals.keep_peers(instances)
        domains = {one for one in self.profiles.list_peers() if one.startswith(DOMAIN_PREFIX)}
        self.profiles.keep_peers(instances | domains)


def _format_domain_source(domain: str) -> str:
    """Return the source name of a failure domain, which differs from any instance's name."""
    return DOMAIN_PREFIX + domain
