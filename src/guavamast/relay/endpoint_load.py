"""Work that is under way at each endpoint: this instance's own and what other instances tell."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

FAILURE_HALF_LIFE_S: Final = 2.0
"""Seconds in which half of an endpoint's failures is forgotten: one that is well again gets its
share back soon."""
SUCCESS_FACTOR: Final = 0.85
"""Factor that a success leaves of the failures remembered: one that fails often stays out, one that
fails seldom does not."""
FAILURE_LIMIT: Final = 8.0
"""Failures remembered at most, so that a long bad time is forgotten as soon as a short one."""


@dataclass(slots=True, kw_only=True)
class Load:
    """Work at one endpoint."""

    requests: int = 0
    prefill_tokens: int = 0
    """Prompt tokens that are to be read before the first event of their requests."""
    memory_tokens: int = 0
    """Tokens that the requests take in memory when they end."""
    delicate: int = 0
    """Requests whose pauses must be shorter than reading beside them would make them."""

    def add(self, other: Load) -> None:
        """Count other work in."""
        self.requests += other.requests
        self.prefill_tokens += other.prefill_tokens
        self.memory_tokens += other.memory_tokens
        self.delicate += other.delicate

    def subtract(self, other: Load) -> None:
        """Count out what was counted in."""
        self.requests -= other.requests
        self.prefill_tokens -= other.prefill_tokens
        self.memory_tokens -= other.memory_tokens
        self.delicate -= other.delicate


_NO_LOAD: Final = Load()


class Work:
    """One request's share of its endpoint's load.

    Args:
        load: What it is part of.
        prefill_tokens: Prompt tokens until the first event.
        memory_tokens: Tokens in memory until the end.
        delicate: Whether reading beside it would make it late.
    """

    __slots__ = ("_delicate", "_ended", "_load", "_memory_tokens", "_prefill_tokens")

    def __init__(
        self, *, load: Load, prefill_tokens: int, memory_tokens: int, delicate: bool
    ) -> None:
        self._load = load
        self._delicate = delicate
        self._prefill_tokens = prefill_tokens
        self._memory_tokens = memory_tokens
        self._ended = False
        load.requests += 1
        load.prefill_tokens += prefill_tokens
        load.memory_tokens += memory_tokens
        load.delicate += delicate

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
        self._load.delicate -= self._delicate
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

    Sums over the other instances are kept as their words come, so that reading one costs the same
    however many instances there are.
    """

    __slots__ = ("_failures", "_own", "_peers", "_told")

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, dict[str, Load]] = {}
        self._told: dict[str, Load] = {}
        """Sum of the other instances' work by endpoint."""
        self._failures: dict[str, _Failures] = {}

    def begin(
        self,
        endpoint_id: str,
        *,
        prefill_tokens: int,
        memory_tokens: int,
        delicate: bool = False,
    ) -> Work:
        """Count a request that is being sent; the work returned counts it out.

        Args:
            endpoint_id: Where it goes.
            prefill_tokens: Prompt tokens that are to be read.
            memory_tokens: Tokens that it takes in memory when it ends.
            delicate: Whether reading beside it would make it late.
        """
        load = self._own.setdefault(endpoint_id, Load())
        return Work(
            load=load,
            prefill_tokens=prefill_tokens,
            memory_tokens=memory_tokens,
            delicate=delicate,
        )

    def list_own(self) -> dict[str, Load]:
        """Return this instance's work by endpoint."""
        self._own = {key: load for key, load in self._own.items() if load.requests}
        return self._own

    def take_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace what another instance has told."""
        self._drop_peer(instance)
        self._peers[instance] = dict(loads)
        for endpoint_id, load in loads.items():
            self._add_told(endpoint_id, load)

    def update_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace what another instance has told of some endpoints."""
        known = self._peers.setdefault(instance, {})
        for endpoint_id, load in loads.items():
            former = known.get(endpoint_id)
            if former is not None:
                self._subtract_told(endpoint_id, former)
            known[endpoint_id] = load
            self._add_told(endpoint_id, load)

    def keep_peers(self, instances: set[str]) -> None:
        """Drop the work of instances that are gone."""
        for instance in list(self._peers):
            if instance not in instances:
                self._drop_peer(instance)

    def sum_up(self, endpoint_id: str) -> Load:
        """Return the work of all instances at an endpoint."""
        total = Load()
        for load in (self._own.get(endpoint_id), self._told.get(endpoint_id)):
            if load is not None:
                total.add(load)
        return total

    def _drop_peer(self, instance: str) -> None:
        for endpoint_id, load in self._peers.pop(instance, {}).items():
            self._subtract_told(endpoint_id, load)

    def _add_told(self, endpoint_id: str, load: Load) -> None:
        self._told.setdefault(endpoint_id, Load()).add(load)

    def _subtract_told(self, endpoint_id: str, load: Load) -> None:
        # Work that was told as none may have left no sum.
        total = self._told.setdefault(endpoint_id, Load())
        total.subtract(load)
        if total == _NO_LOAD:
            del self._told[endpoint_id]

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

    def list_failing(self, *, least: float, now: float) -> list[str]:
        """Return the endpoints of which so many failures or more are remembered."""
        return [
            endpoint_id
            for endpoint_id, failures in self._failures.items()
            if failures.read(now) >= least
        ]

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forget the failures of endpoints that are gone."""
        for endpoint_id in list(self._failures):
            if endpoint_id not in endpoint_ids:
                del self._failures[endpoint_id]
