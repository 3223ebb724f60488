"""Typed records of endpoints that ended and of the attributes of requests that ran there."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointIncarnation:
    """One life of an endpoint; after a restart it is another, even under the same id."""

    endpoint_id: str
    started_ms: int | None
    """Start in Unix milliseconds, if the endpoint states it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LostAttribute:
    """An attribute of a request whose connection ended before its response was complete."""

    attribute: str
    organisation: str | None
    """Organisation whose requests alone have it; None if any may have it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointEnd:
    """The end of an endpoint, and what one or more instances lost there."""

    incarnation: EndpointIncarnation
    ended_at: float
    """Local time in seconds."""
    lost: frozenset[LostAttribute]


@dataclass(frozen=True, slots=True, kw_only=True)
class Clearance:
    """An endpoint has answered a request with an attribute, or an operator has released it."""

    attribute: str
    at: float
    """Local time in seconds; ends until then no longer count for the attribute."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Quarantine:
    """An attribute whose requests are kept from endpoints, as they ended while running them."""

    attribute: str
    organisation: str | None
    """Organisation whose requests alone have it; None if any may have it."""
    ends: int
    """Endpoints that have ended under it."""
    since: float
    """Local time of the decision, in seconds."""
    requested_at: float
    """Local time at which it was last requested, as far as known."""
    trials_left: int
    """Further requests with it that may be sent, by all instances together."""
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
