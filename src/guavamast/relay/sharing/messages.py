"""What instances tell each other of the organisations that compete for a service."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class ShareKey(NamedTuple):
    """An organisation among those that compete for a service with one precedence."""

    service: str
    precedence: int
    organisation: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationServed:
    """What one organisation was served at an instance."""

    key: ShareKey
    served_ms: float
    """Decayed engine milliseconds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class OrganisationWaiting:
    """What waits of one organisation at an instance."""

    key: ShareKey
    attempts: int
    work_ms: float
    """Engine milliseconds of those attempts."""
    remaining_s: float
    """Seconds for which they wait at least, unless another message replaces this."""
