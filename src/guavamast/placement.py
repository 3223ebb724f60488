"""Choice of the endpoints to ask for a slot.

An entry sees only part of the fleet's load: the probes that came with its keepers' late answers.
The choice weighs a few candidates, never all, so its cost does not grow with the fleet: the homes
of the prompt's prefix, two draws from the recent probes and one endpoint drawn at random. All are
compared in one unit, the seconds until the first token.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.prefix_ring import PrefixRing
from guavamast.world import EndpointState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.members import MembershipView
    from guavamast.slots import Probe
    from guavamast.world import Configuration, Endpoint, Instance

PROBE_LIFETIME_S: Final = 2.0
"""Age at which a probe is discarded."""
PROBE_POOL_SIZE: Final = 16
"""Most recent probes to draw from, as in Prequal."""
DRAWS: Final = 2
"""Endpoints drawn from the recent probes."""
HOMES: Final = 2
"""Endpoints that are weighed as a prefix's homes."""
PREFILL_S_PER_TOKEN: Final = 0.0002
"""Time that a cached prefix saves for each prompt token."""
REGION_COST_S: Final = 0.002
"""Cost of an endpoint in another failure domain of the own region."""
FAR_COST_S: Final = 0.15
"""Cost of an endpoint in another region."""
BASE_S: Final = 0.2
"""Time to the first token on a healthy idle endpoint."""
LOAD_COST_S: Final = 0.3
"""Extra time to the first token when all slots of an endpoint are taken."""
STRAGGLE_COST_S: Final = 2.0
"""Time that a weight of one half costs, as it slows the whole answer and not its start alone."""
WEIGHT_LIFETIME_S: Final = 40.0
"""Age at which a weight is forgotten; stragglers change more slowly than queues."""
WEIGHT_FLOOR: Final = 0.05
GIVE_WAY_SHARE: Final = 0.2
"""Share of an estimated wait that counts where a lower tier can give way."""
RETRY_FIRST_S: Final = 0.5
"""Time for which an endpoint is left after its first failure; doubles with each more."""
RETRY_LONGEST_S: Final = 15.0
TRIAL_TIMEOUT_S: Final = 10.0
"""Time after which a trial without an outcome no longer blocks the next."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Wanted:
    """What a request needs of an endpoint."""

    tier: int
    model: str = ""
    """Empty for a plain service."""
    service: str = ""
    """Empty for a model."""
    prefix_key: str = ""
    """Hash of the prompt's prefix; empty when no cache can help."""
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    """Endpoints that have refused or failed this request."""
    count: int = 2
    idempotent: bool = True


@dataclass(slots=True, kw_only=True)
class _Track:
    """What this entry knows of one endpoint."""

    pools: list[tuple[str, str]]
    """Keys of the pools that the endpoint belongs to."""
    probe: Probe | None = None
    probed_at: float = 0.0
    asked: int = 0
    """Own choices since the probe."""
    failures: int = 0
    """Failures in a row."""
    retry_at: float = 0.0
    trial_until: float = 0.0


class _Pool:
    """The active endpoints that can serve one model or service."""

    __slots__ = ("names", "near", "recent", "ring")

    def __init__(self, *, names: list[str], near: list[str], old: _Pool | None) -> None:
        self.names = names
        self.near = near or names
        self.recent: OrderedDict[str, None] = OrderedDict()
        if old is not None:
            self.recent.update((name, None) for name in old.recent if name in names)
        same = old is not None and old.near == self.near
        self.ring = old.ring if same else PrefixRing(self.near)

    def touch(self, name: str) -> None:
        """Note that a probe of an endpoint has just come."""
        self.recent[name] = None
        self.recent.move_to_end(name)
        if len(self.recent) > PROBE_POOL_SIZE:
            self.recent.popitem(last=False)


