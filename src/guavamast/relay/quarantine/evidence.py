"""Evidence on the attributes of requests under which endpoints ended."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import nlargest
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.records import Clearance, EndpointEnd
from guavamast.relay.quarantine.suspects import Suspect, find_explanations

if TYPE_CHECKING:
    from collections.abc import Collection

    from guavamast.relay.quarantine.records import EndpointIncarnation, LostAttribute

EVIDENCE_LIFETIME_S: Final = 900.0
"""Seconds for which ends and clearances count: callers repeat a request for minutes."""
CLOCK_MARGIN_S: Final = 0.5
"""Seconds by which a reported time may be off: the transit of a report is added to it."""
MAX_ATTRIBUTES: Final = 2048
"""Attributes with evidence, and attributes that were cleared, that are kept at most."""
MAX_SAVED: Final = 64
"""Attributes whose evidence is saved for instances that start."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Culprit:
    """An attribute of the requests that ended endpoints, as far as the evidence shows."""

    attribute: str
    organisation: str | None
    endpoint_ids: tuple[str, ...]
    """The endpoints, in the order of their ends."""
    late_ends: int
    """Ends after the fleet had time to learn of the last one that was allowed."""
    span_s: float
    """Seconds between the first and the last end."""


def _rank_suspicion(suspect: Suspect) -> tuple[int, int, float]:
    """Return the order in which evidence is saved, the last first."""
    return len(suspect.ends), suspect.kind.breadth, suspect.changed_at


