"""Readings of processes and a light HTTP load for the measurements of daemons."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

import psutil

from guavamast.local_fleet import CALLER_KEY

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """What a process has used since its start."""

    cpu_s: float
    rss_mb: float


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(cpu_s=times.user + times.system, rss_mb=process.memory_info().rss / 1e6)


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """One request as its caller saw it."""

    first_byte_s: float
    whole_s: float
    tokens: int
    ended: bool


def make_request(
    address: str, path: str, body: bytes, *, headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of one HTTP request that asks for the connection's end."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {address}",
        f"Authorization: Bearer {CALLER_KEY}",
        "Content-Type: application/json",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def make_chat(prompt: str, *, max_tokens: int) -> bytes:
    """Return the body of a streamed chat."""
    body = {
        "model": "small",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return json.dumps(body).encode()


async def send_once(address: str, request: bytes) -> Sample:
    """Send one request on a new connection and read its answer without parsing it."""
    host, port = address.split(":")
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    first = 0.0
    content = b""
    while piece := await reader.read(65536):
        content += piece
        if not first and b"data:" in content:
            first = time.perf_counter() - start
    writer.close()
    return Sample(
        first_byte_s=first,
        whole_s=time.perf_counter() - start,
        tokens=content.count(b"data: {"),
        ended=b"data: [DONE]" in content,
    )


async def run_load(
    send: Callable[[int], Awaitable[Sample]], *, total: int, concurrent: int
) -> list[Sample]:
    """Make requests, so many at a time, and return all samples."""
    numbers = iter(range(total))
    samples: list[Sample] = []

    async def work() -> None:
        for number in numbers:
            samples.append(await send(number))

    await asyncio.gather(*(work() for _ in range(concurrent)))
    return samples


def pick_quantile(values: list[float], share: float) -> float:
    """Return the value below which a share of the values lies."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
