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
    """An entry's request for one slot of one endpoint."""

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
    """The ask holds a slot until its release."""

    ask: Ask


@dataclass(frozen=True, slots=True, kw_only=True)
class Queued:
    """The ask waits in the keeper's queue."""

    ask: Ask
    estimated_wait_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The ask was rejected and has ended without a slot."""

    ask: Ask
    code: ErrorCode
    retry_after_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """A running request must give up its slot; the entry may ask again and resume it."""

    ask: Ask
    reason: str


KeeperEvent = Granted | Queued | Refused | Paused


@dataclass(frozen=True, slots=True, kw_only=True)
class Release:
    """The end of a grant, with the measurements of the run."""

    ask_id: str
    endpoint: str
    used: bool
    """False when the grant is released before any byte was sent."""
    failed: bool = False
    """True when the endpoint did not give a complete, correct response."""
    tokens: int = 0
    first_token_s: float = 0.0
    duration_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """The state of an endpoint as its keeper reports it, for the choice among candidates."""

    endpoint: str
    in_flight: int
    queued: int
    estimated_wait_s: float
    lowest_tier: int
    """Greatest tier number that is queued or running here; 0 when there is none."""
    weight: float = 1.0
    """1 for a healthy endpoint; less for a straggler or one that failed recently."""
    slots: int = 1


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The load that an endpoint reports about itself, with a delay."""

    endpoint: str
    as_of: float
    """Time of the measurement, converted to the receiver's clock."""
    running: int
    kv_free: float = 1.0
    """Free share of the KV cache, 0 to 1."""
