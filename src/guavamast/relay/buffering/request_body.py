"""The body of one request, from its first byte until the request has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.buffering.memory_account import MemoryUse

if TYPE_CHECKING:
    from guavamast.relay.buffering.memory_account import MemoryAccount

SMALL_BODY_BYTES: Final = 65_536
"""Bytes of a request body that is accepted even while the account is full."""


class RequestBody:
    """Collects a body whose memory is accounted for until its request has ended.

    A body with a stated length counts as a whole from its head on. Heads that come at once would
    all find room otherwise, and their bodies together end the process by its memory.

    Args:
        account: The instance's memory.
        rejects: Whether large bodies are rejected while there is no room for them.
    """

    __slots__ = ("_account", "_content", "_counted", "_rejects", "size")

    def __init__(self, *, account: MemoryAccount, rejects: bool) -> None:
        self._account = account
        self._rejects = rejects
        self._content = bytearray()
        self._counted = 0
        self.size = 0
        """Bytes received."""

    def reserve(self, size: int) -> bool:
        """Count the body with a size that it may grow to; return False if there is no room."""
        needed = size - self._counted
        if needed <= 0:
            return True
        small = size <= SMALL_BODY_BYTES
        if self._rejects and not small and not self._account.has_room(needed):
            return False
        self._account.add(MemoryUse.REQUEST, needed)
        self._counted = size
        return True

    def append(self, chunk: bytes) -> None:
        """Add the next bytes; they count in any case, also without a reservation."""
        self._content += chunk
        self.size += len(chunk)
        if self.size > self._counted:
            self._account.add(MemoryUse.REQUEST, self.size - self._counted)
            self._counted = self.size

    def take(self) -> bytes:
        """Return the whole body, which counts on until it is released."""
        content = bytes(self._content)
        self._content = bytearray()
        return content

    def release(self) -> None:
        """Drop the body and count it as no longer held; repeated calls have no effect."""
        counted, self._counted = self._counted, 0
        self._content = bytearray()
        if counted:
            self._account.release(MemoryUse.REQUEST, counted)
