"""The held slots of one endpoint and the choice of those that a higher tier may take."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.estimates import DEFAULT_INTERVAL_S

if TYPE_CHECKING:
    from guavamast.queues import Start
    from guavamast.slots import Ask


NO_EXPIRY: Final = float("inf")


@dataclass(slots=True, kw_only=True)
class Grant:
    """A slot that is held."""

    ask: Ask
    tier: int
    granted_at: float
    expires_at: float
    """Time at which the grant expires without a release."""
    expected_end: float
    expected_tokens: float = 0.0
    """Total output tokens."""
    tokens: int = 0
    progress_at: float = 0.0
    """Time of the last update of ``tokens``."""
    start: Start | None = None
    """None when an entry presented the slot."""
    paused: bool = False

    def is_pausable(self) -> bool:
        """Return whether a higher tier may take this slot.

        A start by share is not pausable. Otherwise, the higher tier that waited at the start would
        take the slot at once, and the class would get starts but never finish a run.
        """
        by_share = self.start is not None and self.start.by_share
        return self.ask.idempotent and not self.paused and not by_share

    def estimate_tokens(self, now: float) -> float:
        """Return the tokens delivered by now, extrapolated at the default pace."""
        return self.tokens + max(0.0, now - self.progress_at) / DEFAULT_INTERVAL_S


class GrantTable:
    """The held slots by ask; the time of a scan depends on the endpoint's slots alone."""

    __slots__ = ("_grants",)

    def __init__(self) -> None:
        self._grants: dict[str, Grant] = {}

    def __len__(self) -> int:
        return len(self._grants)

    def __contains__(self, ask_id: str) -> bool:
        return ask_id in self._grants

    def add(self, grant: Grant) -> None:
        """Record a grant."""
        self._grants[grant.ask.ask_id] = grant

    def get(self, ask_id: str) -> Grant | None:
        """Return the grant of an ask; None when there is none."""
        return self._grants.get(ask_id)

    def remove(self, ask_id: str) -> Grant | None:
        """Remove and return the grant of an ask; None when there is none."""
        return self._grants.pop(ask_id, None)

    def list_grants(self) -> list[Grant]:
        """Return all grants."""
        return list(self._grants.values())

    def remove_expired(self, now: float) -> list[Grant]:
        """Remove and return the grants that have expired."""
        expired = [grant for grant in self._grants.values() if grant.expires_at <= now]
        for grant in expired:
            del self._grants[grant.ask.ask_id]
        return expired

    def orphan(self, entry: str, *, expires_at: float) -> None:
        """Limit the life of the grants of an entry that is disconnected."""
        for grant in self._grants.values():
            if grant.ask.entry == entry:
                grant.expires_at = min(grant.expires_at, expires_at)

    def find_expiry(self) -> float:
        """Return the time at which the first grant expires."""
        return min((grant.expires_at for grant in self._grants.values()), default=NO_EXPIRY)

    def find_lowest_tier(self) -> int:
        """Return the greatest tier number among grants; 0 when there are none."""
        return max((grant.tier for grant in self._grants.values()), default=0)

    def count_pausable(self, tier: int) -> int:
        """Return how many slots an ask of a tier may take by pausing."""
        return sum(1 for g in self._grants.values() if g.tier > tier and g.is_pausable())

    def find_pausable_tier(self) -> int:
        """Return the greatest tier number among pausable grants; 0 when there are none."""
        return max((g.tier for g in self._grants.values() if g.is_pausable()), default=0)

    def select_victim(self, tier: int, *, now: float) -> Grant | None:
        """Return the grant that an ask of a tier pauses first: lowest tier, least work lost."""
        pausable = [g for g in self._grants.values() if g.tier > tier and g.is_pausable()]
        return min(
            pausable, key=lambda grant: (-grant.tier, grant.estimate_tokens(now)), default=None
        )
