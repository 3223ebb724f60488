"""Credits by which some less urgent requests begin although more urgent ones wait."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.placement.admission_control import AdmissionTerms

ADMITTED_SHARE: Final = 1 / 4
"""Share of the prefill time of admitted requests that is credited to less urgent ones, so that no
precedence starves while more urgent requests wait."""
REJECTED_SHARE: Final = 1 / 8
"""Share of the prefill time of rejected requests that is credited instead while there are any:
far below what they would have taken themselves, over two attempts of their callers."""
MAX_CREDIT_MS: Final = 100.0
"""Milliseconds of prefill time that are credited at most: about one prompt."""


class YieldCredits:
    """For each precedence, the prefill time that less urgent requests may still take before it.

    Failure: requests of the kind in the middle are rejected in numbers and earn credit for the
    least urgent ones, which begin before the most urgent that wait. A request needs credit from
    each precedence that waits, and takes it from each that is more urgent than it.
    """

    __slots__ = ("_credits_ms",)

    def __init__(self) -> None:
        self._credits_ms: dict[tuple[str, int], float] = {}

    def spend(self, terms: AdmissionTerms, cost_ms: float) -> bool:
        """Return whether a request is admitted on credit, and spend the credit.

        Args:
            terms: Its terms.
            cost_ms: Its prefill time.
        """
        keys = [(terms.service, demand.precedence) for demand in terms.more_urgent]
        if not keys or any(self._credits_ms.setdefault(key, 0.0) <= 0.0 for key in keys):
            return False
        for key in keys:
            self._credits_ms[key] -= cost_ms
        return True

    def add_admitted(self, terms: AdmissionTerms, prefill_ms: float) -> None:
        """Credit requests that are less urgent than an admitted one."""
        if not terms.own_rejected:
            self._add(terms, ADMITTED_SHARE * prefill_ms)

    def add_rejected(self, terms: AdmissionTerms, prefill_ms: float) -> None:
        """Credit requests that are less urgent than a rejected one."""
        self._add(terms, REJECTED_SHARE * prefill_ms)

    def _add(self, terms: AdmissionTerms, added_ms: float) -> None:
        key = (terms.service, terms.precedence)
        credit_ms = self._credits_ms.get(key)
        if credit_ms is not None:
            self._credits_ms[key] = min(MAX_CREDIT_MS, credit_ms + added_ms)
