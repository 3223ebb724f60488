"""Instances as membership sees them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.fleet_objects import Instance


class MemberState(IntEnum):
    """States in the order in which they override each other within one incarnation."""

    LIVE = 0
    SUSPECT = 1
    LEAVING = 2
    GONE = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """What is known of one instance."""

    instance: Instance
    incarnation: int
    """Chosen by the instance at its start and raised by it to refute a suspicion."""
    state: MemberState
    heartbeat: int
    """Counter that the instance raises with each heartbeat round."""
    configuration_version: int
    load: float = 0.0
    """Requests in flight at its entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipView:
    """A snapshot of the members, by name."""

    members: tuple[Member, ...]

    def list_serving(self) -> tuple[Member, ...]:
        """Return members that may keep endpoints and take callers."""
        serving = (MemberState.LIVE, MemberState.SUSPECT)
        return tuple(member for member in self.members if member.state in serving)
