"""Issues orders to the endpoints that one instance keeps, one step at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.fleet_objects import Fencing
from guavamast.orders import Order, OrderOutcome, OrderProgress, OrderStep
from guavamast.platform_client import Check, PlatformAnswerLost, PlatformError, Write
from guavamast.rollouts import (
    DEFAULT_LIMITS,
    list_models_to_load,
    list_target_versions,
    may_take_out,
)

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.leases import LeaseHolder, LeaseParameters
    from guavamast.orders import OrderSender
    from guavamast.platform_client import PlatformClient, Row
    from guavamast.rollouts import RolloutLimits

ROLLOUT_TABLE: Final = "rollouts"
OUT_OF_USE_KEY: Final = "out"
"""Key of the row that lists the fleet's endpoints that are out of use for orders."""


class OrderIssuer:
    """Brings endpoints to the model versions of the configuration.

    Args:
        platform: Stores the list of endpoints that are out of use.
        leases: Acquires the lease that an order needs.
        sender: Sends orders and reads the endpoints' reports.
        clock: Monotonic time.
        parameters: Durations of leases and orders.
        limits: How many endpoints may be out of use at the same time.
    """

    __slots__ = ("_clock", "_leases", "_limits", "_platform", "_progress", "_sender", "_parameters")

    def __init__(
        self,
        *,
        platform: PlatformClient,
        leases: LeaseHolder,
        sender: OrderSender,
        clock: Clock,
        parameters: LeaseParameters,
        limits: RolloutLimits = DEFAULT_LIMITS,
    ) -> None:
        self._platform = platform
        self._leases = leases
        self._sender = sender
        self._clock = clock
        self._parameters = parameters
        self._limits = limits
        self._progress: dict[str, OrderProgress] = {}

    def is_out_of_use(self, endpoint: str) -> bool:
        """Return whether the endpoint gets no new work because of its orders."""
        progress = self._progress.get(endpoint)
        return progress is not None and progress.out_of_use

    def forget(self, endpoint: str) -> None:
        """Stop issuing orders to an endpoint that another instance keeps now."""
        self._progress.pop(endpoint, None)
        self._leases.forget(endpoint)

    async def take_step(
        self, endpoint: Endpoint, configuration: Configuration, *, running: int
    ) -> OrderStep:
        """Read what an endpoint runs and take the next step, if any.

        Call this every few seconds for each engine that this instance keeps, and never
        concurrently for one endpoint. The effect of a late order from an earlier lease holder
        shows in the report, and the next steps repair it.

        Args:
            endpoint: The engine.
            configuration: The configuration in force.
            running: Requests that run there.

        Returns:
            The step that was decided on.

        Raises:
            PlatformError: The platform is down; nothing was sent.
        """
        report = await self._sender.read_report(endpoint)
        if report is None:
            return OrderStep.WAIT
        missing = list_models_to_load(list_target_versions(configuration, endpoint), report.models)
        progress = self._progress.setdefault(endpoint.name, OrderProgress())
        now = self._clock.read_monotonic()
        step = progress.decide(reported=report.models, missing=missing, running=running, now=now)
        if step is OrderStep.TAKE_OUT:
            progress.out_of_use = await self._take_out(endpoint, configuration)
        elif step is OrderStep.SEND:
            await self._send(endpoint, progress, missing)
        elif step is OrderStep.FINISH:
            await self._finish(endpoint, progress)
        return step

    async def _send(
        self, endpoint: Endpoint, progress: OrderProgress, missing: dict[str, str]
    ) -> None:
        fenced = endpoint.fencing is Fencing.CHECKED
        lease = await self._leases.acquire(endpoint.name, fenced=fenced)
        # Acquiring the lease may have taken long; get_valid reads the clock again.
        if lease is None or self._leases.get_valid(endpoint.name) is None:
            return
        model, version = min(missing.items())
        order = Order(endpoint=endpoint.name, fencing=lease.fencing, model=model, version=version)
        outcome = await self._sender.send(endpoint, order)
        now = self._clock.read_monotonic()
        progress.record(order, outcome, now=now, order_time_s=self._parameters.order_time_s)
        if outcome is OrderOutcome.OLD_FENCING:
            self._leases.forget(endpoint.name)

    async def _finish(self, endpoint: Endpoint, progress: OrderProgress) -> None:
        """Put an endpoint back into use, also while the platform is down."""
        progress.out_of_use = False
        await self._leases.release(endpoint.name)
        row = await self._platform.read(ROLLOUT_TABLE, OUT_OF_USE_KEY)
        out_of_use = decode_out_of_use(row)
        if endpoint.name in out_of_use:
            await self._write_out_of_use(row, out_of_use - {endpoint.name})
        else:
            progress.maybe_listed = False

    async def _take_out(self, endpoint: Endpoint, configuration: Configuration) -> bool:
        """List the endpoint as out of use if the limits allow it; return whether it is listed."""
        row = await self._platform.read(ROLLOUT_TABLE, OUT_OF_USE_KEY)
        out_of_use = decode_out_of_use(row)
        if endpoint.name in out_of_use:
            return True
        if not may_take_out(configuration, endpoint, out=out_of_use, limits=self._limits):
            return False
        self._progress[endpoint.name].maybe_listed = True
        return await self._write_out_of_use(row, out_of_use | {endpoint.name})

    async def _write_out_of_use(self, row: Row, out_of_use: frozenset[str]) -> bool:
        """Return whether the list was written; if not, the next step reads it again."""
        check = Check(table=ROLLOUT_TABLE, key=OUT_OF_USE_KEY, version=row.version)
        write = Write(
            table=ROLLOUT_TABLE, key=OUT_OF_USE_KEY, value={"endpoints": sorted(out_of_use)}
        )
        try:
            await self._platform.transact([check], [write])
        except (PlatformError, PlatformAnswerLost):
            return False
        return True


def decode_out_of_use(row: Row) -> frozenset[str]:
    """Return the endpoints that the platform's list names."""
    return frozenset((row.value or {}).get("endpoints", []))
