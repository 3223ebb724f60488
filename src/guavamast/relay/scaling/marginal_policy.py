"""Policy that orders engines as long as one more is worth its price."""

from __future__ import annotations

import math
from statistics import NormalDist
from typing import TYPE_CHECKING, Final

from guavamast.relay.provider import EngineOrder
from guavamast.relay.scaling.load_estimate import LoadEstimate
from guavamast.relay.scaling.policy import ScalingPolicy

if TYPE_CHECKING:
    from guavamast.relay.provider import EngineGroup
    from guavamast.relay.scaling.policy import GroupState, ScalingView

WORK_VALUE: Final = 12.0
"""Factor from the price of a lasting engine to the worth of its work when it is fully used."""
LOAD_SPREAD: Final = 0.5
"""Factor, as a logarithm, by which the load to come usually deviates from the mean."""
USUAL_LOAD: Final = 0.5
"""Share of the engines found at the start that counts as load until there are requests."""
SETTLE_S: Final = 2.0
"""Seconds without a further engine after which those found at the start are complete."""
LEARNING_S: Final = 10.0
"""Seconds of requests after which the engines found at the start no longer count."""
PEAK_MARGIN: Final = 1.25
"""Factor on the greatest load of the last seconds, as its bursts come again."""
HOLD_S: Final = 8.0
"""Seconds for which fewer engines must do before any is given back."""
MIN_CHANGE: Final = 0.12
"""Share of the engines below which their number stays: each order is a call, and each engine that
is given back takes its cache with it."""


