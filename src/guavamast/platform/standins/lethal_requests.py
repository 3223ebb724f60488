"""Requests that end each engine of a stand-in that begins to answer them."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Final

from guavamast.platform.request_headers import PROMPT_PARTS, parse_prompt_parts
from guavamast.platform.standins.answer_body import AnswerEnding, Closing

if TYPE_CHECKING:
    from collections.abc import Mapping

LETHAL_BODY_PREFIX: Final = b"lethal "
"""Beginning of a body that ends each engine that runs it."""
LETHAL_DELAY_S: Final = 0.05
"""Seconds from the begin of such a run to the end of the engine."""
PART_BYTES: Final = 9
"""Bytes of an event that is broken off."""


class LethalEnding(StrEnum):
    """What an engine has sent of a stream when it ends."""

    BEFORE_RESPONSE = "before_response"
    """Nothing."""
    AFTER_EVENT = "after_event"
    """The first event, in chunks."""
    UNFRAMED = "unframed"
    """The first event, with neither length nor chunks, as if the answer were whole."""
    UNFRAMED_INSIDE_EVENT = "unframed_inside_event"
    """The same, and a part of the second event."""

    @property
    def framed(self) -> bool:
        """Whether the framing shows that the answer was broken off."""
        return self in (LethalEnding.BEFORE_RESPONSE, LethalEnding.AFTER_EVENT)

    def build_answer_ending(self) -> AnswerEnding:
        """Return where the answer ends."""
        inside = self is LethalEnding.UNFRAMED_INSIDE_EVENT
        return AnswerEnding(pieces=1, part_bytes=PART_BYTES if inside else 0, closing=Closing.CRASH)


class LethalRequests:
    """What ends engines: bodies by their beginning, and parts of prompts.

    The last part of a prompt belongs to its request alone and never ends an engine.
    """

    __slots__ = ("parts",)

    def __init__(self) -> None:
        self.parts: dict[str, LethalEnding] = {}
        """How engines end under each part, by the part's id."""

    def find_ending(self, *, body: bytes, headers: Mapping[str, str]) -> LethalEnding | None:
        """Return how a request ends its engine; None if it doesn't.

        Args:
            body: Its body.
            headers: Its headers, by name in lower case.
        """
        if body.startswith(LETHAL_BODY_PREFIX):
            return LethalEnding.BEFORE_RESPONSE
        if not self.parts:
            return None
        prompt_parts = parse_prompt_parts(headers.get(PROMPT_PARTS.lower()))
        endings = [self.parts.get(part.part_id) for part in prompt_parts[:-1]]
        return next((ending for ending in endings if ending is not None), None)
