"""Interference of long prefills with the streams that run at the same engine.

Engines prefill prompts in chunks between the tokens of running requests, so each event takes longer
during a long prefill, however idle the engine is otherwise. A stream whose route only allows
shorter pauses is late from its first such event on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.catalog import Route
    from guavamast.relay.placement.engine_profile import EngineProfile

PAUSE_SENSITIVE_MARGIN: Final = 1.2
"""Factor on the pauses caused by prefill; routes that allow only shorter ones are pause-sensitive.
The pauses are known as a median, but the longest pause of a stream is decisive."""
HARMLESS_PREFILL_SHARE: Final = 0.5
"""Share of the longest allowed pause; a shorter prefill delays no stream too long, as its chunks
and the decoding steps between them still fit."""


def is_pause_sensitive(route: Route, profile: EngineProfile) -> bool:
    """Return whether concurrent prefills of long prompts make streams of a route late."""
    if route.longest_pause_s is None:
        return False
    return route.longest_pause_s * 1000.0 < PAUSE_SENSITIVE_MARGIN * profile.reading_pause_ms


def estimate_delayed_share(prefill_ms: float, *, pause_s: float) -> float:
    """Return the share of pause-sensitive streams that a prefill makes late.

    Args:
        prefill_ms: Time for which the engine prefills without interruption.
        pause_s: The longest pause that the streams' route allows.
    """
    excess = prefill_ms / (pause_s * 1000.0) - HARMLESS_PREFILL_SHARE
    return min(1.0, max(0.0, excess / (1.0 - HARMLESS_PREFILL_SHARE)))
