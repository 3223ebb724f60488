"""How records of one instance are combined, and what is kept beside them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.members import Member

if TYPE_CHECKING:
    from guavamast.world import Instance


def join(first: Member, second: Member) -> Member:
    """Return what two records of one instance say together.

    The higher incarnation wins whole. Within one incarnation the later state wins, the load goes
    with the higher heartbeat, and configuration versions only grow. This is commutative,
    associative and idempotent.

    Args:
        first: A record.
        second: Another record of the same name.

    Returns:
        Their least upper bound.
    """
    if first.incarnation != second.incarnation:
        return max(first, second, key=lambda member: member.incarnation)
    heartbeat, load = max((first.heartbeat, first.load), (second.heartbeat, second.load))
    return Member(
        instance=max(first.instance, second.instance, key=_order_instance),
        incarnation=first.incarnation,
        state=max(first.state, second.state),
        heartbeat=heartbeat,
        configuration_version=max(first.configuration_version, second.configuration_version),
        load=load,
    )


class ChangeLog:
    """Names in the order of their last change, each with the change's sequence number."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}

    def record(self, name: str, number: int) -> None:
        """Note a change; numbers grow."""
        self._numbers.pop(name, None)
        self._numbers[name] = number

    def drop(self, name: str) -> None:
        """Drop a name that is forgotten."""
        self._numbers.pop(name, None)

    def list_after(self, number: int) -> list[tuple[int, str]]:
        """Return what changed after a number, oldest first."""
        found = []
        for name, changed in reversed(self._numbers.items()):
            if changed <= number:
                break
            found.append((changed, name))
        return found[::-1]


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """A change to be told."""

    member: Member
    new_incarnation: bool
    """Whether the receiver may not know the incarnation's instance yet."""


@dataclass(slots=True, kw_only=True)
class MemberRecord:
    """What one instance holds of another."""

    member: Member
    heartbeat_at: float
    """When its heartbeat was last seen to rise, or when it became a neighbour."""
    changed_at: float
    """When its incarnation or state changed."""
    refused_connection: bool = False
    """Whether its address refused a connection since its last heartbeat."""
    suspicion_factor: float = 1.0
    """Factor on the allowed silence."""
    incarnation_sequence: int = 0
    """Sequence number at which its incarnation became known."""
    first_seen_gone: bool = False
    """Whether it was gone when it was first heard of; such a record is not passed on."""


def _order_instance(instance: Instance) -> tuple[str, str, str, str]:
    domain = instance.failure_domain
    return (domain.name, domain.region, instance.caller_address, instance.peer_address)
