"""Contents that end endpoints, as one instance knows them: evidence, quarantines, clearances."""

from __future__ import annotations

from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.evidence import CrashEvidence
from guavamast.relay.quarantine.outgoing import OutgoingReports
from guavamast.relay.quarantine.records import Clearance, Quarantine, QuarantineReport

if TYPE_CHECKING:
    from guavamast.relay.quarantine.evidence import Culprit
    from guavamast.relay.quarantine.records import EndpointEnd, EndpointIncarnation

MAX_TRIALS: Final = 2
"""Requests that all instances together may still send of a quarantined content."""
OUTAGE_SPAN_S: Final = 2.0
"""Seconds within which all endpoints that one outage ends are seen to end."""
OUTAGE_TRIAL_AFTER_S: Final = 10.0
"""Seconds until a content may be sent again whose endpoints may have ended in one outage: it may be
an innocent one that ran at all of them."""
TRIAL_AFTER_S: Final = 60.0
"""Seconds until any other content may be sent again, and between two such sends: it is hardly
innocent, and each may end an endpoint with all that runs there."""
IDLE_LIFETIME_S: Final = 3600.0
"""Seconds without a request after which a quarantine ends."""
REQUEST_REPORT_INTERVAL_S: Final = 60.0
"""Seconds between two reports that a quarantined content is still requested."""
MAX_QUARANTINES: Final = 128
"""Requests in quarantine at most; together they fit into a datagram."""


class Verdict(StrEnum):
    """What may be done with a content."""

    CLEAR = "clear"
    QUARANTINED = "quarantined"
    TRIAL_DUE = "trial_due"
    """In quarantine; the instance that is granted the trial may send it once."""


