"""Resource usage of processes and a light HTTP load generator, to measure daemons."""

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
    """Processor time of a process since its start, and its resident memory."""

    cpu_s: float
    rss_mb: float


def read_usage(pid: int) -> Usage:
    """Return the processor time and resident memory of a process."""
    process = psutil.Process(pid)
    times = process.cpu_times()
    return Usage(cpu_s=times.user + times.system, rss_mb=process.memory_info().rss / 1e6)


@dataclass(frozen=True, slots=True, kw_only=True)
class Sample:
    """Timing and result of one request, as measured by the caller."""

    first_byte_s: float
    whole_s: float
    tokens: int
    completed: bool


def build_request(
    address: str, path: str, body: bytes, *, headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of one HTTP request with ``Connection: close``."""
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


def build_chat(prompt: str, *, max_tokens: int) -> bytes:
    """Return the body of a streamed chat request."""
    body = {
        "model": "small",
        "stream": True,
        "max_tokens": max_tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    return json.dumps(body).encode()


async def send_once(address: str, request: bytes) -> Sample:
    """Send one request on a new connection and read the response without parsing it."""
    host, port = address.split(":")
    start = time.perf_counter()
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    first = 0.0
    content = b""
    while chunk := await reader.read(65536):
        content += chunk
        if not first and b"data:" in content:
            first = time.perf_counter() - start
    writer.close()
    return Sample(
        first_byte_s=first,
        whole_s=time.perf_counter() - start,
        tokens=content.count(b"data: {"),
        completed=b"data: [DONE]" in content,
    )


async def run_load(
    send: Callable[[int], Awaitable[Sample]], *, total: int, concurrent: int
) -> list[Sample]:
    """Send ``total`` requests, ``concurrent`` at a time, and return their samples."""
    numbers = iter(range(total))
    samples: list[Sample] = []

    async def send_next() -> None:
        for number in numbers:
            samples.append(await send(number))

    await asyncio.gather(*(send_next() for _ in range(concurrent)))
    return samples


def compute_quantile(values: list[float], share: float) -> float:
    """Return the quantile of the values at ``share``."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
