"""An engine process whose answers have no end: it writes the same bytes until its caller closes.

Its argument is its id. It prints its port, and a line for each answer.
"""

from __future__ import annotations

import asyncio
import sys

from support.engines import encode_answer, read_request

PIECE_BYTES = 65_536
HEAD_END = b"Transfer-Encoding: chunked\r\n\r\n"
UNIT = b"1\r\nx\r\n"
"""A chunk of one byte, as from a server that doesn't buffer what it writes."""


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Serve a connection."""
    piece = UNIT * (PIECE_BYTES // len(UNIT))
    written = 0
    request_id = "none"
    try:
        request = await read_request(reader)
        request_id = request.request_id
        if request.headers.get("x-expect-instance", sys.argv[1]) != sys.argv[1]:
            writer.write(encode_answer(421, request_id, []))
            return
        print(f"begins to run {request_id}, and answers without end", flush=True)
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Engine-Seal: {sys.argv[1]}.1\r\n"
        )
        writer.write(head.encode() + HEAD_END)
        while True:
            writer.write(piece)
            await writer.drain()
            written += len(piece)
            await asyncio.sleep(0)
    except (OSError, asyncio.IncompleteReadError):
        print(f"{request_id}: its caller has closed after {written} bytes", flush=True)
    finally:
        writer.close()


async def main() -> None:
    """Serve until the input ends."""
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(main())
