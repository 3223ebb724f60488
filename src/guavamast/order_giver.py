"""Gives the orders of the endpoints that one instance keeps, one step at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.orders import Order, OrderOutcome, OrderProgress, OrderStep
from guavamast.platform_client import Check, PlatformAnswerLost, PlatformError, Write
from guavamast.rollouts import DEFAULT_LIMITS, find_missing, find_wanted, may_take_out

if TYPE_CHECKING:
    from guavamast.clocks import Clock
    from guavamast.leases import LeaseHolder, LeaseTerms
    from guavamast.orders import OrderSender
    from guavamast.platform_client import PlatformClient, Row
    from guavamast.rollouts import RolloutLimits
    from guavamast.world import Configuration, Endpoint

ROLLOUT_TABLE: Final = "rollouts"
OUT_KEY: Final = "out"
"""Row that lists the endpoints of the fleet that are out of use for orders."""


class OrderGiver:
    """Brings endpoints to the model versions of the configuration.

    Args:
        platform: Keeps the list of endpoints that are out of use.
        leases: Takes the lease that an order needs.
        sender: Reaches the endpoints.
        clock: Monotonic time.
        terms: The times of leases and orders.
        limits: How fast a rollout may go.
    """

    __slots__ = ("_clock", "_leases", "_limits", "_platform", "_progress", "_sender", "_terms")

    def __init__(
        self,
        *,
        platform: PlatformClient,
        leases: LeaseHolder,
        sender: OrderSender,
        clock: Clock,
        terms: LeaseTerms,
        limits: RolloutLimits = DEFAULT_LIMITS,
    ) -> None:
        self._platform = platform
        self._leases = leases
        self._sender = sender
        self._clock = clock
        self._terms = terms
        self._limits = limits
        self._progress: dict[str, OrderProgress] = {}

    def is_out(self, endpoint: str) -> bool:
        """Return whether the endpoint gets no new work because of its orders."""
        progress = self._progress.get(endpoint)
        return progress is not None and progress.out

    def forget(self, endpoint: str) -> None:
        """Stop giving orders to an endpoint that another instance keeps now."""
        self._progress.pop(endpoint, None)
        self._leases.forget(endpoint)

    async def take_step(
        self, endpoint: Endpoint, configuration: Configuration, *, running: int
    ) -> OrderStep:
        """Read what an endpoint runs and do the next thing, if any.

        Call this every few seconds for each engine that this instance keeps, and never twice at
        the same time for one endpoint. A late order of an earlier holder shows in the report and
        is repaired by the next steps.

        Args:
            endpoint: The engine.
            configuration: The configuration in force.
            running: Requests that run there.

        Returns:
            What was decided.

        Raises:
            PlatformError: The platform is down; nothing was sent.
        """
        report = await self._sender.read_report(endpoint)
        if report is None:
            return OrderStep.WAIT
        missing = find_missing(find_wanted(configuration, endpoint), report.models)
        progress = self._progress.setdefault(endpoint.name, OrderProgress())
        now = self._clock.read_monotonic()
        step = progress.decide(reported=report.models, missing=missing, running=running, now=now)
        if step is OrderStep.TAKE_OUT:
            progress.out = await self._take_out(endpoint, configuration)
        elif step is OrderStep.SEND:
            await self._send(endpoint, progress, missing)
        elif step is OrderStep.FINISH:
            await self._finish(endpoint, progress)
        return step

    async def _send(
        self, endpoint: Endpoint, progress: OrderProgress, missing: dict[str, str]
    ) -> None:
        lease = await self._leases.take(endpoint.name, endpoint.fencing)
        # Taking a lease may have lasted long; find_held reads the clock again.
        if lease is None or self._leases.find_held(endpoint.name) is None:
            return
        model, version = min(missing.items())
        order = Order(endpoint=endpoint.name, fencing=lease.fencing, model=model, version=version)
        outcome = await self._sender.send(endpoint, order)
        now = self._clock.read_monotonic()
        progress.record(order, outcome, now=now, order_time_s=self._terms.order_time_s)
        if outcome is OrderOutcome.OLD_FENCING:
            self._leases.forget(endpoint.name)

    async def _finish(self, endpoint: Endpoint, progress: OrderProgress) -> None:
        """Put an endpoint back into use, also while the platform is down."""
        progress.out = False
        await self._leases.release(endpoint.name)
        row = await self._platform.read(ROLLOUT_TABLE, OUT_KEY)
        out = read_out_row(row)
        if endpoint.name in out:
            await self._write_out(row, out - {endpoint.name})
        else:
            progress.listed = False

    async def _take_out(self, endpoint: Endpoint, configuration: Configuration) -> bool:
        """Return whether the platform's list now names the endpoint, so that it may be out."""
        row = await self._platform.read(ROLLOUT_TABLE, OUT_KEY)
        out = read_out_row(row)
        if endpoint.name in out:
            return True
        if not may_take_out(configuration, endpoint, out=out, limits=self._limits):
            return False
        self._progress[endpoint.name].listed = True
        return await self._write_out(row, out | {endpoint.name})

    async def _write_out(self, row: Row, out: frozenset[str]) -> bool:
        """Return whether the list was written; the next step reads it again if it wasn't."""
        check = Check(table=ROLLOUT_TABLE, key=OUT_KEY, version=row.version)
        write = Write(table=ROLLOUT_TABLE, key=OUT_KEY, value={"endpoints": sorted(out)})
        try:
            await self._platform.transact([check], [write])
        except (PlatformError, PlatformAnswerLost):
            return False
        return True


def read_out_row(row: Row) -> frozenset[str]:
    """Return the endpoints that the platform's list names."""
    return frozenset((row.value or {}).get("endpoints", []))
