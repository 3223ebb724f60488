"""Bytes that were written to a connection and that its peer has not received."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    import asyncio
    from asyncio.trsock import TransportSocket

_COUNT: Final = struct.Struct("i")


def count_unreceived(transport: asyncio.Transport) -> int:
    """Return the bytes that the peer's host has not acknowledged.

    They wait in the transport's buffer or in the kernel's send queue, whose length tcp(7) calls
    ``SIOCOUTQ``. A peer that has closed the connection acknowledges nothing more, so what is left
    then will never be received.
    """
    sock = transport.get_extra_info("socket")
    queued = 0 if sock is None else _read_send_queue(sock)
    return transport.get_write_buffer_size() + queued


def _read_send_queue(sock: TransportSocket) -> int:
    """Return the length of a send queue; 0 where the system doesn't tell."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(_COUNT.size))
    except (OSError, ValueError):
        return 0
    return int(_COUNT.unpack(answer)[0])
