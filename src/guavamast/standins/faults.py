"""Faults of the stand-ins, set by ``POST /fault``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

NONE = "none"


@dataclass(slots=True, kw_only=True)
class Fault:
    """One fault and when it ends."""

    kind: str = NONE
    until: float = float("inf")
    delay_s: float = 0.0
    cut: bool = False
    """``down`` closes the connection instead of responding with 503."""
    ran: bool = False
    """``crash`` closes the connection after the run instead of before it."""
    per_s: float = 0.0
    """Requests per second that ``rate_limit`` admits."""
    factor: float = 1.0
    """Factor by which ``straggle`` slows an engine."""
    after_tokens: int = 0
    """Number of tokens of a run before an engine's fault sets in."""

    def is_active(self, kind: str, *, now: float) -> bool:
        """Return whether this fault is of that kind and has not ended."""
        return self.kind == kind and now < self.until


def parse_fault(body: dict[str, Any], *, now: float) -> Fault:
    """Return the fault that a request to ``/fault`` describes.

    Args:
        body: The request's JSON.
        now: The current time.
    """
    for_s = body.get("for_s")
    return Fault(
        kind=str(body.get("kind", NONE)),
        until=float("inf") if for_s is None else now + float(for_s),
        delay_s=float(body.get("delay_s", 0.0)),
        cut=bool(body.get("cut", False)),
        ran=bool(body.get("ran", False)),
        per_s=float(body.get("per_s", 0.0)),
        factor=float(body.get("factor", 1.0)),
        after_tokens=int(body.get("after_tokens", 0)),
    )
