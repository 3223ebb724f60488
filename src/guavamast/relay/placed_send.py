"""One send of a request: its placement, and its part of the endpoint's load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.relay.endpoint_load import Load

if TYPE_CHECKING:
    from guavamast.relay.endpoint_load import EndpointLoads, Work
    from guavamast.relay.placement import Choice
    from guavamast.relay.placer import PlacementDecision


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedSend:
    """A send to the endpoint that a placement has chosen."""

    placed: PlacementDecision
    work: Work

    @property
    def choice(self) -> Choice:
        """The chosen endpoint."""
        assert self.placed.choice is not None
        return self.placed.choice

    def finish_prefill(self) -> bool:
        """Count the prompt as prefilled; return whether this changes the load."""
        if self.placed.work is not None:
            self.placed.work.begin()
        return self.work.finish_prefill()

    def is_expired(self, *, now: float) -> bool:
        """Return whether the scheduler's grant for the send has expired."""
        return self.placed.work is not None and self.placed.work.is_expired(now=now)

    def is_permitted(self, *, now: float) -> bool:
        """Return whether the send may go to an endpoint that states a rate limit."""
        return self.placed.work is not None and self.placed.work.is_permitted(now=now)

    def read_load(self, loads: EndpointLoads) -> Load:
        """Return the work at the endpoint, this request included, as known to its scheduler.

        Without a scheduler, as known to this instance.
        """
        choice = self.choice
        if self.placed.scheduler_reply is None:
            return loads.sum_up(choice.record.endpoint_id)
        return Load(
            requests=choice.load.requests + 1,
            prefill_tokens=choice.load.prefill_tokens + choice.uncached_tokens,
        )

    def end(
        self,
        *,
        rejected: bool,
        failure_weight: float,
        longest_pause_s: float,
        mean_pause_ms: float,
    ) -> None:
        """Count the request no longer, at this instance and at the endpoint's scheduler.

        Args:
            rejected: Whether the endpoint rejected it.
            failure_weight: Weight of its failure in the endpoint's failure score; 0 without one.
            longest_pause_s: Longest pause between events of its stream, in seconds.
            mean_pause_ms: Mean pause between them; 0 if too few have come.
        """
        self.work.end()
        if self.placed.work is not None:
            self.placed.work.end(
                rejected=rejected,
                failure_weight=failure_weight,
                longest_pause_s=longest_pause_s,
                mean_pause_ms=mean_pause_ms,
            )
