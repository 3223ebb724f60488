"""Headroom in an engine's KV cache, from delayed load reports and the keeper's own grants."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.estimates import EWMA_WEIGHT

if TYPE_CHECKING:
    from guavamast.grants import Grant, GrantTable
    from guavamast.slots import LoadReport

REPORT_MAX_AGE_S: Final = 5.0
"""Age in seconds from which a load report is ignored."""
MIN_SAMPLE_TOKENS: Final = 64
"""Tokens held below which a report gives no sample of the cache share of a token."""
FALL_WEIGHT: Final = 0.3
RISE_WEIGHT: Final = 0.05
"""Weights of a new sample of the cache share of a token; cached prefixes make samples too high."""
MIN_OPEN_SHARE: Final = 0.25
"""Share of the slots that a report can't block."""


class KvHeadroom:
    """Estimate of whether one more request fits into the KV cache.

    A stale or wrong report may show no room on an empty engine, which would then get no work.
    Therefore, a report older than `REPORT_MAX_AGE_S` is ignored and `MIN_OPEN_SHARE` of the slots
    stays open, so that a wrong report costs throughput on one engine but never all of it.
    """

    __slots__ = ("_mean_need", "_report", "_share_per_token")

    def __init__(self) -> None:
        self._report: LoadReport | None = None
        self._share_per_token: float | None = None
        self._mean_need: float | None = None

    def record(self, report: LoadReport, *, grants: GrantTable) -> bool:
        """Record a report; return False for one older than the last, which is dropped."""
        if self._report is not None and report.as_of < self._report.as_of:
            return False
        self._report = report
        held = sum(_count_held(g) for g in grants.list_grants() if g.granted_at <= report.as_of)
        if held < MIN_SAMPLE_TOKENS or report.running < 1:
            return True
        sample = max(0.0, 1.0 - report.kv_free) / held
        average = self._share_per_token
        weight = FALL_WEIGHT if average is None or sample < average else RISE_WEIGHT
        self._share_per_token = sample if average is None else average + weight * (sample - average)
        return True

    def record_grant(self, grant: Grant, *, slots: int) -> None:
        """Include a new grant in the average KV cache need of a request."""
        need = self._estimate_need(grant, slots)
        average = need if self._mean_need is None else self._mean_need
        self._mean_need = average + EWMA_WEIGHT * (need - average)

    def get_report(self, now: float) -> LoadReport | None:
        """Return the last report; None when there is none or it is too old."""
        return self._report if self.find_expiry(now=now) is not None else None

    def find_expiry(self, *, now: float) -> float | None:
        """Return the time at which the last report expires; None when there is no valid one."""
        if self._report is None or now >= self._report.as_of + REPORT_MAX_AGE_S:
            return None
        return self._report.as_of + REPORT_MAX_AGE_S

    def has_room(self, *, grants: GrantTable, slots: int, now: float) -> bool:
        """Return whether one more request of average size fits."""
        report = self.get_report(now)
        if report is None or len(grants) < max(1.0, MIN_OPEN_SHARE * slots):
            return True
        committed = sum(self._estimate_growth(g, report, slots) for g in grants.list_grants())
        need = 1.0 / max(1, slots) if self._mean_need is None else self._mean_need
        return report.kv_free - committed >= need

    def _estimate_growth(self, grant: Grant, report: LoadReport, slots: int) -> float:
        if grant.granted_at > report.as_of:
            return self._estimate_need(grant, slots)
        growth = max(0.0, grant.expected_tokens - grant.tokens)
        return (self._share_per_token or 0.0) * growth

    def _estimate_need(self, grant: Grant, slots: int) -> float:
        if self._share_per_token is None:
            return 1.0 / max(1, slots)
        tokens = grant.ask.prompt_tokens + grant.expected_tokens
        return min(1.0, self._share_per_token * tokens)


def _count_held(grant: Grant) -> int:
    return grant.ask.prompt_tokens + grant.tokens
