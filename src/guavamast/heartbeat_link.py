"""One stream of heartbeats."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from guavamast.heartbeat_exchange import ExchangeState

if TYPE_CHECKING:
    from collections.abc import Callable

    from grpclib.client import Stream as ClientStream
    from grpclib.server import Stream as ServerStream

    from guavamast.peer_pb2 import HeartbeatMessage


class HeartbeatLink:
    """Sends on a stream when woken and receives from it, each in a task of its own.

    Failure: a peer that is stopped takes nothing from its socket, and a send to it never returns.
    Only this link's sender waits then, and messages are made when they can be sent, so that none
    pile up.

    Args:
        stream: Either end of a ``Gossip`` stream.
        address: The address that was dialled; empty where the peer dialled.
        now: The present time.
    """

    __slots__ = (
        "_sent",
        "_stream",
        "_tasks",
        "_wake",
        "address",
        "received_at",
        "state",
        "used_at",
    )

    def __init__(self, *, stream: ClientStream | ServerStream, address: str, now: float) -> None:
        self._stream = stream
        self._wake = asyncio.Event()
        self._sent = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.address = address
        self.state = ExchangeState()
        self.received_at = now
        """When the last message came, or the stream was opened."""
        self.used_at = now
        """When the peer was last a neighbour."""

    def wake(self) -> None:
        """Send a message as soon as the stream takes one."""
        self._sent.clear()
        self._wake.set()

    def reset_silence(self, now: float) -> None:
        """Count the stream's silence from now on, after this process was paused."""
        self.received_at = max(self.received_at, now)

    def close(self) -> None:
        """End the stream."""
        for task in self._tasks:
            task.cancel()

    async def wait_sent(self) -> None:
        """Wait until the message that was last asked for is sent."""
        await self._sent.wait()

    async def run(
        self,
        *,
        build_message: Callable[[], HeartbeatMessage],
        on_message: Callable[[HeartbeatMessage], None],
    ) -> bool:
        """Exchange messages until either end closes the stream.

        Args:
            build_message: Makes the next message to send.
            on_message: Takes a received message.

        Returns:
            Whether the stream broke, rather than being closed.
        """
        self._wake.set()
        self._tasks = [
            asyncio.ensure_future(self._send(build_message)),
            asyncio.ensure_future(self._receive(on_message)),
        ]
        try:
            await asyncio.wait(self._tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.close()
        results = await asyncio.gather(*self._tasks, return_exceptions=True)
        errors = [result for result in results if isinstance(result, Exception)]
        broken = [error for error in errors if isinstance(error, (StreamTerminatedError, OSError))]
        for error in errors:
            if error not in broken:
                raise error
        return bool(broken)

    async def _send(self, build_message: Callable[[], HeartbeatMessage]) -> None:
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._stream.send_message(build_message())
            self._sent.set()

    async def _receive(self, on_message: Callable[[HeartbeatMessage], None]) -> None:
        try:
            while (message := await self._stream.recv_message()) is not None:
                on_message(message)
        except (GRPCError, ProtocolError):
            return
