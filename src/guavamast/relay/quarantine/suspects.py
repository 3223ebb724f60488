"""Suspected attributes, and the choice of those that explain the ends of endpoints."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from guavamast.relay.quarantine.attributes import find_kind
from guavamast.relay.quarantine.records import LostAttribute

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.quarantine.attributes import AttributeKind
    from guavamast.relay.quarantine.records import EndpointIncarnation


@dataclass(slots=True, kw_only=True)
class Suspect:
    """An attribute that requests had at ended endpoints, and that wasn't answered since."""

    attribute: str
    organisation: str | None
    ends: dict[EndpointIncarnation, float] = field(default_factory=dict)
    """Local time at which each end was reported here. An end counts from the report on: until then
    no answer could speak against it."""

    kind: AttributeKind = field(init=False)
    """The kind of the attribute."""

    def __post_init__(self) -> None:
        self.kind = find_kind(self.attribute)

    @property
    def changed_at(self) -> float:
        """Local time of the newest evidence."""
        return max(self.ends.values(), default=float("-inf"))

    @property
    def settles_at(self) -> float:
        """Local time from which on as many ends count as a decision needs, if there are so many."""
        return sorted(self.ends.values())[self.kind.min_ends - 1] + self.kind.settle_s

    def describe(self) -> LostAttribute:
        """Return the attribute as it is reported."""
        return LostAttribute(attribute=self.attribute, organisation=self.organisation)

    def count_settled(self, *, now: float) -> int:
        """Return the number of ends that count by now."""
        settle_s = self.kind.settle_s
        return sum(now - learned_at >= settle_s for learned_at in self.ends.values())


@dataclass(frozen=True, slots=True, kw_only=True)
class _Contender:
    suspect: Suspect
    open_ends: frozenset[EndpointIncarnation]
    """Ends that nothing in quarantine explains."""


def find_explanations(
    suspects: Iterable[Suspect], *, held: Iterable[Suspect], now: float
) -> list[Suspect]:
    """Return the suspects that explain the ends of endpoints, and aren't in quarantine.

    What ends endpoints is at each of its ends; what only ran beside it is at some. So of suspects
    with ends in common the one with the most wins. The narrowest attribute that explains the same
    ends wins, as it keeps the fewest requests from endpoints. Of those that can't be told apart
    none is chosen until there is one more end. Ends that an attribute in quarantine explains count
    no longer, so that two causes at once are found one after the other.

    Args:
        suspects: All suspects that may be put into quarantine.
        held: Suspects in quarantine.
        now: The current time.
    """
    explaining = list(held)
    contenders = [
        _Contender(suspect=suspect, open_ends=_list_open_ends(suspect, explaining))
        for suspect in suspects
        if len(suspect.ends) >= suspect.kind.min_ends
    ]
    contenders = [one for one in contenders if len(one.open_ends) >= one.suspect.kind.min_ends]
    return [
        one.suspect
        for one in contenders
        if one.suspect.count_settled(now=now) >= one.suspect.kind.min_ends
        and all(_prevails(one, rival) for rival in contenders if rival is not one)
    ]


def _list_open_ends(suspect: Suspect, explaining: list[Suspect]) -> frozenset[EndpointIncarnation]:
    """Return the ends of a suspect that no other attribute explains.

    A narrower attribute all of whose ends are among more of this one doesn't explain them: this one
    explains it.
    """
    ends = set(suspect.ends)
    for other in explaining:
        if not other.ends.keys() < suspect.ends.keys():
            ends -= other.ends.keys()
    return frozenset(ends)


def _prevails(one: _Contender, rival: _Contender) -> bool:
    """Return whether a rival doesn't keep a contender from being chosen."""
    if rival.suspect.kind.breadth > one.suspect.kind.breadth:
        return True
    if not one.open_ends & rival.open_ends:
        return True
    if one.open_ends == rival.open_ends:
        if rival.suspect.kind.breadth < one.suspect.kind.breadth:
            return False
        return len(one.open_ends) >= one.suspect.kind.min_ambiguous_ends
    return len(one.open_ends) > len(rival.open_ends)
