"""Work that is under way at each endpoint: this instance's own and what other instances tell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FAILURE_HALF_LIFE_S: Final = 2.0
"""Time in which half of an endpoint's failures is forgotten: an endpoint that is well again gets
its share back within some seconds."""
SUCCESS_FACTOR: Final = 0.85
"""What a success leaves of the failures remembered: an endpoint that fails two requests in five
settles above four, one that fails one in fifty below a fifth."""
FAILURE_LIMIT: Final = 8.0
"""Failures remembered at most, so that a long bad time is forgotten as soon as a short one."""

SUMS_HOLD_S: Final = 1.5
"""For how long sums of a failure domain are used: six tellings. Beyond, the single instances' words
count, which come later and do not need the relay."""


@dataclass(slots=True, kw_only=True)
class Load:
    """Work at one endpoint."""

    requests: int = 0
    prefill_tokens: int = 0
    """Prompt tokens that are to be read before the first event of their requests."""
    memory_tokens: int = 0
    """Tokens that the requests take in memory when they end."""

    def add(self, other: Load, *, sign: int = 1) -> None:
        """Add another load, or take it away with a sign of -1; nothing goes below zero."""
        self.requests = max(0, self.requests + sign * other.requests)
        self.prefill_tokens = max(0, self.prefill_tokens + sign * other.prefill_tokens)
        self.memory_tokens = max(0, self.memory_tokens + sign * other.memory_tokens)


@dataclass(frozen=True, slots=True, kw_only=True)
class _DomainSum:
    loads: dict[str, Load]
    heard: float


class Work:
    """One request's share of its endpoint's load.

    Args:
        load: What it is part of.
        prefill_tokens: Prompt tokens until the first event.
        memory_tokens: Tokens in memory until the end.
    """

    __slots__ = ("_ended", "_load", "_memory_tokens", "_prefill_tokens")

    def __init__(self, *, load: Load, prefill_tokens: int, memory_tokens: int) -> None:
        self._load = load
        self._prefill_tokens = prefill_tokens
        self._memory_tokens = memory_tokens
        self._ended = False
        load.requests += 1
        load.prefill_tokens += prefill_tokens
        load.memory_tokens += memory_tokens

    def finish_prefill(self) -> bool:
        """Count the prompt as read; returns whether that is news."""
        news = self._prefill_tokens > 0
        self._load.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0
        return news

    def end(self) -> None:
        """Count the request out; a second call changes nothing."""
        if self._ended:
            return
        self._ended = True
        self.finish_prefill()
        self._load.memory_tokens -= self._memory_tokens
        self._load.requests -= 1


class _Failures:
    __slots__ = ("amount", "updated")

    def __init__(self) -> None:
        self.amount = 0.0
        self.updated = 0.0

    def read(self, now: float) -> float:
        """Return what is remembered."""
        return self.amount * 0.5 ** (max(0.0, now - self.updated) / FAILURE_HALF_LIFE_S)


class EndpointLoads:
    """Load and recent failures of all endpoints as this instance knows them.

    Args:
        failure_domain: Of this instance.
    """

    __slots__ = ("_domains", "_failure_domain", "_failures", "_own", "_peers", "_told")

    def __init__(self, *, failure_domain: str = "") -> None:
        self._failure_domain = failure_domain
        self._domains: dict[str, _DomainSum] = {}
        self._told: dict[str, Load] = {}
        self._own: dict[str, Load] = {}
        self._peers: dict[str, dict[str, Load]] = {}
        self._failures: dict[str, _Failures] = {}

    def begin(self, endpoint_id: str, *, prefill_tokens: int, memory_tokens: int) -> Work:
        """Count a request that is being sent; the work returned counts it out.

        Args:
            endpoint_id: Where it goes.
            prefill_tokens: Prompt tokens that are to be read.
            memory_tokens: Tokens that it takes in memory when it ends.
        """
        load = self._own.setdefault(endpoint_id, Load())
        return Work(load=load, prefill_tokens=prefill_tokens, memory_tokens=memory_tokens)

    def list_own(self) -> dict[str, Load]:
        """Return this instance's work by endpoint."""
        self._own = {key: load for key, load in self._own.items() if load.requests}
        return self._own

    def take_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace what another instance has told."""
        self._peers[instance] = loads

    def update_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace what another instance has told of some endpoints."""
        self._peers.setdefault(instance, {}).update(loads)

    def keep_peers(self, instances: set[str]) -> None:
        """Drop the work of instances that are gone."""
        for instance in list(self._peers):
            if instance not in instances:
                del self._peers[instance]

    def sum_up(self, endpoint_id: str) -> Load:
        """Return the work of all instances at an endpoint."""
        if self._failure_domain in self._domains:
            others = [entry.loads for entry in self._domains.values()]
        else:
            others = list(self._peers.values())
        total = Load()
        for loads in [self._own, *others]:
            load = loads.get(endpoint_id)
            if load is not None:
                total.add(load)
        return total

    def note_told(self) -> None:
        """Remember what the others have been told of this instance's work."""
        self._told = _sum_by_endpoint([self._own])

    def subtract_told(self, loads: dict[str, Load]) -> dict[str, Load]:
        """Return the sums of the own failure domain without this instance's own part."""
        for endpoint_id, told in self._told.items():
            if endpoint_id in loads:
                loads[endpoint_id].add(told, sign=-1)
        return loads

    def sum_peers(self, instances: set[str]) -> dict[str, Load]:
        """Return the work of some other instances by endpoint."""
        return _sum_by_endpoint([self._peers[name] for name in instances if name in self._peers])

    def take_domain(self, domain: str, loads: dict[str, Load], *, now: float) -> None:
        """Take the sums of a failure domain, without this instance's own work."""
        self._domains[domain] = _DomainSum(loads=loads, heard=now)

    def sum_domain(self, domain: str) -> dict[str, Load]:
        """Return the sums of the own failure domain with this instance's work."""
        return _sum_by_endpoint([self._own, self._domains[domain].loads])

    def list_domains(self, *, now: float) -> dict[str, dict[str, Load]]:
        """Return the sums of all failure domains that are recent."""
        self.drop_old_domains(now=now)
        return {domain: entry.loads for domain, entry in self._domains.items()}

    def drop_old_domains(self, *, now: float) -> None:
        """Forget sums that no relay has told for a while."""
        for domain, entry in list(self._domains.items()):
            if now - entry.heard > SUMS_HOLD_S:
                del self._domains[domain]

    def record_failure(self, endpoint_id: str, *, weight: float, now: float) -> None:
        """Remember that an endpoint failed a request."""
        failures = self._failures.setdefault(endpoint_id, _Failures())
        failures.amount = min(FAILURE_LIMIT, failures.read(now) + weight)
        failures.updated = now

    def record_success(self, endpoint_id: str, *, now: float) -> None:
        """Forget a part of what is remembered."""
        failures = self._failures.get(endpoint_id)
        if failures is None:
            return
        failures.amount = failures.read(now) * SUCCESS_FACTOR
        failures.updated = now
        if failures.amount < 0.05:
            del self._failures[endpoint_id]

    def read_failures(self, endpoint_id: str, *, now: float) -> float:
        """Return the failures remembered, each weighing less the longer ago it was."""
        failures = self._failures.get(endpoint_id)
        return failures.read(now) if failures else 0.0

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forget the failures of endpoints that are gone."""
        for endpoint_id in list(self._failures):
            if endpoint_id not in endpoint_ids:
                del self._failures[endpoint_id]


def _sum_by_endpoint(parts: list[dict[str, Load]]) -> dict[str, Load]:
    """Return new sums of loads by endpoint, without those that are zero."""
    sums: dict[str, Load] = {}
    for loads in parts:
        for endpoint_id, load in loads.items():
            if load.requests:
                sums.setdefault(endpoint_id, Load()).add(load)
    return sums
