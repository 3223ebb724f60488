"""Loopback TCP proxy that delays, resets and drops traffic."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Final

from guavamast.platform.standins.answer_body import reset
from guavamast.platform.standins.site import reserve_port

CHUNK_BYTES: Final = 65_536
"""Maximum number of bytes forwarded at a time."""


class LinkFault(StrEnum):
    """Fault that a link injects."""

    NONE = "none"
    DELAY = "delay"
    """Delays each chunk."""
    CUT_TO_SERVER = "cut_to_server"
    """Drops what the client sends."""
    CUT_TO_CLIENT = "cut_to_client"
    """Drops what the server sends."""
    SILENT = "silent"
    """Drops both directions; new connections are accepted, but forward nothing."""


class LinkProxy:
    """Forwards connections to one server.

    A connection that has lost bytes stays unusable, as on a network: it forwards nothing after the
    fault has ended, and is reset when the fault is ``NONE`` again and either side closes.

    Args:
        target_port: The server's port on loopback.
        delay_s: Delay of each chunk under ``DELAY``.
    """

    def __init__(self, *, target_port: int, delay_s: float = 0.15) -> None:
        self.target_port = target_port
        self.fault = LinkFault.NONE
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._reserved = reserve_port()
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port to which clients connect."""
        return int(self._reserved.getsockname()[1])

    @property
    def is_sound(self) -> bool:
        """Whether it accepts connections and forwards all bytes at once."""
        return self._server is not None and self.fault is LinkFault.NONE

    async def start(self) -> int:
        """Accept connections from now on and return the port."""
        if self._server is None:
            self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self.port

    def stop_listening(self) -> None:
        """Refuse new connections, as the host of a server that has ended does, until ``start``."""
        if self._server is not None:
            self._server.close()
        self._server = None

    async def stop(self) -> None:
        """Stop accepting connections and reset the open ones."""
        self.stop_listening()
        self._reserved.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_all(self) -> None:
        """Reset both sides of each open connection."""
        for writer in list(self._writers):
            reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            reset(writer)
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        self._writers.add(server_writer)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy(reader, server_writer, LinkFault.CUT_TO_SERVER))
                tasks.create_task(self._copy(server_reader, writer, LinkFault.CUT_TO_CLIENT))
        except* OSError:
            reset(writer)
            reset(server_writer)
        finally:
            self._writers.discard(server_writer)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut_fault: LinkFault
    ) -> None:
        lost_bytes = False
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self._delay_s)
            lost_bytes = lost_bytes or self.fault in (cut_fault, LinkFault.SILENT)
            if not lost_bytes:
                writer.write(data)
                await writer.drain()
        if lost_bytes:
            reset(writer)
        elif not writer.is_closing():
            writer.close()
