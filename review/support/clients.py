"""A client of the deployment, on connections that may be kept open."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

Header = tuple[str, str]


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a client received for one request."""

    status: int = 0
    """0 if no whole head arrived."""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    """Whether the body has ended as its framing says."""
    keeps_open: bool = False

    @property
    def is_success(self) -> bool:
        """Whether it is a whole success with an engine's seal."""
        return 200 <= self.status < 300 and self.complete and "x-engine-seal" in self.headers


class ClientConnection:
    """One connection to an instance."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> ClientConnection:
        """Connect; clients allow one second for it."""
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(1.0):
            return cls(*await asyncio.open_connection(host, int(port), limit=2**24))

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def request(
        self, method: str, target: str, headers: list[Header], body: bytes, *, timeout_s: float
    ) -> Answer:
        """Send a request and return its answer, as far as it arrives in time."""
        if body:
            headers = [*headers, ("Content-Length", str(len(body)))]
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
        answer = Answer()
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write("\r\n".join([*lines, "", ""]).encode() + body)
                await self._read(answer)
        except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError):
            pass
        return answer

    async def _read(self, answer: Answer) -> None:
        head = await self._reader.readuntil(b"\r\n\r\n")
        first, *rest = head.decode("latin-1").split("\r\n")
        for line in rest:
            name, _, value = line.partition(":")
            if name:
                answer.headers[name.lower()] = value.strip()
        answer.status = int(first.split(" ")[1])
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            await self._read_chunks(answer)
        elif "content-length" in answer.headers:
            answer.body = await self._reader.readexactly(int(answer.headers["content-length"]))
        else:
            answer.body = await self._reader.read()
        answer.complete = True
        closes = "close" in answer.headers.get("connection", "").lower()
        answer.keeps_open = not closes and not self._reader.at_eof()

    async def _read_chunks(self, answer: Answer) -> None:
        while True:
            size = int(await self._reader.readuntil(b"\r\n"), 16)
            data = await self._reader.readexactly(size + 2)
            if size == 0:
                return
            answer.body += data[:-2]


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: list[Header],
    body: bytes,
    *,
    timeout_s: float = 2.0,
) -> Answer:
    """Send one request on a new connection."""
    try:
        connection = await ClientConnection.open(address)
    except (OSError, TimeoutError):
        return Answer()
    try:
        return await connection.request(
            method, target, [("Host", address), *headers], body, timeout_s=timeout_s
        )
    finally:
        connection.close()


def build_headers(
    host: str, key: str, request_id: str, deadline_ms: int, *more: Header
) -> list[Header]:
    """Return the headers of a client's request."""
    return [
        ("Host", host),
        ("Authorization", f"Bearer {key}"),
        ("X-Attempt-Id", request_id),
        ("X-Request-Deadline-Ms", str(deadline_ms)),
        *more,
    ]
