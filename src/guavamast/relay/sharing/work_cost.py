"""The engine time that a request is charged for."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.placement.engine_profile import EngineProfile


def compute_work_ms(
    profile: EngineProfile, *, uncached_tokens: int, output_tokens: int, slots: int
) -> float:
    """Return the engine milliseconds of a request.

    Args:
        profile: Speed of the engine.
        uncached_tokens: Prompt tokens that it has to prefill.
        output_tokens: Expected output, whose decoding all slots share.
        slots: Requests that the engine runs concurrently.
    """
    decode_ms = profile.token_ms * output_tokens / max(1, slots)
    return profile.compute_prefill_ms(uncached_tokens) + decode_ms
