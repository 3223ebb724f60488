"""Orders to endpoints: typed messages and the decision what to do next for one endpoint."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.world import Endpoint

_FIRST_RETRY_S: Final = 5.0
"""Wait after a first refusal; it doubles with each further one."""
_LONGEST_RETRY_S: Final = 300.0


class OrderOutcome(StrEnum):
    """What is known after an order was sent."""

    TAKEN = "taken"
    """The endpoint began it; its report shows when it is done."""
    OLD_FENCING = "old_fencing"
    """The endpoint has seen a greater number: another instance took over."""
    LIMITED = "limited"
    """The endpoint or the weight store refused for now; nothing changes."""
    UNKNOWN = "unknown"
    """It may take effect within the longest order time."""
    NOT_SENT = "not_sent"
    """No byte of it left."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Load one version of a model."""

    endpoint: str
    fencing: int
    model: str
    version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReport:
    """What an endpoint says that it runs."""

    models: Mapping[str, str]
    """Version by model."""


class OrderSender(ABC):
    """Reaches endpoints."""

    @abstractmethod
    async def send(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        """Send an order at most once and return what is known of it."""

    @abstractmethod
    async def read_report(self, endpoint: Endpoint) -> EndpointReport | None:
        """Return what the endpoint runs, or None when it can't be reached."""


class OrderStep(StrEnum):
    """What to do next for an endpoint."""

    NOTHING = "nothing"
    """It runs what it should, and nothing is left behind."""
    FINISH = "finish"
    """It runs what it should: put it back into use and take it off the list."""
    TAKE_OUT = "take_out"
    """It needs an order: see that it gets no new work, as the limits allow."""
    WAIT = "wait"
    """An order may still take effect, or it refused for now."""
    SEND = "send"
    """Take the lease if needed and send the next order."""


@dataclass(slots=True, kw_only=True)
class OrderProgress:
    """One endpoint's orders as this instance knows them."""

    out: bool = False
    """Whether the endpoint is kept out of use for its orders."""
    listed: bool = True
    """Whether the platform's list may name it as out; an earlier keeper may have left it there."""
    sent: Order | None = None
    """The last order that may still take effect."""
    wait_until: float = 0.0
    """Monotonic time before which no order is sent."""
    refusals: int = 0
    """Refusals in a row."""

    def decide(
        self,
        *,
        reported: Mapping[str, str],
        missing: Mapping[str, str],
        running: int,
        now: float,
    ) -> OrderStep:
        """Return the next step.

        Failure: an order whose answer was lost takes effect after the next one, and the endpoint
        ends with the older version. One order at a time: the next one waits until the report
        shows the last one's effect, or until it can't take effect any more.

        Args:
            reported: Version by model that the endpoint runs.
            missing: Version by model that it has to load.
            running: Requests that run there.
            now: Monotonic time.
        """
        if self.sent is not None:
            done = reported.get(self.sent.model) == self.sent.version
            if not done and now < self.wait_until:
                return OrderStep.WAIT
            self.sent = None
            self.wait_until = 0.0
        if not missing:
            return OrderStep.FINISH if self.out or self.listed else OrderStep.NOTHING
        if not self.out:
            return OrderStep.TAKE_OUT
        return OrderStep.WAIT if running or now < self.wait_until else OrderStep.SEND

    def record(
        self, order: Order, outcome: OrderOutcome, *, now: float, order_time_s: float
    ) -> None:
        """Take in what became of an order.

        Args:
            order: The order.
            outcome: What is known of it.
            now: Monotonic time after the answer.
            order_time_s: Longest time in which it can take effect.
        """
        if outcome in (OrderOutcome.TAKEN, OrderOutcome.UNKNOWN):
            self.sent = order
            self.wait_until = now + order_time_s
            self.refusals = 0
            return
        self.refusals += 1
        self.wait_until = now + compute_retry_wait(self.refusals)


def compute_retry_wait(refusals: int) -> float:
    """Return the wait after so many refusals in a row."""
    return min(_LONGEST_RETRY_S, _FIRST_RETRY_S * 2.0 ** min(refusals - 1, 10))
