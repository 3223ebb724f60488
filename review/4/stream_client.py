"""A client process that asks for one stream of dossier-review and reads what comes.

Its arguments are the address of an instance and the request's id. It leaves after a gap of four
times the objective, as the pages say, and prints the number of bytes that it has read.
"""

from __future__ import annotations

import asyncio
import sys

from support.clients import build_headers
from support.deployment import HOST, KEY

BODY = b"assess the dossier".ljust(12_000, b".")
DEADLINE_MS = 15005
GAP_S = 8.0
"""Longest of two seconds, four times the objective and eight times the longest pause."""


async def main() -> None:
    """Ask and read."""
    address, request_id = sys.argv[1], sys.argv[2]
    host, _, port = address.rpartition(":")
    headers = build_headers(
        HOST,
        KEY,
        request_id,
        DEADLINE_MS,
        ("X-Model", "m"),
        ("X-Token-Usage", "11992,384"),
        ("X-Prompt-Prefix", "5c1e07a2:512,91bd3f06:4870,e4402b7d:6610"),
        ("Content-Length", str(len(BODY))),
    )
    lines = ["POST /dossier-review/1 HTTP/1.1", *(f"{name}: {value}" for name, value in headers)]
    received = 0
    end = "the answer ends"
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write("\r\n".join([*lines, "", ""]).encode() + BODY)
            while True:
                async with asyncio.timeout(GAP_S):
                    data = await reader.read(65_536)
                if not data:
                    break
                received += len(data)
    except TimeoutError:
        end = "the client leaves"
    except OSError as error:
        end = type(error).__name__
    print(f"{request_id}: {received} bytes read, {end}", flush=True)


if __name__ == "__main__":
    asyncio.run(main())
