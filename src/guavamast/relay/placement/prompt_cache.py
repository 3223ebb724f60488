"""Estimate of the shared prompt parts in each engine's KV cache from all instances' sends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart

IDLE_PARTS_SHARE: Final = 0.6
"""Share of an engine's KV cache that is left for idle parts; running requests take the rest."""
REPEAT_HEARTBEATS: Final = 2.4
"""Intervals of heartbeats during which each heartbeat repeats a send: two carry it, as some are
lost."""
MAX_PARTS: Final = 50_000
"""Parts that are tracked at most; the least recently used are dropped first."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptSend:
    """One prompt that an instance has sent to an engine."""

    number: int
    """Increases with each send of the instance's process."""
    endpoint_id: str
    part_id: str
    """The longest part that other requests share."""
    tokens: int
    """Prompt tokens that the engine had to prefill."""


class PromptCache:
    """A model of the prompt parts in the engines' KV caches, with LRU eviction.

    Each engine has a count of the tokens that it was sent to prefill. A part counts as cached until
    the engine has prefilled, since the part's last use, as many tokens as the cache retains.
    """

    __slots__ = ("_last_applied", "_last_number", "_last_used", "_prefilled_tokens", "_sends")

    def __init__(self) -> None:
        self._last_used: dict[str, dict[str, int]] = {}
        self._prefilled_tokens: dict[str, int] = {}
        self._sends: deque[tuple[float, PromptSend]] = deque()
        self._last_applied: dict[str, tuple[int, int]] = {}
        self._last_number = 0

    def record(self, endpoint_id: str, part_id: str, tokens: int, *, now: float) -> None:
        """Record a prompt that this instance sends.

        Args:
            endpoint_id: The engine.
            part_id: The longest part that other requests share.
            tokens: Prompt tokens that the engine has to prefill.
            now: The present time.
        """
        self._last_number += 1
        send = PromptSend(
            number=self._last_number, endpoint_id=endpoint_id, part_id=part_id, tokens=tokens
        )
        self._apply(send)
        self._sends.append((now, send))

    def list_recent(self, *, now: float, interval_s: float) -> list[PromptSend]:
        """Return the sends to be published to the other instances.

        Args:
            now: The present time.
            interval_s: Seconds between two heartbeats.
        """
        while self._sends and self._sends[0][0] < now - REPEAT_HEARTBEATS * interval_s:
            self._sends.popleft()
        return [send for _, send in self._sends]

    def apply_peer_sends(self, instance: str, incarnation: int, sends: list[PromptSend]) -> None:
        """Apply the sends of another instance; repeated ones count once."""
        known_incarnation, last = self._last_applied.get(instance, (incarnation, 0))
        if known_incarnation != incarnation:
            last = 0
        for send in sends:
            if send.number > last:
                self._apply(send)
                last = send.number
        self._last_applied[instance] = (incarnation, last)

    def count_cached(
        self, endpoint_id: str, parts: tuple[PromptPart, ...], *, kv_capacity_tokens: int
    ) -> int:
        """Return the tokens at the start of a prompt that an engine has in its KV cache.

        Args:
            endpoint_id: The engine.
            parts: The prompt's parts in order.
            kv_capacity_tokens: Tokens that fit into the engine's KV cache.
        """
        prefilled = self._prefilled_tokens.get(endpoint_id, 0)
        for index in range(len(parts) - 1, -1, -1):
            last_used = self._last_used.get(parts[index].part_id, {}).get(endpoint_id)
            if (
                last_used is not None
                and prefilled - last_used < IDLE_PARTS_SHARE * kv_capacity_tokens
            ):
                return sum(part.tokens for part in parts[: index + 1])
        return 0

    def retain(self, endpoint_ids: set[str]) -> None:
        """Drop engines that are gone.

        The pass over all parts is slow, so it only runs after an engine has gone.
        """
        gone = self._prefilled_tokens.keys() - endpoint_ids
        if not gone:
            return
        for endpoint_id in gone:
            del self._prefilled_tokens[endpoint_id]
        for part_id, engines in list(self._last_used.items()):
            for endpoint_id in gone & engines.keys():
                del engines[endpoint_id]
            if not engines:
                del self._last_used[part_id]

    def _apply(self, send: PromptSend) -> None:
        prefilled = self._prefilled_tokens.get(send.endpoint_id, 0) + send.tokens
        self._prefilled_tokens[send.endpoint_id] = prefilled
        engines = self._last_used.pop(send.part_id, {})
        engines[send.endpoint_id] = prefilled
        self._last_used[send.part_id] = engines
        if len(self._last_used) > MAX_PARTS:
            del self._last_used[next(iter(self._last_used))]
