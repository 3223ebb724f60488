"""What a keeper expects of its endpoint: work, ends of runs, rate of releases and waits."""

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
    from guavamast.grants import Grant, GrantTable
    from guavamast.queues import WaitingQueue
    from guavamast.slots import Ask, Release
    from guavamast.world import EndpointKind

PAUSE_S: Final = 0.05
"""Seconds that an engine takes to give a paused request's slot up."""
OVERDUE_SHARE: Final = 0.1
"""Share of its age that a run which outlasts its estimate is expected to take longer."""
PROMPT_COST: Final = 0.1
"""Work of a prompt token, in output tokens; prompts are read in parallel."""
CALL_COST: Final = QUANTUM
"""Work of a call of a plain service, whose length is not known in tokens."""
MIN_RATE_SHARE: Final = 0.02
"""Share of the releases that a tier is expected to get under any load of higher ones."""
MIN_SAMPLES: Final = 8
"""Runs that must have been seen before an ask is refused for its expected wait."""
MAX_LOWER_SHARE: Final = 0.9
"""Share of the releases that waiting lower classes are expected to take at most."""


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
        """Learn from a run that ended with its whole answer."""
        self._service_times.observe(ask, release)
        if ask.model:
            self._lengths.observe(ask, release.tokens)

    def record_start(self, tier: int, *, now: float) -> None:
        """Count a start."""
        self._start_rates.observe(tier, now=now)

    def record_arrival(self, tier: int, *, now: float) -> None:
        """Count an ask that came."""
        self._arrival_rates.observe(tier, now=now)

    def record_slots(self, *, full: bool, released: bool = False, now: float) -> None:
        """Record whether every slot is held from now on and whether a run has just ended."""
        self._rate.observe(full=full, released=released, now=now)

    def estimate_cost(self, ask: Ask) -> float:
        """Return the work of an ask in tokens."""
        if not ask.model:
            return CALL_COST
        tokens = self._lengths.estimate(ask, quantile=0.5)
        return PROMPT_COST * ask.prompt_tokens + max(1.0, tokens)

    def measure_cost(self, grant: Grant) -> float:
        """Return the work that a grant took, as far as it is known."""
        if grant.ask.model and grant.tokens > 0:
            return PROMPT_COST * grant.ask.prompt_tokens + grant.tokens
        return grant.start.waiting.cost if grant.start is not None else 0.0

    def estimate_min_run(self, ask: Ask) -> float:
        """Return the seconds that nine in ten such runs take longer than."""
        return self._service_times.estimate(ask, quantile=LOW_QUANTILE)

    def estimate_first_token(self, ask: Ask) -> float:
        """Return the seconds from grant to first token."""
        return self._service_times.estimate_first_token(ask)

    def refresh(self, grant: Grant, *, now: float) -> None:
        """Correct a grant's expected length and end by what it has delivered."""
        produced = int(grant.estimate_tokens(now)) if grant.ask.model else 0
        tokens = self._lengths.estimate(grant.ask, quantile=0.5, produced=produced)
        grant.expected_tokens = tokens
        remaining_s = self._service_times.estimate_remaining(
            grant.ask, tokens=tokens, produced=produced
        )
        grant.expected_end = now + remaining_s

    def list_expected_ends(self, grants: GrantTable, *, now: float) -> list[float]:
        """Return the times at which slots come free, sorted; a paused one counts as free."""
        ends: list[float] = []
        for grant in grants.list_grants():
            if not grant.paused and grant.expected_end <= now:
                # Failure: a run past its greatest length is expected to end at once, for ever,
                # and the higher tier that waits for it never takes the slot. Expecting a part of
                # its age more makes the next look at it find it late.
                self.refresh(grant, now=now)
                min_remaining_s = max(PAUSE_S, OVERDUE_SHARE * (now - grant.granted_at))
                grant.expected_end = max(grant.expected_end, now + min_remaining_s)
            insort(ends, float("-inf") if grant.paused else grant.expected_end)
        return ends

    def estimate_rate(self, *, slots: int, now: float) -> float:
        """Return the releases a second while every slot is held."""
        return self._rate.estimate(slots=slots, service_s=self._service_times.mean_s, now=now)

    def has_enough_samples(self) -> bool:
        """Return whether waits rest on enough runs to refuse an ask by them.

        Failure: most of a first burst after a start is refused although the endpoint answers in
        milliseconds, because waits are worked out from defaults yet. Until `EVIDENCE` runs were
        seen asks wait, and the queue's limits and their deadlines bound what is held.
        """
        return self._service_times.samples >= MIN_SAMPLES

    def estimate_wait(
        self, ask: Ask, *, queue: WaitingQueue, ahead: int, slots: int, now: float
    ) -> float:
        """Return the seconds until a new ask would start without pausing any.

        A class has two ways to a slot and takes the faster: its turn among all, with lower
        classes' shares and higher tiers' starts off the rate, and its own share, which only its
        own asks are before.

        Args:
            ask: The ask.
            queue: What waits.
            ahead: Asks that go before it and the ask itself, less the free slots.
            slots: Slots of the endpoint.
            now: Present time in seconds.
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

        It goes behind all asks of its tier that come meanwhile and can still meet theirs, so only
        what their rate of arrival leaves of the releases is there for it.
        """
        tier = queue.find_tier(ask)
        rate = self.estimate_rate(slots=slots, now=now)
        available_rate = rate * (1.0 - min(MAX_LOWER_SHARE, queue.sum_lower_shares(tier)))
        available_rate -= self._arrival_rates.estimate_above(tier + 1, now=now)
        in_class = queue.count_class(ask)
        wait_s = (in_class + queue.count_others(ask)) / max(available_rate, MIN_RATE_SHARE * rate)
        share = queue.find_share(ask.class_name)
        return min(wait_s, in_class / (share * rate)) if share > 0.0 else wait_s
