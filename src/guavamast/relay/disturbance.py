"""How an engine that reads a long prompt disturbs the streams that run there.

Engines read prompts in pieces between the tokens of running requests, so each event takes longer
while a long prompt is read, however idle the engine is otherwise. A stream whose route allows
shorter pauses than that is late from its first such event on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.catalog import Route
    from guavamast.relay.engine_profile import EngineProfile

DELICATE_MARGIN: Final = 1.2
"""Factor above the pauses that reading makes up to which a route counts as delicate: these are
known as a median, and the longest of a stream's many pauses decides."""
HARMLESS_READING: Final = 0.5
"""Share of the longest pause allowed; reading that takes less delays no stream too long, as its
pieces and the steps between them still fit."""


def is_delicate(route: Route, profile: EngineProfile) -> bool:
    """Return whether streams of a route are late if long prompts are read beside them."""
    if route.longest_pause_s is None:
        return False
    return route.longest_pause_s * 1000.0 < DELICATE_MARGIN * profile.reading_pause_ms


def estimate_disturbed_share(reading_ms: float, *, pause_s: float) -> float:
    """Return the share of delicate streams that become late beside some reading.

    Args:
        reading_ms: Time that the engine reads without end.
        pause_s: The longest pause that the streams' route allows.
    """
    excess = reading_ms / (pause_s * 1000.0) - HARMLESS_READING
    return min(1.0, max(0.0, excess / (1.0 - HARMLESS_READING)))
