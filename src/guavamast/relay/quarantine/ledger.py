"""Attributes that end endpoints, as one instance knows them: evidence, quarantines, clearances."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.attributes import find_kind
from guavamast.relay.quarantine.evidence import CrashEvidence
from guavamast.relay.quarantine.outgoing import OutgoingReports
from guavamast.relay.quarantine.records import Clearance, Quarantine, QuarantineReport

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.relay.quarantine.evidence import Culprit
    from guavamast.relay.quarantine.records import EndpointEnd, EndpointIncarnation

MIN_LIGHT_ENDS: Final = 2
"""Endpoints that must have ended under an attribute until one that ended under load is charged to
it as well: at a single one, innocent requests ran beside the cause."""
MAX_TRIALS: Final = 2
"""Requests with a quarantined attribute that all instances together may still send."""
OUTAGE_SPAN_S: Final = 2.0
"""Seconds within which all endpoints that one outage ends are seen to end."""
OUTAGE_TRIAL_AFTER_S: Final = 10.0
"""Seconds until an attribute may be tried again whose endpoints may have ended in one outage: it
may be an innocent one that ran at all of them."""
TRIAL_AFTER_S: Final = 60.0
"""Seconds until any other attribute may be tried again, and between two such requests: it is
hardly innocent, and each may end an endpoint with all that runs there."""
IDLE_LIFETIME_S: Final = 3600.0
"""Seconds without a request after which a quarantine ends."""
REQUEST_REPORT_INTERVAL_S: Final = 60.0
"""Seconds between two reports that a quarantined attribute is still requested."""
MAX_QUARANTINES: Final = 128
"""Attributes in quarantine at most; together they fit into a datagram."""


class Verdict(StrEnum):
    """What may be done with requests that have an attribute."""

    CLEAR = "clear"
    QUARANTINED = "quarantined"
    TRIAL_DUE = "trial_due"
    """In quarantine; the instance that is granted the trial may send one request."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """What the evidence leads to."""

    held: list[Culprit]
    """Attributes whose requests are kept from endpoints from now on."""
    spared: list[str]
    """Attributes that aren't, since too many requests that are answered have them."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportNews:
    """What of another instance's report was new here."""

    urgent: bool
    """Whether an end, a quarantine or the release of one was new."""
    cleared: tuple[str, ...]
    """Suspected attributes whose clearance was new."""

    def __bool__(self) -> bool:
        return self.urgent or bool(self.cleared)


