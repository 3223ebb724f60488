"""A response that was forwarded to its caller completely."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedResponse:
    """What an attempt's complete response shows of its endpoint."""

    status: int
    began_at: float
    """Local time at which its endpoint began it: of the first event of a stream, otherwise of the
    head."""
    framed: bool
    """Whether its framing shows that it is complete."""
