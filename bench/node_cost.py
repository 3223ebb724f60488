"""Processor time and memory of one instance of the relay by the size of the fleet.

One real process runs against the stand-ins of the platform. The rest of the fleet is simulated: the
process receives the datagrams that a real fleet sends. Run by ``python -m bench.node_cost``.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import sys
import tempfile
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from bench.simulated_fleet import SimulatedFleet
from bench.tables import print_head, print_row
from guavamast.platform.demo import send_request, wait_ready
from guavamast.platform.settings import decode_settings
from guavamast.platform.standins.site import LOOKUP_PREFIX, RESUMABLE_PREFIX, Site, write_settings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.node_settings import NodeSettings, SocketAddress

SIZES: Final = (14, 32, 112, 195, 350)
ENGINES: Final = 59
"""Engines of the site, all of them served by this process."""
SETTLE_S: Final = 3.0
"""Time in which an instance receives the state of the whole fleet."""
IDLE_S: Final = 8.0
"""Time over which the cost of an idle second is averaged."""
REQUESTS: Final = 200
FEW_EVENTS: Final = 4
MANY_EVENTS: Final = 44
STREAMS: Final = 60
NANOSECONDS: Final = 1e9


@dataclass(frozen=True, slots=True, kw_only=True)
class NodeCost:
    """Processor time of one instance, in milliseconds, and its memory."""

    start_ms: float
    """Total from the start of the process until it is ready."""
    idle_second_ms: float
    lookup_ms: float
    """Cost of one lookup on a connection of its own."""
    stream_ms: float
    """Cost of one stream without its events."""
    event_ms: float
    """Cost of one event of a stream."""
    memory_mb: float
    """Resident memory at the end, including shared pages of libraries."""


def read_processor_ms(pid: int) -> float:
    """Return the processor time that a process has used, in milliseconds."""
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / NANOSECONDS * 1e3


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(instances: int, *, command: list[str]) -> NodeCost:
    """Run one instance in a simulated fleet and return its cost.

    Args:
        instances: Size of the fleet, including this instance.
        command: Command that runs the instance's process.
    """
    site = Site()
    await site.start(pool=ENGINES, portal=6)
    fields = site.build_settings("measured")
    fields["limits"] = {"link_mbps": 20}
    settings = decode_settings(fields, file="measured")
    fleet = SimulatedFleet(site=site, instances=instances, measured=settings)
    fleet.register()
    with tempfile.TemporaryDirectory() as directory:
        process = await _start(command, write_settings(fields, directory))
        try:
            assert settings.readiness is not None
            await wait_ready(settings.readiness)
            start_ms = read_processor_ms(process.pid)
            fleet_task = asyncio.create_task(fleet.run())
            await asyncio.sleep(SETTLE_S)
            cost = await _measure_running(process.pid, site, settings, start_ms=start_ms)
            fleet_task.cancel()
        finally:
            process.terminate()
            await process.wait()
            await site.stop()
    return cost


async def _start(command: list[str], settings_path: str) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        *command,
        env=os.environ | {"GUAVAMAST_SETTINGS": settings_path},
        stdout=asyncio.subprocess.DEVNULL,
    )


async def _measure_running(
    pid: int, site: Site, settings: NodeSettings, *, start_ms: float
) -> NodeCost:
    idle = await _measure_processor_ms(pid, lambda: asyncio.sleep(IDLE_S))
    idle_second_ms = idle / IDLE_S

    async def measure_above_idle(run: Callable[[], Awaitable[None]]) -> float:
        began = time.monotonic()
        used = await _measure_processor_ms(pid, run)
        return used - idle_second_ms * (time.monotonic() - began)

    lookups = await measure_above_idle(
        lambda: _send_requests(settings.callers, LOOKUP_PREFIX, REQUESTS)
    )
    few, many = [await measure_above_idle(_build_stream_run(site, settings, n)) for n in (4, 44)]
    event_ms = (many - few) / STREAMS / (MANY_EVENTS - FEW_EVENTS)
    return NodeCost(
        start_ms=start_ms,
        idle_second_ms=idle_second_ms,
        lookup_ms=lookups / REQUESTS,
        stream_ms=few / STREAMS - FEW_EVENTS * event_ms,
        event_ms=event_ms,
        memory_mb=read_memory_mb(pid),
    )


def _build_stream_run(
    site: Site, settings: NodeSettings, events: int
) -> Callable[[], Awaitable[None]]:
    async def run() -> None:
        for engine in site.engines.values():
            engine.events = events
        await _send_requests(settings.callers, RESUMABLE_PREFIX, STREAMS)

    return run


async def _measure_processor_ms(pid: int, run: Callable[[], Awaitable[None]]) -> float:
    before = read_processor_ms(pid)
    await run()
    return read_processor_ms(pid) - before


async def _send_requests(address: SocketAddress, prefix: str, number: int) -> None:
    """Send requests one after the other, each on a connection of its own."""
    for index in range(number):
        response = await send_request(address, f"{prefix}{index}", request_id=f"{prefix}{index}")
        assert response.startswith("200"), response


def build_command(*, profile: str | None) -> list[str]:
    """Return the command that runs an instance, which writes a profile to a given path."""
    if profile is None:
        return [sys.executable, "-m", "guavamast.platform"]
    return [sys.executable, "-m", "cProfile", "-o", profile, "-m", "guavamast.platform"]


def main() -> None:
    """Print a row per fleet size."""
    parser = argparse.ArgumentParser(prog="bench.node_cost", description=__doc__)
    parser.add_argument("--instances", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--profile", help="where a profile of the last size is written")
    arguments = parser.parse_args()
    head = ["instances", "start", "idle second", "lookup", "stream", "event", "memory MB"]
    print("Processor time of one instance, ms\n")
    print_head(head)
    for instances in arguments.instances:
        cost = asyncio.run(measure(instances, command=build_command(profile=arguments.profile)))
        figures = [cost.start_ms, cost.idle_second_ms, cost.lookup_ms, cost.stream_ms]
        figures += [cost.event_ms, cost.memory_mb]
        print_row([str(instances), *(f"{figure:.3g}" for figure in figures)])


if __name__ == "__main__":
    main()
