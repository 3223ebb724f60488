"""Which instances callers are told to connect to.

All callers keep an answer for a while and loads arrive late, so an answer that names the least
loaded instance sends everybody there. Answers are spread evenly instead: successive ones walk
through the instances by a low-discrepancy sequence, and the load only bends the shares.
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
"""Addresses in an answer: one to use and others to fall back to."""
LOAD_EXPONENT: Final = 1.0
"""How strongly an instance's share falls with its load; ``docs/design/membership.md``."""
SHORTEST_VALIDITY: Final = 0.7
"""Share of the longest validity that an answer has at least, so that callers ask at odd times."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AddressAnswer:
    """What a caller is told."""

    members: tuple[Member, ...]
    """The instances, the one to use first."""
    valid_for_s: float
    """Time for which the caller may keep the answer."""


def choose_addresses(
    view: MembershipView,
    *,
    caller_hint: str,
    seed: int,
    validity_s: float,
) -> AddressAnswer:
    """Choose the instances that one caller is told.

    Args:
        view: The members as the answering instance sees them.
        caller_hint: Failure domain or region of the caller; where the caller gives none, that of
            the answering instance, which the caller found.
        seed: A number that the answering instance raises by one with each answer and starts at
            random.
        validity_s: Longest time for which an answer may be kept. A leaving instance goes on
            accepting for that time, so an answer never outlives it.

    Returns:
        Live instances, those of the caller's region first; leaving ones never. Suspected ones
        only where nothing else is left.
    """
    serving = view.list_serving()
    live = [member for member in serving if member.state == MemberState.LIVE] or list(serving)
    region = _find_region(view.members, caller_hint)
    near = [member for member in live if member.instance.failure_domain.region == region]
    chosen = _pick(near or live, seed, ADDRESS_COUNT)
    chosen = _add_other_domain(chosen, live, seed)
    spread = (seed * GOLDEN_RATIO) % 1.0
    share = SHORTEST_VALIDITY + (1.0 - SHORTEST_VALIDITY) * spread
    return AddressAnswer(members=tuple(chosen), valid_for_s=validity_s * share)


def compute_weights(members: Sequence[Member]) -> list[float]:
    """Return each member's share of the answers before normalising; 1 at the mean load.

    The loads may be older than a request lasts. The weight is therefore smooth and bounded, so
    that one report moves an instance's share by a part of it only.
    """
    mean = sum(member.load for member in members) / max(len(members), 1)
    if mean <= 0.0:
        return [1.0] * len(members)
    return [(2.0 / (1.0 + member.load / mean)) ** LOAD_EXPONENT for member in members]


def _pick(members: Sequence[Member], seed: int, count: int) -> list[Member]:
    left = sorted(members, key=lambda member: member.instance.name)
    chosen: list[Member] = []
    step = seed
    while left and len(chosen) < count:
        index = _find_index(compute_weights(left), (step * GOLDEN_RATIO) % 1.0)
        chosen.append(left.pop(index))
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
    """Have the last address in another failure domain, so that losing one leaves an address."""
    domains = {member.instance.failure_domain.name for member in chosen}
    if len(domains) != 1:
        return chosen
    others = [m for m in live if m.instance.failure_domain.name not in domains]
    return [*chosen[: ADDRESS_COUNT - 1], *_pick(others, seed, 1)]


def _find_region(members: Sequence[Member], hint: str) -> str:
    for member in members:
        domain = member.instance.failure_domain
        if hint in (domain.name, domain.region):
            return domain.region
    return ""
