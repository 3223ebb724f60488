"""What instances and the schedulers of endpoints tell each other.

An instance that has a request asks the scheduler of a group of endpoints, which knows all work
there, and tells it when the request begins and ends. No promise to callers rests on these messages:
what is lost makes a scheduler's loads less exact until the next report.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart


@dataclass(frozen=True, slots=True, kw_only=True)
class Asker:
    """One process of an instance that asks schedulers."""

    instance: str
    incarnation: int


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementQuery:
    """A request for which an endpoint is wanted."""

    asker: Asker
    number: int
    """Counts up within the asker's process; names the request's work from now on."""
    group: str
    service: str
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    lane: int
    objective_s: float
    delicate: bool
    patient: bool
    first: bool
    urgency: int
    """0 goes first."""
    failure_domain: str
    """Of the asker."""
    excluded: tuple[str, ...]
    """Ids of endpoints that are not to be chosen."""
    refusable: bool
    """Whether it may be sent back; not once it was sent to another endpoint."""


class Verdict(StrEnum):
    """What a scheduler has decided."""

    GRANTED = "granted"
    REFUSED = "refused"
    """No endpoint has room in time."""
    UNKNOWN = "unknown"
    """The scheduler knows no endpoint of the group that may be chosen."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacementReply:
    """Where a request goes, or when its caller should come back."""

    number: int
    """Of the query."""
    verdict: Verdict
    endpoint_id: str = ""
    uncached_tokens: int = 0
    own_bucket: bool = True
    start_ms: float = 0.0
    waiting_ms: float = 0.0
    prefill_ms: float = 0.0
    """With the two above, what the request would meet; all 0 for plain services."""
    endpoint_requests: int = 0
    """At the endpoint before this one."""
    endpoint_prefill_tokens: int = 0
    """Prompt tokens that waited to be read there before this one."""
    retry_after_s: float = 0.0
    learning: bool = False
    """Whether the scheduler has begun so lately that it may not know all work yet."""


class WorkPhase(StrEnum):
    """How far the work of a request at its endpoint has come."""

    WAITING = "waiting"
    """Before its first event."""
    RUNNING = "running"
    ENDED = "ended"


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkUpdate:
    """That the work of one request has come further."""

    asker: Asker
    group: str
    number: int
    phase: WorkPhase
    failure_weight: float = 0.0
    """How much its end says against its endpoint."""
    longest_pause_s: float = 0.0
    """Between two events of its stream."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PlacedWork:
    """The work of one request, as its sender counts it."""

    number: int
    endpoint_id: str
    phase: WorkPhase
    shared_part: str | None
    """Id of the longest part that other requests share."""
    uncached_tokens: int
    """Prompt tokens that its endpoint had to read when it was sent."""
    kv_tokens: int
    pause_sensitive: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class WorkReport:
    """All work that an instance has at the endpoints of a group.

    It replaces what was told before, so that nothing is lost with a datagram, and tells a scheduler
    that has just begun what it has to know.
    """

    asker: Asker
    group: str
    works: tuple[PlacedWork, ...]
