"""The fleet status that ``status`` prints, as one instance knows it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.fleet_objects import Configuration


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceStatus:
    """One instance as membership knows it."""

    name: str
    failure_domain: str
    region: str
    state: str
    """``live``, ``suspect``, ``leaving`` or ``gone``."""
    configuration_version: int
    caller_address: str
    load: float
    """Requests in flight at its entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointStatus:
    """One endpoint of the configuration in force."""

    name: str
    state: str
    """``active`` or ``leaving``."""
    keeper: str
    """Instance whose dispatcher decides on its slots; empty when there is none."""
    in_flight: int = 0
    """Requests in flight there from this instance's entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """Fleet status as the responding instance knows it."""

    answered_by: str
    configuration_version: int
    """Version in force at the responding instance."""
    instances: tuple[InstanceStatus, ...]
    endpoints: tuple[EndpointStatus, ...] = ()

    def list_outdated(self) -> list[str]:
        """Return the instances, other than gone ones, that are below the highest version seen."""
        versions = [instance.configuration_version for instance in self.instances]
        newest = max([self.configuration_version, *versions])
        return [
            instance.name
            for instance in self.instances
            if instance.state != "gone" and instance.configuration_version < newest
        ]


class StatusSource(ABC):
    """Interface by which the operators' handlers read the state of their daemon."""

    @abstractmethod
    def read_status(self) -> FleetStatus:
        """Return the fleet as this instance knows it, without querying other instances."""

    @abstractmethod
    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
