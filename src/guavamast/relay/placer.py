"""Placement of a request: the decision, and the interface of what decides."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.messages import CallerRequest
    from guavamast.relay.placement import Choice, Rejection
    from guavamast.relay.request_progress import RequestProgress
    from guavamast.relay.scheduling_client import PlacedRequest, ScheduledReply


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementDecision:
    """Decision on a request."""

    choice: Choice | None
    """Endpoint; None if there is none."""
    rejection: Rejection | None = None
    """Rejection with the retry delay, if no endpoint has capacity in time."""
    work: PlacedRequest | None = None
    """Handle that reports progress to the scheduler; None where no scheduler is involved."""
    scheduler_reply: ScheduledReply | None = None
    """Reply of the scheduler that decided, which knows all work there."""


class Placer(ABC):
    """Selects endpoints for requests."""

    @abstractmethod
    async def place(self, request: CallerRequest, progress: RequestProgress) -> PlacementDecision:
        """Return the next endpoint for a request, or its rejection."""

    @abstractmethod
    def record_unserved(self, progress: RequestProgress) -> None:
        """Record a request that was placed and got nothing, as its endpoint had no room in time."""
