"""A call of a plain service, and the interfaces that running it depends on."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, GuavamastError

if TYPE_CHECKING:
    from guavamast.fleet_objects import CallRule, Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCall:
    """A caller's request to run one call of a plain service."""

    request_id: str
    organisation: str
    rule: CallRule
    body: bytes
    content_type: str
    idempotency_key: str
    """Empty for an idempotent call without one."""
    class_name: str
    tier: int
    deadline: float
    """Monotonic time at which the caller stops waiting; covers the call's own timeout."""


class SlotUnavailable(GuavamastError):
    """No slot was granted, and none is held.

    Args:
        code: Why no slot was granted.
        message: A human-readable sentence.
        status: HTTP status.
        retry_after_s: Seconds after which a retry may succeed.
    """

    def __init__(
        self, code: ErrorCode, message: str, *, status: int, retry_after_s: float | None = None
    ) -> None:
        super().__init__(code, message)
        self.status = status
        self.retry_after_s = retry_after_s


class SlotGrant(ABC):
    """One slot of one endpoint, held until it is released."""

    @property
    @abstractmethod
    def endpoint(self) -> Endpoint:
        """Endpoint that the call is sent to."""

    @abstractmethod
    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:
        """Release the slot; called once for each grant."""


class SlotSource(ABC):
    """Source of slots."""

    @abstractmethod
    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Wait for a slot at an endpoint of the call's service.

        A cancelled wait must leave no slot held.

        Args:
            call: The call; its deadline bounds the wait.
            excluded: Names of endpoints that already failed this call.

        Raises:
            SlotUnavailable: No slot was granted.
        """


class RetryPolicy(ABC):
    """Decides whether a failed attempt of an idempotent call is retried."""

    @abstractmethod
    def record_success(self, call: ServiceCall) -> None:
        """Record that a call got its response."""

    @abstractmethod
    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:
        """Return the seconds to wait before the next attempt, or None when there is none."""
