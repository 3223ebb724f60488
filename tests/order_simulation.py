"""Simulation of lease holders that send orders while time passes at every message."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from guavamast.clocks import Clock
from guavamast.fleet import parse_configuration
from guavamast.fleet_objects import Fencing
from guavamast.leases import LeaseHolder, LeaseParameters, PlatformLeaseTable
from guavamast.order_issuer import OrderIssuer
from guavamast.orders import EndpointReport, Order, OrderOutcome, OrderSender
from tests.fake_platform import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.fleet_objects import Configuration, Endpoint
    from guavamast.platform_client import Check, Row, Write

PARAMETERS = LeaseParameters()
FLEET = """\
[class chat]
tier = 1
first_token_ms = 400
token_interval_ms = 30
completion_s = 30
[organisation a]
key_sha256 = {key}
requests_per_second = 1
concurrent = 1
classes = chat:chat
[model m]
version = {version}
"""
ENGINE = """\
[endpoint e{number}]
kind = engine
url = http://127.0.0.1:{port}
failure_domain = d
models = m
slots = 4
fencing = {fencing}
"""


def build_fleet(
    *, engines: int = 1, fencing: Fencing = Fencing.CHECKED, version: str = "2"
) -> Configuration:
    """Return a fleet whose engines have to run one model."""
    parts = [FLEET.format(key="a" * 64, version=version)]
    for number in range(engines):
        parts.append(ENGINE.format(number=number, port=9000 + number, fencing=fencing))
    return parse_configuration("".join(parts), file="f", version=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """An order in transit."""

    at: float
    sent_at: float
    order: Order


class OrderSimulation:
    """Simulated time, the engines and the orders in transit."""

    def __init__(self, *, fencing: Fencing, delays: Iterable[float] = ()) -> None:
        self.now = 1000.0
        self.fencing = fencing
        self.platform = SlowPlatform(self)
        self.delays = deque(delays)
        self.reported: dict[str, dict[str, str]] = {}
        self.seen_fencing: dict[str, int] = {}
        self.arrivals: list[Arrival] = []
        self.effects: list[Arrival] = []

    async def pass_time(self) -> None:
        """Advance by the next delay and let other tasks run."""
        if self.delays:
            self.advance(self.delays.popleft())
        await asyncio.sleep(0)

    def advance(self, seconds: float) -> None:
        """Advance time and apply the orders that are due."""
        self.now += seconds
        due = sorted((a for a in self.arrivals if a.at <= self.now), key=lambda a: a.at)
        self.arrivals = [arrival for arrival in self.arrivals if arrival.at > self.now]
        for arrival in due:
            self.apply_order(arrival)

    def apply_order(self, arrival: Arrival) -> bool:
        """Apply an order, unless the engine rejects its fencing number."""
        order = arrival.order
        last = self.seen_fencing.get(order.endpoint, 0)
        if self.fencing is Fencing.CHECKED and order.fencing < last:
            return False
        self.seen_fencing[order.endpoint] = max(last, order.fencing)
        self.effects.append(arrival)
        self.reported.setdefault(order.endpoint, {})[order.model] = order.version
        return True


class SlowPlatform(FakePlatform):
    """The fake platform, with delays before and after each operation."""

    def __init__(self, simulation: OrderSimulation) -> None:
        super().__init__()
        self.simulation = simulation

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        await self.simulation.pass_time()
        try:
            return await super().transact(checks, writes)
        finally:
            await self.simulation.pass_time()

    async def read(self, table: str, key: str) -> Row:
        await self.simulation.pass_time()
        row = await super().read(table, key)
        await self.simulation.pass_time()
        return row


class HolderClock(Clock):
    """One holder's clock, with its own rate and offset."""

    def __init__(self, simulation: OrderSimulation, *, rate: float, offset: float) -> None:
        self.simulation = simulation
        self.rate = rate
        self.offset = offset

    def read_monotonic(self) -> float:
        return self.simulation.now * self.rate + self.offset

    def read_wall(self) -> float:
        return self.simulation.now

    async def sleep(self, seconds: float) -> None:
        self.simulation.advance(seconds)


class FakeSender(OrderSender):
    """Sends orders into the simulation; each order takes the next fault of ``faults``.

    Faults: ``ok``; ``lost`` (effect, no response); ``limited``; or a number of seconds after which
    the order takes effect, with its response lost.
    """

    def __init__(self, simulation: OrderSimulation) -> None:
        self.simulation = simulation
        self.faults: deque[str | float] = deque()
        self.sent: list[Order] = []

    async def send(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        # No await before this line, so that no time passes between the holder's check and the send.
        assert endpoint.name == order.endpoint
        arrival = Arrival(at=self.simulation.now, sent_at=self.simulation.now, order=order)
        fault = self.faults.popleft() if self.faults else "ok"
        if fault == "limited":
            return OrderOutcome.LIMITED
        self.sent.append(order)
        if isinstance(fault, float):
            self.simulation.arrivals.append(replace(arrival, at=arrival.at + fault))
            await self.simulation.pass_time()
            return OrderOutcome.UNKNOWN
        accepted = self.simulation.apply_order(arrival)
        await self.simulation.pass_time()
        if fault == "lost":
            return OrderOutcome.UNKNOWN
        return OrderOutcome.TAKEN if accepted else OrderOutcome.OLD_FENCING

    async def read_report(self, endpoint: Endpoint) -> EndpointReport | None:
        await self.simulation.pass_time()
        return EndpointReport(models=dict(self.simulation.reported.get(endpoint.name, {})))


class Holder:
    """One instance that sends orders."""

    def __init__(
        self, simulation: OrderSimulation, name: str, *, rate: float = 1.0, offset: float = 0.0
    ) -> None:
        self.simulation = simulation
        self.clock = HolderClock(simulation, rate=rate, offset=offset)
        self.sender = FakeSender(simulation)
        numbers = itertools.count(1)
        self.leases = LeaseHolder(
            table=PlatformLeaseTable(platform=simulation.platform),
            read_time=self.clock.read_monotonic,
            holder=name,
            generate_nonce=lambda: f"{name}-{next(numbers)}",
            parameters=PARAMETERS,
        )
        self.issuer = OrderIssuer(
            platform=simulation.platform,
            leases=self.leases,
            sender=self.sender,
            clock=self.clock,
            parameters=PARAMETERS,
        )

    async def run(
        self, fleet: Configuration, *, steps: int = 1, pause_s: float = 5.0, running: int = 0
    ) -> None:
        """Take steps for every engine, with a pause after each round."""
        for _ in range(steps):
            for endpoint in fleet.endpoints.values():
                await self.issuer.take_step(endpoint, fleet, running=running)
            self.simulation.advance(pause_s)
