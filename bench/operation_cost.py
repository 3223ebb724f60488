"""Cost of a non-idempotent call against an idempotent one, with and without group commit.

Run as ``python -m bench.operation_cost``. The stand-ins of platform and service run in a process of
their own; this process is one entry. Calls come evenly spaced at a fixed rate, whether or not the
earlier ones have ended.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tornado.httpclient import HTTPRequest

from guavamast.at_most_once_fetch import fetch_once
from guavamast.clocks import SystemClock
from guavamast.endpoint_sender import HttpEndpointSender
from guavamast.fleet_objects import CallRule, Endpoint, EndpointKind
from guavamast.group_commit import GroupCommit
from guavamast.operation_store import OperationStore
from guavamast.platform_http import HttpPlatformClient
from guavamast.send_gates import TICK_INTERVAL_S, PauseDetector, SendGate
from guavamast.service_calls import RetryPolicy, ServiceCall, ServiceCalls, SlotGrant, SlotSource
from guavamast.standins.faults import Fault
from guavamast.standins.platform import PlatformStandin
from guavamast.standins.service import ServiceStandin

if TYPE_CHECKING:
    from guavamast.platform_client import PlatformClient

RATES_PER_S: Final = (1.0, 10.0, 100.0)
CALLS: Final = {1.0: 20, 10.0: 100, 100.0: 1000}
"""Calls measured at each rate."""
PLATFORM_DELAYS_S: Final = (0.0, 0.005)
"""Time the platform takes for each request besides its own work."""
DEADLINE_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Mode:
    """One way to make the calls."""

    name: str
    idempotent: bool
    group: bool


MODES: Final = (
    Mode(name="idempotent", idempotent=True, group=False),
    Mode(name="once, alone", idempotent=False, group=False),
    Mode(name="once, grouped", idempotent=False, group=True),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Surroundings:
    """Addresses of the stand-ins."""

    platform: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """What the platform has taken since its start."""

    transactions: int
    rows_written: int


class OneEndpoint(SlotSource, SlotGrant, SendGate, RetryPolicy):
    """An endpoint that is always free, so that only the call's own cost shows."""

    def __init__(self, url: str) -> None:
        self._endpoint = Endpoint(
            name="s", kind=EndpointKind.SERVICE, url=url, failure_domain="d", slots=1
        )

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint."""
        return self._endpoint

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Grant at once."""
        del call, excluded
        return self

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:
        """Do nothing."""

    def is_open(self, endpoint: Endpoint) -> bool:  # noqa: ARG002
        """Return that it is open."""
        return True

    def record_success(self, call: ServiceCall) -> None:
        """Do nothing."""

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        """Return that there is no retry."""
        return None


def make_calls(surroundings: Surroundings, mode: Mode, pauses: PauseDetector) -> ServiceCalls:
    """Return the calls of one entry."""
    clock = SystemClock()
    url = surroundings.platform
    client: PlatformClient = HttpPlatformClient(tables_url=url, objects_url=url)
    if mode.group:
        client = GroupCommit(client=client, clock=clock)
    endpoint = OneEndpoint(surroundings.service)
    return ServiceCalls(
        store=OperationStore(client=client, clock=clock),
        slots=endpoint,
        sender=HttpEndpointSender(),
        gate=endpoint,
        pauses=pauses,
        retries=endpoint,
        clock=clock,
    )


async def make_call(calls: ServiceCalls, mode: Mode, key: str) -> float:
    """Make one call and return the seconds it took."""
    rule = CallRule(service="ledger", call="settle", idempotent=mode.idempotent, timeout_s=10.0)
    started = time.monotonic()
    call = ServiceCall(
        request_id=key,
        organisation="acme",
        rule=rule,
        body=b'{"amount": 100}',
        content_type="application/json",
        idempotency_key="" if mode.idempotent else key,
        class_name="counter",
        tier=1,
        deadline=started + DEADLINE_S,
    )
    await calls.run(call)
    return time.monotonic() - started


async def read_counts(surroundings: Surroundings) -> Counts:
    """Return what the platform has counted."""
    answer = await fetch_once(HTTPRequest(f"{surroundings.platform}/counts"))
    return Counts(**json.loads(answer.body))


async def measure(surroundings: Surroundings, mode: Mode, rate: float, run: int) -> str:
    """Make calls at a rate and return a line of the table."""
    pauses = PauseDetector(now=time.monotonic())
    beats = asyncio.ensure_future(beat(pauses))
    calls = make_calls(surroundings, mode, pauses)
    before, cpu_before = await read_counts(surroundings), time.process_time()
    tasks = []
    started = time.monotonic()
    for number in range(CALLS[rate]):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        tasks.append(asyncio.ensure_future(make_call(calls, mode, f"{run}-{number}")))
    took = sorted(await asyncio.gather(*tasks))
    cpu_s = time.process_time() - cpu_before
    after = await read_counts(surroundings)
    beats.cancel()
    count = len(took)
    return (
        f"| {mode.name} | {rate:.0f} | {count} | {1e3 * took[count // 2]:.1f} "
        f"| {1e3 * took[int(count * 0.95)]:.1f} "
        f"| {(after.transactions - before.transactions) / count:.2f} "
        f"| {(after.rows_written - before.rows_written) / count:.2f} | {1e3 * cpu_s / count:.2f} |"
    )


async def beat(pauses: PauseDetector) -> None:
    """Show that the loop runs."""
    while True:
        pauses.tick(now=time.monotonic())
        await asyncio.sleep(TICK_INTERVAL_S)


async def measure_all(surroundings: Surroundings) -> None:
    """Print the table."""
    run = 0
    for delay_s in PLATFORM_DELAYS_S:
        body = json.dumps({"kind": "slow", "delay_s": delay_s}).encode()
        await fetch_once(HTTPRequest(f"{surroundings.platform}/fault", method="POST", body=body))
        print(f"\nPlatform's own time {1e3 * delay_s:.0f} ms a request\n")
        print("| calls | a second | measured | p50 ms | p95 ms | transactions | rows | CPU ms |")
        print("|---|---|---|---|---|---|---|---|")
        for rate in RATES_PER_S:
            for mode in MODES:
                run += 1
                print(await measure(surroundings, mode, rate, run), flush=True)


async def serve_standins() -> None:
    """Serve platform and service until standard input closes, and print their addresses."""
    platform, service = PlatformStandin(), ServiceStandin()
    platform.fault = Fault()
    platform.start()
    service.start()
    print(json.dumps({"platform": platform.url, "service": service.url}), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


def main() -> None:
    """Start the stand-ins and measure."""
    if sys.argv[1:] == ["standins"]:
        asyncio.run(serve_standins())
        return
    command = [sys.executable, "-m", "bench.operation_cost", "standins"]
    with subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process:
        surroundings = Surroundings(**json.loads(process.stdout.readline()))
        asyncio.run(measure_all(surroundings))
        process.stdin.close()


if __name__ == "__main__":
    main()
