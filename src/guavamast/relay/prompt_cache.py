"""Which engines keep which shared parts of prompts, from what all instances have sent where."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart

KEPT_SHARE: Final = 0.6
"""Share of an engine's memory that idle parts can count on; running requests take the rest."""
TOLD_BEATS: Final = 2.4
"""Intervals of beats for which a send is told with each: by two of them, as some are lost."""
MOST_PARTS: Final = 50_000
"""Parts remembered at all; the least recently used go first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptSend:
    """One prompt that an instance has sent to an engine."""

    number: int
    """Counts up within the process of the instance."""
    endpoint_id: str
    part_id: str
    """The longest part that other requests share."""
    tokens: int
    """Prompt tokens that the engine had to read."""


class PromptCache:
    """A model of the parts in the engines' memory, least recently used first out.

    Each engine has a count of the tokens that it was given to read. A part is taken to be there
    until, since its last use, the engine has read as much as its memory keeps.
    """

    __slots__ = ("_heard", "_number", "_parts", "_read", "_sends")

    def __init__(self) -> None:
        self._parts: dict[str, dict[str, int]] = {}
        self._read: dict[str, int] = {}
        self._sends: deque[tuple[float, PromptSend]] = deque()
        self._heard: dict[str, tuple[int, int]] = {}
        self._number = 0

    def record(self, endpoint_id: str, part_id: str, tokens: int, *, now: float) -> None:
        """Note that this instance sends a prompt.

        Args:
            endpoint_id: The engine.
            part_id: The longest part that other requests share.
            tokens: Prompt tokens that the engine has to read.
            now: The present time.
        """
        self._number += 1
        send = PromptSend(
            number=self._number, endpoint_id=endpoint_id, part_id=part_id, tokens=tokens
        )
        self._apply(send)
        self._sends.append((now, send))

    def list_recent(self, *, now: float, interval_s: float) -> list[PromptSend]:
        """Return the sends that the other instances are to be told.

        Args:
            now: The present time.
            interval_s: Seconds between two beats.
        """
        while self._sends and self._sends[0][0] < now - TOLD_BEATS * interval_s:
            self._sends.popleft()
        return [send for _, send in self._sends]

    def take_peer(self, instance: str, incarnation: int, sends: list[PromptSend]) -> None:
        """Note what another instance has sent; what was told before counts once."""
        known_incarnation, last = self._heard.get(instance, (incarnation, 0))
        if known_incarnation != incarnation:
            last = 0
        for send in sends:
            if send.number > last:
                self._apply(send)
                last = send.number
        self._heard[instance] = (incarnation, last)

    def count_cached(
        self, endpoint_id: str, parts: tuple[PromptPart, ...], *, memory_tokens: int
    ) -> int:
        """Return the tokens at the start of a prompt that an engine has in its memory.

        Args:
            endpoint_id: The engine.
            parts: The prompt's parts in order.
            memory_tokens: Tokens that fit into the engine's memory.
        """
        read = self._read.get(endpoint_id, 0)
        for index in range(len(parts) - 1, -1, -1):
            used = self._parts.get(parts[index].part_id, {}).get(endpoint_id)
            if used is not None and read - used < KEPT_SHARE * memory_tokens:
                return sum(part.tokens for part in parts[: index + 1])
        return 0

    def keep_only(self, endpoint_ids: set[str]) -> None:
        """Forget engines that are gone.

        Going over all parts takes long, so it is done only after an engine has gone.
        """
        gone = self._read.keys() - endpoint_ids
        if not gone:
            return
        for endpoint_id in gone:
            del self._read[endpoint_id]
        for part_id, places in list(self._parts.items()):
            for endpoint_id in gone & places.keys():
                del places[endpoint_id]
            if not places:
                del self._parts[part_id]

    def _apply(self, send: PromptSend) -> None:
        read = self._read.get(send.endpoint_id, 0) + send.tokens
        self._read[send.endpoint_id] = read
        places = self._parts.pop(send.part_id, {})
        places[send.endpoint_id] = read
        self._parts[send.part_id] = places
        if len(self._parts) > MOST_PARTS:
            del self._parts[next(iter(self._parts))]
