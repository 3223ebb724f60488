"""Engine processes of two software versions; each stream's events name the version.

Its arguments are pairs of an id and a version, one for each engine. It prints their ports in one
line, and a line for each stream that begins or goes on. It ends with its input.
"""

from __future__ import annotations

import asyncio
import sys

from support.engines import EngineRequest, encode_answer, read_request

EVENTS = 49
EVENT_INTERVAL_S = 0.15


class VersionedEngine:
    """Serves one stream at a time on each connection."""

    def __init__(self, engine_id: str, version: str) -> None:
        self._engine_id = engine_id
        self._version = version

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve a connection."""
        try:
            while True:
                request = await read_request(reader)
                if request.headers.get("x-expect-instance", self._engine_id) != self._engine_id:
                    writer.write(encode_answer(421, request.request_id, []))
                else:
                    await self._stream(request, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _stream(self, request: EngineRequest, writer: asyncio.StreamWriter) -> None:
        first = int(request.headers.get("last-event-id", "0")) + 1
        resumed = request.headers.get("resumes", "")
        print(
            f"{self._engine_id} ({self._version}): {request.request_id} from event {first}"
            f"{f', which takes up {resumed}' if resumed else ''}",
            flush=True,
        )
        head = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {request.request_id}",
            f"X-Engine-Seal: {self._engine_id}.{first}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            "Keep-Alive: timeout=5",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            event = f"id: {number}\ndata: token {number} {self._version}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")


async def main() -> None:
    """Serve until the input ends."""
    ports = []
    servers = []
    for engine_id, version in zip(sys.argv[1::2], sys.argv[2::2], strict=True):
        engine = VersionedEngine(engine_id, version)
        servers.append(await asyncio.start_server(engine.serve, "127.0.0.1", 0))
        ports.append(str(servers[-1].sockets[0].getsockname()[1]))
    print(" ".join(ports), flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
