"""Parts of the prompts of the last requests that were answered."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Final

from guavamast.relay.quarantine.attributes import find_kind, name_part

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart

MAX_ANSWERS: Final = 128
"""Answers that are remembered, the newest ones."""
MIN_ANSWERS: Final = 5
"""Answers below which nothing is known of what is common."""
MAX_HELD_SHARE: Final = 0.05
"""Share of the requests that are answered that one decision may keep from endpoints."""


class AnsweredParts:
    """Tells which attributes are too common among answered requests to be kept from endpoints.

    The first part of all prompts is at each endpoint that ends. If nothing cleared it in time,
    requests with it would all be rejected, and none could be answered to clear it. What ends
    endpoints is answered by none, so it leaves this sample by itself.
    """

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: deque[tuple[PromptPart, ...]] = deque(maxlen=MAX_ANSWERS)

    def record(self, prompt_parts: tuple[PromptPart, ...]) -> None:
        """Record the prompt of a request that was answered completely."""
        self._answers.append(prompt_parts)

    def is_common(self, attribute: str) -> bool:
        """Return whether too many requests have an attribute; True while too few were answered."""
        if not find_kind(attribute).shared:
            return False
        if len(self._answers) < MIN_ANSWERS:
            return True
        return self._count(attribute) > MAX_HELD_SHARE * len(self._answers)

    def was_answered(self, attribute: str) -> bool:
        """Return whether any of the last requests that were answered had an attribute."""
        return self._count(attribute) > 0

    def _count(self, attribute: str) -> int:
        return sum(
            any(name_part(part.part_id) == attribute for part in parts[:-1])
            for parts in self._answers
        )
