"""Bounds of what engines hold, where an engine ends that holds more than its KV cache."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.placement.admission import (
    MAX_RETRY_S,
    MIN_RETRY_S,
    RETRY_SHARE,
    Rejection,
)
from guavamast.relay.placement.engine_forecast import KV_FULL_WAIT_MS, KvLimit
from guavamast.relay.placement.obstacle import Obstacle, ObstacleKind
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.relay.endpoint_table import EndpointRecord

URGENT_MEMORY_SHARE: Final = 0.96
"""Share of an engine's KV cache that its scheduler grants in total."""
LESS_URGENT_MEMORY_SHARE: Final = 0.95
"""Share that a scheduler grants to all but the most urgent requests."""
LEARNING_MEMORY_SHARE: Final = 0.5
"""Share that a new scheduler grants where it has learnt of no work: the last grants of its
predecessor are not published yet."""
UNSCHEDULED_MEMORY_SHARE: Final = 0.03
"""Share of an engine's KV cache that no scheduler grants: one instance may fill it without one."""
MEMORY_LEASE_S: Final = 20.0
"""Seconds for which the work of a silent instance keeps its memory: nearly all answers end in this
time, and only the path to the scheduler may be cut."""
INSTANCE_RETENTION_S: Final = 300.0
"""Seconds for which an instance that is no longer heard keeps its part of the engines: two that
have lost each other must not both take it."""
RESERVE_STEP: Final = 0.05
"""Share of the KV cache by which the reserve grows after an engine ended for lack of memory."""
MAX_ADDED_RESERVE: Final = 0.2
"""Share of the KV cache by which the reserve grows at most; more would reject long prompts."""
RESERVE_LIFETIME_S: Final = 120.0
"""Seconds until a reserve that has grown is back at its usual size; it shrinks evenly."""
NEAR_CAPACITY_SHARE: Final = 0.85
"""Share of its KV cache from which on what an engine held explains its end: known loads lag behind
the real ones."""

END_SPAN_S: Final = 0.5
"""Seconds in which all instances notice the end of an engine."""
MIN_LOSSES: Final = 2
"""Requests that an engine must lose at least to count as ended."""
LOST_SHARE: Final = 0.5
"""Share of an engine's requests whose failures in that time show its end."""


class MemoryReserve:
    """The part of each engine's KV cache that is not granted.

    It grows when an engine has ended for lack of memory, as more was held there than was known, and
    shrinks again over two minutes.
    """

    __slots__ = ("_added", "_ends")

    def __init__(self) -> None:
        self._added: dict[str, tuple[float, float]] = {}
        """Added share and the time at which it was added, by service."""
        self._ends: dict[str, float] = {}
        """Time of the last counted end of each endpoint."""

    def record_end(self, service: str, endpoint_id: str, *, now: float) -> None:
        """Record that an engine has ended for lack of memory; repeated reports count once."""
        self._ends = {key: at for key, at in self._ends.items() if now - at <= RESERVE_LIFETIME_S}
        last_at = self._ends.get(endpoint_id)
        if last_at is not None and now - last_at <= 1.0:
            return
        self._ends[endpoint_id] = now
        added = self.compute_added(service, now=now)
        self._added[service] = (min(MAX_ADDED_RESERVE, added + RESERVE_STEP), now)

    def compute_added(self, service: str, *, now: float) -> float:
        """Return the share of the KV cache by which the reserve of a service has grown."""
        if service not in self._added:
            return 0.0
        added, at = self._added[service]
        return added * max(0.0, 1.0 - (now - at) / RESERVE_LIFETIME_S)

    def compute_limit(
        self, service: str, *, most_urgent: bool, learning: bool, now: float
    ) -> KvLimit:
        """Return how much of an engine's KV cache a scheduler grants.

        Args:
            service: Service of the engine.
            most_urgent: Whether no stream of the service is more urgent than the request.
            learning: Whether the scheduler is new.
            now: Current time.
        """
        share = URGENT_MEMORY_SHARE if most_urgent else LESS_URGENT_MEMORY_SHARE
        if learning:
            share = LEARNING_MEMORY_SHARE
        added = self.compute_added(service, now=now)
        return KvLimit(share=share - added, wait_ms=KV_FULL_WAIT_MS)