class MarginalPolicy(ScalingPolicy):
    """Orders engines up to the load at which one more costs more than it brings.

    An engine brings its work while the load exceeds what the others do. So it is worth its price
    if that happens for a longer share of the time than its price is of the worth of its work. The
    load to come is taken as log-normally distributed around the recent mean. Engines that may be
    taken away cost a fraction, so more of them are worth their price; they are spread over all
    failure domains, and what remains without any one of them bears the recent peak.
    """

    __slots__ = ("_found", "_found_at", "_load", "_low_since", "_prior", "_reason", "_total")

    def __init__(self) -> None:
        self._load = LoadEstimate()
        self._found: dict[str, int] = {}
        """Engines found at the start, by failure domain."""
        self._found_at: float | None = None
        """Local time at which the last of them was found."""
        self._prior = 0.0
        """Load that is assumed until there have been requests for some time."""
        self._total = 0
        self._low_since: float | None = None
        self._reason = ""

    def decide(self, view: ScalingView, *, now: float) -> list[EngineOrder]:
        """Return the engines of each group."""
        self._load.record(view.demand, view.profile, slots=view.slots, now=now)
        price = view.settings.reclaimable_price
        if not self._has_settled(view, now=now):
            return self._replace_found(view) if price is not None else []
        domains = sorted({state.group.failure_domain for state in view.groups})
        needed = self._compute_total(price or 1.0, len(domains), now=now)
        most = view.settings.max_engines * len(domains)
        total = self._hold(min(max(needed, view.floor), most), most=most, now=now)
        shares = _spread(total, domains, view)
        if price is None:
            return [
                EngineOrder(group=state.group, engines=shares[state.group.failure_domain])
                for state in view.groups
                if not state.group.reclaimable
            ]
        return self._replace_lasting(view, shares, now=now)

    def _has_settled(self, view: ScalingView, *, now: float) -> bool:
        """Return whether the engines that were there at the start are known."""
        if self._total:
            return True
        ordered = sum(state.ordered or 0 for state in view.groups)
        if self._found_at is None and ordered:
            self._go_on(view, ordered)
            return True
        for state in view.groups:
            domain = state.group.failure_domain
            known = self._found.get(domain, 0)
            if not state.group.reclaimable and state.ready > known:
                self._found[domain] = state.ready
                self._found_at = now
        self._prior = USUAL_LOAD * sum(self._found.values())
        return self._found_at is not None and now - self._found_at >= SETTLE_S

    def _go_on(self, view: ScalingView, ordered: int) -> None:
        """Begin with the orders of the former holder, which knew the load.

        Failure: the next holder knows no load yet, gives back engines that are in use, and finds
        out seconds later that they are needed.
        """
        price = view.settings.reclaimable_price or 1.0
        self._total = ordered
        self._prior = ordered / _find_quantile(1.0, price)

    def _replace_found(self, view: ScalingView) -> list[EngineOrder]:
        """Return orders of as many reclaimable engines as there are lasting ones so far."""
        return [
            EngineOrder(group=state.group, engines=self._found[state.group.failure_domain])
            for state in view.groups
            if state.group.reclaimable and state.group.failure_domain in self._found
        ]

    def explain(self, group: EngineGroup) -> str:
        """Return the load by which the number was chosen."""
        del group
        return self._reason

    def _compute_total(self, price: float, domains: int, *, now: float) -> int:
        """Return the number of engines in all failure domains together."""
        mean = self._estimate_mean(now=now)
        by_price = _find_quantile(mean, price)
        by_peak = PEAK_MARGIN * self._load.peak * domains / max(1, domains - 1)
        self._reason = (
            f"mean load {mean:.1f}, peak {self._load.peak:.1f}: "
            f"{by_price:.1f} by price, {by_peak:.1f} by peak"
        )
        return math.ceil(max(by_price, by_peak))

    def _estimate_mean(self, *, now: float) -> float:
        if self._load.has_lasted(LEARNING_S, now=now):
            return self._load.mean
        return max(self._load.mean, self._prior)

    def _hold(self, total: int, *, most: int, now: float) -> int:
        """Return the total; it decreases only after it has been lower for some time."""
        if total > self._total * (1.0 + MIN_CHANGE) or (total == most and total > self._total):
            self._total = total
        if total >= self._total * (1.0 - MIN_CHANGE):
            self._low_since = None
        elif self._low_since is None:
            self._low_since = now
        elif now - self._low_since >= HOLD_S:
            self._total = total
            self._low_since = None
        return self._total

    def _replace_lasting(
        self, view: ScalingView, shares: dict[str, int], *, now: float
    ) -> list[EngineOrder]:
        """Return orders of engines that may be taken away, and give lasting ones back after them.

        Lasting engines go only once those that replace them serve, so that there are never fewer
        than at the start, or than wanted.
        While none that may be taken away are to be had, lasting ones are worth their own price.
        """
        missing = self._count_missing(view, now=now)
        orders = []
        for place, (domain, engines) in enumerate(shares.items()):
            lasting, reclaimable = _find_pair(view, domain)
            present = lasting.ready if lasting.ordered is None else lasting.ordered
            needed = min(engines, self._found.get(domain, engines))
            kept = min(present, max(0, needed - reclaimable.ready))
            added = missing // len(shares) + (place < missing % len(shares))
            orders.append(EngineOrder(group=reclaimable.group, engines=engines))
            orders.append(EngineOrder(group=lasting.group, engines=max(kept, added)))
        return orders

    def _count_missing(self, view: ScalingView, *, now: float) -> int:
        """Return the lasting engines that are worth their price while others can't be had."""
        if all(state.available for state in view.groups):
            return 0
        reclaimable = sum(state.ready for state in view.groups if state.group.reclaimable)
        return max(0, math.ceil(_find_quantile(self._estimate_mean(now=now), 1.0)) - reclaimable)


def _find_quantile(mean: float, price: float) -> float:
    """Return the load above which another engine of this price brings less than it costs."""
    share = 1.0 - min(0.5, price / WORK_VALUE)
    return mean * math.exp(NormalDist().inv_cdf(share) * LOAD_SPREAD)


def _find_pair(view: ScalingView, domain: str) -> tuple[GroupState, GroupState]:
    """Return the lasting and the reclaimable engines of a failure domain."""
    own = [state for state in view.groups if state.group.failure_domain == domain]
    lasting = next(state for state in own if not state.group.reclaimable)
    return lasting, next(state for state in own if state.group.reclaimable)


def _spread(total: int, domains: list[str], view: ScalingView) -> dict[str, int]:
    """Return the engines of each failure domain: even, the rest where they are cheapest."""
    prices = view.settings.domain_prices
    order = sorted(domains, key=lambda domain: (prices.get(domain, 1.0), domain))
    base, rest = divmod(total, len(order))
    shares = {domain: base + (place < rest) for place, domain in enumerate(order)}
    return {
        domain: max(view.settings.min_engines, min(view.settings.max_engines, engines))
        for domain, engines in shares.items()
    }
