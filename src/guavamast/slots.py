"""Messages between an entry and the keeper of an endpoint: asks, grants and releases.

A keeper is the one dispatcher that decides on an endpoint's slots. These are the typed inputs and
outputs of its decisions; ``peer.proto`` carries the same fields between processes. Times are
seconds on the clock of the process that holds the object.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.errors import ErrorCode


@dataclass(frozen=True, slots=True, kw_only=True)
class Ask:
    """A request's wish for one slot of one endpoint."""

    ask_id: str
    """Unique for each request and candidate endpoint."""
    entry: str
    """Name of the instance whose entry holds the request."""
    endpoint: str
    organisation: str
    class_name: str
    tier: int
    kind: str
    model: str
    """Empty for a plain service."""
    prompt_tokens: int
    max_tokens: int
    deadline: float
    idempotent: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class Granted:
    """The slot is the ask's until it is released."""

    ask: Ask


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The ask waits."""

    ask: Ask
    estimated_wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The ask has ended without a slot."""

    ask: Ask
    code: ErrorCode
    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """A running request must give its slot up; the entry may ask again and resume."""

    ask: Ask
    reason: str


KeeperEvent = Granted | Queued | Refused | Paused


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The end of a grant, with what was learnt from the run."""

    ask_id: str
    endpoint: str
    used: bool
    """False when the grant is given back without a byte sent."""
    failed: bool = False
    """The endpoint did not give a whole, right answer."""
    tokens: int = 0
    first_token_s: float = 0.0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """What a keeper tells of its endpoint, for the choice among candidates."""

    endpoint: str
    in_flight: int
    queued: int
    estimated_wait_s: float
    lowest_tier: int
    """Greatest tier number that is queued or runs here; 0 when there is none."""
    weight: float = 1.0
    """1 for a healthy endpoint; less for a straggler or one that failed lately."""
    slots: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """An endpoint's own, lagging word on its load."""

    endpoint: str
    as_of: float
    """Time of the measurement, converted to the receiver's clock."""
    running: int
    kv_free: float = 1.0
    """Share of the KV cache's memory that is free, 0 to 1."""
