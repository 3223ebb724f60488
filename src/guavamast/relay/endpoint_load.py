"""Work in progress at each endpoint, from this instance and as other instances publish it."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final

FAILURE_HALF_LIFE_S: Final = 2.0
"""Seconds in which an endpoint's failure count decays by half, so that one that has recovered soon
gets its share of requests again."""
SUCCESS_FACTOR: Final = 0.85
"""Factor on the failure count at each success: an endpoint that fails often stays out of use, one
that seldom fails does not."""
FAILURE_LIMIT: Final = 8.0
"""Failures counted at most, so that the count decays as soon after a long outage as after a short
one."""


@dataclass(slots=True, kw_only=True)
class Load:
    """Work at one endpoint."""

    requests: int = 0
    prefill_tokens: int = 0
    """Prompt tokens that are to be prefilled before the first events of their requests."""
    kv_tokens: int = 0
    """Tokens that the requests take in the KV cache at their ends."""
    pause_sensitive: int = 0
    """Pause-sensitive requests: concurrent prefills would make their pauses too long."""

    def add(self, other: Load) -> None:
        """Add other work."""
        self.requests += other.requests
        self.prefill_tokens += other.prefill_tokens
        self.kv_tokens += other.kv_tokens
        self.pause_sensitive += other.pause_sensitive

    def subtract(self, other: Load) -> None:
        """Subtract work that was added before."""
        self.requests -= other.requests
        self.prefill_tokens -= other.prefill_tokens
        self.kv_tokens -= other.kv_tokens
        self.pause_sensitive -= other.pause_sensitive


_NO_LOAD: Final = Load()


class Work:
    """One request's share of its endpoint's load.

    Args:
        load: The load that it is added to.
        prefill_tokens: Prompt tokens that count until the first event.
        kv_tokens: KV cache tokens that count until the end.
        pause_sensitive: Whether concurrent prefills would make it late.
    """

    __slots__ = ("_pause_sensitive", "_ended", "_load", "_kv_tokens", "_prefill_tokens")

    def __init__(
        self, *, load: Load, prefill_tokens: int, kv_tokens: int, pause_sensitive: bool
    ) -> None:
        self._load = load
        self._pause_sensitive = pause_sensitive
        self._prefill_tokens = prefill_tokens
        self._kv_tokens = kv_tokens
        self._ended = False
        load.requests += 1
        load.prefill_tokens += prefill_tokens
        load.kv_tokens += kv_tokens
        load.pause_sensitive += pause_sensitive

    def finish_prefill(self) -> bool:
        """Count the prompt as prefilled; return whether prefill tokens were still counted."""
        was_pending = self._prefill_tokens > 0
        self._load.prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0
        return was_pending

    def end(self) -> None:
        """Remove the request from the load; a second call changes nothing."""
        if self._ended:
            return
        self._ended = True
        self.finish_prefill()
        self._load.kv_tokens -= self._kv_tokens
        self._load.pause_sensitive -= self._pause_sensitive
        self._load.requests -= 1


class _Failures:
    __slots__ = ("amount", "updated")

    def __init__(self) -> None:
        self.amount = 0.0
        self.updated = 0.0

    def compute_decayed(self, now: float) -> float:
        """Return the decayed count of failures."""
        return self.amount * 0.5 ** (max(0.0, now - self.updated) / FAILURE_HALF_LIFE_S)


class EndpointLoads:
    """Load and recent failures of all endpoints as known to this instance.

    Sums over the other instances are updated as their loads arrive, so that a lookup costs the same
    for any number of instances.
    """

    __slots__ = ("_failures", "_own", "_peers", "_peer_totals")

    def __init__(self) -> None:
        self._own: dict[str, Load] = {}
        self._peers: dict[str, dict[str, Load]] = {}
        self._peer_totals: dict[str, Load] = {}
        """Sum of the other instances' loads by endpoint."""
        self._failures: dict[str, _Failures] = {}

    def begin(
        self,
        endpoint_id: str,
        *,
        prefill_tokens: int,
        kv_tokens: int,
        pause_sensitive: bool = False,
    ) -> Work:
        """Add a request that is being sent; the work returned removes it again.

        Args:
            endpoint_id: Its endpoint.
            prefill_tokens: Prompt tokens that are to be prefilled.
            kv_tokens: Tokens that it takes in the KV cache at its end.
            pause_sensitive: Whether it is pause-sensitive: concurrent prefills would make it late.
        """
        load = self._own.setdefault(endpoint_id, Load())
        return Work(
            load=load,
            prefill_tokens=prefill_tokens,
            kv_tokens=kv_tokens,
            pause_sensitive=pause_sensitive,
        )

    def list_own(self) -> dict[str, Load]:
        """Return this instance's load by endpoint."""
        self._own = {key: load for key, load in self._own.items() if load.requests}
        return self._own

    def replace_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace all loads of another instance."""
        self._drop_peer(instance)
        self._peers[instance] = dict(loads)
        for endpoint_id, load in loads.items():
            self._add_peer_load(endpoint_id, load)

    def update_peer(self, instance: str, loads: dict[str, Load]) -> None:
        """Replace the loads of another instance at some endpoints."""
        known = self._peers.setdefault(instance, {})
        for endpoint_id, load in loads.items():
            former = known.get(endpoint_id)
            if former is not None:
                self._subtract_peer_load(endpoint_id, former)
            known[endpoint_id] = load
            self._add_peer_load(endpoint_id, load)

    def retain_peers(self, instances: set[str]) -> None:
        """Drop the loads of instances that are gone."""
        for instance in list(self._peers):
            if instance not in instances:
                self._drop_peer(instance)

    def list_published(self, own_name: str) -> dict[str, dict[str, Load]]:
        """Return the loads of all instances by instance, this one's as copies.

        Args:
            own_name: Name of this instance.
        """
        own = {key: replace(load) for key, load in self._own.items() if load.requests}
        return self._peers | {own_name: own}

    def sum_up(self, endpoint_id: str) -> Load:
        """Return the load of all instances at an endpoint."""
        total = Load()
        for load in (self._own.get(endpoint_id), self._peer_totals.get(endpoint_id)):
            if load is not None:
                total.add(load)
        return total

    def _drop_peer(self, instance: str) -> None:
        for endpoint_id, load in self._peers.pop(instance, {}).items():
            self._subtract_peer_load(endpoint_id, load)

    def _add_peer_load(self, endpoint_id: str, load: Load) -> None:
        self._peer_totals.setdefault(endpoint_id, Load()).add(load)

    def _subtract_peer_load(self, endpoint_id: str, load: Load) -> None:
        # There may be no sum for an endpoint whose reported load was empty.
        total = self._peer_totals.setdefault(endpoint_id, Load())
        total.subtract(load)
        if total == _NO_LOAD:
            del self._peer_totals[endpoint_id]

    def record_failure(self, endpoint_id: str, *, weight: float, now: float) -> None:
        """Add a failed request to an endpoint's failure count."""
        failures = self._failures.setdefault(endpoint_id, _Failures())
        failures.amount = min(FAILURE_LIMIT, failures.compute_decayed(now) + weight)
        failures.updated = now

    def record_success(self, endpoint_id: str, *, now: float) -> None:
        """Reduce an endpoint's failure count after a success."""
        failures = self._failures.get(endpoint_id)
        if failures is None:
            return
        failures.amount = failures.compute_decayed(now) * SUCCESS_FACTOR
        failures.updated = now
        if failures.amount < 0.05:
            del self._failures[endpoint_id]

    def read_failures(self, endpoint_id: str, *, now: float) -> float:
        """Return an endpoint's failure count, in which older failures weigh less."""
        failures = self._failures.get(endpoint_id)
        return failures.compute_decayed(now) if failures else 0.0

    def list_failing(self, *, min_failures: float, now: float) -> list[str]:
        """Return the endpoints whose failure count is at least ``least``."""
        return [
            endpoint_id
            for endpoint_id, failures in self._failures.items()
            if failures.compute_decayed(now) >= min_failures
        ]

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the failure counts of endpoints that are gone."""
        for endpoint_id in list(self._failures):
            if endpoint_id not in endpoint_ids:
                del self._failures[endpoint_id]
