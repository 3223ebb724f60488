"""One entry of another writer in the table of engines ends the processes of all instances."""

from __future__ import annotations

import asyncio
import base64
import json
from pathlib import Path

from support.clients import ClientConnection, build_headers, exchange
from support.deployment import HOST, KEY, STABLE_WINDOW_S, Deployment
from support.engines import Engine
from support.record import COULD_NOT_RUN, TROUBLE, Record, play_case

INSTANCES = 3
WATCHED_S = 12.0
"""Seconds of traffic after the entry was written."""
REQUEST_INTERVAL_S = 0.1
MACHINES_AT_FAULT = 2
"""The rule: a tenth of the machines, two at least, ..."""
ENDS_AT_FAULT = 3
"""... on which processes end by themselves three times in the day."""
FOREIGN_VALUE = b"[" * 20_000
"""Bytes that can't be read as an entry; a row may have 65,536."""


async def write_foreign_entry(deployment: Deployment) -> int:
    """Write a row as any other writer of the store does; return the status."""
    row = {"table": "servers", "part": "", "key": "i-0f3c77aa10"}
    value = base64.b64encode(FOREIGN_VALUE).decode()
    call = {"expect": [], "writes": [row | {"value": value}], "remove": []}
    headers = [("Content-Type", "application/json")]
    answer = await exchange(
        deployment.store_address, "POST", "/v1/rows-tx", headers, json.dumps(call).encode()
    )
    return answer.status


async def ask(deployment: Deployment, number: int, record: Record) -> bool:
    """Send one lookup to the instances in turn; return whether it is served."""
    instance = deployment.instances[number % INSTANCES]
    request_id = f"lookup-{number}"
    headers = build_headers(HOST, KEY, request_id, 1500)
    try:
        connection = await ClientConnection.open(instance.front)
    except (OSError, TimeoutError):
        record.write(f"{request_id} to {instance.name}: no connection")
        return False
    answer = await connection.request("GET", "/claim-status/7", headers, b"", timeout_s=1.5)
    connection.close()
    record.write(f"{request_id} to {instance.name}: {answer.status or 'no answer'}")
    return answer.is_success


async def run(record: Record) -> int:
    """Play the case; return the exit status."""
    deployment = Deployment(record)
    engines = [Engine(f"i-e{number}", record) for number in range(2)]
    try:
        deployment.start_store()
        for engine in engines:
            port = await engine.listen()
            deployment.register_engine(engine.engine_id, "primes-portal", port)
        if not await deployment.start_instances(INSTANCES):
            return COULD_NOT_RUN
        await asyncio.sleep(STABLE_WINDOW_S)
        before = [await ask(deployment, number, record) for number in range(9)]
        if not all(before):
            record.write("the deployment doesn't serve before the disruption")
            return COULD_NOT_RUN
        if TROUBLE:
            status = await write_foreign_entry(deployment)
            record.write(f"another writer's entry: the store answers {status}")
        served = []
        until = record.now + WATCHED_S
        number = len(before)
        while record.now < until:
            served.append(await ask(deployment, number, record))
            number += 1
            await asyncio.sleep(REQUEST_INTERVAL_S)
        ends = {one.name: one.own_ends for one in deployment.instances}
        record.write(f"processes that ended by themselves: {ends}")
        record.write(f"served after the entry: {sum(served)} of {len(served)}")
        at_fault = sum(count >= ENDS_AT_FAULT for count in ends.values())
        broken = at_fault >= MACHINES_AT_FAULT
        record.write(f"Fault: {'BROKEN' if broken else 'held'}")
        return 1 if broken else 0
    finally:
        for engine in engines:
            engine.stop()
        await deployment.stop()


if __name__ == "__main__":
    play_case(run, Path(__file__).parent)
