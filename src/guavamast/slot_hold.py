"""An ask for a slot as the entry tracks it, from its creation to its release."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.errors import ErrorCode
    from guavamast.slots import Ask, Queued


class AskRefused(Exception):
    """A rejection of an ask by its keeper."""

    def __init__(self, *, code: ErrorCode, retry_after_s: float) -> None:
        super().__init__(code)
        self.code = code
        self.retry_after_s = retry_after_s


class HoldState(Enum):
    """State of an ask."""

    WAITING = 1
    HELD = 2
    ENDED = 3


class SlotHold:
    """One ask, from its creation to its release."""

    __slots__ = (
        "addresses",
        "ask",
        "granted",
        "held_since",
        "on_paused",
        "on_queued",
        "state",
        "tokens",
    )

    def __init__(self, *, ask: Ask) -> None:
        self.ask = ask
        self.state = HoldState.WAITING
        self.addresses: list[str] = []
        """Addresses of the keepers that have received the ask, the current one last."""
        self.granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.held_since = 0.0
        self.tokens = 0
        """Tokens received so far, reported to a new keeper."""
        self.on_queued: Callable[[Queued], None] | None = None
        """Called when the keeper queues the ask."""
        self.on_paused: Callable[[str], None] | None = None
        """Called when the keeper pauses the request to free its slot."""

    @property
    def address(self) -> str:
        """Address of the current keeper; empty while there is none."""
        return self.addresses[-1] if self.addresses else ""
