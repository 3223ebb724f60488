"""A request's asks at several keepers: the first grant is used, a later one is released unused."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.slots import Queued

RACE_WAIT_S: Final = 0.05
"""Estimated wait of a queued ask from which another keeper is asked as well."""
MAX_OPEN_ASKS: Final = 2
"""Keepers at which one request may wait at the same time."""
ASK_LIMIT: Final = 32
"""Asks of one request before it is rejected."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RaceRules:
    """Conditions for asking further keepers."""

    max_open_asks: int = MAX_OPEN_ASKS
    wait_s: float = RACE_WAIT_S
    ask_limit: int = ASK_LIMIT


class SlotRace:
    """Tracks the open asks of one request and the grant that it uses.

    Without this, two keepers grant, the entry sends to both endpoints, and the request is paid
    for and perhaps run twice. Only the first grant is used; any later one is released unused,
    including one that was in transit when its ask was withdrawn.

    Args:
        rules: The conditions for asking further keepers.
    """

    __slots__ = ("_asked", "_open", "_rules", "_winner")

    def __init__(self, *, rules: RaceRules) -> None:
        self._rules = rules
        self._asked: list[str] = []
        self._open: dict[str, str] = {}
        self._winner = ""

    @property
    def asked(self) -> frozenset[str]:
        """Endpoints that were asked for this request, to be excluded from the next choice."""
        return frozenset(self._asked)

    @property
    def winner(self) -> str:
        """ID of the ask whose grant is used; empty while there is none."""
        return self._winner

    @property
    def is_waiting(self) -> bool:
        """Whether an open ask may still be granted."""
        return bool(self._open)

    @property
    def may_ask(self) -> bool:
        """Whether another keeper may be asked at all."""
        return not self._winner and len(self._asked) < self._rules.ask_limit

    def record_ask(self, ask_id: str, endpoint: str) -> None:
        """Record an ask sent to a keeper."""
        self._asked.append(endpoint)
        self._open[ask_id] = endpoint

    def record_queued(self, queued: Queued) -> bool:
        """Return whether to ask another keeper, as this one queues the request."""
        if queued.ask.ask_id not in self._open or not self.may_ask:
            return False
        waits = queued.estimated_wait_s >= self._rules.wait_s
        return waits and len(self._open) < self._rules.max_open_asks

    def record_refused(self, ask_id: str) -> bool:
        """Record a rejection; return whether to ask another keeper, as no ask is open."""
        self._open.pop(ask_id, None)
        return self.may_ask and not self._open

    def record_granted(self, ask_id: str) -> bool:
        """Record a grant; return whether to use it, else it is to be released unused at once."""
        if self._winner or ask_id not in self._open:
            return False
        del self._open[ask_id]
        self._winner = ask_id
        return True

    def close(self) -> dict[str, str]:
        """Close all asks and return those to withdraw, by ID; no later grant is used."""
        open_asks = self._open
        self._open = {}
        return open_asks

    def restart(self) -> None:
        """Reset after a failed or paused run; endpoints asked before may be asked again."""
        self._winner = ""
        self._asked.clear()
