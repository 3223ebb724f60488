"""Policies to which the one in use is compared: fixed numbers, and a target load."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from guavamast.relay.provider import EngineOrder
from guavamast.relay.scaling.load_estimate import LoadEstimate
from guavamast.relay.scaling.policy import ScalingPolicy

if TYPE_CHECKING:
    from guavamast.relay.provider import EngineGroup
    from guavamast.relay.scaling.policy import ScalingView


class StaticPolicy(ScalingPolicy):
    """Orders the same number of engines in each failure domain, whatever the demand.

    Args:
        lasting: Engines that are not taken away.
        reclaimable: Engines that may be taken away.
    """

    __slots__ = ("_lasting", "_reclaimable")

    def __init__(self, *, lasting: int, reclaimable: int) -> None:
        self._lasting = lasting
        self._reclaimable = reclaimable

    def decide(self, view: ScalingView, *, now: float) -> list[EngineOrder]:
        """Return the fixed numbers; engines go only once those that replace them are ready."""
        del now
        ready = {state.group: state.ready for state in view.groups}
        orders = []
        for state in view.groups:
            if state.group.reclaimable:
                orders.append(EngineOrder(group=state.group, engines=self._reclaimable))
                continue
            others = sum(
                count
                for group, count in ready.items()
                if group.reclaimable and group.failure_domain == state.group.failure_domain
            )
            if others >= self._reclaimable or state.ordered is not None:
                orders.append(EngineOrder(group=state.group, engines=self._lasting))
        return orders

    def explain(self, group: EngineGroup) -> str:
        """Return that the number is fixed."""
        del group
        return "fixed"


class StandingPolicy(ScalingPolicy):
    """Orders nothing, so that the engines found at the start stay."""

    def decide(self, view: ScalingView, *, now: float) -> list[EngineOrder]:
        """Return no orders."""
        del view, now
        return []

    def explain(self, group: EngineGroup) -> str:
        """Return that nothing is ordered."""
        del group
        return "standing"


class TargetLoadPolicy(ScalingPolicy):
    """Keeps the present load of lasting engines near a target, with hysteresis.

    Args:
        target: Load of an engine, as a share of its full use.
        hold_s: Seconds for which fewer engines must do before any is given back.
    """

    def __init__(self, *, target: float = 0.5, hold_s: float = 8.0) -> None:
        self._load = LoadEstimate()
        self._target = target
        self._hold_s = hold_s
        self._total = 0
        self._low_since: float | None = None

    def decide(self, view: ScalingView, *, now: float) -> list[EngineOrder]:
        """Return equal numbers for all failure domains."""
        self._load.record(view.demand, view.profile, slots=view.slots, now=now)
        lasting = [state for state in view.groups if not state.group.reclaimable]
        ready = sum(state.ready for state in lasting)
        if not self._load.has_lasted(2.0, now=now):
            self._total = max(self._total, ready)
            return []
        needed = math.ceil(self._load.latest / self._target)
        if needed >= self._total:
            self._total, self._low_since = needed, None
        elif self._low_since is None:
            self._low_since = now
        elif now - self._low_since >= self._hold_s:
            self._total, self._low_since = needed, None
        share = math.ceil(self._total / len(lasting))
        bounded = max(view.settings.min_engines, min(view.settings.max_engines, share))
        return [EngineOrder(group=state.group, engines=bounded) for state in lasting]

    def explain(self, group: EngineGroup) -> str:
        """Return the number that is wanted."""
        del group
        return f"{self._total} engines"
