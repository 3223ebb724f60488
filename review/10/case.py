"""All instances are killed at once; no stream that was running can be taken up afterwards."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

from deployment import HOST, Engine, Record, Site, run  # noqa: E402
from http_server import Request  # noqa: E402

KEY = "case-ten-key"
EVENTS = 48
EVENT_S = 0.25
STREAMS = 24
BEGUN_S = 2.0
DOWN_S = 1.5
STABLE_S = 3.0
DEADLINE_S = 15.0
PAUSE_S = 5.2
"""Seconds after a broken connection until a client takes its stream up, once."""
SPREAD_S = 0.04


class StreamEngine(Engine):
    """An engine whose streams may be resumed."""

    async def _handle(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        request_id = request.headers.get("x-attempt-id", "")
        after = int(request.headers.get("last-event-id", "0"))
        self.record.write(f"engine {self.name} runs {request_id} after event {after}")
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Engine-Seal: seal.{self.name}.{request_id}\r\nContent-Type: text/event-stream\r\n"
            "Keep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in range(after + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {number}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Stream:
    """A client's stream over its tries."""

    def __init__(self, name: str, number: int, site: Site, record: Record) -> None:
        self.name = name
        self.number = number
        self.pause_s = PAUSE_S + SPREAD_S * number
        self.site = site
        self.record = record
        self.began_at = time.monotonic()
        self.last_event = 0
        self.first_try = ""
        """Id of the try that brought the first event."""
        self.tries = 0
        self.asked_in_touch = False
        """Whether it was taken up at a machine in touch."""
        self.went_on = False
        self._writer: asyncio.StreamWriter | None = None

    def leave(self) -> None:
        """Break the connection off, as a client may."""
        if self._writer is not None:
            self._writer.transport.abort()

    async def run(self, started: dict[str, float]) -> None:
        """Begin the stream, and take it up once if its connection breaks."""
        for _ in range(2):
            instance = self.site.instances[(self.number + self.tries) % len(self.site.instances)]
            takes_up = self.last_event > 0
            in_touch = time.monotonic() >= started[instance.name] + STABLE_S
            before = self.last_event
            status = await self._try(instance.front)
            if takes_up and status and in_touch:
                self.asked_in_touch = True
                self.went_on |= self.last_event > before
            if self.last_event >= EVENTS:
                return
            await asyncio.sleep(self.pause_s)

    async def _try(self, address: str) -> int:
        """Make one try; return its status, 0 without an answer."""
        host, _, port = address.rpartition(":")
        self.tries += 1
        request_id = f"{self.name}-{self.tries}"
        left_ms = int(1000 * (self.began_at + DEADLINE_S - time.monotonic()))
        head = (
            f"POST /chat/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
            f"X-Request-Deadline-Ms: {left_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            "Content-Length: 1\r\n"
        )
        if self.last_event:
            head += f"Last-Event-Id: {self.last_event}\r\nResumes: {self.first_try}\r\n"
        status = 0
        try:
            async with asyncio.timeout(max(0.0, left_ms / 1000)):
                reader, self._writer = await asyncio.open_connection(host, int(port))
                self._writer.write(head.encode() + b"\r\nx")
                answer = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                status = int(answer.split(" ")[1])
                while status == 200 and (line := await reader.readline()):
                    if line.startswith(b"id: "):
                        self.first_try = self.first_try or request_id
                        self.last_event = int(line[4:])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        finally:
            if self._writer is not None:
                self._writer.close()
        self.record.write(
            f"client: {request_id} to {address}: status {status}, last event {self.last_event}"
        )
        return status


async def case(site: Site, record: Record, trouble: bool) -> int:
    for name in ("e-1", "e-2"):
        engine = StreamEngine(name, record)
        await engine.start()
        site.engines.append(engine)
        site.register(engine, "pool", slots=64, born=int(time.time() * 1000))
    route = {
        "name": "chat",
        "host": HOST,
        "path_prefix": "/chat/",
        "kind": "streaming",
        "service": "pool",
        "timeout_ms": int(1000 * DEADLINE_S),
        "target_latency_ms": 400,
        "target_gap_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        "resumable": True,
    }
    service = {
        "name": "pool",
        "health_path": "/health",
        "max_connections": 720,
        "engine": {"slots": 64, "kv_capacity_tokens": 611372, "models": [{"name": "m"}]},
    }
    site.publish([route], [service], [{"name": "bakery", "api_keys": [KEY], "priority": 1}])
    for number in range(3):
        (await site.add_instance(f"front-{number}", zone="ab"[number % 2])).start()
    for instance in site.instances:
        if not await instance.wait_ready():
            record.write(f"{instance.name} isn't ready")
            return 2
    await asyncio.sleep(4.0)
    started = dict.fromkeys((one.name for one in site.instances), time.monotonic() - 4.0)
    streams = [Stream(f"stream{number:02d}", number, site, record) for number in range(STREAMS)]
    running = [asyncio.ensure_future(one.run(started)) for one in streams]
    await asyncio.sleep(BEGUN_S)
    if trouble:
        for instance in site.instances:
            instance.send_signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_S)
        for instance in site.instances:
            instance.start()
            started[instance.name] = time.monotonic()
    else:
        for one in streams:
            one.leave()
        await asyncio.sleep(DOWN_S)
    await asyncio.sleep(STABLE_S + 0.5)
    new = [Stream(f"new{number:02d}", number, site, record) for number in range(STREAMS)]
    begun = [asyncio.ensure_future(one.run(started)) for one in new]
    await asyncio.sleep(3.0)
    new_share = sum(one.last_event > 0 for one in new) / STREAMS
    await asyncio.gather(*running)
    for one in begun:
        one.cancel()
    asked = [one for one in streams if one.asked_in_touch]
    share = sum(one.went_on for one in asked) / len(asked) if asked else 1.0
    record.write(f"new streams begin: {new_share:.2f}")
    record.write(f"{len(asked)} streams were taken up at machines in touch: {share:.2f} went on")
    return 1 if len(asked) >= 12 and share < new_share / 2 else 0


if __name__ == "__main__":
    sys.exit(run(case, FOLDER))
