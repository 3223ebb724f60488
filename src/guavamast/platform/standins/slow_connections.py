"""Connections of a stand-in whose other side reads slowly, or which reads slowly itself."""

from __future__ import annotations

import asyncio
import socket
from typing import Final

SOCKET_BUFFER_BYTES: Final = 16_384
"""Bytes that the system buffers for such a connection. By default it takes megabytes, and a
response would count as read that its caller has not touched."""
READ_INTERVAL_S: Final = 0.05
"""Seconds between two reads of an engine that reads slowly."""


def limit_buffers(writer: asyncio.StreamWriter) -> None:
    """Let the system and the process buffer little for a connection."""
    sock = writer.get_extra_info("socket")
    for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
    writer.transport.set_write_buffer_limits(high=0)


async def drain_while_read(writer: asyncio.StreamWriter, *, unread_s: float) -> None:
    """Return once the other side has taken what was written, but for what the system buffers.

    Args:
        writer: The connection.
        unread_s: Seconds after which the connection is cut if nothing is taken.

    Raises:
        ConnectionError: The connection was cut or has ended.
    """
    drained = asyncio.ensure_future(writer.drain())
    left = writer.transport.get_write_buffer_size()
    try:
        while not (await asyncio.wait({drained}, timeout=unread_s))[0]:
            before, left = left, writer.transport.get_write_buffer_size()
            if left == before:
                writer.transport.abort()
                raise ConnectionAbortedError("nothing of the response was read")
        drained.result()
    finally:
        drained.cancel()


async def read_slowly(reader: asyncio.StreamReader, *, bytes_per_s: float) -> bytes:
    """Return the next bytes of a connection, so few that the pace is kept."""
    await asyncio.sleep(READ_INTERVAL_S)
    return await reader.read(max(1, int(bytes_per_s * READ_INTERVAL_S)))
