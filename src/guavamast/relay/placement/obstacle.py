"""What keeps a request from an engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class ObstacleKind(StrEnum):
    """Ways in which a request is kept from an engine."""

    QUEUE = "queue"
    """The engine's queue exceeds what the request may wait."""
    MEMORY = "memory"
    """The engine's KV cache has no room for it."""
    CLAIM = "claim"
    """More urgent requests wait for the room."""
    RESERVE = "reserve"
    """The room is kept for more urgent requests that may arrive."""
    COMPETITION = "competition"
    """Requests of its own precedence may have taken the room meanwhile."""
    SHARE = "share"
    """Requests of organisations of its precedence that were served less wait for the room."""
    SLOTS = "slots"
    """No slot is free, and nothing may wait at the endpoint."""
    RATE = "rate"
    """All endpoints state rate limits that are used up."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Obstacle:
    """What kept a request from the engine that was selected for it."""

    kind: ObstacleKind
    precedence: int | None = None
    """Precedence of the requests that the room is left to."""
    waiting: int = 0
    """Attempts that wait for the room, as far as known."""
    open_engines: int = 0
    """Engines that requests of that precedence may still join."""
    kept_engines: int = 0
    """Engines of those that are left to them."""
    engines: int = 0
    """Engines that can be used."""
