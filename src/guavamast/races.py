"""A request's asks at several keepers: the first grant is used, a later one is given back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.slots import Queued

RACE_WAIT_S: Final = 0.05
"""Estimated wait from which a queued ask is raced."""
RACERS: Final = 2
"""Keepers at which one request waits at the same time."""
ASK_LIMIT: Final = 32
"""Asks of one request before it is refused."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RaceRules:
    """When a second keeper is asked."""

    racers: int = RACERS
    wait_s: float = RACE_WAIT_S
    ask_limit: int = ASK_LIMIT


class SlotRace:
    """Keeps the open asks of one request apart from the grant that it uses.

    Failure: both keepers grant, the entry sends to both, and the answer is paid for and perhaps
    run twice. The first grant closes the race; any grant after it is to be released unused, also
    one that was on its way when its ask was withdrawn.

    Args:
        rules: When a second keeper is asked.
    """

    __slots__ = ("_asked", "_open", "_rules", "_winner")

    def __init__(self, *, rules: RaceRules) -> None:
        self._rules = rules
        self._asked: list[str] = []
        self._open: dict[str, str] = {}
        self._winner = ""

    @property
    def asked(self) -> frozenset[str]:
        """Endpoints that this request has asked for, to be excluded from the next choice."""
        return frozenset(self._asked)

    @property
    def winner(self) -> str:
        """The ask whose grant is used; empty while there is none."""
        return self._winner

    @property
    def is_waiting(self) -> bool:
        """Whether a keeper may still grant."""
        return bool(self._open)

    @property
    def may_ask(self) -> bool:
        """Whether another keeper may be asked at all."""
        return not self._winner and len(self._asked) < self._rules.ask_limit

    def record_ask(self, ask_id: str, endpoint: str) -> None:
        """Note that a keeper is asked."""
        self._asked.append(endpoint)
        self._open[ask_id] = endpoint

    def record_queued(self, queued: Queued) -> bool:
        """Return whether to ask a further keeper, as this one lets the request wait."""
        if queued.ask.ask_id not in self._open or not self.may_ask:
            return False
        waits = queued.estimated_wait_s >= self._rules.wait_s
        return waits and len(self._open) < self._rules.racers

    def record_refused(self, ask_id: str) -> bool:
        """Return whether to ask a further keeper, as none is left to grant."""
        self._open.pop(ask_id, None)
        return self.may_ask and not self._open

    def record_granted(self, ask_id: str) -> bool:
        """Return whether to use the grant; else it is to be released unused at once."""
        if self._winner or ask_id not in self._open:
            return False
        del self._open[ask_id]
        self._winner = ask_id
        return True

    def close(self) -> dict[str, str]:
        """Return the asks to withdraw, with their endpoints; no later grant will be used."""
        losers = self._open
        self._open = {}
        return losers

    def restart(self) -> None:
        """Begin anew after a failed or paused run; endpoints asked before may be asked again."""
        self._winner = ""
        self._asked.clear()
