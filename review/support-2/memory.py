"""The platform's bound on a process's memory, and clients on kept connections beside it."""

from __future__ import annotations

import asyncio
import time
from pathlib import Path

from deployment import HOST, Instance, Record


def read_rss(instance: Instance) -> float:
    """Return the memory of a process in MB."""
    assert instance.process is not None
    status = Path(f"/proc/{instance.process.pid}/status").read_text(encoding="utf-8")
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024 / 1e6


class Platform:
    """Ends a process that exceeds its memory, as DEPLOY.md says."""

    def __init__(self, instance: Instance, record: Record, *, limit_mb: int) -> None:
        self.instance = instance
        self.record = record
        self.limit_mb = limit_mb
        self.most = 0.0
        self.killed_at: float | None = None

    async def watch(self) -> None:
        while True:
            used = read_rss(self.instance)
            self.most = max(self.most, used)
            if used > self.limit_mb * 1.048576:
                self.record.write(f"platform: {used:.0f} MB, above {self.limit_mb} MiB: killed")
                assert self.instance.process is not None
                self.instance.process.kill()
                self.killed_at = time.monotonic()
                return
            await asyncio.sleep(0.02)


class KeptClient:
    """Sends small requests one after the other on one connection."""

    def __init__(
        self, address: str, name: str, key: str, record: Record, *, delay_s: float
    ) -> None:
        self.address = address
        self.name = name
        self.key = key
        self.record = record
        self.delay_s = delay_s
        """Seconds until its first request, so that the clients are out of step."""
        self.cut: list[tuple[float, str]] = []
        """Time and id of each request on a kept connection that ended without an answer."""

    async def run(self) -> None:
        await asyncio.sleep(self.delay_s)
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        number = 0
        while True:
            request_id = f"{self.name}-{number:04d}"
            number += 1
            head = (
                f"GET /call/small HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
                f"X-Request-Deadline-Ms: 4000\r\nAuthorization: Bearer {self.key}\r\n\r\n"
            )
            try:
                writer.write(head.encode())
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = int(answer.lower().split("content-length:")[1].split("\r\n")[0])
                await reader.readexactly(length)
            except (OSError, asyncio.IncompleteReadError):
                if number > 1:
                    self.cut.append((time.monotonic(), request_id))
                    self.record.write(f"client: {request_id} got no answer")
                return
            self.record.write(f"client: {request_id} answered {answer.split(' ')[1]}")
            await asyncio.sleep(0.05)
