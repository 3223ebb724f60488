"""Rejected requests whose callers are expected to retry."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.scheduling_messages import PlacementQuery

RETRY_WINDOW_S: Final = 4.0
"""Seconds for which a retry is expected: well above the longest retry delay."""
MAX_EXPECTED: Final = 5_000
"""Requests that are remembered at most; the oldest are dropped first."""


class ExpectedRetries:
    """Rejected requests, by which a retry is recognised on whichever instance it arrives.

    A caller's retry has another id and mostly reaches another instance, but has the same prompt,
    whose last part belongs to it or its session alone.
    """

    __slots__ = ("_rejected_at",)

    def __init__(self) -> None:
        self._rejected_at: dict[str, float] = {}

    def record_rejection(self, query: PlacementQuery, *, now: float) -> None:
        """Record that a request is rejected."""
        if not query.prompt_parts:
            return
        key = query.prompt_parts[-1].part_id
        self._rejected_at.pop(key, None)
        self._rejected_at[key] = now
        if len(self._rejected_at) > MAX_EXPECTED:
            del self._rejected_at[next(iter(self._rejected_at))]

    def is_retry(self, query: PlacementQuery, *, now: float) -> bool:
        """Return whether a request is a retry of a recently rejected one."""
        if not query.prompt_parts:
            return False
        rejected_at = self._rejected_at.get(query.prompt_parts[-1].part_id)
        return rejected_at is not None and now - rejected_at < RETRY_WINDOW_S
