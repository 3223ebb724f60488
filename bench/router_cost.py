"""What the router adds to an answer, tokens a second through one entry, memory and start time.

Run with ``python -m bench.router_cost``; all processes are on loopback.
"""

from __future__ import annotations

import asyncio
import random
import time
from typing import TYPE_CHECKING, Final

from tests._processes import ProcessFleet

from bench.processes import (
    make_chat,
    make_request,
    pick_quantile,
    read_usage,
    run_load,
    send_once,
)

if TYPE_CHECKING:
    from bench.processes import Sample

CALM_REQUESTS: Final = 600
CALM_CONCURRENT: Final = 4
BUSY_REQUESTS: Final = 6000
BUSY_CONCURRENT: Final = 60
MAX_TOKENS: Final = 40
PATH: Final = "/v1/chat/completions"


async def measure_added(fleet: ProcessFleet) -> None:
    """Compare chats through the router with chats sent to an engine directly, interleaved."""
    entry = fleet.urls[0].removeprefix("http://")
    engines = [url.removeprefix("http://") for _, url in fleet.engines]
    direct: list[Sample] = []
    routed: list[Sample] = []
    rng = random.Random(1)

    async def send(number: int) -> Sample:
        body = make_chat(f"calm {number}", max_tokens=MAX_TOKENS)
        goes_direct = rng.random() < 0.5
        address = rng.choice(engines) if goes_direct else entry
        headers = {"X-Request-Id": f"direct-{number}"} if goes_direct else None
        sample = await send_once(address, make_request(address, PATH, body, headers=headers))
        (direct if goes_direct else routed).append(sample)
        return sample

    await run_load(send, total=CALM_REQUESTS, concurrent=CALM_CONCURRENT)
    print(
        f"| {CALM_CONCURRENT} at a time | first token median / p99, ms | whole median / p99, ms |"
    )
    print("|---|---|---|")
    for name, samples in (("engine directly", direct), ("through the router", routed)):
        firsts = [sample.first_byte_s * 1000 for sample in samples]
        wholes = [sample.whole_s * 1000 for sample in samples]
        print(
            f"| {name} ({len(samples)}) | "
            f"{pick_quantile(firsts, 0.5):.1f} / {pick_quantile(firsts, 0.99):.1f} | "
            f"{pick_quantile(wholes, 0.5):.1f} / {pick_quantile(wholes, 0.99):.1f} |"
        )


async def measure_throughput(fleet: ProcessFleet) -> None:
    """Load one entry with more than it can pass on and read its processor time."""
    entry = fleet.urls[0].removeprefix("http://")
    pids = {
        "entry": fleet.entries[0].popen.pid,
        "dispatcher 0": fleet.dispatchers[0].popen.pid,
        "dispatcher 1": fleet.dispatchers[1].popen.pid,
    }
    before = {name: read_usage(pid) for name, pid in pids.items()}
    start = time.perf_counter()

    async def send(number: int) -> Sample:
        body = make_chat(f"busy {number}", max_tokens=MAX_TOKENS)
        return await send_once(entry, make_request(entry, PATH, body))

    samples = await run_load(send, total=BUSY_REQUESTS, concurrent=BUSY_CONCURRENT)
    elapsed = time.perf_counter() - start
    tokens = sum(sample.tokens for sample in samples)
    after = {name: read_usage(pid) for name, pid in pids.items()}
    used = {name: after[name].cpu_s - before[name].cpu_s for name in pids}
    print(f"\n{len(samples)} chats, {tokens} tokens, whole: {sum(s.ended for s in samples)}")
    print(
        f"elapsed {elapsed:.1f} s: {tokens / elapsed:.0f} tokens/s, {len(samples) / elapsed:.0f}/s"
    )
    print(f"entry: {used['entry'] / tokens * 1e6:.0f} us a token, all costs of the chat in it;")
    print(f"       {tokens / used['entry']:.0f} tokens for each second of processor time")
    keepers = used["dispatcher 0"] + used["dispatcher 1"]
    print(f"dispatchers together: {keepers / len(samples) * 1e6:.0f} us a chat")
    for name, usage in after.items():
        print(f"resident memory of {name}: {usage.rss_mb:.1f} MB")


async def run() -> None:
    """Run all parts."""
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
        await measure_added(fleet)
        await measure_throughput(fleet)
    finally:
        fleet.close()


if __name__ == "__main__":
    asyncio.run(run())
