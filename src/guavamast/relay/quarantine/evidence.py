"""Attribution of endpoints' ends to the contents that were running there."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.records import Clearance

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.quarantine.records import EndpointEnd, EndpointIncarnation, LostContent

MAX_ENDS: Final = 3
"""Endpoints that may end under a content before it is kept from others."""
MAX_AMBIGUOUS_ENDS: Final = 4
"""Endpoints that may end under several contents alike before all of these are kept from others."""
SETTLE_S: Final = 0.5
"""Seconds from sufficient evidence to a decision: other instances' reports of the same ends may
name the content that all of them have in common."""
EVIDENCE_LIFETIME_S: Final = 900.0
"""Seconds for which ends and clearances count: callers repeat a request for minutes."""
CLOCK_MARGIN_S: Final = 0.5
"""Seconds by which a reported time may be off: the transit of a report is added to it."""
MAX_CONTENTS: Final = 2048
"""Requests with evidence, and requests that were cleared, that are kept at most."""


@dataclass(slots=True, kw_only=True)
class _Suspect:
    organisation: str | None
    ends: set[EndpointIncarnation] = field(default_factory=set)
    changed_at: float = 0.0
    """Local time of the newest evidence."""
    suspected_at: float = float("inf")
    """Local time at which the evidence sufficed. A decision counts from it, not from the newest
    evidence: endpoints that end one after the other would put it off for ever."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Culprit:
    """A content that ended endpoints, as far as the evidence shows."""

    content: str
    organisation: str | None
    endpoint_ids: tuple[str, ...]
    """The endpoints, in the order of their ends."""
    late_ends: int
    """Ends after the fleet had time to learn of the last one that was allowed."""
    span_s: float
    """Seconds between the first and the last end."""


