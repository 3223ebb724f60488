"""Choice of the endpoints to ask for a slot.

An entry sees only part of the fleet's load: the probes in its keepers' delayed answers. The choice
compares a few candidates instead of all, so its cost does not grow with the fleet: the affinity
endpoints of the prompt's prefix, two sampled from the recent probes, and one drawn at random from
the nearby endpoints and one from all. They are compared by the seconds to the first token.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.fleet_objects import EndpointState
from guavamast.prefix_ring import PrefixRing

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.fleet_objects import Configuration, Endpoint, Instance
    from guavamast.members import MembershipView
    from guavamast.slots import Probe

PROBE_LIFETIME_S: Final = 2.0
"""Age at which a probe is discarded."""
PROBE_POOL_SIZE: Final = 16
"""Number of recent probes to sample from, as in Prequal."""
SAMPLED_PROBES: Final = 2
"""Endpoints sampled from the recent probes."""
AFFINITY_ENDPOINTS: Final = 2
"""Affinity endpoints of a prefix that are candidates."""
PREFILL_S_PER_TOKEN: Final = 0.0002
"""Prefill time that a cached prefix saves for each prompt token."""
CROSS_DOMAIN_COST_S: Final = 0.002
"""Cost of an endpoint in another failure domain of the same region."""
CROSS_REGION_COST_S: Final = 0.15
"""Cost of an endpoint in another region."""
BASE_FIRST_TOKEN_S: Final = 0.2
"""Time to the first token on a healthy idle endpoint."""
LOAD_COST_S: Final = 0.3
"""Extra time to the first token when all slots of an endpoint are in use."""
STRAGGLER_COST_S: Final = 2.0
"""Cost of a weight of one half, which slows the whole response and not only its start."""
WEIGHT_LIFETIME_S: Final = 40.0
"""Age at which a weight has decayed to 1; stragglers change more slowly than queues."""
WEIGHT_FLOOR: Final = 0.05
PREEMPTIBLE_WAIT_SHARE: Final = 0.2
"""Share of an estimated wait that counts where a lower tier can be preempted."""
RETRY_DELAY_S: Final = 0.5
"""Time for which an endpoint is avoided after its first failure; doubles with each further one."""
RETRY_DELAY_MAX_S: Final = 15.0
TRIAL_TIMEOUT_S: Final = 10.0
"""Time after which a trial request without an outcome no longer blocks the next one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRequirements:
    """What a request requires of an endpoint."""

    tier: int
    model: str = ""
    """Empty for a plain service."""
    service: str = ""
    """Empty for a model."""
    prefix_key: str = ""
    """Hash of the prompt's prefix; empty when no cache can help."""
    prompt_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    """Endpoints that have rejected or failed this request."""
    count: int = 2
    idempotent: bool = True


@dataclass(slots=True, kw_only=True)
class _EndpointRecord:
    """What this entry knows about one endpoint."""

    pools: list[tuple[str, str]]
    """Keys of the pools that the endpoint belongs to."""
    probe: Probe | None = None
    probed_at: float = 0.0
    choices_since_probe: int = 0
    """Choices of the endpoint by this entry since the probe."""
    failures: int = 0
    """Consecutive failures."""
    retry_at: float = 0.0
    trial_until: float = 0.0


class _Pool:
    """The active endpoints that can serve one model or service."""

    __slots__ = ("names", "near", "recent", "ring")

    def __init__(self, *, names: list[str], near: list[str], previous: _Pool | None) -> None:
        self.names = names
        self.near = near or names
        self.recent: OrderedDict[str, None] = OrderedDict()
        if previous is not None:
            self.recent.update((name, None) for name in previous.recent if name in names)
        unchanged = previous is not None and previous.near == self.near
        self.ring = previous.ring if unchanged else PrefixRing(self.near)

    def touch(self, name: str) -> None:
        """Mark an endpoint as the most recently probed one."""
        self.recent[name] = None
        self.recent.move_to_end(name)
        if len(self.recent) > PROBE_POOL_SIZE:
            self.recent.popitem(last=False)


