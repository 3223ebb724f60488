"""Socket options that decide how a connection ends."""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from typing import Final

_RESET: Final = struct.pack("ii", 1, 0)
_IN_ORDER: Final = struct.pack("ii", 0, 0)


def set_reset_on_close(sock: socket.socket, *, enabled: bool) -> None:
    """Choose whether closing a socket resets its connection or ends it in order.

    It also holds for a process that is killed, as the system closes its sockets.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET if enabled else _IN_ORDER)


def has_unsent_bytes(sock: socket.socket) -> bool:
    """Return whether the system holds bytes that the other side hasn't received."""
    try:
        unsent = fcntl.ioctl(sock, termios.TIOCOUTQ, struct.pack("i", 0))
    except OSError:
        return False
    return struct.unpack("i", unsent)[0] > 0


def may_linger(sock: socket.socket) -> bool:
    """Return whether the close of a socket may wait until the other side has received all."""
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, len(_RESET))
    return linger != _RESET and has_unsent_bytes(sock)
