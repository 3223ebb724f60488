"""Cost of a non-idempotent call against an idempotent one, with and without group commit.

Run with ``python -m bench.operation_cost``. The stand-ins of platform and service run in a separate
process; this process is one entry. Calls are evenly spaced at a fixed rate and do not wait for
earlier calls to end (open loop).
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
"""Delay that the platform adds to each request."""
DEADLINE_S: Final = 30.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Mode:
    """Kind of call and whether its writes use group commit."""

    name: str
    idempotent: bool
    group_commit: bool


MODES: Final = (
    Mode(name="idempotent", idempotent=True, group_commit=False),
    Mode(name="once, alone", idempotent=False, group_commit=False),
    Mode(name="once, grouped", idempotent=False, group_commit=True),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class StandinAddresses:
    """Addresses of the stand-ins."""

    platform: str
    service: str


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformCounts:
    """Counters of the platform since its start."""

    transactions: int
    rows_written: int


class FreeEndpoint(SlotSource, SlotGrant, SendGate, RetryPolicy):
    """An endpoint that is always free, so that only the cost of the call is measured."""

    def __init__(self, url: str) -> None:
        self._endpoint = Endpoint(
            name="s", kind=EndpointKind.SERVICE, url=url, failure_domain="d", slots=1
        )

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint."""
        return self._endpoint

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Grant the slot immediately."""
        del call, excluded
        return self

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:
        """Do nothing."""

    def is_open(self, endpoint: Endpoint) -> bool:  # noqa: ARG002
        """Return True: sending is always allowed."""
        return True

    def record_success(self, call: ServiceCall) -> None:
        """Do nothing."""

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        """Return None: calls are not retried."""
        return None


def build_calls(addresses: StandinAddresses, mode: Mode, pauses: PauseDetector) -> ServiceCalls:
    """Return the component that makes the calls of one entry."""
    clock = SystemClock()
    url = addresses.platform
    client: PlatformClient = HttpPlatformClient(tables_url=url, objects_url=url)
    if mode.group_commit:
        client = GroupCommit(client=client, clock=clock)
    endpoint = FreeEndpoint(addresses.service)
    return ServiceCalls(
        store=OperationStore(client=client, clock=clock),
        slots=endpoint,
        sender=HttpEndpointSender(),
        gate=endpoint,
        pauses=pauses,
        retries=endpoint,
        clock=clock,
    )


async def run_call(calls: ServiceCalls, mode: Mode, key: str) -> float:
    """Make one call and return its duration in seconds."""
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


async def read_counts(addresses: StandinAddresses) -> PlatformCounts:
    """Return the counters of the platform."""
    response = await fetch_once(HTTPRequest(f"{addresses.platform}/counts"))
    return PlatformCounts(**json.loads(response.body))


async def measure(addresses: StandinAddresses, mode: Mode, rate: float, run: int) -> str:
    """Make calls at a rate and return a row of the table."""
    pauses = PauseDetector(now=time.monotonic())
    heartbeats = asyncio.ensure_future(record_heartbeats(pauses))
    calls = build_calls(addresses, mode, pauses)
    before, cpu_before = await read_counts(addresses), time.process_time()
    tasks = []
    started = time.monotonic()
    for number in range(CALLS[rate]):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        tasks.append(asyncio.ensure_future(run_call(calls, mode, f"{run}-{number}")))
    durations_s = sorted(await asyncio.gather(*tasks))
    cpu_s = time.process_time() - cpu_before
    after = await read_counts(addresses)
    heartbeats.cancel()
    count = len(durations_s)
    return (
        f"| {mode.name} | {rate:.0f} | {count} | {1e3 * durations_s[count // 2]:.1f} "
        f"| {1e3 * durations_s[int(count * 0.95)]:.1f} "
        f"| {(after.transactions - before.transactions) / count:.2f} "
        f"| {(after.rows_written - before.rows_written) / count:.2f} | {1e3 * cpu_s / count:.2f} |"
    )


async def record_heartbeats(pauses: PauseDetector) -> None:
    """Record heartbeats of the event loop until cancelled, so that sends stay allowed."""
    while True:
        pauses.tick(now=time.monotonic())
        await asyncio.sleep(TICK_INTERVAL_S)


async def measure_all(addresses: StandinAddresses) -> None:
    """Print the table."""
    run = 0
    for delay_s in PLATFORM_DELAYS_S:
        body = json.dumps({"kind": "slow", "delay_s": delay_s}).encode()
        await fetch_once(HTTPRequest(f"{addresses.platform}/fault", method="POST", body=body))
        print(f"\nPlatform's own time {1e3 * delay_s:.0f} ms a request\n")
        print("| calls | a second | measured | p50 ms | p95 ms | transactions | rows | CPU ms |")
        print("|---|---|---|---|---|---|---|---|")
        for rate in RATES_PER_S:
            for mode in MODES:
                run += 1
                print(await measure(addresses, mode, rate, run), flush=True)


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
        addresses = StandinAddresses(**json.loads(process.stdout.readline()))
        asyncio.run(measure_all(addresses))
        process.stdin.close()


if __name__ == "__main__":
    main()
