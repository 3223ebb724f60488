"""Messages between instances and the schedulers of endpoints.

An instance queries the scheduler of a group of endpoints, which knows all work there, before it
sends a request, and reports when the request begins and ends. No guarantee to callers depends on
these messages: a lost one only makes a scheduler's loads less exact until the next report.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart
    from guavamast.relay.placement import Obstacle, RoomCheck
    from guavamast.relay.requester import Requester


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """A request that needs an endpoint."""

    requester: Requester
    number: int
    """Increases within the requester's process; identifies the request in later messages."""
    group: str
    service: str
    organisation: str
    """Name of the organisation that asks; empty without one."""
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    transfer_bytes: int
    """Bytes of the request and its expected response on the path to the endpoint."""
    bucket: int
    objective_s: float
    pause_sensitive: bool
    latency_tolerant: bool
    most_urgent: bool
    least_urgent: bool
    precedence: int
    """Rank by which requests are admitted; 0 goes first."""
    failure_domain: str
    """Failure domain of the requester."""
    excluded: tuple[str, ...]
    """Ids of endpoints that must not be selected."""
    rejectable: bool
    """Whether it may be rejected; false once it was sent before, or its stream has begun."""
    check: RoomCheck
    """Which of its checks for room this is."""
    knows_limits: bool = False
    """Whether the requester knows of rate limits at the service."""
    may_ask: bool = False
    """Whether it may go to an endpoint that takes almost nothing; stated with the one above."""


class Verdict(StrEnum):
    """Decision of a scheduler on a request."""

    GRANTED = "granted"
    REFUSED = "refused"
    """No endpoint has capacity in time."""
    UNKNOWN = "unknown"
    """The scheduler knows no endpoint of the group that may be selected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementReply:
    """Endpoint for a request, or the delay after which its caller should retry."""

    requester: Requester
    """The process that has asked."""
    number: int
    """Number of its query."""
    verdict: Verdict
    endpoint_id: str = ""
    uncached_tokens: int = 0
    own_bucket: bool = True
    start_ms: float = 0.0
    waiting_ms: float = 0.0
    prefill_ms: float = 0.0
    """With the two above, the forecast for the request; all 0 for plain services."""
    speed: float = 1.0
    """Speed of the endpoint that the forecast is based on."""
    endpoint_requests: int = 0
    """Requests at the endpoint before this one."""
    endpoint_prefill_tokens: int = 0
    """Prompt tokens that awaited prefill there before this one."""
    retry_after_s: float = 0.0
    obstacle: Obstacle | None = None
    """What kept the request from that endpoint, if it is refused."""
    permitted: bool = False
    """Whether it is permitted under the endpoint's rate limit."""
    learning: bool = False
    """Whether the scheduler started so recently that it may not know all work yet."""


class WorkPhase(StrEnum):
    """Progress of a request at its endpoint."""

    WAITING = "waiting"
    """Before its first event."""
    RUNNING = "running"
    ENDED = "ended"
    REJECTED = "rejected"
    """Ended, as its endpoint had no room for it."""

    @property
    def over(self) -> bool:
        """Whether the request is no longer at its endpoint."""
        return self in (WorkPhase.ENDED, WorkPhase.REJECTED)


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkUpdate:
    """Progress of one request."""

    requester: Requester
    group: str
    number: int
    phase: WorkPhase
    failure_weight: float = 0.0
    """How strongly its end counts as a failure of the endpoint."""
    longest_pause_s: float = 0.0
    """Longest time between two events of its stream."""
    mean_pause_ms: float = 0.0
    """Mean time between two events of its stream; 0 if too few have come."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedWork:
    """Work of one request, as its sender counts it."""

    number: int
    endpoint_id: str
    phase: WorkPhase
    shared_part: str | None
    """Id of the longest prompt part that other requests share."""
    uncached_tokens: int
    """Prompt tokens that its endpoint had to prefill when it was sent."""
    kv_tokens: int
    pause_sensitive: bool
    organisation: str
    """Name of the organisation that asked; empty without one."""
    precedence: int
    """Rank by which it was admitted; 0 goes first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkReport:
    """All work that an instance has at the endpoints of a group.

    It replaces earlier reports, which makes up for lost datagrams, and gives a new scheduler the
    work that is already running.
    """

    requester: Requester
    group: str
    works: tuple[PlacedWork, ...]