@dataclass(slots=True, kw_only=True)
class _Losses:
    """Requests that failed at one engine in a short time."""

    began_at: float
    held_tokens: int
    requests: int
    failures: int = 0


class EndsUnderLoad:
    """Tells a scheduler when an engine has ended while what it held was near its KV cache.

    An engine that ends loses all its requests at once; single failures have other causes. The
    scheduler's instance may have had none of the requests, so it decides by the others' updates.
    """

    __slots__ = ("_losses",)

    def __init__(self) -> None:
        self._losses: dict[str, _Losses] = {}

    def record_failure(
        self,
        endpoint_id: str,
        *,
        held_tokens: int,
        requests: int,
        kv_capacity_tokens: int,
        now: float,
    ) -> bool:
        """Record a failed request; return whether its engine has ended under load by now.

        Args:
            endpoint_id: The engine.
            held_tokens: Tokens that it held, with those of the request.
            requests: Requests that it held, with this one.
            kv_capacity_tokens: Tokens that fit into its KV cache.
            now: Current time.
        """
        losses = self._losses.get(endpoint_id)
        if losses is None or now - losses.began_at > END_SPAN_S:
            losses = _Losses(began_at=now, held_tokens=held_tokens, requests=requests)
            self._losses[endpoint_id] = losses
        losses.failures += 1
        if losses.failures < max(MIN_LOSSES, LOST_SHARE * losses.requests):
            return False
        return is_near_capacity(losses.held_tokens, kv_capacity_tokens=kv_capacity_tokens)

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop the engines that are gone."""
        self._losses = {key: one for key, one in self._losses.items() if key in endpoint_ids}


class UnscheduledMemory:
    """The part of each engine's KV cache that one instance fills without a scheduler.

    Each engine's part belongs to one instance. Two instances that place alone, and the scheduler
    that doesn't hear them, thus never take the same memory.

    Args:
        own_name: Name of this instance.
        list_instances: Returns the names of the other instances that are known.
        read_held: Returns the tokens that this instance holds at an endpoint without a grant.
    """

    __slots__ = ("_heard_at", "_list_instances", "_own_name", "_owners", "_read_held")

    def __init__(
        self,
        *,
        own_name: str,
        list_instances: Callable[[], Iterable[str]],
        read_held: Callable[[str], int],
    ) -> None:
        self._own_name = own_name
        self._list_instances = list_instances
        self._read_held = read_held
        self._heard_at: dict[str, float] = {}
        self._owners: dict[str, str] = {}

    def update(self, *, now: float) -> None:
        """Record the instances that are known now."""
        former = self._heard_at.keys() | set()
        for name in self._list_instances():
            self._heard_at[name] = now
        for name, heard_at in list(self._heard_at.items()):
            if now - heard_at > INSTANCE_RETENTION_S:
                del self._heard_at[name]
        if self._heard_at.keys() != former:
            self._owners.clear()

    def list_with_room(
        self, records: list[EndpointRecord], *, kv_tokens: int, kv_capacity_tokens: int
    ) -> list[EndpointRecord]:
        """Return the endpoints at which this instance may place a request without a scheduler."""
        part = UNSCHEDULED_MEMORY_SHARE * kv_capacity_tokens
        if kv_tokens > part:
            return []
        return [
            record
            for record in records
            if self._find_owner(record.endpoint_id) == self._own_name
            and self._read_held(record.endpoint_id) + kv_tokens <= part
        ]

    def _find_owner(self, endpoint_id: str) -> str:
        owner = self._owners.get(endpoint_id)
        if owner is None:
            names = (self._own_name, *self._heard_at)
            owner = max(names, key=lambda name: compute_weight(name, endpoint_id))
            self._owners[endpoint_id] = owner
        return owner


def reject_for_memory(*, objective_s: float) -> Rejection:
    """Return the rejection of a request for which no engine has memory."""
    retry_after_s = min(MAX_RETRY_S, max(MIN_RETRY_S, RETRY_SHARE * objective_s))
    return Rejection(retry_after_s=retry_after_s, obstacle=Obstacle(kind=ObstacleKind.MEMORY))


def is_near_capacity(held_tokens: int, *, kv_capacity_tokens: int) -> bool:
    """Return whether what an engine held explains its end."""
    return kv_capacity_tokens > 0 and held_tokens >= NEAR_CAPACITY_SHARE * kv_capacity_tokens
