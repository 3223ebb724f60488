"""A small engine that behaves soundly; cases override what their disruption changes."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from support.record import Record

KEEP_ALIVE_S = 5


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest:
    """A request that has reached an engine."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def request_id(self) -> str:
        """Its X-Attempt-Id."""
        return self.headers.get("x-attempt-id", "")


class Engine:
    """Serves one request at a time on each connection."""

    def __init__(self, engine_id: str, record: Record, *, work_s: float = 0.06) -> None:
        self.engine_id = engine_id
        self.runs: list[str] = []
        """Ids of the requests that it has begun to run."""
        self.port = 0
        self._record = record
        self._work_s = work_s
        self._server: asyncio.Server | None = None

    async def listen(self) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        served = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await read_request(reader)
                await self.serve_request(request, writer, served=served)
                await writer.drain()
                served += 1
        writer.close()

    async def serve_request(
        self, request: EngineRequest, writer: asyncio.StreamWriter, *, served: int
    ) -> None:
        """Answer a request; `served` are those before it on its connection."""
        del served
        if request.headers.get("x-expect-instance", self.engine_id) != self.engine_id:
            writer.write(encode_answer(421, request.request_id, []))
            return
        await self.run(request, writer)

    async def run(self, request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        """Run a request and answer it."""
        self.begin_run(request)
        await asyncio.sleep(self._work_s)
        writer.write(self.encode_success(request))

    def begin_run(self, request: EngineRequest) -> None:
        """Record that a request has begun to run."""
        self.runs.append(request.request_id)
        self._record.write(f"{self.engine_id} begins to run {request.request_id}")

    def encode_success(self, request: EngineRequest) -> bytes:
        """Return the whole answer to a request that has run."""
        seal = ("X-Engine-Seal", f"{self.engine_id}.{len(self.runs)}")
        body = f"done {request.request_id}\n".encode().ljust(800, b".")
        return encode_answer(200, request.request_id, [seal], body)


async def read_request(reader: asyncio.StreamReader) -> EngineRequest:
    """Return the next request of a connection."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.split("\r\n")
    method, target, _ = first.split(" ")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return EngineRequest(method=method, target=target, headers=headers, body=body)


def encode_answer(
    status: int, request_id: str, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Return an answer with a length, on a connection that stays open."""
    fields = [
        ("X-Attempt-Id", request_id),
        ("Keep-Alive", f"timeout={KEEP_ALIVE_S}"),
        *headers,
        ("Content-Length", str(len(body))),
    ]
    lines = [f"HTTP/1.1 {status} Answer", *(f"{name}: {value}" for name, value in fields)]
    return "\r\n".join([*lines, "", ""]).encode() + body
