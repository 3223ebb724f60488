"""A small HTTP/1.1 server for stand-ins, on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

if TYPE_CHECKING:
    pass


@dataclass(slots=True)
class Request:
    """A request with its whole body."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    header_list: list[tuple[str, str]]

    @property
    def path(self) -> str:
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        parsed = parse_qs(urlsplit(self.target).query, keep_blank_values=True)
        return {name: values[0] for name, values in parsed.items()}


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request of a connection; None at its end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    pairs = [line.split(":", 1) for line in lines[1:] if line]
    header_list = [(name.strip(), value.strip()) for name, value in pairs]
    headers = {name.lower(): value for name, value in header_list}
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        elif length := int(headers.get("content-length", "0")):
            body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, header_list)


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes, reason: str = "OK"
) -> bytes:
    lines = [f"HTTP/1.1 {status} {reason}", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


Handler = "Callable[[Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]]"


async def serve(handle: Handler, port: int = 0) -> tuple[asyncio.Server, int]:
    """Serve on loopback; the handler returns whether the connection goes on."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_request(reader)) is not None:
                if not await handle(request, reader, writer):
                    break
        except ConnectionError:
            pass
        except asyncio.CancelledError:
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(run, "127.0.0.1", port, limit=1 << 20)
    return server, server.sockets[0].getsockname()[1]
