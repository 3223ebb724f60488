"""Which instances a caller is told to connect to."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.store import InstanceRecord

VALIDITY_S: Final = 1.0
"""Seconds for which callers keep an answer. A leaving instance waits several times as long before
it ends, and must be done within the platform's grace."""
MAX_ADDRESSES: Final = 64
"""Addresses that a caller takes from one answer."""
MIN_NEAR_INSTANCES: Final = 2
"""Instances in the caller's failure domain from which on only these are named: with one alone, its
end would leave the caller without an address that works."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerPlace:
    """Where a caller is."""

    region: str
    failure_domain: str


def choose_addresses(
    place: CallerPlace,
    serving: list[InstanceRecord],
    fallback: list[InstanceRecord],
) -> list[str]:
    """Return the addresses for a caller.

    Args:
        place: Where the caller is.
        serving: Instances that take new work.
        fallback: Instances to name when none of those is known.
    """
    candidates = serving or fallback
    near = [record for record in candidates if record.failure_domain == place.failure_domain]
    if len(near) < MIN_NEAR_INSTANCES:
        near = [record for record in candidates if record.region == place.region]
    if len(near) < MIN_NEAR_INSTANCES:
        near = candidates
    return sorted(record.callers_address for record in near)[:MAX_ADDRESSES]
