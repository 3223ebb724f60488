"""The interface of what decides how many engines a service has."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.catalog import ScalingSettings
    from guavamast.relay.placement import EngineProfile
    from guavamast.relay.provider import EngineGroup, EngineOrder
    from guavamast.relay.scaling.demand import ServiceDemand


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupState:
    """Engines of one group, as they are listed now."""

    group: EngineGroup
    ready: int
    leaving: int
    ordered: int | None
    """The last order for the group; None if there was none."""
    available: bool = True
    """Whether the last order was not rejected for want of such engines."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ScalingView:
    """What a policy decides by."""

    service: str
    settings: ScalingSettings
    groups: tuple[GroupState, ...]
    """Both kinds in each failure domain in which the service has run."""
    demand: ServiceDemand
    """Demand since the holder started, in total."""
    profile: EngineProfile
    """Speed of the engines."""
    slots: int
    """Requests that one engine runs concurrently."""
    floor: int = 0
    """Engines in all failure domains together that operators want at least."""


class ScalingPolicy(ABC):
    """Decides how many engines each group of a service is to have."""

    @abstractmethod
    def decide(self, view: ScalingView, *, now: float) -> list[EngineOrder]:
        """Return the wanted number of engines of each group; groups left out stay as they are."""

    @abstractmethod
    def explain(self, group: EngineGroup) -> str:
        """Return why the last number of engines of a group was chosen, for operators."""
