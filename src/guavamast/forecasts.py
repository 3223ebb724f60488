"""Estimates for one endpoint: work, ends of runs, release rate and waits."""

from __future__ import annotations

from bisect import insort
from typing import TYPE_CHECKING, Final

from guavamast._round_robin import QUANTUM
from guavamast.estimates import (
    LOW_QUANTILE,
    LengthEstimates,
    ReleaseRate,
    ServiceTimes,
    TierRates,
)

if TYPE_CHECKING:
    from guavamast.fleet_objects import EndpointKind
    from guavamast.grants import Grant, GrantTable
    from guavamast.queues import WaitingQueue
    from guavamast.slots import Ask, Release

PAUSE_DELAY_S: Final = 0.05
"""Seconds that an engine takes to release the slot of a paused request."""
OVERDUE_SHARE: Final = 0.1
"""Share of its age by which a run that exceeds its estimate is expected to take longer."""
PROMPT_COST: Final = 0.1
"""Work of a prompt token, in output tokens; prompt tokens are prefilled in parallel."""
CALL_COST: Final = QUANTUM
"""Work of a call of a plain service, which has no length in tokens."""
MIN_RATE_SHARE: Final = 0.02
"""Minimum share of the releases that a tier is expected to get under any load of higher tiers."""
MIN_SAMPLES: Final = 8
"""Runs that must have been observed before an ask is rejected for its expected wait."""
MAX_LOWER_SHARE: Final = 0.9
"""Maximum share of the releases that waiting lower classes are expected to take."""


