"""Processor time of an entry's decisions by the size of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from time import process_time
from typing import TYPE_CHECKING, Final

from guavamast.allotments import AllotmentAsk, AllotmentDispatcher
from guavamast.fleet_objects import (
    Configuration,
    Contract,
    Endpoint,
    EndpointKind,
    FailureDomain,
    Instance,
    Organisation,
)
from guavamast.members import MembershipView
from guavamast.placement import EndpointChooser, EndpointRequirements
from guavamast.slots import Probe

if TYPE_CHECKING:
    from collections.abc import Callable

SIZES: Final = (10, 30, 100, 300, 710)
ENTRY_SIZES: Final = (14, 50, 150, 350)
CALLS: Final = 20_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Cost:
    """Processor time of one kind of decision at one size."""

    size: int
    median_us: float
    p99_us: float
    mean_us: float


def measure(size: int, action: Callable[[int], None]) -> Cost:
    """Return the processor time of an action, which is passed the number of the call."""
    times = []
    for number in range(CALLS):
        start = process_time()
        action(number)
        times.append(process_time() - start)
    times.sort()
    return Cost(
        size=size,
        median_us=times[CALLS // 2] * 1e6,
        p99_us=times[CALLS * 99 // 100] * 1e6,
        mean_us=sum(times) / CALLS * 1e6,
    )


def measure_choose(size: int) -> Cost:
    """Return the cost of choosing among ``size`` endpoints; each prompt has a new prefix."""
    instance = Instance(
        name="i",
        failure_domain=FailureDomain(name="a", region="r"),
        caller_address="",
        peer_address="",
    )
    endpoints = {
        f"e{number}": Endpoint(
            name=f"e{number}",
            kind=EndpointKind.ENGINE,
            url="",
            failure_domain="a",
            slots=8,
            models=frozenset({"m"}),
        )
        for number in range(size)
    }
    chooser = EndpointChooser(instance=instance, seed=1)
    chooser.configure(Configuration(version=1, endpoints=endpoints), MembershipView(members=()))

    def choose(number: int) -> None:
        now = number / 20
        wanted = EndpointRequirements(tier=1, model="m", prefix_key=f"p{number}", prompt_tokens=500)
        name = chooser.choose(wanted, now=now)[0]
        probe = Probe(
            endpoint=name, in_flight=1, queued=0, estimated_wait_s=0.0, lowest_tier=1, slots=8
        )
        chooser.record_probe(probe, now=now)

    return measure(size, choose)


def measure_allotment(size: int) -> Cost:
    """Return the cost of one allotment by a dispatcher to one of ``size`` entries."""
    dispatcher = AllotmentDispatcher()
    contract = Contract(requests_per_second=500.0, concurrent=2000, classes={})
    organisation = Organisation(name="o", key_sha256="", contract=contract)

    def answer(number: int) -> None:
        ask = AllotmentAsk(
            organisation="o",
            entry=f"i{number % size}",
            sequence=number,
            rate_wanted=3.0,
            concurrent_wanted=8,
            tokens_wanted=1,
        )
        dispatcher.ask(ask, organisation, now=number / 20)

    return measure(size, answer)
