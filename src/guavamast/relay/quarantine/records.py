"""Typed records of engines that ended and of the contents that were running there."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointIncarnation:
    """One life of an endpoint; after a restart it is another, even under the same id."""

    endpoint_id: str
    started_ms: int | None
    """Start in Unix milliseconds, if the endpoint states it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LostContent:
    """A request whose connection ended before its response was complete."""

    content: str
    """Digest of the request."""
    organisation: str | None
    """Organisation that sent it; None on routes without keys."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEnd:
    """The end of an endpoint, and what one or more instances lost there."""

    incarnation: EndpointIncarnation
    ended_at: float
    """Local time in seconds."""
    lost: frozenset[LostContent]


@dataclass(frozen=True, slots=True, kw_only=True)
class Clearance:
    """An endpoint has answered a content completely, or an operator has released it."""

    content: str
    at: float
    """Local time in seconds; ends until then no longer count for the content."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Quarantine:
    """A content that is kept from endpoints because they ended while they ran it."""

    content: str
    organisation: str | None
    ends: int
    """Endpoints that have ended under it."""
    since: float
    """Local time of the decision, in seconds."""
    requested_at: float
    """Local time at which it was last requested, as far as known."""
    trials_left: int
    """Further times that it may be sent, by all instances together."""
    next_trial_at: float
    """Local time before which none of them may be used."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineReport:
    """A report of one instance to others; its times are those of the local clock."""

    domain: str
    """Failure domain of the instance that sent it first."""
    ends: tuple[EndpointEnd, ...]
    clearances: tuple[Clearance, ...]
    quarantines: tuple[Quarantine, ...]
