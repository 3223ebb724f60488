"""Retry budget and backoff of failed attempts."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from random import Random

RETRY_SHARE: Final = 0.1
"""Retries that each success adds to the balance."""
BALANCE_LIMIT: Final = 20.0
"""Maximum of saved retries: about the requests that one entry has at one endpoint, all of which
need a retry when it dies. Bounds the burst when many endpoints die at once."""
FLOOR_PER_S: Final = 0.5
"""Retries per second that a class with hardly any traffic gets."""
FLOOR_LIMIT: Final = 10.0
"""Balance up to which the floor is added."""
ATTEMPT_LIMIT: Final = 3
"""Attempts of one request, including the first."""
BACKOFF_FIRST_S: Final = 0.05
BACKOFF_LONGEST_S: Final = 2.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Retry:
    """Permission for another attempt after a delay."""

    delay_s: float


@dataclass(slots=True)
class _Balance:
    tokens: float
    updated: float | None = None


def compute_backoff(attempt: int, *, random: Random) -> float:
    """Return the delay in seconds after a failed attempt: exponential backoff with full jitter.

    Args:
        attempt: Number of attempts made, 1 or more.
        random: Source of the jitter.
    """
    bound = min(BACKOFF_LONGEST_S, BACKOFF_FIRST_S * 2.0 ** min(attempt - 1, 30))
    return random.uniform(0.0, bound)


class RetryBudget:
    """Retry budget of an entry: for each class, a share of its successes.

    Failure: a third of the endpoints die, each of their requests is retried, and the retries
    overload the remaining endpoints until they fail too. As successes pay for retries, the attempts
    stay below ``1 + RETRY_SHARE`` times the requests, whatever fails, apart from the saved balance.
    """

    __slots__ = ("_balances",)

    def __init__(self) -> None:
        self._balances: dict[str, _Balance] = {}

    def record_success(self, class_name: str) -> None:
        """Add `RETRY_SHARE` of a retry to the class's balance."""
        balance = self._get_balance(class_name)
        balance.tokens = min(BALANCE_LIMIT, balance.tokens + RETRY_SHARE)

    def try_spend(self, class_name: str, *, now: float) -> bool:
        """Deduct one retry from the class's balance; return False when there is none."""
        balance = self._get_balance(class_name)
        if balance.updated is not None and balance.tokens < FLOOR_LIMIT:
            elapsed = max(0.0, now - balance.updated)
            balance.tokens = min(FLOOR_LIMIT, balance.tokens + elapsed * FLOOR_PER_S)
        balance.updated = now if balance.updated is None else max(now, balance.updated)
        if balance.tokens < 1.0:
            return False
        balance.tokens -= 1.0
        return True

    def plan(
        self,
        class_name: str,
        *,
        attempt: int,
        idempotent: bool,
        deadline: float,
        now: float,
        random: Random,
    ) -> Retry | None:
        """Decide on a retry after an attempt that was sent and failed.

        Args:
            class_name: The request's class.
            attempt: Number of attempts sent, 1 or more.
            idempotent: Whether running it twice does no harm.
            deadline: Time at which the caller stops waiting; retries don't extend it.
            now: The present time.
            random: Source of the jitter.

        Returns:
            The retry, or None when the failure is final.
        """
        if not idempotent or attempt >= ATTEMPT_LIMIT:
            return None
        delay = compute_backoff(attempt, random=random)
        if now + delay >= deadline:
            return None
        return Retry(delay_s=delay) if self.try_spend(class_name, now=now) else None

    def _get_balance(self, class_name: str) -> _Balance:
        balance = self._balances.get(class_name)
        if balance is None:
            balance = _Balance(FLOOR_LIMIT)
            self._balances[class_name] = balance
        return balance
