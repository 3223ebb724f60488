"""Merging of membership records, and the local state kept with them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.members import Member

if TYPE_CHECKING:
    from guavamast.fleet_objects import Instance


def join(first: Member, second: Member) -> Member:
    """Return the merge of two records of one instance.

    The record with the higher incarnation wins as a whole. Within one incarnation the later state
    wins, the load comes with the higher heartbeat, and the configuration version never decreases.
    The merge is commutative, associative and idempotent.

    Args:
        first: A record.
        second: Another record of the same name.

    Returns:
        The least upper bound of both.
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
    """Names in the order of their last change, each with the sequence number of the change."""

    __slots__ = ("_numbers",)

    def __init__(self) -> None:
        self._numbers: dict[str, int] = {}

    def record(self, name: str, number: int) -> None:
        """Record a change; sequence numbers must increase."""
        self._numbers.pop(name, None)
        self._numbers[name] = number

    def drop(self, name: str) -> None:
        """Remove a name."""
        self._numbers.pop(name, None)

    def list_after(self, number: int) -> list[tuple[int, str]]:
        """Return the changes after a sequence number, oldest first."""
        found = []
        for name, changed in reversed(self._numbers.items()):
            if changed <= number:
                break
            found.append((changed, name))
        return found[::-1]


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate:
    """A changed record to send."""

    member: Member
    new_incarnation: bool
    """Whether the receiver may not know the instance of this incarnation yet."""


@dataclass(slots=True, kw_only=True)
class MemberRecord:
    """Local state of one instance about another."""

    member: Member
    heartbeat_at: float
    """Time at which its heartbeat counter last rose or at which it became a neighbour."""
    changed_at: float
    """Time at which its incarnation or state changed."""
    refused_connection: bool = False
    """Whether its address refused a connection since its last heartbeat."""
    suspicion_factor: float = 1.0
    """Multiplier of the allowed silence."""
    incarnation_sequence: int = 0
    """Sequence number of the change by which its incarnation became known."""
    first_seen_gone: bool = False
    """Whether it was already gone when first received; such a record is not passed on."""


def _order_instance(instance: Instance) -> tuple[str, str, str, str]:
    domain = instance.failure_domain
    return (domain.name, domain.region, instance.caller_address, instance.peer_address)