class QuarantineLedger:
    """Decides which contents are kept from endpoints.

    All instances merge each other's reports, so each comes to the same decision by itself, and one
    that has decided reports it. Without this, callers that repeat a request which ends
    endpoints meet an instance each time that has not seen it before.

    Args:
        domain: Failure domain of this instance.
        window_s: Time in which all instances must know of a decision.
    """

    __slots__ = (
        "_domain",
        "_evidence",
        "_outgoing",
        "_quarantines",
        "_window_s",
    )

    def __init__(self, *, domain: str, window_s: float) -> None:
        self._domain = domain
        self._window_s = window_s
        self._evidence = CrashEvidence()
        self._quarantines: dict[str, Quarantine] = {}
        self._outgoing = OutgoingReports()

    @property
    def active(self) -> bool:
        """Whether any content is under suspicion or in quarantine."""
        return bool(self._evidence) or bool(self._quarantines)

    @property
    def has_unsent(self) -> bool:
        """Whether something is still to be reported to other instances."""
        return bool(self._outgoing)

    def list_quarantines(self) -> list[Quarantine]:
        """Return all quarantines."""
        return list(self._quarantines.values())

    def find(self, content: str) -> Quarantine | None:
        """Return the quarantine of a content."""
        return self._quarantines.get(content)

    def was_cleared(self, content: str) -> bool:
        """Return whether a content was cleared lately."""
        return self._evidence.is_cleared(content, since=float("-inf"))

    def assess(self, content: str, *, now: float) -> Verdict:
        """Return what may be done with a content that is requested."""
        quarantine = self._quarantines.get(content)
        if quarantine is None:
            return Verdict.CLEAR
        if now - quarantine.requested_at > REQUEST_REPORT_INTERVAL_S:
            self._outgoing.add_quarantine(content, now=now)
        self._quarantines[content] = replace(quarantine, requested_at=now)
        due = quarantine.trials_left > 0 and now >= quarantine.next_trial_at
        return Verdict.TRIAL_DUE if due else Verdict.QUARANTINED

    def compute_retry_after(self, content: str, *, now: float) -> float:
        """Return the seconds until a quarantined content may be tried again."""
        quarantine = self._quarantines[content]
        if quarantine.trials_left == 0:
            return IDLE_LIFETIME_S
        return max(0.0, quarantine.next_trial_at - now)

    def has_ended_another(self, content: str, incarnation: EndpointIncarnation) -> bool:
        """Return whether an endpoint other than the given one ended under a content."""
        return self._evidence.count_other_ends(content, incarnation) > 0

    def record_end(self, end: EndpointEnd, *, now: float) -> bool:
        """Record an end that this instance has observed; return whether it is new here."""
        changed = self._evidence.add(end, now=now)
        if changed:
            self._outgoing.add_end(end, now=now)
        return changed

    def clear(self, content: str, *, now: float) -> bool:
        """Record that a content was answered or released; return whether it was suspected."""
        if content not in self._evidence and content not in self._quarantines:
            return False
        self._apply_clearance(Clearance(content=content, at=now))
        self._outgoing.add_clearance(content, now=now)
        return True

    def decide(self, *, now: float) -> list[Culprit]:
        """Put the contents into quarantine that settled evidence shows to end endpoints."""
        culprits = [
            culprit
            for culprit in self._evidence.list_culprits(window_s=self._window_s, now=now)
            if culprit.content not in self._quarantines
        ]
        for culprit in culprits:
            self._add_quarantine(
                Quarantine(
                    content=culprit.content,
                    organisation=culprit.organisation,
                    ends=len(culprit.endpoint_ids),
                    since=now,
                    requested_at=now,
                    trials_left=max(0, MAX_TRIALS - culprit.late_ends),
                    next_trial_at=now + _compute_trial_delay(culprit),
                )
            )
            self._outgoing.add_quarantine(culprit.content, now=now)
        return culprits

    def use_trial(self, content: str, *, trials_left: int, now: float) -> None:
        """Record that a trial was granted to this or another instance.

        Args:
            content: The content.
            trials_left: Trials left after it.
            now: The current time.
        """
        quarantine = self._quarantines.get(content)
        if quarantine is None or trials_left >= quarantine.trials_left:
            return
        self._quarantines[content] = replace(
            quarantine, trials_left=trials_left, next_trial_at=now + TRIAL_AFTER_S
        )
        self._outgoing.add_quarantine(content, now=now)

    def restore(self, quarantine: Quarantine) -> bool:
        """Apply a quarantine from the store or another instance; return whether it is new."""
        if self._evidence.is_cleared(quarantine.content, since=quarantine.since):
            return False
        known = self._quarantines.get(quarantine.content)
        if known is None:
            self._add_quarantine(quarantine)
            return True
        merged = _merge(known, quarantine)
        self._quarantines[quarantine.content] = merged
        return merged.trials_left < known.trials_left

    def apply_report(self, report: QuarantineReport, *, now: float) -> bool:
        """Merge another instance's report; return whether any of it is new here."""
        changed = False
        for clearance in report.clearances:
            changed |= self._apply_clearance(clearance)
        for end in report.ends:
            changed |= self._evidence.add(end, now=now)
        for quarantine in report.quarantines:
            changed |= self.restore(quarantine)
            self._outgoing.drop_quarantine(quarantine.content)
        return changed

    def build_report(self, *, complete: bool, now: float) -> QuarantineReport | None:
        """Return what other instances are to know; None if there is nothing.

        Args:
            complete: Whether to include all quarantines, for instances that have missed a report.
            now: The current time.
        """
        self._outgoing.drop_expired(now=now)
        held = self._quarantines if complete else self._outgoing.list_quarantined()
        report = QuarantineReport(
            domain=self._domain,
            ends=tuple(self._outgoing.list_ends()),
            clearances=tuple(self._evidence.list_clearances(self._outgoing.list_cleared())),
            quarantines=tuple(
                self._quarantines[content] for content in held if content in self._quarantines
            ),
        )
        return report if report.ends or report.clearances or report.quarantines else None

    def drop_expired(self, *, now: float) -> list[str]:
        """Drop what is too old; return the contents whose quarantine has ended."""
        self._evidence.drop_expired(now=now)
        idle = [
            content
            for content, quarantine in self._quarantines.items()
            if now - quarantine.requested_at > IDLE_LIFETIME_S
        ]
        for content in idle:
            del self._quarantines[content]
        return idle

    def _apply_clearance(self, clearance: Clearance) -> bool:
        if not self._evidence.clear(clearance.content, at=clearance.at):
            return False
        held = self._quarantines.get(clearance.content)
        if held is not None and self._evidence.is_cleared(held.content, since=held.since):
            del self._quarantines[held.content]
        return True

    def _add_quarantine(self, quarantine: Quarantine) -> None:
        self._quarantines[quarantine.content] = quarantine
        if len(self._quarantines) > MAX_QUARANTINES:
            oldest = min(self._quarantines.values(), key=lambda one: one.requested_at)
            del self._quarantines[oldest.content]


def _compute_trial_delay(culprit: Culprit) -> float:
    return OUTAGE_TRIAL_AFTER_S if culprit.span_s <= OUTAGE_SPAN_S else TRIAL_AFTER_S


def _merge(known: Quarantine, other: Quarantine) -> Quarantine:
    """Return one quarantine from the views of two instances.

    The time of the next trial is taken over with a used trial only: each report adds its transit to
    it, so two instances that repeat each other's would put it off for ever.
    """
    newer = other if other.trials_left < known.trials_left else known
    return Quarantine(
        content=known.content,
        organisation=known.organisation or other.organisation,
        ends=max(known.ends, other.ends),
        since=min(known.since, other.since),
        requested_at=max(known.requested_at, other.requested_at),
        trials_left=newer.trials_left,
        next_trial_at=newer.next_trial_at,
    )