class CrashEvidence:
    """The endpoints that ended, and the contents that were running at each.

    Everything that runs at an endpoint is lost with it, so one end shows nothing about a single
    content. What several ended endpoints had in common is the culprit. A content that was answered
    completely is no culprit, and neither is one whose ends are all among those of another content
    with more of them: it only ran beside that.

    Ends are counted by incarnation, and merging is a union, so the order and number of reports
    do not matter.
    """

    __slots__ = ("_cleared", "_ended_at", "_suspects")

    def __init__(self) -> None:
        self._suspects: dict[str, _Suspect] = {}
        self._ended_at: dict[EndpointIncarnation, float] = {}
        self._cleared: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._suspects)

    def __len__(self) -> int:
        return len(self._suspects)

    def __contains__(self, content: str) -> bool:
        return content in self._suspects

    def add(self, end: EndpointEnd, *, now: float) -> bool:
        """Add the end of an endpoint; return whether any of it is new here."""
        ended_at = min(end.ended_at, self._ended_at.get(end.incarnation, end.ended_at))
        changed = False
        for lost in end.lost:
            cleared_at = self._cleared.get(lost.content, float("-inf"))
            if ended_at > cleared_at + CLOCK_MARGIN_S:
                changed |= self._add_content(end.incarnation, lost, now=now)
        if changed:
            self._ended_at[end.incarnation] = ended_at
            self._drop_excess()
        return changed

    def clear(self, content: str, *, at: float) -> bool:
        """Discard the evidence against a content up to a time; return whether this is new.

        A report of the same clearance seems a little later with each transit. Taken for a new one,
        it would be forwarded again and again, and fill the links between instances.
        """
        if at <= self._cleared.get(content, float("-inf")) + CLOCK_MARGIN_S:
            return False
        self._cleared.pop(content, None)
        self._cleared[content] = at
        if len(self._cleared) > MAX_CONTENTS:
            del self._cleared[next(iter(self._cleared))]
        suspect = self._suspects.get(content)
        if suspect is not None:
            left = {end for end in suspect.ends if self._ended_at[end] > at + CLOCK_MARGIN_S}
            self._replace_ends(content, left)
        return True

    def is_cleared(self, content: str, *, since: float) -> bool:
        """Return whether a content was cleared after a time."""
        at = self._cleared.get(content)
        return at is not None and at + CLOCK_MARGIN_S >= since

    def list_clearances(self, contents: list[str]) -> list[Clearance]:
        """Return the clearances of some contents, as far as they are still known."""
        return [
            Clearance(content=content, at=self._cleared[content])
            for content in contents
            if content in self._cleared
        ]

    def count_other_ends(self, content: str, incarnation: EndpointIncarnation) -> int:
        """Return how many endpoints ended under a content, one of them left out."""
        suspect = self._suspects.get(content)
        return len(suspect.ends - {incarnation}) if suspect is not None else 0

    def list_culprits(self, *, window_s: float, now: float) -> list[Culprit]:
        """Return the contents that the evidence shows to end endpoints.

        Args:
            window_s: Time in which the fleet learns of the last allowed end.
            now: The current time.
        """
        candidates = {
            content: suspect
            for content, suspect in self._suspects.items()
            if len(suspect.ends) >= MAX_ENDS
        }
        return [
            self._describe(content, suspect, window_s=window_s)
            for content, suspect in candidates.items()
            if now - suspect.suspected_at >= SETTLE_S
            and not _is_explained(suspect, candidates.values())
        ]

    def drop_expired(self, *, now: float) -> None:
        """Drop what is too old to count."""
        for incarnation, ended_at in list(self._ended_at.items()):
            if now - ended_at > EVIDENCE_LIFETIME_S:
                self._drop_end(incarnation)
        for content, at in list(self._cleared.items()):
            if now - at > EVIDENCE_LIFETIME_S:
                del self._cleared[content]

    def _add_content(
        self, incarnation: EndpointIncarnation, lost: LostContent, *, now: float
    ) -> bool:
        suspect = self._suspects.setdefault(lost.content, _Suspect(organisation=lost.organisation))
        if incarnation in suspect.ends:
            return False
        suspect.ends.add(incarnation)
        suspect.changed_at = now
        if len(suspect.ends) >= MAX_ENDS:
            suspect.suspected_at = min(suspect.suspected_at, now)
        return True

    def _replace_ends(self, content: str, ends: set[EndpointIncarnation]) -> None:
        suspect = self._suspects[content]
        suspect.ends = ends
        if len(ends) < MAX_ENDS:
            suspect.suspected_at = float("inf")
        if not ends:
            del self._suspects[content]

    def _describe(self, content: str, suspect: _Suspect, *, window_s: float) -> Culprit:
        ends = sorted(suspect.ends, key=lambda end: self._ended_at[end])
        times = [self._ended_at[end] for end in ends]
        learned_at = times[MAX_ENDS - 1] + window_s
        return Culprit(
            content=content,
            organisation=suspect.organisation,
            endpoint_ids=tuple(end.endpoint_id for end in ends),
            late_ends=sum(ended_at > learned_at for ended_at in times),
            span_s=times[-1] - times[0],
        )

    def _drop_end(self, incarnation: EndpointIncarnation) -> None:
        del self._ended_at[incarnation]
        for content, suspect in list(self._suspects.items()):
            if incarnation in suspect.ends:
                self._replace_ends(content, suspect.ends - {incarnation})

    def _drop_excess(self) -> None:
        """Drop the contents with the fewest ends first, of these the oldest.

        Without the bound, callers whose requests are lost in large numbers fill the memory; without
        this order, they would push out the evidence against others.
        """
        excess = len(self._suspects) - MAX_CONTENTS
        if excess <= 0:
            return
        order = sorted(
            self._suspects,
            key=lambda name: (len(self._suspects[name].ends), self._suspects[name].changed_at),
        )
        for content in order[:excess]:
            del self._suspects[content]


def _is_explained(suspect: _Suspect, candidates: Iterable[_Suspect]) -> bool:
    """Return whether other contents explain the ends of a content.

    A content with more ends, among them all of this one, does. Contents with the very same ends
    can't be told apart: one more end shows which of them was there again.
    """
    others = [other for other in candidates if other is not suspect]
    if any(suspect.ends < other.ends for other in others):
        return True
    alike = any(suspect.ends == other.ends for other in others)
    return alike and len(suspect.ends) < MAX_AMBIGUOUS_ENDS
