"""Requests that were sent back and whose callers are expected to come again."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.scheduling_messages import PlacementQuery

EXPECTED_S: Final = 4.0
"""Seconds for which a return is expected: well above the longest time to come back."""
MOST_EXPECTED: Final = 5_000
"""Requests that are remembered at all; the oldest go first."""


class ExpectedReturns:
    """Recognises a request that was sent back, wherever its caller comes again.

    A caller's next attempt has another id and mostly another instance, but the same prompt, whose
    last part is its own or its session's.
    """

    __slots__ = ("_sent_back",)

    def __init__(self) -> None:
        self._sent_back: dict[str, float] = {}

    def note(self, query: PlacementQuery, *, now: float) -> None:
        """Note that a request is sent back."""
        if not query.prompt_parts:
            return
        key = query.prompt_parts[-1].part_id
        self._sent_back.pop(key, None)
        self._sent_back[key] = now
        if len(self._sent_back) > MOST_EXPECTED:
            del self._sent_back[next(iter(self._sent_back))]

    def recall(self, query: PlacementQuery, *, now: float) -> bool:
        """Return whether a request was sent back before."""
        if not query.prompt_parts:
            return False
        noted = self._sent_back.get(query.prompt_parts[-1].part_id)
        return noted is not None and now - noted < EXPECTED_S
