"""One answer without end holds up all other requests of its instance."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from support.clients import ClientConnection, build_headers
from support.deployment import HOST, KEY, ROOT, STABLE_WINDOW_S, Deployment
from support.engines import Engine
from support.record import COULD_NOT_RUN, TROUBLE, Record, play_case

ORDERS_PER_S = 10
TRAFFIC_S = 14.0
TIMEOUT_S = 0.8
"""The route's `timeout_ms`."""
SLACK_S = 0.5
ORDER_DEADLINE_MS = 1501
FOLDER = Path(__file__).parent


async def start(name: str, *arguments: str) -> asyncio.subprocess.Process:
    """Start a stand-in of this folder as a process."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(FOLDER / name),
        *arguments,
        cwd=ROOT,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )


async def read_lines(process: asyncio.subprocess.Process, name: str, record: Record) -> None:
    """Record what a process prints."""
    assert process.stdout is not None
    while line := await process.stdout.readline():
        record.write(f"{name} {line.decode().strip()}")


async def pay(address: str, number: int, record: Record) -> float | None:
    """Send one payment order; return the seconds until its final answer, None without one."""
    began = record.now
    headers = build_headers(HOST, KEY, f"order-{number}", ORDER_DEADLINE_MS)
    try:
        connection = await ClientConnection.open(address)
    except (OSError, TimeoutError):
        record.write(f"order-{number}: no connection")
        return None
    left_s = ORDER_DEADLINE_MS / 1000 - (record.now - began)
    answer = await connection.request(
        "POST", "/grant-payout/7", headers, b"pay 1,200 EUR", timeout_s=left_s
    )
    connection.close()
    took_s = record.now - began
    record.write(f"order-{number}: {answer.status or 'no answer'} after {took_s:.3f} s")
    return took_s if answer.status else None


async def run(record: Record) -> int:
    """Play the case; return the exit status."""
    deployment = Deployment(record)
    engines = [Engine(f"i-p{number}", record) for number in range(2)]
    processes: list[asyncio.subprocess.Process] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        deployment.start_store()
        for engine in engines:
            port = await engine.listen()
            deployment.register_engine(engine.engine_id, "primes-portal", port)
        runaway = await start("runaway.py", "i-m0")
        processes.append(runaway)
        assert runaway.stdout is not None
        port = int(await runaway.stdout.readline())
        deployment.register_engine("i-m0", "guavamast-pool", port)
        tasks.append(asyncio.create_task(read_lines(runaway, "i-m0", record)))
        if not await deployment.start_instances(1):
            return COULD_NOT_RUN
        await asyncio.sleep(STABLE_WINDOW_S)
        address = deployment.instances[0].front
        orders = []
        for number in range(int(TRAFFIC_S * ORDERS_PER_S)):
            if number == ORDERS_PER_S and TROUBLE:
                client = await start("stream_client.py", address, "dossier-0")
                processes.append(client)
                tasks.append(asyncio.create_task(read_lines(client, "client", record)))
            orders.append(asyncio.create_task(pay(address, number, record)))
            await asyncio.sleep(1.0 / ORDERS_PER_S)
        took = await asyncio.gather(*orders)
        longer = [one for one in took if one is None or one > TIMEOUT_S]
        late = [one for one in longer if one is None or one > TIMEOUT_S + SLACK_S]
        record.write(f"orders: {len(took)}, over {TIMEOUT_S} s: {len(longer)}, late: {len(late)}")
        broken = len(late) >= 8 and len(late) > len(longer) / 4
        if any(one is None for one in took[: int(ORDERS_PER_S / 2)]):
            record.write("the deployment doesn't serve before the disruption")
            return COULD_NOT_RUN
        record.write(f"CONFIG: {'BROKEN' if broken else 'held'}")
        return 1 if broken else 0
    finally:
        for process in processes:
            if process.returncode is None:
                process.kill()
            await process.wait()
        await asyncio.gather(*tasks, return_exceptions=True)
        for engine in engines:
            engine.stop()
        await deployment.stop()


if __name__ == "__main__":
    play_case(run, FOLDER)
