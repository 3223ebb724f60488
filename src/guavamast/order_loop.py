"""The loop that issues orders to the endpoints that an instance keeps."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from guavamast.errors import GuavamastError
from guavamast.fleet_objects import EndpointKind
from guavamast.log import get_logger
from guavamast.orders import OrderStep

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.order_issuer import OrderIssuer

ORDER_INTERVAL_S: Final = 5.0
"""Interval between reads of each kept engine's report while all run the wanted versions."""
BUSY_INTERVAL_S: Final = 1.0
"""The interval while an engine is out of use, as each second of that costs capacity."""


class KeptEndpoints(ABC):
    """The endpoints that one dispatcher keeps, as the order loop uses them."""

    @abstractmethod
    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""

    @abstractmethod
    def list_kept(self) -> list[Endpoint]:
        """Return the endpoints that this instance keeps according to its membership view."""

    @abstractmethod
    def count_running(self, endpoint: str) -> int:
        """Return the number of requests that hold a slot of an endpoint."""

    @abstractmethod
    def set_out_of_use(self, endpoint: str, *, out: bool) -> None:
        """Stop or resume granting slots of an endpoint; idempotent."""


class OrderLoop:
    """Periodically takes one step for each kept engine.

    Args:
        issuer: Decides on steps and sends orders.
        kept: The endpoints that the dispatcher keeps.
        clock: Waits between rounds.
    """

    __slots__ = ("_clock", "_giver", "_kept", "_previous")

    def __init__(self, *, issuer: OrderIssuer, kept: KeptEndpoints, clock: Clock) -> None:
        self._giver = issuer
        self._kept = kept
        self._clock = clock
        self._previous: set[str] = set()

    async def run(self) -> None:
        """Run rounds until cancelled."""
        while True:
            busy = await self.run_round()
            await self._clock.sleep(BUSY_INTERVAL_S if busy else ORDER_INTERVAL_S)

    async def run_round(self) -> bool:
        """Take one step for each kept engine, all of them concurrently.

        One after another, each engine that doesn't respond would delay the loading of all others
        by 5 s. The limits still hold, as each engine is taken out of use by compare-and-set on one
        row.

        Returns:
            Whether an engine is out of use for its orders.
        """
        configuration = self._kept.read_configuration()
        engines = [item for item in self._kept.list_kept() if item.kind is EndpointKind.ENGINE]
        self._release(self._previous - {engine.name for engine in engines})
        self._previous.update(engine.name for engine in engines)
        await asyncio.gather(*(self._take_step(engine, configuration) for engine in engines))
        return any(self._giver.is_out_of_use(engine.name) for engine in engines)

    async def _take_step(self, engine: Endpoint, configuration: Configuration) -> None:
        running = self._kept.count_running(engine.name)
        try:
            step = await self._giver.take_step(engine, configuration, running=running)
        except GuavamastError as error:
            get_logger().info("orders to %s are delayed: %s", engine.name, error)
        else:
            if step not in (OrderStep.NOTHING, OrderStep.WAIT):
                get_logger().info("orders to %s: decided on step %s", engine.name, step)
        # Also after an error, so that a loaded endpoint is used again while the platform is down.
        self._kept.set_out_of_use(engine.name, out=self._giver.is_out_of_use(engine.name))

    def _release(self, names: set[str]) -> None:
        for name in names:
            self._giver.forget(name)
            self._kept.set_out_of_use(name, out=False)
            self._previous.discard(name)
