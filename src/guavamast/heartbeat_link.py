"""A single heartbeat stream."""

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

    A stopped peer does not read from its socket, and a send to it never returns. In that case only
    this link's sending task blocks, and messages are built only when they can be sent, so none
    queue up.

    Args:
        stream: Either end of a ``Gossip`` stream.
        address: The dialled address; empty if the peer dialled.
        now: Current time.
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
        """Time at which the last message was received or the stream was opened."""
        self.used_at = now
        """Time at which the peer was last a neighbour."""

    def wake(self) -> None:
        """Send a message as soon as the stream accepts one."""
        self._sent.clear()
        self._wake.set()

    def reset_silence(self, now: float) -> None:
        """Restart the measurement of silence after this process was paused."""
        self.received_at = max(self.received_at, now)

    def close(self) -> None:
        """Close the stream."""
        for task in self._tasks:
            task.cancel()

    async def wait_sent(self) -> None:
        """Wait until the message of the last `wake` is sent."""
        await self._sent.wait()

    async def run(
        self,
        *,
        build_message: Callable[[], HeartbeatMessage],
        on_message: Callable[[HeartbeatMessage], None],
    ) -> bool:
        """Exchange messages until either end closes the stream.

        Args:
            build_message: Returns the next message to send.
            on_message: Called with each received message.

        Returns:
            Whether the stream broke rather than being closed.
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