class Forecast:
    """Estimates for one endpoint, learnt from its releases.

    Args:
        kind: What the endpoint runs.
        lengths: Output lengths; may be shared by the keepers of a process.
    """

    __slots__ = ("_arrival_rates", "_lengths", "_rate", "_service_times", "_start_rates")

    def __init__(self, *, kind: EndpointKind, lengths: LengthEstimates) -> None:
        self._lengths = lengths
        self._service_times = ServiceTimes(lengths=lengths, kind=kind)
        self._rate = ReleaseRate()
        self._start_rates = TierRates()
        self._arrival_rates = TierRates()

    def learn(self, ask: Ask, release: Release) -> None:
        """Update the estimates from a run that ended with its whole response."""
        self._service_times.observe(ask, release)
        if ask.model:
            self._lengths.observe(ask, release.tokens)

    def record_start(self, tier: int, *, now: float) -> None:
        """Count a start."""
        self._start_rates.observe(tier, now=now)

    def record_arrival(self, tier: int, *, now: float) -> None:
        """Count the arrival of an ask."""
        self._arrival_rates.observe(tier, now=now)

    def record_slots(self, *, full: bool, released: bool = False, now: float) -> None:
        """Record whether all slots are held from now on and whether a run has just ended."""
        self._rate.observe(full=full, released=released, now=now)

    def estimate_cost(self, ask: Ask) -> float:
        """Return the work of an ask in tokens."""
        if not ask.model:
            return CALL_COST
        tokens = self._lengths.estimate(ask, quantile=0.5)
        return PROMPT_COST * ask.prompt_tokens + max(1.0, tokens)

    def measure_cost(self, grant: Grant) -> float:
        """Return the actual work of a grant; its estimate when the actual work is unknown."""
        if grant.ask.model and grant.tokens > 0:
            return PROMPT_COST * grant.ask.prompt_tokens + grant.tokens
        return grant.start.waiting.cost if grant.start is not None else 0.0

    def estimate_min_run(self, ask: Ask) -> float:
        """Return the seconds that nine in ten runs of this kind exceed."""
        return self._service_times.estimate(ask, quantile=LOW_QUANTILE)

    def estimate_first_token(self, ask: Ask) -> float:
        """Return the seconds from grant to first token."""
        return self._service_times.estimate_first_token(ask)

    def refresh(self, grant: Grant, *, now: float) -> None:
        """Update a grant's expected length and end from the tokens that it has delivered."""
        produced = int(grant.estimate_tokens(now)) if grant.ask.model else 0
        tokens = self._lengths.estimate(grant.ask, quantile=0.5, produced=produced)
        grant.expected_tokens = tokens
        remaining_s = self._service_times.estimate_remaining(
            grant.ask, tokens=tokens, produced=produced
        )
        grant.expected_end = now + remaining_s

    def list_expected_ends(self, grants: GrantTable, *, now: float) -> list[float]:
        """Return the sorted times at which slots should be freed; paused ones count as free."""
        ends: list[float] = []
        for grant in grants.list_grants():
            if not grant.paused and grant.expected_end <= now:
                # Without this, a run past its maximum length is always expected to end at once,
                # and the higher tier that waits for it never takes the slot. Adding a share of
                # its age makes the next check find the end too late.
                self.refresh(grant, now=now)
                min_remaining_s = max(PAUSE_DELAY_S, OVERDUE_SHARE * (now - grant.granted_at))
                grant.expected_end = max(grant.expected_end, now + min_remaining_s)
            insort(ends, float("-inf") if grant.paused else grant.expected_end)
        return ends

    def estimate_rate(self, *, slots: int, now: float) -> float:
        """Return the releases per second while all slots are held."""
        return self._rate.estimate(slots=slots, service_s=self._service_times.mean_s, now=now)

    def has_enough_samples(self) -> bool:
        """Return whether enough runs were observed to reject an ask for its expected wait.

        Without this, most of the first burst after a start is rejected although the endpoint
        responds in milliseconds, because the waits are still computed from defaults. Until
        `MIN_SAMPLES` runs were observed, asks wait, bounded by the queue's limits and their
        deadlines.
        """
        return self._service_times.samples >= MIN_SAMPLES

    def estimate_wait(
        self, ask: Ask, *, queue: WaitingQueue, ahead: int, slots: int, now: float
    ) -> float:
        """Return the seconds until a new ask would start without pausing any.

        A class gets a slot in one of two ways, and the faster one counts. In order of tiers, the
        rate is reduced by lower classes' shares and higher tiers' starts. By its guaranteed share,
        only asks of its own class go before.

        Args:
            ask: The ask.
            queue: The waiting asks.
            ahead: Asks that go before it plus the ask itself, minus the free slots.
            slots: Slots of the endpoint.
            now: Current time in seconds.
        """
        tier = queue.find_tier(ask)
        rate = self.estimate_rate(slots=slots, now=now)
        available_rate = rate * (1.0 - min(MAX_LOWER_SHARE, queue.sum_lower_shares(tier)))
        available_rate -= self._start_rates.estimate_above(tier, now=now)
        wait_s = ahead / max(available_rate, MIN_RATE_SHARE * rate)
        share = queue.find_share(ask.class_name)
        if share > 0.0:
            wait_s = min(wait_s, (queue.count_ahead(ask) + 1) / (share * rate))
        return wait_s

    def estimate_late_wait(self, ask: Ask, *, queue: WaitingQueue, slots: int, now: float) -> float:
        """Return the seconds until an ask that has missed its target would start.

        It starts after all asks of its tier that arrive meanwhile and can still meet their target,
        so only the releases that exceed their arrival rate are available to it.
        """
        tier = queue.find_tier(ask)
        rate = self.estimate_rate(slots=slots, now=now)
        available_rate = rate * (1.0 - min(MAX_LOWER_SHARE, queue.sum_lower_shares(tier)))
        available_rate -= self._arrival_rates.estimate_above(tier + 1, now=now)
        in_class = queue.count_class(ask)
        wait_s = (in_class + queue.count_others(ask)) / max(available_rate, MIN_RATE_SHARE * rate)
        share = queue.find_share(ask.class_name)
        return min(wait_s, in_class / (share * rate)) if share > 0.0 else wait_s