class CrashEvidence:
    """The endpoints that ended, and the attributes of the requests that were running at each.

    Everything that runs at an endpoint is lost with it, so one end shows nothing about a single
    request. What several ended endpoints had in common is the cause, unless it was answered
    elsewhere after an end: what was common to them is mostly common to all requests.

    Ends are counted by incarnation, and merging is a union, so the order and number of reports
    do not matter.
    """

    __slots__ = ("_cleared", "_ended_at", "_suspects", "revision")

    def __init__(self) -> None:
        self.revision = 0
        """Number of changes so far."""
        self._suspects: dict[str, Suspect] = {}
        self._ended_at: dict[EndpointIncarnation, float] = {}
        self._cleared: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._suspects)

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, attribute: str) -> bool:
        return attribute in self._suspects

    def add(self, end: EndpointEnd, *, now: float) -> bool:
        """Add the end of an endpoint; return whether any of it is new here.

        Args:
            end: The end.
            now: The local time of its report.
        """
        ended_at = min(end.ended_at, self._ended_at.get(end.incarnation, end.ended_at))
        changed = False
        for lost in end.lost:
            cleared_at = self._cleared.get(lost.attribute, float("-inf"))
            if ended_at > cleared_at + CLOCK_MARGIN_S:
                changed |= self._add_attribute(end.incarnation, lost, now=now)
        if changed:
            self.revision += 1
            self._ended_at[end.incarnation] = ended_at
            self._drop_excess()
        return changed

    def clear(self, attribute: str, *, at: float) -> bool:
        """Discard the evidence against an attribute up to a time; return whether this is new.

        A report of the same clearance seems a little later with each transit. Taken for a new one,
        it would be forwarded again and again, and fill the links between instances.
        """
        if at <= self._cleared.get(attribute, float("-inf")) + CLOCK_MARGIN_S:
            return False
        self.revision += 1
        self._cleared.pop(attribute, None)
        self._cleared[attribute] = at
        if len(self._cleared) > MAX_ATTRIBUTES:
            del self._cleared[next(iter(self._cleared))]
        suspect = self._suspects.get(attribute)
        if suspect is not None:
            for incarnation in list(suspect.ends):
                if self._ended_at[incarnation] <= at + CLOCK_MARGIN_S:
                    del suspect.ends[incarnation]
            if not suspect.ends:
                del self._suspects[attribute]
        return True

    def is_cleared(self, attribute: str, *, since: float) -> bool:
        """Return whether an attribute was cleared after a time."""
        at = self._cleared.get(attribute)
        return at is not None and at + CLOCK_MARGIN_S >= since

    def was_cleared_after(self, attribute: str, *, at: float) -> bool:
        """Return whether an attribute is known to have been cleared later than at a time."""
        return self._cleared.get(attribute, float("-inf")) > at

    def list_clearances(self, attributes: list[str]) -> list[Clearance]:
        """Return the clearances of some attributes, as far as they are still known."""
        return [
            Clearance(attribute=attribute, at=self._cleared[attribute])
            for attribute in attributes
            if attribute in self._cleared
        ]

    def count_ends(self, attribute: str) -> int:
        """Return how many endpoints ended under an attribute that wasn't cleared since."""
        suspect = self._suspects.get(attribute)
        return len(suspect.ends) if suspect is not None else 0

    def has_ends_after(self, attribute: str, *, at: float) -> bool:
        """Return whether endpoints ended under an attribute after a time."""
        suspect = self._suspects.get(attribute)
        if suspect is None:
            return False
        return any(self._ended_at[end] > at + CLOCK_MARGIN_S for end in suspect.ends)

    def list_other_ends(self, attribute: str, incarnation: EndpointIncarnation) -> list[float]:
        """Return when each end under an attribute was reported, one endpoint left out."""
        suspect = self._suspects.get(attribute)
        if suspect is None:
            return []
        return [learned_at for end, learned_at in suspect.ends.items() if end != incarnation]

    def list_culprits(
        self, *, held: Collection[str], spared: Collection[str], window_s: float, now: float
    ) -> list[Culprit]:
        """Return the attributes that the evidence shows to end endpoints, without those held.

        Args:
            held: Attributes in quarantine.
            spared: Attributes that explain nothing, as too many answered requests have them.
            window_s: Time in which the fleet learns of the last allowed end.
            now: The current time.
        """
        others = [
            one for name, one in self._suspects.items() if name not in held and name not in spared
        ]
        known = [self._suspects[name] for name in held if name in self._suspects]
        culprits = [
            self._describe(suspect, window_s=window_s)
            for suspect in find_explanations(others, held=known, now=now)
        ]
        return [
            culprit
            for culprit in culprits
            if culprit.span_s >= self._suspects[culprit.attribute].kind.min_span_s
        ]

    def list_sufficient(self, *, now: float) -> list[str]:
        """Return the attributes under which enough endpoints ended, whatever explains the ends."""
        return [
            suspect.attribute
            for suspect in self._suspects.values()
            if len(suspect.ends) >= suspect.kind.min_ends
            and suspect.count_settled(now=now) >= suspect.kind.min_ends
        ]

    def find_settling_time(self, *, held: Collection[str], now: float) -> float | None:
        """Return the first later time at which enough ends under an attribute have settled.

        Args:
            held: Attributes in quarantine, which are left out.
            now: The current time.
        """
        times = (
            suspect.settles_at
            for name, suspect in self._suspects.items()
            if name not in held and len(suspect.ends) >= suspect.kind.min_ends
        )
        return min((at for at in times if at > now), default=None)

    def list_lasting_ends(self, *, now: float) -> list[EndpointEnd]:
        """Return the ends of the most suspected attributes, for instances that start.

        Left out is what ran at one endpoint that has just ended: most of it is cleared at once. The
        time of an end is that of its report here, since which answers could speak against it.
        """
        lasting = [
            suspect
            for suspect in self._suspects.values()
            if len(suspect.ends) > 1 or suspect.count_settled(now=now)
        ]
        lost: dict[EndpointIncarnation, set[LostAttribute]] = {}
        reported_at: dict[EndpointIncarnation, float] = {}
        for suspect in nlargest(MAX_SAVED, lasting, key=_rank_suspicion):
            for incarnation, learned_at in suspect.ends.items():
                lost.setdefault(incarnation, set()).add(suspect.describe())
                latest_at = reported_at.get(incarnation, learned_at)
                reported_at[incarnation] = max(latest_at, learned_at)
        return [
            EndpointEnd(
                incarnation=incarnation,
                ended_at=reported_at[incarnation],
                lost=frozenset(attributes),
            )
            for incarnation, attributes in lost.items()
        ]

    def drop_expired(self, *, now: float) -> None:
        """Drop what is too old to count."""
        for incarnation, ended_at in list(self._ended_at.items()):
            if now - ended_at > EVIDENCE_LIFETIME_S:
                self._drop_end(incarnation)
        for attribute, at in list(self._cleared.items()):
            if now - at > EVIDENCE_LIFETIME_S:
                del self._cleared[attribute]

    def _add_attribute(
        self, incarnation: EndpointIncarnation, lost: LostAttribute, *, now: float
    ) -> bool:
        suspect = self._suspects.get(lost.attribute)
        if suspect is None:
            suspect = Suspect(attribute=lost.attribute, organisation=lost.organisation)
            self._suspects[lost.attribute] = suspect
        if incarnation in suspect.ends:
            return False
        suspect.ends[incarnation] = now
        return True

    def _describe(self, suspect: Suspect, *, window_s: float) -> Culprit:
        ends = sorted(suspect.ends, key=lambda end: self._ended_at[end])
        times = [self._ended_at[end] for end in ends]
        last_allowed_at = times[min(suspect.kind.allowed_ends, len(times)) - 1]
        return Culprit(
            attribute=suspect.attribute,
            organisation=suspect.organisation,
            endpoint_ids=tuple(end.endpoint_id for end in ends),
            late_ends=sum(ended_at > last_allowed_at + window_s for ended_at in times),
            span_s=times[-1] - times[0],
        )

    def _drop_end(self, incarnation: EndpointIncarnation) -> None:
        self.revision += 1
        del self._ended_at[incarnation]
        for attribute, suspect in list(self._suspects.items()):
            suspect.ends.pop(incarnation, None)
            if not suspect.ends:
                del self._suspects[attribute]

    def _drop_excess(self) -> None:
        """Drop the attributes with the fewest ends first, of these the oldest.

        Without the bound, callers whose requests are lost in large numbers fill the memory; without
        this order, they would push out the evidence against others.
        """
        excess = len(self._suspects) - MAX_ATTRIBUTES
        if excess <= 0:
            return
        order = sorted(
            self._suspects.values(), key=lambda suspect: (len(suspect.ends), suspect.changed_at)
        )
        for suspect in order[:excess]:
            del self._suspects[suspect.attribute]
