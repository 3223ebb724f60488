"""A small world in which holders give orders while time passes at every message."""

from __future__ import annotations

import asyncio
import itertools
from collections import deque
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from guavamast.clocks import Clock
from guavamast.fleet import parse_configuration
from guavamast.leases import LeaseHolder, LeaseTerms
from guavamast.order_giver import OrderGiver
from guavamast.orders import EndpointReport, Order, OrderOutcome, OrderSender
from guavamast.world import Fencing
from tests.fake_platform import FakePlatform

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.platform_client import Check, Row, Write
    from guavamast.world import Configuration, Endpoint

TERMS = LeaseTerms()
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


def make_fleet(
    *, engines: int = 1, fencing: Fencing = Fencing.CHECKED, version: str = "2"
) -> Configuration:
    """Return a fleet whose engines are to run one model."""
    parts = [FLEET.format(key="a" * 64, version=version)]
    for number in range(engines):
        parts.append(ENGINE.format(number=number, port=9000 + number, fencing=fencing))
    return parse_configuration("".join(parts), file="f", version=1)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """An order on its way."""

    at: float
    sent_at: float
    order: Order


class World:
    """True time, the engines and the orders on their way."""

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
        """Let the next drawn time pass and others run."""
        if self.delays:
            self.advance(self.delays.popleft())
        await asyncio.sleep(0)

    def advance(self, seconds: float) -> None:
        """Let time pass and the orders that are due take effect."""
        self.now += seconds
        due = sorted((a for a in self.arrivals if a.at <= self.now), key=lambda a: a.at)
        self.arrivals = [arrival for arrival in self.arrivals if arrival.at > self.now]
        for arrival in due:
            self.take_effect(arrival)

    def take_effect(self, arrival: Arrival) -> bool:
        """Apply an order, unless the engine refuses its number."""
        order = arrival.order
        last = self.seen_fencing.get(order.endpoint, 0)
        if self.fencing is Fencing.CHECKED and order.fencing < last:
            return False
        self.seen_fencing[order.endpoint] = max(last, order.fencing)
        self.effects.append(arrival)
        self.reported.setdefault(order.endpoint, {})[order.model] = order.version
        return True


class SlowPlatform(FakePlatform):
    """The fake platform, with time passing before and after each effect."""

    def __init__(self, world: World) -> None:
        super().__init__()
        self.world = world

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        await self.world.pass_time()
        try:
            return await super().transact(checks, writes)
        finally:
            await self.world.pass_time()

    async def read(self, table: str, key: str) -> Row:
        await self.world.pass_time()
        row = await super().read(table, key)
        await self.world.pass_time()
        return row


class HolderClock(Clock):
    """One holder's clock, at its own rate and offset."""

    def __init__(self, world: World, *, rate: float, offset: float) -> None:
        self.world = world
        self.rate = rate
        self.offset = offset

    def read_monotonic(self) -> float:
        return self.world.now * self.rate + self.offset

    def read_wall(self) -> float:
        return self.world.now

    async def sleep(self, seconds: float) -> None:
        self.world.advance(seconds)


class FakeSender(OrderSender):
    """Sends into the world; each order takes the next fate of ``fates``.

    Fates: ``ok``; ``lost`` (effect, no answer); ``limited``; or a number of seconds after which
    the order takes effect, its answer being lost.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.fates: deque[str | float] = deque()
        self.sent: list[Order] = []

    async def send(self, endpoint: Endpoint, order: Order) -> OrderOutcome:
        # No await before this line: the sending begins in the moment of the holder's last check.
        assert endpoint.name == order.endpoint
        arrival = Arrival(at=self.world.now, sent_at=self.world.now, order=order)
        fate = self.fates.popleft() if self.fates else "ok"
        if fate == "limited":
            return OrderOutcome.LIMITED
        self.sent.append(order)
        if isinstance(fate, float):
            self.world.arrivals.append(replace(arrival, at=arrival.at + fate))
            await self.world.pass_time()
            return OrderOutcome.UNKNOWN
        taken = self.world.take_effect(arrival)
        await self.world.pass_time()
        if fate == "lost":
            return OrderOutcome.UNKNOWN
        return OrderOutcome.TAKEN if taken else OrderOutcome.OLD_FENCING

    async def read_report(self, endpoint: Endpoint) -> EndpointReport | None:
        await self.world.pass_time()
        return EndpointReport(models=dict(self.world.reported.get(endpoint.name, {})))


class Holder:
    """One instance that gives orders."""

    def __init__(self, world: World, name: str, *, rate: float = 1.0, offset: float = 0.0) -> None:
        self.world = world
        self.clock = HolderClock(world, rate=rate, offset=offset)
        self.sender = FakeSender(world)
        numbers = itertools.count(1)
        self.leases = LeaseHolder(
            platform=world.platform,
            clock=self.clock,
            holder=name,
            make_nonce=lambda: f"{name}-{next(numbers)}",
            terms=TERMS,
        )
        self.giver = OrderGiver(
            platform=world.platform,
            leases=self.leases,
            sender=self.sender,
            clock=self.clock,
            terms=TERMS,
        )

    async def run(
        self, fleet: Configuration, *, steps: int = 1, pause_s: float = 5.0, running: int = 0
    ) -> None:
        """Take steps for every engine with time between them."""
        for _ in range(steps):
            for endpoint in fleet.endpoints.values():
                await self.giver.take_step(endpoint, fleet, running=running)
            self.world.advance(pause_s)
