"""The events of one stream on their way to its caller, however fast the caller reads."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Final

from guavamast.relay.buffering import MemoryUse, SlowReader

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.messages import ResponseWriter

WRITE_BYTES: Final = 65_536
"""Bytes that are written together at most; each write shows that its caller still reads."""


class StreamDelivery:
    """Writes events in order, and holds those that the caller's connection doesn't take yet.

    Args:
        writer: The caller's response.
        account: The instance's memory; held events count until the connection has taken them.
        readers: All callers that are written to.
        on_cut: Called when the caller is cut off, as it is slow and memory is short.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_account",
        "_closed",
        "_flushed",
        "_on_cut",
        "_pending",
        "_read_time",
        "_readers",
        "_writing",
        "reader",
        "writer",
    )

    def __init__(
        self,
        *,
        writer: ResponseWriter,
        account: MemoryAccount,
        readers: SlowReaders,
        on_cut: Callable[[SlowReader], None],
        read_time: Callable[[], float],
    ) -> None:
        self.writer = writer
        self._account = account
        self._readers = readers
        self._on_cut = on_cut
        self._read_time = read_time
        self._pending: deque[tuple[float, bytes]] = deque()
        self._writing = 0
        """Bytes of the write that isn't complete."""
        self._flushed: asyncio.Future[None] | None = None
        self._closed = False
        self.reader = SlowReader(cut_off=self._cut_off)
        """What is held for the caller."""
        readers.open(self.reader)

    @property
    def may_read(self) -> bool:
        """Whether the endpoint is read on."""
        return self._readers.may_read(self.reader)

    @property
    def is_behind(self) -> bool:
        """Whether the caller's connection hasn't taken all events yet."""
        return self._writing > 0

    async def wait_for_room(self) -> None:
        """Return when the endpoint may be read on."""
        await self._readers.wait_for_room(self.reader, read_time=self._read_time)

    def put(self, data: bytes) -> None:
        """Write events, as soon as those before them are written.

        Raises:
            CancelledError: The caller has left.
        """
        if self._closed:
            raise asyncio.CancelledError
        now = self._read_time()
        if not self._writing:
            self._write(data, now)
        else:
            self._hold(len(data))
            self._pending.append((now, data))
        if self._closed:
            raise asyncio.CancelledError

    async def flush(self) -> None:
        """Return when the caller's connection has taken all events.

        Raises:
            CancelledError: The caller has left.
        """
        if self._writing and not self._closed:
            self._flushed = asyncio.get_running_loop().create_future()
            await self._flushed
        if self._closed:
            raise asyncio.CancelledError

    def close(self) -> None:
        """Drop what wasn't written; repeated calls have no effect."""
        self._closed = True
        self._pending.clear()
        self._writing = 0
        self._readers.close(self.reader)
        self._release(self.reader.held_bytes)
        self._finish_flush()

    def _write(self, data: bytes, since: float) -> None:
        """Begin a write of events that aren't held yet."""
        written = self.writer.begin_write(data)
        if written is None:
            return
        self._hold(len(data))
        self._await_write(written, len(data), since)

    def _await_write(self, written: asyncio.Future[None], size: int, since: float) -> None:
        self._writing = size
        self.reader.unsent_since = since
        written.add_done_callback(self._continue)

    def _continue(self, written: asyncio.Future[None]) -> None:
        """Write the next events after a write has ended."""
        if self._closed:
            return
        if written.cancelled() or written.exception() is not None:
            self.close()
            return
        size, self._writing = self._writing, 0
        self._release(size)
        while self._pending and not self._writing:
            since = self._pending[0][0]
            data = self._take_pending()
            following = self.writer.begin_write(data)
            if following is None:
                self._release(len(data))
            else:
                self._await_write(following, len(data), since)
        if not self._writing:
            self._finish_flush()

    def _take_pending(self) -> bytes:
        """Return the next events, together up to the size of one write."""
        taken = [self._pending.popleft()[1]]
        size = len(taken[0])
        while self._pending and size + len(self._pending[0][1]) <= WRITE_BYTES:
            taken.append(self._pending.popleft()[1])
            size += len(taken[-1])
        return b"".join(taken)

    def _cut_off(self) -> None:
        self._on_cut(self.reader)
        self.close()
        self.writer.abort()

    def _hold(self, size: int) -> None:
        self.reader.held_bytes += size
        self._account.add(MemoryUse.BACKLOG, size)

    def _release(self, size: int) -> None:
        if size:
            self.reader.held_bytes -= size
            self._account.release(MemoryUse.BACKLOG, size)

    def _finish_flush(self) -> None:
        if self._flushed is not None and not self._flushed.done():
            self._flushed.set_result(None)
