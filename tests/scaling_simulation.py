"""Simulation of engines that are ordered for a load, without a network."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavamast.relay.catalog import ScalingSettings
from guavamast.relay.placement.engine_profile import EngineProfile
from guavamast.relay.provider import CallOutcome, EngineGroup
from guavamast.relay.scaling import GroupState, OrderBook, ScalingView, ServiceDemand

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.provider import EngineOrder
    from guavamast.relay.scaling import ScalingPolicy

STEP_S = 0.25
DOMAINS = ("a", "b", "c", "d")
SETTINGS = ScalingSettings(
    min_engines=1,
    max_engines=15,
    start_s=4.0,
    reclaimable_price=0.22,
    domain_prices={"a": 1.0, "b": 0.8, "c": 1.25, "d": 0.9},
)
PROFILE = EngineProfile(read_tokens_per_ms=50.0, run_ms=0.0)
"""Engines whose load is their prefill alone, so that a load of 1 is one engine's whole time."""


@dataclass(slots=True, kw_only=True)
class SimulatedEngine:
    """One engine."""

    group: EngineGroup
    ready_at: float
    leaves_at: float = float("inf")


@dataclass(slots=True, kw_only=True)
class Outcome:
    """What became of a load."""

    served: float = 0.0
    asked: float = 0.0
    cost: float = 0.0
    """Seconds of engines by their prices."""
    orders: int = 0
    most: dict[str, int] = field(default_factory=dict)
    """Most engines of each failure domain."""

    @property
    def served_share(self) -> float:
        """The share of the load that engines had time for."""
        return self.served / max(self.asked, 1e-9)


class ScalingSimulation:
    """A service whose engines follow the orders of a policy.

    Args:
        policy: Decides on the engines.
        find_load: Returns the load at a time, in engines that are fully used.
        lasting: Engines of each failure domain at the start.
    """

    def __init__(
        self, *, policy: ScalingPolicy, find_load: Callable[[float], float], lasting: int = 8
    ) -> None:
        self._policy = policy
        self._find_load = find_load
        self._orders = OrderBook()
        self._demand = ServiceDemand()
        self.engines = [
            SimulatedEngine(group=build_group(domain, reclaimable=False), ready_at=-1.0)
            for domain in DOMAINS
            for _ in range(lasting)
        ]
        self.unavailable_until: dict[str, float] = {}
        """Time until which no reclaimable engines are to be had, by failure domain."""
        self.now = 0.0
        self.outcome = Outcome()

    def run(self, until: float) -> Outcome:
        """Let time pass and return what became of the load."""
        while self.now < until:
            self._step()
        return self.outcome

    def replace_holder(self, policy: ScalingPolicy) -> None:
        """Let another instance hold the duties, which knows the orders and no load."""
        self._policy = policy
        records = self._orders.build_all()
        self._orders = OrderBook()
        self._orders.load(records)
        self._demand = ServiceDemand()

    def reclaim(self, domain: str, *, for_s: float, everywhere: bool = False) -> None:
        """Take away the reclaimable engines of a failure domain, with no others for some time."""
        for engine in self.engines:
            if engine.group.failure_domain == domain and engine.group.reclaimable:
                engine.leaves_at = min(engine.leaves_at, self.now)
        for one in DOMAINS if everywhere else (domain,):
            self.unavailable_until[one] = self.now + for_s

    def count_ready(self, *, reclaimable: bool | None = None) -> int:
        """Return the number of engines that serve now."""
        return sum(
            engine.ready_at <= self.now < engine.leaves_at
            and (reclaimable is None or engine.group.reclaimable is reclaimable)
            for engine in self.engines
        )

    def _step(self) -> None:
        self.now += STEP_S
        load = self._find_load(self.now)
        self._demand += ServiceDemand(
            requests=1 if load else 0, prefill_tokens=load * STEP_S * 1000.0 * 50.0
        )
        self.outcome.asked += load * STEP_S
        self.outcome.served += min(load, self.count_ready()) * STEP_S
        self._count_cost()
        wanted = self._policy.decide(self._build_view(), now=self.now)
        placed = self._orders.place(wanted, self._list_states(), SETTINGS, now=self.now)
        self._orders.record_written()
        for order in placed:
            self.outcome.orders += 1
            self._orders.record_outcome(order, self._carry_out(order), now=self.now)

    def _carry_out(self, order: EngineOrder) -> CallOutcome:
        present = [
            engine
            for engine in self.engines
            if engine.group == order.group and engine.leaves_at == float("inf")
        ]
        missing = order.engines - len(present)
        domain = order.group.failure_domain
        blocked = order.group.reclaimable and self.now < self.unavailable_until.get(domain, 0.0)
        if missing > 0 and blocked:
            return CallOutcome.CONFLICT
        for engine in present[order.engines :]:
            engine.leaves_at = self.now
        for _ in range(missing):
            ready_at = self.now + SETTINGS.start_s
            self.engines.append(SimulatedEngine(group=order.group, ready_at=ready_at))
        return CallOutcome.DONE

    def _count_cost(self) -> None:
        for domain in DOMAINS:
            kept = [
                engine
                for engine in self.engines
                if engine.group.failure_domain == domain and self.now < engine.leaves_at
            ]
            most = self.outcome.most.get(domain, 0)
            self.outcome.most[domain] = max(most, len(kept))
            for engine in kept:
                price = SETTINGS.reclaimable_price if engine.group.reclaimable else 1.0
                assert price is not None
                self.outcome.cost += STEP_S * price * SETTINGS.domain_prices[domain]

    def _list_states(self) -> tuple[GroupState, ...]:
        states = []
        for domain in DOMAINS:
            for reclaimable in (False, True):
                group = build_group(domain, reclaimable=reclaimable)
                ready = sum(
                    engine.ready_at <= self.now < engine.leaves_at
                    for engine in self.engines
                    if engine.group == group
                )
                states.append(
                    GroupState(
                        group=group,
                        ready=ready,
                        leaving=0,
                        ordered=self._orders.find_order(group),
                        available=self._orders.is_available(group),
                    )
                )
        return tuple(states)

    def _build_view(self) -> ScalingView:
        return ScalingView(
            service="models",
            settings=SETTINGS,
            groups=self._list_states(),
            demand=self._demand,
            profile=PROFILE,
            slots=64,
        )


def build_group(domain: str, *, reclaimable: bool) -> EngineGroup:
    """Return a group of the service."""
    return EngineGroup(service="models", failure_domain=domain, reclaimable=reclaimable)
