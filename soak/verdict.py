"""Result of a soak run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.urgency_order import OrderWindow
    from soak.streams import StreamShares


@dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """Result of one run."""

    seed: int
    requests: int
    answered: int
    faults: list[str]
    """Injected faults: start, kind and duration."""
    violations: list[str]
    """Violated guarantees."""
    shares: StreamShares
    longest_stall_s: float
    """Longest stall of the soak's own process, which all instances see as silence."""
    worst_order: OrderWindow | None = None
    """What came closest to a wrong order of urgencies; None if it was not observed."""