class EndpointChooser:
    """Chooses the endpoints to ask for one request, best first.

    Args:
        instance: The instance of this entry.
        seed: Seed of the random choices; each entry has its own, otherwise all choose the same
            endpoints.
    """

    __slots__ = ("_domain", "_link_costs", "_pools", "_random", "_region", "_records")

    def __init__(self, *, instance: Instance, seed: int) -> None:
        self._domain = instance.failure_domain.name
        self._region = instance.failure_domain.region
        self._random = Random(seed)
        self._records: dict[str, _EndpointRecord] = {}
        self._pools: dict[tuple[str, str], _Pool] = {}
        self._link_costs: dict[str, float] = {}

    def configure(self, configuration: Configuration, view: MembershipView) -> None:
        """Apply a configuration and view; leaving endpoints are not chosen after this."""
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
            name: self._compute_link_cost(endpoint, regions) for name, endpoint in active.items()
        }
        self._records = {
            name: self._records.get(name) or _EndpointRecord(pools=[]) for name in active
        }
        self._pools = self._build_pools(active)

    def record_probe(self, probe: Probe, *, now: float) -> None:
        """Record a probe from the keeper of an endpoint."""
        record = self._records.get(probe.endpoint)
        if record is None:
            return
        record.probe = probe
        record.probed_at = now
        record.choices_since_probe = 0
        for key in record.pools:
            self._pools[key].touch(probe.endpoint)

    def record_outcome(self, endpoint: str, *, succeeded: bool, now: float) -> None:
        """Record the outcome of a request; after one failure the endpoint is avoided."""
        record = self._records.get(endpoint)
        if record is None:
            return
        record.trial_until = 0.0
        if succeeded:
            record.failures = 0
            return
        # Without this, a crashed endpoint, which fails at once and so looks idle, attracts all
        # requests. It is avoided from the first failure; the jitter keeps the entries from
        # retrying it together.
        record.failures += 1
        delay = min(RETRY_DELAY_MAX_S, RETRY_DELAY_S * 2.0 ** min(record.failures - 1, 10))
        record.retry_at = now + delay * self._random.uniform(0.5, 1.0)

    def choose(self, requirements: EndpointRequirements, *, now: float) -> list[str]:
        """Return the names of the endpoints to ask, best first; empty when there is none.

        Args:
            requirements: What the request requires.
            now: The current time.

        Returns:
            At most ``wanted.count`` names of active endpoints that are not excluded.
        """
        pool = self._pools.get((requirements.model, requirements.service))
        if pool is None:
            return []
        affinity = (
            pool.ring.select(requirements.prefix_key, AFFINITY_ENDPOINTS)
            if requirements.prefix_key
            else []
        )
        candidates = self._collect_candidates(pool, affinity, requirements, now)
        scored = sorted(
            (
                self._estimate_first_token_s(name, affinity, requirements, now),
                self._random.random(),
                name,
            )
            for name in candidates
        )
        chosen = [name for _, _, name in scored[: requirements.count]]
        if chosen:
            self._record_choice(chosen[0], now)
        return chosen

    def _build_pools(self, active: dict[str, Endpoint]) -> dict[tuple[str, str], _Pool]:
        names: dict[tuple[str, str], list[str]] = {}
        for name in sorted(active):
            endpoint = active[name]
            keys = [("", endpoint.service)] if endpoint.service else []
            keys.extend((model, "") for model in sorted(endpoint.models))
            self._records[name].pools = keys
            for key in keys:
                names.setdefault(key, []).append(name)
        pools = {}
        for key, members in names.items():
            near = [name for name in members if self._link_costs[name] < CROSS_REGION_COST_S]
            pools[key] = _Pool(names=members, near=near, previous=self._pools.get(key))
        return pools

    def _compute_link_cost(self, endpoint: Endpoint, regions: dict[str, str]) -> float:
        if endpoint.failure_domain == self._domain:
            return 0.0
        if regions.get(endpoint.failure_domain) == self._region:
            return CROSS_DOMAIN_COST_S
        return CROSS_REGION_COST_S

    def _collect_candidates(
        self, pool: _Pool, affinity: list[str], requirements: EndpointRequirements, now: float
    ) -> list[str]:
        """Return the usable candidates, from the whole pool when too few remain."""
        recent = list(pool.recent)
        sampled = [
            *affinity,
            *self._random.sample(recent, min(SAMPLED_PROBES, len(recent))),
            self._random.choice(pool.near),
            self._random.choice(pool.names),
        ]
        usable = self._filter_usable(sampled, requirements, now)
        if len(usable) >= requirements.count:
            return usable
        usable = self._filter_usable(pool.names, requirements, now)
        if usable:
            return usable
        return [name for name in pool.names if name not in requirements.excluded]

    def _filter_usable(
        self, names: Iterable[str], requirements: EndpointRequirements, now: float
    ) -> list[str]:
        return [
            name
            for name in dict.fromkeys(names)
            if name not in requirements.excluded
            and self._can_try(self._records[name], requirements, now)
        ]

    def _can_try(
        self, record: _EndpointRecord, requirements: EndpointRequirements, now: float
    ) -> bool:
        if record.failures == 0:
            return True
        return requirements.idempotent and now >= record.retry_at and now >= record.trial_until

    def _record_choice(self, name: str, now: float) -> None:
        record = self._records[name]
        record.choices_since_probe += 1
        if record.failures:
            record.trial_until = now + TRIAL_TIMEOUT_S

    def _estimate_first_token_s(
        self, name: str, affinity: list[str], requirements: EndpointRequirements, now: float
    ) -> float:
        """Return the expected seconds until the first token."""
        record = self._records[name]
        seconds = self._link_costs[name]
        if name not in affinity[:1]:
            seconds += requirements.prompt_tokens * PREFILL_S_PER_TOKEN
        probe = record.probe
        if probe is None:
            return seconds + BASE_FIRST_TOKEN_S + LOAD_COST_S / 2
        seconds += self._compute_straggler_cost(record, probe.weight, now)
        if now - record.probed_at > PROBE_LIFETIME_S:
            return seconds + BASE_FIRST_TOKEN_S + LOAD_COST_S / 2
        load = (probe.in_flight + record.choices_since_probe) / max(1, probe.slots)
        wait = probe.estimated_wait_s * (1.0 + record.choices_since_probe / (1.0 + probe.queued))
        if probe.lowest_tier > requirements.tier:
            wait *= PREEMPTIBLE_WAIT_SHARE
        return seconds + BASE_FIRST_TOKEN_S + load * LOAD_COST_S + wait

    def _compute_straggler_cost(self, record: _EndpointRecord, weight: float, now: float) -> float:
        """Return the cost of a straggler in seconds, which decays with the age of the probe."""
        age = min(1.0, max(0.0, now - record.probed_at) / WEIGHT_LIFETIME_S)
        weight = max(WEIGHT_FLOOR, weight + (1.0 - weight) * age)
        return STRAGGLER_COST_S * (1.0 / weight - 1.0)
