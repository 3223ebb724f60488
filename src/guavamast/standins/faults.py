"""Faults of the stand-ins, switched over ``POST /fault``."""

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
    """``down`` closes the connection without a word in place of a 503."""
    ran: bool = False
    """``crash`` cuts the connection after the run in place of before."""
    per_s: float = 0.0
    """Requests a second that ``rate_limit`` still lets through."""
    factor: float = 1.0
    """How much slower ``straggle`` makes an engine."""
    after_tokens: int = 0
    """Tokens of a run that an engine still gets right."""

    def is_active(self, kind: str, *, now: float) -> bool:
        """Return whether this is a fault of that kind that has not ended."""
        return self.kind == kind and now < self.until


def read_fault(body: dict[str, Any], *, now: float) -> Fault:
    """Return the fault that a request to ``/fault`` describes.

    Args:
        body: The request's JSON.
        now: The present time.
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
