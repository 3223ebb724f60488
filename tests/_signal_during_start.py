"""An instance that gets SIGTERM right after its listeners for callers have opened."""

from __future__ import annotations

import os
import runpy
import signal
from typing import TYPE_CHECKING

from guavamast.relay.peer_socket import PeerSocket

if TYPE_CHECKING:
    from guavamast.relay.peer_messages import PeerMessages

_open = PeerSocket.open


async def open_after_signal(
    peer_socket: PeerSocket, ip: str, port: int, *, messages: PeerMessages
) -> None:
    """Open the socket, which the start does after the listeners."""
    os.kill(os.getpid(), signal.SIGTERM)
    await _open(peer_socket, ip, port, messages=messages)


if __name__ == "__main__":
    PeerSocket.open = open_after_signal  # type: ignore[method-assign]
    runpy.run_module("guavamast.platform", run_name="__main__")
