"""Timeouts of attempts that another endpoint can take over."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.catalog import RouteKind

if TYPE_CHECKING:
    from guavamast.relay.request_progress import RequestProgress

RESPONSE_TIMEOUT_SHARE: Final = 0.6
"""Share of the objective after which a repeatable call without a response is retried at another
endpoint, which can still respond in time."""
STREAM_IDLE_TIMEOUT_S: Final = 1.5
"""Seconds without an event after which a resumable stream is resumed elsewhere: longer than a sound
engine may pause, and before callers time out."""


def compute_attempt_timeout(progress: RequestProgress) -> float | None:
    """Return the seconds of silence after which an attempt may be abandoned for another endpoint.

    None if no other attempt can follow: an endpoint's silence alone is no reason to end a request.

    Args:
        progress: The request, not yet sent.
    """
    route = progress.admitted.route
    if not route.repeatable or progress.sends + 1 >= route.max_endpoints:
        return None
    if route.kind is RouteKind.STREAM:
        return max(STREAM_IDLE_TIMEOUT_S, route.objective_s)
    return RESPONSE_TIMEOUT_SHARE * route.objective_s
