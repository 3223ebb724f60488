"""Records of partitions: which instances are compared with which others."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from soak.guarantees import SPREAD_BOUND_S, Span, is_undisturbed

if TYPE_CHECKING:
    from soak.instances import Instance


@dataclass(frozen=True, slots=True, kw_only=True)
class PartitionRecord:
    """Instances that were partitioned from engines, and the others.

    An instance that was also disturbed is in neither set: its own disruption, not the partition,
    may be why it served so many or so few.
    """

    span: Span
    addresses: frozenset[str]
    others: frozenset[str]
    """Addresses of the instances that were not partitioned."""


def record_partition(
    span: Span, *, partitioned: list[Instance], instances: list[Instance]
) -> PartitionRecord:
    """Return the record of a partition.

    Args:
        span: Time of the partition.
        partitioned: The instances that didn't reach engines.
        instances: All instances.
    """
    undisturbed = [
        one
        for one in instances
        if is_undisturbed(one.disruptions, span.started_at, span.ended_at, after_s=SPREAD_BOUND_S)
    ]
    return PartitionRecord(
        span=span,
        addresses=frozenset(one.caller_address for one in undisturbed if one in partitioned),
        others=frozenset(one.caller_address for one in undisturbed if one not in partitioned),
    )
