"""Messages between instances about the duties."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.duties.usage_counter import WindowCounts
    from guavamast.relay.scaling import ServiceDemand


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyReport:
    """What one instance tells those that may hold the duties.

    All counts are totals since its start, so a lost datagram loses nothing.
    """

    instance: str
    incarnation: int
    """Start of the process; its counts begin anew with it."""
    sequence: int
    as_of: float
    """Store time up to which the counts are complete."""
    wall_offset_s: float
    """Its wall clock minus the store's clock."""
    clock_offset_s: float | None
    """Offset of Unix time by which it has assigned runs to windows; None if it knows none yet."""
    windows: WindowCounts
    demand: dict[str, ServiceDemand]
    """Demand for each service that runs models."""


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyNotice:
    """What the holder of the duties tells the other instances."""

    holder: str
    fencing: int
    clock_offset_s: float | None
    """Offset of Unix time from the store's clock in seconds; None until it is agreed on."""
    fixed_through: int
    """Last window whose counts are fixed; nobody needs to keep counts of it."""
