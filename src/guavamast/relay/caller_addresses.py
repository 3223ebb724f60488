"""Selection of the instance addresses that a caller is given."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet

    from guavamast.relay.store import InstanceRecord

VALIDITY_S: Final = 1.0
"""Seconds for which callers cache an answer. A leaving instance waits several times as long before
it exits, and must finish within the platform's termination grace period."""
MAX_ADDRESSES: Final = 64
"""Addresses that a caller uses from one answer at most."""
MIN_NEAR_INSTANCES: Final = 2
"""Instances in the caller's failure domain from which on only these are returned: if there were one
and it ended, the caller would have no working address."""
MIN_REACHING_SHARE: Final = 0.5
"""Share of the serving instances that must reach all services for the others to be left out: fewer
would not have room for all callers, and the others serve through them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLocation:
    """Location of a caller."""

    region: str
    failure_domain: str


def choose_addresses(
    location: CallerLocation,
    serving: list[InstanceRecord],
    fallback: list[InstanceRecord],
    *,
    unreaching: AbstractSet[str] = frozenset(),
) -> list[str]:
    """Return the addresses for a caller.

    Args:
        location: Location of the caller.
        serving: Instances that accept new requests.
        fallback: Instances to return when no serving one is known.
        unreaching: Names of instances that don't reach all services themselves.
    """
    candidates = _select_reaching(serving, unreaching) or fallback
    near = [record for record in candidates if record.failure_domain == location.failure_domain]
    if len(near) < MIN_NEAR_INSTANCES:
        near = [record for record in candidates if record.region == location.region]
    if len(near) < MIN_NEAR_INSTANCES:
        near = candidates
    return sorted(record.callers_address for record in near)[:MAX_ADDRESSES]


def _select_reaching(
    serving: list[InstanceRecord], unreaching: AbstractSet[str]
) -> list[InstanceRecord]:
    reaching = [record for record in serving if record.name not in unreaching]
    return reaching if len(reaching) >= MIN_REACHING_SHARE * len(serving) else serving
