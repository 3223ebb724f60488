"""Which instance performs the duties: the ranked candidates, and when the next one takes over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight_cached

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.relay.duties.reports import DutyNotice
    from guavamast.relay.store import InstanceRecord

CANDIDATES: Final = 3
"""Instances that receive all reports: two may fail at the same moment as the holder."""
NOTICE_INTERVAL_S: Final = 0.5
"""Seconds between two notices of the holder to the candidates."""
SILENCE_S: Final = 1.6
"""Seconds without a notice after which the first candidate takes over: three are missing."""
RANK_DELAY_S: Final = 0.8
"""Seconds by which each further candidate takes over later: longer than an acquisition takes."""
MIN_VISIBLE_SHARE: Final = 0.34
"""Share of the known instances whose reports a holder receives at least. An instance that is cut
off from the others would report their usage as nothing."""
RANK_KEY: Final = "duties"


def rank_candidates(records: Iterable[InstanceRecord]) -> list[InstanceRecord]:
    """Return the instances that may hold the duties, the first one first.

    They are the ones with the most processor time, in different failure domains where possible, so
    that the loss of a domain takes one of them at most.

    Args:
        records: The live instances.
    """
    ranked = sorted(
        records,
        key=lambda one: (-one.processor_share, compute_weight_cached(RANK_KEY, one.name), one.name),
    )
    chosen: list[InstanceRecord] = []
    domains: set[str] = set()
    for record in ranked:
        if len(chosen) < CANDIDATES and record.failure_domain not in domains:
            chosen.append(record)
            domains.add(record.failure_domain)
    for record in ranked:
        if len(chosen) < CANDIDATES and record not in chosen:
            chosen.append(record)
    return chosen


class Candidacy:
    """Decides whether this instance is to hold the duties.

    The present holder keeps them while its notices arrive, also if another instance ranks before
    it, so that they change hands rarely.

    Args:
        name: Name of this instance.
        started_at: Local time of its start.
    """

    __slots__ = ("_heard_at", "_name", "_notice", "_unfit_until")

    def __init__(self, *, name: str, started_at: float) -> None:
        self._name = name
        self._notice: DutyNotice | None = None
        self._heard_at = started_at
        self._unfit_until = float("-inf")

    @property
    def notice(self) -> DutyNotice | None:
        """The newest notice of a holder."""
        return self._notice

    def receive(self, notice: DutyNotice, *, now: float) -> None:
        """Record a notice of the holder; one with an older fencing number is out of date."""
        if self._notice is not None and notice.fencing < self._notice.fencing:
            return
        self._notice = notice
        self._heard_at = now

    def stand_back(self, *, until: float) -> None:
        """Leave the duties to others for a while, as calls from here fail."""
        self._unfit_until = max(self._unfit_until, until)

    def find_holder(self, *, now: float) -> str | None:
        """Return the instance that holds the duties by its recent notices."""
        if self._notice is None or now - self._heard_at > SILENCE_S:
            return None
        return self._notice.holder

    def is_replaced(self, *, fencing: int) -> bool:
        """Return whether another instance has a greater fencing number than this one held."""
        notice = self._notice
        return notice is not None and notice.holder != self._name and notice.fencing > fencing

    def may_hold(
        self, candidates: list[str], *, held: bool, visible: int, known: int, now: float
    ) -> bool:
        """Return whether this instance may go on holding the duties, or take them over.

        Args:
            candidates: Names of the candidates in order.
            held: Whether this instance acquired the duties last.
            visible: Instances whose reports arrive here, including this one.
            known: Instances that are known to run.
            now: The present time.
        """
        if now < self._unfit_until or visible < MIN_VISIBLE_SHARE * known:
            return False
        if held:
            return True
        if self._name not in candidates:
            return False
        delay_s = SILENCE_S + RANK_DELAY_S * candidates.index(self._name)
        return now - self._heard_at >= delay_s
