"""Demo of the platform in one process: store, engines, an instance and a few requests."""

from __future__ import annotations

import asyncio
import os
import signal
from typing import TYPE_CHECKING

from guavamast.platform.runner import run_node
from guavamast.platform.settings import decode_settings
from guavamast.platform.standins.engine import EngineFault
from guavamast.platform.standins.site import (
    CALL_PREFIX,
    HOST,
    KEY,
    LOOKUP_PREFIX,
    RESUMABLE_PREFIX,
    Site,
)
from guavamast.relay.http_connection import ConnectionLost, HttpConnection

if TYPE_CHECKING:
    from guavamast.relay.node_settings import SocketAddress

READY_TIMEOUT_S = 10.0
"""Seconds within which the instance must become ready."""


async def send_request(
    address: SocketAddress, target: str, *, request_id: str, body: bytes = b""
) -> str:
    """Send one request as a caller and return the response's status and body."""
    connection = await HttpConnection.open(address.ip, address.port, timeout_s=1.0)
    headers = [("Host", HOST), ("Authorization", f"Bearer {KEY}"), ("X-Attempt-Id", request_id)]
    if body:
        headers.append(("Content-Length", str(len(body))))
    await connection.send("POST" if body else "GET", target, headers, body)
    head = await connection.read_head()
    received = b""
    while (chunk := await connection.read_chunk()) is not None:
        received += chunk
    connection.close()
    return f"{head.status} {received.decode().strip()}"


async def wait_ready(address: SocketAddress) -> None:
    """Wait until the instance is ready."""
    async with asyncio.timeout(READY_TIMEOUT_S):
        while True:
            try:
                if (await send_request(address, "/v1/ready", request_id="")).startswith("200"):
                    return
            except ConnectionLost:
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.05)


async def run_demo() -> None:
    """Start the site, send the requests and print the responses."""
    site = Site()
    await site.start()
    settings = decode_settings(site.build_settings("demo"), file="demo")
    with open(os.devnull, "wb") as log:
        instance_task = asyncio.create_task(run_node(settings, log_descriptor=log.fileno()))
        assert settings.readiness is not None
        await wait_ready(settings.readiness)
        callers = settings.callers
        print(
            "non-idempotent call:",
            await send_request(callers, CALL_PREFIX + "1", request_id="a", body=b"pay"),
        )
        print("lookup:", await send_request(callers, LOOKUP_PREFIX + "1", request_id="b"))
        site.engines["pool-0"].fault = EngineFault.CUT
        site.engines["pool-1"].fault = EngineFault.CUT
        stream = asyncio.create_task(send_request(callers, RESUMABLE_PREFIX + "1", request_id="c"))
        while not any(engine.runs for name, engine in site.engines.items() if "pool" in name):
            await asyncio.sleep(0.005)
        for engine in site.engines.values():
            if not engine.runs:
                engine.fault = EngineFault.NONE
        events = (await stream).replace("\n", " ")
        print("stream whose engine broke off:", events)
        os.kill(os.getpid(), signal.SIGTERM)
        await instance_task
    await site.stop()


def main() -> None:
    """Run the demo."""
    asyncio.run(run_demo())


if __name__ == "__main__":
    main()