class EndpointChooser:
    """Chooses the endpoints to ask for one request, best first.

    Args:
        instance: The instance of this entry.
        seed: Seed of its random draws; each entry has its own, else all herd.
    """

    __slots__ = ("_domain", "_link_costs", "_pools", "_random", "_region", "_tracks")

    def __init__(self, *, instance: Instance, seed: int) -> None:
        self._domain = instance.failure_domain.name
        self._region = instance.failure_domain.region
        self._random = Random(seed)
        self._tracks: dict[str, _Track] = {}
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._link_costs: dict[str, float] = {}

    def configure(self, configuration: Configuration, view: MembershipView) -> None:
        """Take a configuration and view; leaving endpoints are never chosen from here on."""
        regions = {self._domain: self._region}
        for member in view.members:
            domain = member.instance.failure_domain
            regions[domain.name] = domain.region
        active = {
            name: endpoint
            for name, endpoint in configuration.endpoints.items()
            if endpoint.state is EndpointState.ACTIVE
        }
        self._link_costs = {
            name: self._cost_link(endpoint, regions) for name, endpoint in active.items()
        }
        self._tracks = {name: self._tracks.get(name) or _Track(pools=[]) for name in active}
        self._pools = self._build_pools(active)

    def record_probe(self, probe: Probe, *, now: float) -> None:
        """Take a keeper's word on its endpoint."""
        track = self._tracks.get(probe.endpoint)
        if track is None:
            return
        track.probe = probe
        track.probed_at = now
        track.asked = 0
        for key in track.pools:
            self._pools[key].touch(probe.endpoint)

    def record_outcome(self, endpoint: str, *, succeeded: bool, now: float) -> None:
        """Take the end of a request; one failure is enough to leave an endpoint."""
        track = self._tracks.get(endpoint)
        if track is None:
            return
        track.trial_until = 0.0
        if succeeded:
            track.failures = 0
            return
        # Failure: a crashed endpoint answers at once, so it looks idle and draws all requests.
        # It is left at the first failure; the jitter keeps the entries from returning together.
        track.failures += 1
        delay = min(RETRY_LONGEST_S, RETRY_FIRST_S * 2.0 ** min(track.failures - 1, 10))
        track.retry_at = now + delay * self._random.uniform(0.5, 1.0)

    def choose(self, wanted: Wanted, *, now: float) -> list[str]:
        """Return the names of the endpoints to ask, best first; empty when there is none.

        Args:
            wanted: What the request needs.
            now: The present time.

        Returns:
            At most ``wanted.count`` names of active endpoints that are not excluded.
        """
        pool = self._pools.get((wanted.model, wanted.service))
        if pool is None:
            return []
        homes = pool.ring.find(wanted.prefix_key, HOMES) if wanted.prefix_key else []
        candidates = self._collect(pool, homes, wanted, now)
        scored = sorted(
            (self._score(name, homes, wanted, now), self._random.random(), name)
            for name in candidates
        )
        chosen = [name for _, _, name in scored[: wanted.count]]
        if chosen:
            self._mark_asked(chosen[0], now)
        return chosen

    def _build_pools(self, active: dict[str, Endpoint]) -> dict[tuple[str, str], _Pool]:
        names: dict[tuple[str, str], list[str]] = {}
        for name in sorted(active):
            endpoint = active[name]
            keys = [("", endpoint.service)] if endpoint.service else []
            keys.extend((model, "") for model in sorted(endpoint.models))
            self._tracks[name].pools = keys
            for key in keys:
                names.setdefault(key, []).append(name)
        pools = {}
        for key, members in names.items():
            near = [name for name in members if self._link_costs[name] < FAR_COST_S]
            pools[key] = _Pool(names=members, near=near, old=self._pools.get(key))
        return pools

    def _cost_link(self, endpoint: Endpoint, regions: dict[str, str]) -> float:
        if endpoint.failure_domain == self._domain:
            return 0.0
        if regions.get(endpoint.failure_domain) == self._region:
            return REGION_COST_S
        return FAR_COST_S

    def _collect(self, pool: _Pool, homes: list[str], wanted: Wanted, now: float) -> list[str]:
        """Return the usable endpoints to weigh; falls back to the whole pool when few remain."""
        recent = list(pool.recent)
        drawn = [
            *homes,
            *self._random.sample(recent, min(DRAWS, len(recent))),
            self._random.choice(pool.near),
            self._random.choice(pool.names),
        ]
        usable = self._filter(drawn, wanted, now)
        if len(usable) >= wanted.count:
            return usable
        usable = self._filter(pool.names, wanted, now)
        if usable:
            return usable
        return [name for name in pool.names if name not in wanted.excluded]

    def _filter(self, names: Iterable[str], wanted: Wanted, now: float) -> list[str]:
        return [
            name
            for name in dict.fromkeys(names)
            if name not in wanted.excluded and self._can_try(self._tracks[name], wanted, now)
        ]

    def _can_try(self, track: _Track, wanted: Wanted, now: float) -> bool:
        if track.failures == 0:
            return True
        return wanted.idempotent and now >= track.retry_at and now >= track.trial_until

    def _mark_asked(self, name: str, now: float) -> None:
        track = self._tracks[name]
        track.asked += 1
        if track.failures:
            track.trial_until = now + TRIAL_TIMEOUT_S

    def _score(self, name: str, homes: list[str], wanted: Wanted, now: float) -> float:
        """Return the expected seconds until the first token."""
        track = self._tracks[name]
        seconds = self._link_costs[name]
        if name not in homes[:1]:
            seconds += wanted.prompt_tokens * PREFILL_S_PER_TOKEN
        probe = track.probe
        if probe is None:
            return seconds + BASE_S + LOAD_COST_S / 2
        seconds += self._cost_weight(track, probe.weight, now)
        if now - track.probed_at > PROBE_LIFETIME_S:
            return seconds + BASE_S + LOAD_COST_S / 2
        load = (probe.in_flight + track.asked) / max(1, probe.slots)
        wait = probe.estimated_wait_s * (1.0 + track.asked / (1.0 + probe.queued))
        if probe.lowest_tier > wanted.tier:
            wait *= GIVE_WAY_SHARE
        return seconds + BASE_S + load * LOAD_COST_S + wait

    def _cost_weight(self, track: _Track, weight: float, now: float) -> float:
        """Return the seconds to charge for a straggler, less as the word on it grows old."""
        age = min(1.0, max(0.0, now - track.probed_at) / WEIGHT_LIFETIME_S)
        weight = max(WEIGHT_FLOOR, weight + (1.0 - weight) * age)
        return STRAGGLE_COST_S * (1.0 / weight - 1.0)
