"""Records of instances in the membership protocol."""

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
    """Record of one instance."""

    instance: Instance
    incarnation: int
    """Chosen by the instance at its start and incremented by it to refute a suspicion."""
    state: MemberState
    heartbeat: int
    """Counter that the instance increments in each heartbeat round."""
    configuration_version: int
    load: float = 0.0
    """Number of requests in flight at the instance's entry."""


@dataclass(frozen=True, slots=True, kw_only=True)
class MembershipView:
    """Snapshot of the members, ordered by name."""

    members: tuple[Member, ...]

    def list_serving(self) -> tuple[Member, ...]:
        """Return the members that may be keepers of endpoints and accept callers."""
        serving = (MemberState.LIVE, MemberState.SUSPECT)
        return tuple(member for member in self.members if member.state in serving)
