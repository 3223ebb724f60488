"""The body of one response that is read whole before it is forwarded."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.buffering.memory_account import MemoryUse

if TYPE_CHECKING:
    from guavamast.relay.buffering.memory_account import MemoryAccount

MAX_BODY_BYTES: Final = 4_194_304
"""Bytes of a response body that may be buffered before it is forwarded."""
UNRESERVED_BYTES: Final = 65_536
"""Bytes that each body may have without a reservation; bodies of the usual size never wait."""


class BodyTooLarge(Exception):
    """A body exceeds the limit of one."""


class ResponseBody:
    """Collects a body whose memory is accounted for until its caller has it.

    A body that grows beyond the unreserved bytes first reserves all that it may still need. So a
    body that waits holds next to nothing, those that hold a reservation can be read to their ends,
    and no two wait for each other.

    Args:
        account: The instance's memory.
        max_bytes: Bytes that the body may have.
        length: Length that the endpoint has stated; None if it hasn't.
    """

    __slots__ = ("_account", "_chunks", "_counted", "_length", "_max_bytes", "_released", "size")

    def __init__(
        self, *, account: MemoryAccount, max_bytes: int = MAX_BODY_BYTES, length: int | None = None
    ) -> None:
        self._account = account
        self._max_bytes = max_bytes
        self._length = length
        self._chunks: list[bytes] = []
        self._counted = 0
        self._released = False
        self.size = 0
        """Bytes received."""

    def needs_room(self, size: int) -> bool:
        """Return whether the body has to wait for room before it grows by some bytes."""
        needed = self._compute_reservation(size)
        return needed > 0 and not self._account.has_room(needed)

    async def append(self, chunk: bytes) -> None:
        """Add the next bytes, as soon as there is room for the body.

        Raises:
            BodyTooLarge: The body exceeds its limit.
        """
        if self.size + len(chunk) > self._max_bytes:
            raise BodyTooLarge("response body exceeds the limit")
        needed = self._compute_reservation(len(chunk))
        if needed:
            await self._account.reserve(MemoryUse.RESPONSE, needed)
            self._counted += needed
        self.size += len(chunk)
        if self.size > self._counted:
            self._account.add(MemoryUse.RESPONSE, self.size - self._counted)
            self._counted = self.size
        self._chunks.append(chunk)

    def complete(self) -> bytes:
        """Return the whole body, which counts on with its size until it is released."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        self._account.release(MemoryUse.RESPONSE, self._counted - self.size)
        self._counted = self.size
        return body

    def release(self) -> None:
        """Count the body as no longer held; repeated calls have no effect."""
        if not self._released:
            self._released = True
            self._account.release(MemoryUse.RESPONSE, self._counted)

    def _compute_reservation(self, size: int) -> int:
        """Return the bytes to reserve before the body grows; 0 if it needs no reservation."""
        if self.size + size <= max(UNRESERVED_BYTES, self._counted):
            return 0
        longest = self._max_bytes if self._length is None else min(self._length, self._max_bytes)
        return max(longest, self.size + size) - self._counted
