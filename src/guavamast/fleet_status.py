"""What ``status`` shows of the fleet, as one instance knows it."""

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
    """Requests that this instance's entry has at it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetStatus:
    """The view of the instance that answers."""

    answered_by: str
    configuration_version: int
    """In force at the instance that answers."""
    instances: tuple[InstanceStatus, ...]
    endpoints: tuple[EndpointStatus, ...] = ()

    def list_behind(self) -> list[str]:
        """Return the serving instances that are not yet at the highest version seen."""
        versions = [instance.configuration_version for instance in self.instances]
        newest = max([self.configuration_version, *versions])
        return [
            instance.name
            for instance in self.instances
            if instance.state != "gone" and instance.configuration_version < newest
        ]


class StatusSource(ABC):
    """What the operators' handlers read from the daemon that they run in."""

    @abstractmethod
    def read_status(self) -> FleetStatus:
        """Return the fleet as this instance knows it, without asking anyone."""

    @abstractmethod
    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