class QuarantineLedger:
    """Decides which requests are kept from endpoints, by their attributes.

    All instances merge each other's reports, so each comes to the same decision by itself, and one
    that has decided reports it. Without this, callers whose requests end endpoints meet an instance
    each time that has not seen what those have in common.

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
        """Whether any attribute is under suspicion or in quarantine."""
        return bool(self._evidence) or bool(self._quarantines)

    @property
    def has_unsent(self) -> bool:
        """Whether something is still to be reported to other instances."""
        return bool(self._outgoing)

    @property
    def suspect_count(self) -> int:
        """The number of attributes under suspicion."""
        return len(self._evidence)

    @property
    def evidence_revision(self) -> int:
        """The number of changes of the evidence so far."""
        return self._evidence.revision

    def list_quarantines(self) -> list[Quarantine]:
        """Return all quarantines."""
        return list(self._quarantines.values())

    def list_lasting_ends(self, *, now: float) -> list[EndpointEnd]:
        """Return the evidence that instances need that start later."""
        return self._evidence.list_lasting_ends(now=now)

    def find(self, attribute: str) -> Quarantine | None:
        """Return the quarantine of an attribute."""
        return self._quarantines.get(attribute)

    def is_suspected(self, attribute: str) -> bool:
        """Return whether endpoints ended under an attribute, or it is in quarantine."""
        return attribute in self._evidence or attribute in self._quarantines

    def count_ends(self, attribute: str) -> int:
        """Return how many endpoints ended under an attribute that wasn't cleared since."""
        return self._evidence.count_ends(attribute)

    def select_proven(self, end: EndpointEnd) -> EndpointEnd:
        """Return an end that its load explains, with the attributes that explain it as well.

        Failure: engines end for lack of memory, and what many callers send is quarantined for it. A
        request that has ended lightly loaded endpoints is charged all the same.
        """
        lost = frozenset(
            one for one in end.lost if self.count_ends(one.attribute) >= MIN_LIGHT_ENDS
        )
        return replace(end, lost=lost)

    def was_cleared(self, attribute: str) -> bool:
        """Return whether an attribute was cleared lately."""
        return self._evidence.is_cleared(attribute, since=float("-inf"))

    def assess(self, attribute: str, *, now: float) -> Verdict:
        """Return what may be done with a request that has an attribute."""
        quarantine = self._quarantines.get(attribute)
        if quarantine is None:
            return Verdict.CLEAR
        if now - quarantine.requested_at > REQUEST_REPORT_INTERVAL_S:
            self._outgoing.add_quarantine(attribute, now=now)
        self._quarantines[attribute] = replace(quarantine, requested_at=now)
        due = quarantine.trials_left > 0 and now >= quarantine.next_trial_at
        return Verdict.TRIAL_DUE if due else Verdict.QUARANTINED

    def compute_retry_after(self, attribute: str, *, now: float) -> float:
        """Return the seconds until a quarantined attribute may be tried again."""
        quarantine = self._quarantines[attribute]
        if quarantine.trials_left == 0:
            return IDLE_LIFETIME_S
        return max(0.0, quarantine.next_trial_at - now)

    def has_ended_another(
        self, attribute: str, incarnation: EndpointIncarnation, *, settled: bool, now: float
    ) -> bool:
        """Return whether an endpoint other than the given one ended under an attribute.

        Args:
            attribute: The attribute.
            incarnation: The endpoint that is left out.
            settled: Whether only ends count after which an answer could have cleared it.
            now: The current time.
        """
        min_age_s = find_kind(attribute).settle_s if settled else 0.0
        others = self._evidence.list_other_ends(attribute, incarnation)
        return any(now - learned_at >= min_age_s for learned_at in others)

    def record_end(self, end: EndpointEnd, *, now: float) -> bool:
        """Record an end that this instance has observed; return whether it is new here."""
        changed = self._evidence.add(end, now=now)
        if changed:
            self._outgoing.add_end(end, now=now)
        return changed

    def clear(self, attribute: str, *, now: float, at: float | None = None) -> bool:
        """Record that an attribute was answered or released; return whether it was suspected.

        Args:
            attribute: The attribute.
            now: The current time.
            at: Time at which the endpoint began to answer; ends until then no longer count. The
                current time if not given.
        """
        if not self.is_suspected(attribute):
            return False
        cleared_at = now if at is None else at
        held = attribute in self._quarantines
        if held and not self._evidence.has_ends_after(attribute, at=cleared_at):
            # Reports of the quarantine that are under way are older than this and change nothing.
            cleared_at = now
        if not self._apply_clearance(Clearance(attribute=attribute, at=cleared_at)):
            return False
        self._outgoing.add_clearance(attribute, released=held, now=now)
        return True

    def decide(self, *, now: float, is_common: Callable[[str], bool] | None = None) -> Decision:
        """Put the attributes into quarantine that settled evidence shows to end endpoints.

        Args:
            now: The current time.
            is_common: Tells whether too many of the requests that are answered have an attribute;
                none has if not given.
        """
        spared = []
        if is_common is not None:
            spared = [
                attribute
                for attribute in self._evidence.list_sufficient(now=now)
                if attribute not in self._quarantines and is_common(attribute)
            ]
        culprits = self._evidence.list_culprits(
            held=self._quarantines.keys(), spared=spared, window_s=self._window_s, now=now
        )
        for culprit in culprits:
            self._hold(culprit, now=now)
        return Decision(held=culprits, spared=spared)

    def find_settling_time(self, *, now: float) -> float | None:
        """Return when the evidence against an attribute next suffices for a decision, if ever."""
        return self._evidence.find_settling_time(held=self._quarantines.keys(), now=now)

    def use_trial(self, attribute: str, *, trials_left: int, now: float) -> None:
        """Record that a trial was granted to this or another instance.

        Args:
            attribute: The attribute.
            trials_left: Trials left after it.
            now: The current time.
        """
        quarantine = self._quarantines.get(attribute)
        if quarantine is None or trials_left >= quarantine.trials_left:
            return
        self._quarantines[attribute] = replace(
            quarantine, trials_left=trials_left, next_trial_at=now + TRIAL_AFTER_S
        )
        self._outgoing.add_quarantine(attribute, now=now)

    def restore(self, quarantine: Quarantine) -> bool:
        """Apply a quarantine from the store or another instance; return whether it is new."""
        attribute = quarantine.attribute
        if self._evidence.is_cleared(attribute, since=quarantine.since):
            return False
        known = self._quarantines.get(attribute)
        if known is None:
            self._add_quarantine(quarantine)
            return True
        merged = _merge(known, quarantine)
        self._quarantines[attribute] = merged
        return merged.trials_left < known.trials_left

    def restore_ends(self, ends: Iterable[EndpointEnd]) -> None:
        """Merge ends that the fleet had saved, each as of its own time.

        Failure: all instances are killed after the ends that a decision needs. Taken for reported
        now, these would have to settle once more, and the instances that start would send what ends
        endpoints meanwhile. The fleet had the time before it saved them to hear of answers; the
        time since doesn't count, as the ages of saved ends are those of the write.
        """
        for end in ends:
            self._evidence.add(end, now=end.ended_at)

    def apply_report(self, report: QuarantineReport, *, now: float) -> ReportNews:
        """Merge another instance's report; return what of it is new here."""
        urgent = False
        cleared = []
        for clearance in report.clearances:
            held = clearance.attribute in self._quarantines
            if self._apply_clearance(clearance):
                urgent |= held
                cleared.append(clearance.attribute)
            self._drop_repeated(clearance)
        for end in report.ends:
            urgent |= self._evidence.add(end, now=now)
        for quarantine in report.quarantines:
            urgent |= self.restore(quarantine)
            self._outgoing.drop_quarantine(quarantine.attribute)
        return ReportNews(urgent=urgent, cleared=tuple(cleared))

    def relay_clearances(self, attributes: Iterable[str], *, now: float) -> None:
        """Report clearances that other instances have reported, with the next report."""
        for attribute in attributes:
            self._outgoing.add_clearance(attribute, released=False, now=now)

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
                self._quarantines[attribute] for attribute in held if attribute in self._quarantines
            ),
        )
        return report if report.ends or report.clearances or report.quarantines else None

    def drop_expired(self, *, now: float) -> list[str]:
        """Drop what is too old; return the attributes whose quarantine has ended."""
        self._evidence.drop_expired(now=now)
        idle = [
            attribute
            for attribute, quarantine in self._quarantines.items()
            if now - quarantine.requested_at > IDLE_LIFETIME_S
        ]
        for attribute in idle:
            del self._quarantines[attribute]
        return idle

    def _apply_clearance(self, clearance: Clearance) -> bool:
        attribute = clearance.attribute
        if not self._evidence.clear(attribute, at=clearance.at):
            return False
        held = self._quarantines.get(attribute)
        if held is not None and self._evidence.is_cleared(attribute, since=held.since):
            del self._quarantines[attribute]
        return True

    def _drop_repeated(self, clearance: Clearance) -> None:
        """Leave the repeating of a clearance to another instance, unless it reports an older one.

        What is common to many requests is answered at each instance soon after an end. Without
        this, all would report the same.
        """
        attribute = clearance.attribute
        if not self._evidence.was_cleared_after(attribute, at=clearance.at):
            self._outgoing.drop_clearance(attribute)

    def _hold(self, culprit: Culprit, *, now: float) -> None:
        quarantine = Quarantine(
            attribute=culprit.attribute,
            organisation=culprit.organisation,
            ends=len(culprit.endpoint_ids),
            since=now,
            requested_at=now,
            trials_left=max(0, MAX_TRIALS - culprit.late_ends),
            next_trial_at=now + _compute_trial_delay(culprit),
        )
        self._add_quarantine(quarantine)
        self._outgoing.add_quarantine(culprit.attribute, now=now)

    def _add_quarantine(self, quarantine: Quarantine) -> None:
        self._quarantines[quarantine.attribute] = quarantine
        if len(self._quarantines) > MAX_QUARANTINES:
            oldest = min(self._quarantines.values(), key=lambda one: one.requested_at)
            del self._quarantines[oldest.attribute]


def _compute_trial_delay(culprit: Culprit) -> float:
    return OUTAGE_TRIAL_AFTER_S if culprit.span_s <= OUTAGE_SPAN_S else TRIAL_AFTER_S


def _merge(known: Quarantine, other: Quarantine) -> Quarantine:
    """Return one quarantine from the views of two instances.

    The time of the next trial is taken over with a used trial only: each report adds its transit to
    it, so two instances that repeat each other's would put it off for ever.
    """
    newer = other if other.trials_left < known.trials_left else known
    return Quarantine(
        attribute=known.attribute,
        organisation=known.organisation or other.organisation,
        ends=max(known.ends, other.ends),
        since=min(known.since, other.since),
        requested_at=max(known.requested_at, other.requested_at),
        trials_left=newer.trials_left,
        next_trial_at=newer.next_trial_at,
    )
