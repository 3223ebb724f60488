"""A loopback TCP proxy that delays, resets, cuts and silences what passes through it."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum
from typing import Final

CHUNK_BYTES: Final = 65_536
"""Bytes passed on at a time."""
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
"""Socket option with which a close sends a reset instead of an end."""


class LinkFault(StrEnum):
    """What a link does to the bytes on it."""

    NONE = "none"
    DELAY = "delay"
    """Each chunk is held for a while."""
    CUT_TO_SERVER = "cut_to_server"
    """What the client sends is lost."""
    CUT_TO_CLIENT = "cut_to_client"
    """What the server sends is lost."""
    SILENT = "silent"
    """Both directions are lost; new connections are taken and lead nowhere."""


class LinkProxy:
    """Passes connections on to one server.

    Bytes that are lost leave the connection unusable, as on a network: it stays without a word
    after the fault has ended, and is reset when the fault is ``NONE`` again and either side closes.

    Args:
        target_port: The server's port on loopback.
        delay_s: Time for which a delaying link holds each chunk.
    """

    def __init__(self, *, target_port: int, delay_s: float = 0.15) -> None:
        self.target_port = target_port
        self.fault = LinkFault.NONE
        self._delay_s = delay_s
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """The port to which clients connect."""
        assert self._server is not None
        return int(self._server.sockets[0].getsockname()[1])

    async def start(self) -> int:
        """Begin to pass connections on; returns the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self.port

    async def stop(self) -> None:
        """Take no more connections and drop those that are open."""
        assert self._server is not None
        self._server.close()
        self.reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def reset_all(self) -> None:
        """Reset both sides of each open connection."""
        for writer in list(self._writers):
            _reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await self._pass_on(reader, writer)
        except (OSError, asyncio.CancelledError):
            _reset(writer)
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        self._writers.add(server_writer)
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._copy(reader, server_writer, LinkFault.CUT_TO_SERVER))
                tasks.create_task(self._copy(server_reader, writer, LinkFault.CUT_TO_CLIENT))
        except* OSError:
            _reset(writer)
            _reset(server_writer)
        finally:
            self._writers.discard(server_writer)

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, cut: LinkFault
    ) -> None:
        broken = False
        while data := await reader.read(CHUNK_BYTES):
            if self.fault is LinkFault.DELAY:
                await asyncio.sleep(self._delay_s)
            broken = broken or self.fault in (cut, LinkFault.SILENT)
            if not broken:
                writer.write(data)
                await writer.drain()
        if broken:
            _reset(writer)
        elif not writer.is_closing():
            writer.close()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.transport.abort()
