"""Orders to endpoints: their messages, and the decision on one endpoint's next step."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.fleet_objects import Endpoint

_FIRST_RETRY_S: Final = 5.0
"""Delay after the first rejection; it doubles with each further one."""
_LONGEST_RETRY_S: Final = 300.0


class OrderOutcome(StrEnum):
    """What is known of an order after it was sent."""

    TAKEN = "taken"
    """The endpoint started it; its report shows when it is done."""
    OLD_FENCING = "old_fencing"
    """The endpoint has seen a greater fencing number: another instance took over."""
    LIMITED = "limited"
    """The endpoint or the weight store rejected it for now; nothing changes."""
    UNKNOWN = "unknown"
    """It may still take effect within the longest order time."""
    NOT_SENT = "not_sent"
    """No byte of it was sent."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Load one version of a model."""

    endpoint: str
    fencing: int
    model: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """The models that an endpoint reports to run."""

    models: Mapping[str, str]
    """Version by model."""


class OrderSender(ABC):
    """Sends orders to endpoints and reads their reports."""

    @abstractmethod
    async def send(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order at most once and return what is known of it."""

    @abstractmethod
    async def read_report(self, endpoint: Endpoint) -> EndpointReport | None:
        """Return what the endpoint runs, or None when it can't be reached."""


class OrderStep(StrEnum):
    """What to do next for an endpoint."""

    NOTHING = "nothing"
    """It runs the wanted versions, and nothing is left to clean up."""
    FINISH = "finish"
    """It runs the wanted versions: put it back into use and remove it from the list."""
    TAKE_OUT = "take_out"
    """It needs an order: stop new work for it as soon as the limits allow."""
    WAIT = "wait"
    """An order may still take effect, requests still run there, or a retry isn't due yet."""
    SEND = "send"
    """Acquire the lease if needed and send the next order."""


@dataclass(slots=True, kw_only=True)
class OrderProgress:
    """State of one endpoint's orders, as this instance knows it."""

    out_of_use: bool = False
    """Whether the endpoint is kept out of use for its orders."""
    maybe_listed: bool = True
    """Whether the platform's list may name it; an earlier keeper may have left it there."""
    pending: Order | None = None
    """The last order, while it may still take effect."""
    wait_until: float = 0.0
    """Monotonic time before which no order is sent."""
    rejections: int = 0
    """Consecutive orders that were rejected or not sent."""

    def decide(
        self,
        *,
        reported: Mapping[str, str],
        missing: Mapping[str, str],
        running: int,
        now: float,
    ) -> OrderStep:
        """Return the next step.

        Only one order is pending at a time: the next one waits until the report shows the last
        one's effect, or until that can't take effect any more. Without this, an order whose
        response was lost may take effect after the next one, and the endpoint ends with the older
        version.

        Args:
            reported: Version by model that the endpoint runs.
            missing: Version by model that it has to load.
            running: Requests that run there.
            now: Monotonic time.
        """
        if self.pending is not None:
            done = reported.get(self.pending.model) == self.pending.version
            if not done and now < self.wait_until:
                return OrderStep.WAIT
            self.pending = None
            self.wait_until = 0.0
        if not missing:
            return OrderStep.FINISH if self.out_of_use or self.maybe_listed else OrderStep.NOTHING
        if not self.out_of_use:
            return OrderStep.TAKE_OUT
        return OrderStep.WAIT if running or now < self.wait_until else OrderStep.SEND

    def record(
        self, order: Order, outcome: OrderOutcome, *, now: float, order_time_s: float
    ) -> None:
        """Record the outcome of an order.

        Args:
            order: The order that was sent.
            outcome: What is known of it.
            now: Monotonic time after the response.
            order_time_s: Longest time in seconds in which it can take effect.
        """
        if outcome in (OrderOutcome.TAKEN, OrderOutcome.UNKNOWN):
            self.pending = order
            self.wait_until = now + order_time_s
            self.rejections = 0
            return
        self.rejections += 1
        self.wait_until = now + compute_retry_delay(self.rejections)


def compute_retry_delay(rejections: int) -> float:
    """Return the seconds to wait after this many consecutive rejections."""
    return min(_LONGEST_RETRY_S, _FIRST_RETRY_S * 2.0 ** min(rejections - 1, 10))
