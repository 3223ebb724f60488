"""Latency added by the router, tokens a second through one entry, memory and start time.

Run with ``python -m bench.router_cost``; all processes are on loopback.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from tests._processes import ProcessFleet

from bench.processes import (
    build_chat,
    build_request,
    compute_quantile,
    read_usage,
    run_load,
    send_once,
)

if TYPE_CHECKING:
    from bench.processes import Sample

LIGHT_REQUESTS: Final = 600
LIGHT_CONCURRENT: Final = 4
SATURATED_RUNS: Final = ((1500, 20), (150, 400))
"""Number of chats and tokens of each, for the two points of the linear fit."""
SATURATED_CONCURRENT: Final = 60
MAX_TOKENS: Final = 40
PATH: Final = "/v1/chat/completions"


async def measure_added_latency(fleet: ProcessFleet) -> None:
    """Compare chats through the router with chats sent directly to an engine, mixed at random."""
    entry = fleet.urls[0].removeprefix("http://")
    engines = [url.removeprefix("http://") for _, url in fleet.engines]
    direct: list[Sample] = []
    routed: list[Sample] = []
    rng = random.Random(1)

    async def send(number: int) -> Sample:
        body = build_chat(f"calm {number}", max_tokens=MAX_TOKENS)
        goes_direct = rng.random() < 0.5
        address = rng.choice(engines) if goes_direct else entry
        headers = {"X-Request-Id": f"direct-{number}"} if goes_direct else None
        sample = await send_once(address, build_request(address, PATH, body, headers=headers))
        (direct if goes_direct else routed).append(sample)
        return sample

    await run_load(send, total=LIGHT_REQUESTS, concurrent=LIGHT_CONCURRENT)
    print(
        f"| {LIGHT_CONCURRENT} at a time | first token median / p99, ms | whole median / p99, ms |"
    )
    print("|---|---|---|")
    for name, samples in (("engine directly", direct), ("through the router", routed)):
        firsts = [sample.first_byte_s * 1000 for sample in samples]
        wholes = [sample.whole_s * 1000 for sample in samples]
        print(
            f"| {name} ({len(samples)}) | "
            f"{compute_quantile(firsts, 0.5):.1f} / {compute_quantile(firsts, 0.99):.1f} | "
            f"{compute_quantile(wholes, 0.5):.1f} / {compute_quantile(wholes, 0.99):.1f} |"
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """One run of chats of one length through one entry."""

    chats: int
    tokens: int
    elapsed_s: float
    entry_cpu_s: float
    dispatcher_cpu_s: float


async def run_chats(fleet: ProcessFleet, *, total: int, length: int) -> Load:
    """Saturate one entry with chats and measure the processor time of the daemons."""
    entry = fleet.urls[0].removeprefix("http://")
    entry_pid = fleet.entries[0].popen.pid
    dispatcher_pids = [process.popen.pid for process in fleet.dispatchers]
    entry_before = read_usage(entry_pid).cpu_s
    dispatchers_before = sum(read_usage(pid).cpu_s for pid in dispatcher_pids)
    start = time.perf_counter()

    async def send(number: int) -> Sample:
        body = build_chat(f"tokens={length};busy {number}", max_tokens=length)
        return await send_once(entry, build_request(entry, PATH, body))

    samples = await run_load(send, total=total, concurrent=SATURATED_CONCURRENT)
    elapsed = time.perf_counter() - start
    completed = sum(sample.completed for sample in samples)
    if completed != total:
        raise RuntimeError(f"{total - completed} of {total} responses are incomplete")
    return Load(
        chats=total,
        tokens=sum(sample.tokens for sample in samples),
        elapsed_s=elapsed,
        entry_cpu_s=read_usage(entry_pid).cpu_s - entry_before,
        dispatcher_cpu_s=sum(read_usage(pid).cpu_s for pid in dispatcher_pids) - dispatchers_before,
    )


async def measure_slopes(fleet: ProcessFleet) -> None:
    """Compute the processor time of a chat and of a token from runs with two response lengths."""
    loads = [await run_chats(fleet, total=total, length=length) for total, length in SATURATED_RUNS]
    print("\n| tokens a chat | chats | tokens/s | entry ms a chat | dispatchers ms a chat |")
    print("|---|---|---|---|---|")
    for (_, length), load in zip(SATURATED_RUNS, loads, strict=True):
        print(
            f"| {length} | {load.chats} | {load.tokens / load.elapsed_s:.0f} | "
            f"{load.entry_cpu_s / load.chats * 1e3:.2f} | "
            f"{load.dispatcher_cpu_s / load.chats * 1e3:.2f} |"
        )
    short, long = loads
    cost_short = short.entry_cpu_s / short.chats
    cost_long = long.entry_cpu_s / long.chats
    token_s = (cost_long - cost_short) / (SATURATED_RUNS[1][1] - SATURATED_RUNS[0][1])
    chat_s = cost_short - token_s * SATURATED_RUNS[0][1]
    print(f"entry: {chat_s * 1e3:.2f} ms a chat and {token_s * 1e6:.0f} us a token")
    for role, process in (("entry", fleet.entries[0]), ("dispatcher", fleet.dispatchers[0])):
        print(f"resident memory of {role} after: {read_usage(process.popen.pid).rss_mb:.1f} MB")


async def run() -> None:
    """Start a fleet and print all measurements."""
    fleet = ProcessFleet(instances=2, engines=6, services=1)
    try:
        start = time.perf_counter()
        await fleet.start()
        print(
            f"start of 2 instances to a configuration in force: {time.perf_counter() - start:.2f} s"
        )
        for process, name in ((fleet.entries[0], "entry"), (fleet.dispatchers[0], "dispatcher")):
            print(
                f"resident memory of {name} at start: {read_usage(process.popen.pid).rss_mb:.1f} MB"
            )
        await measure_added_latency(fleet)
        await measure_slopes(fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    asyncio.run(run())
