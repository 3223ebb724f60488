"""Policy with a fixed number of engines of each kind in each failure domain."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.provider import EngineOrder
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
