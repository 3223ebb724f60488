"""Socket options that decide how a connection ends."""

from __future__ import annotations

import socket
import struct
from typing import Final

_RESET: Final = struct.pack("ii", 1, 0)
_IN_ORDER: Final = struct.pack("ii", 0, 0)


def set_reset_on_close(sock: socket.socket, *, enabled: bool) -> None:
    """Choose whether closing a socket resets its connection or ends it in order.

    It also holds for a process that is killed, as the system closes its sockets.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET if enabled else _IN_ORDER)
