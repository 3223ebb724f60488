"""The loop that gives the orders of the endpoints that an instance keeps."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, Final

from guavamast.errors import GuavamastError
from guavamast.log import get_logger
from guavamast.orders import OrderStep
from guavamast.world import EndpointKind

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.order_giver import OrderGiver
    from guavamast.world import Configuration, Endpoint

ORDER_INTERVAL_S: Final = 5.0
"""Time between two looks at each kept engine's report while all run what they should."""
BUSY_INTERVAL_S: Final = 1.0
"""The same while an engine is out of use: each second of it costs capacity."""


class KeptEndpoints(ABC):
    """The endpoints of one dispatcher, as the order loop uses them."""

    @abstractmethod
    def read_configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""

    @abstractmethod
    def list_kept(self) -> list[Endpoint]:
        """Return the endpoints that this instance keeps by its view of the members."""

    @abstractmethod
    def count_running(self, endpoint: str) -> int:
        """Return the requests that hold a slot of an endpoint."""

    @abstractmethod
    def hold(self, endpoint: str, *, out: bool) -> None:
        """Stop granting slots of an endpoint, or go on; the same again is harmless."""


class OrderLoop:
    """Takes one step for each kept engine at a time, for ever.

    Args:
        giver: Decides and sends.
        kept: The dispatcher's endpoints.
        clock: Waits between rounds.
    """

    __slots__ = ("_clock", "_giver", "_kept", "_known")

    def __init__(self, *, giver: OrderGiver, kept: KeptEndpoints, clock: Clock) -> None:
        self._giver = giver
        self._kept = kept
        self._clock = clock
        self._known: set[str] = set()

    async def run(self) -> None:
        """Go round until cancelled."""
        while True:
            busy = await self.go_round()
            await self._clock.sleep(BUSY_INTERVAL_S if busy else ORDER_INTERVAL_S)

    async def go_round(self) -> bool:
        """Take one step for each kept engine, all at the same time.

        Failure: engines that don't answer, 5 s each, hold up the loading of all others when they
        are asked one after the other. The limits hold all the same, as each engine is taken out by
        compare-and-set on one row.

        Returns:
            Whether an engine is out of use for its orders.
        """
        configuration = self._kept.read_configuration()
        engines = [item for item in self._kept.list_kept() if item.kind is EndpointKind.ENGINE]
        self._let_go(self._known - {engine.name for engine in engines})
        self._known.update(engine.name for engine in engines)
        await asyncio.gather(*(self._take_step(engine, configuration) for engine in engines))
        return any(self._giver.is_out(engine.name) for engine in engines)

    async def _take_step(self, engine: Endpoint, configuration: Configuration) -> None:
        running = self._kept.count_running(engine.name)
        try:
            step = await self._giver.take_step(engine, configuration, running=running)
        except GuavamastError as error:
            get_logger().info("orders of %s wait: %s", engine.name, error)
        else:
            if step not in (OrderStep.NOTHING, OrderStep.WAIT):
                get_logger().info("orders of %s: %s", engine.name, step)
        # Also after an error: a loaded endpoint goes back into use while the platform is down.
        self._kept.hold(engine.name, out=self._giver.is_out(engine.name))

    def _let_go(self, names: set[str]) -> None:
        for name in names:
            self._giver.forget(name)
            self._kept.hold(name, out=False)
            self._known.discard(name)
