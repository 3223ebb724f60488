"""Choice of the instances that callers connect to.

All callers cache a response for a while and loads arrive late, so responses that name the least
loaded instance would send every caller there. Responses are spread evenly instead: successive ones
step through the instances by a low-discrepancy sequence, and the load only adjusts the shares.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.members import MemberState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.members import Member, MembershipView

GOLDEN_RATIO: Final = 0.6180339887498949
"""Step of the sequence; its multiples modulo 1 leave no large gap at any length."""
ADDRESS_COUNT: Final = 4
"""Addresses in a response: one to use and others to fall back to."""
LOAD_EXPONENT: Final = 1.0
"""How strongly an instance's share falls with its load; ``docs/design/membership.md``."""
MIN_VALIDITY_SHARE: Final = 0.7
"""Minimum share of the longest validity; it varies, so that callers query at different times."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressResponse:
    """The instances that a caller may connect to."""

    members: tuple[Member, ...]
    """The instances, the preferred one first."""
    valid_for_s: float
    """Time for which the caller may cache the response."""


def choose_addresses(
    view: MembershipView,
    *,
    caller_hint: str,
    seed: int,
    validity_s: float,
) -> AddressResponse:
    """Choose the instances to return to one caller.

    Args:
        view: The members as the responding instance sees them.
        caller_hint: Failure domain or region of the caller; if the caller gives none, that of the
            responding instance, which the caller has reached.
        seed: A counter that the responding instance starts at random and raises by one with each
            response.
        validity_s: Longest time for which a response may be cached. A leaving instance accepts
            requests for that time, so a response never outlives it.

    Returns:
        Live instances, those of the caller's region first; never leaving ones. Suspected ones
        only when there are no others.
    """
    serving = view.list_serving()
    live = [member for member in serving if member.state == MemberState.LIVE] or list(serving)
    region = _find_region(view.members, caller_hint)
    near = [member for member in live if member.instance.failure_domain.region == region]
    chosen = _select(near or live, seed, ADDRESS_COUNT)
    chosen = _add_other_domain(chosen, live, seed)
    spread = (seed * GOLDEN_RATIO) % 1.0
    share = MIN_VALIDITY_SHARE + (1.0 - MIN_VALIDITY_SHARE) * spread
    return AddressResponse(members=tuple(chosen), valid_for_s=validity_s * share)


def compute_weights(members: Sequence[Member]) -> list[float]:
    """Return each member's share of the responses before normalising; 1 at the mean load.

    The loads may be older than the duration of a request. The weight is therefore smooth and
    bounded, so that one report changes only part of an instance's share.
    """
    mean = sum(member.load for member in members) / max(len(members), 1)
    if mean <= 0.0:
        return [1.0] * len(members)
    return [(2.0 / (1.0 + member.load / mean)) ** LOAD_EXPONENT for member in members]


def _select(members: Sequence[Member], seed: int, count: int) -> list[Member]:
    remaining = sorted(members, key=lambda member: member.instance.name)
    chosen: list[Member] = []
    step = seed
    while remaining and len(chosen) < count:
        index = _find_index(compute_weights(remaining), (step * GOLDEN_RATIO) % 1.0)
        chosen.append(remaining.pop(index))
        step += 1
    return chosen


def _find_index(weights: Sequence[float], position: float) -> int:
    remaining = position * sum(weights)
    for index, weight in enumerate(weights):
        remaining -= weight
        if remaining < 0.0:
            return index
    return len(weights) - 1


def _add_other_domain(chosen: list[Member], live: Sequence[Member], seed: int) -> list[Member]:
    """Put an address of another failure domain last, so that losing a domain leaves one."""
    domains = {member.instance.failure_domain.name for member in chosen}
    if len(domains) != 1:
        return chosen
    others = [m for m in live if m.instance.failure_domain.name not in domains]
    return [*chosen[: ADDRESS_COUNT - 1], *_select(others, seed, 1)]


def _find_region(members: Sequence[Member], hint: str) -> str:
    for member in members:
        domain = member.instance.failure_domain
        if hint in (domain.name, domain.region):
            return domain.region
    return ""
