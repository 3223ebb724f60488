"""Memory of one instance for the bodies of responses that are read before they are forwarded."""

from __future__ import annotations

from typing import Final

TOTAL_BYTES: Final = 8_388_608
"""Bytes of all bodies together: a small part of the smallest instances' memory."""
ALWAYS_ALLOWED_BYTES: Final = 65_536
"""Bytes that each body may have, however many others are held."""


class ResponseMemory:
    """Counts the bytes of all bodies that are being read.

    Failure: some engines send bodies without end to many callers at once. Each body stays below the
    limit of one, and together they take more memory than the instance has, which ends with all its
    requests. Bodies of the usual size are never affected.
    """

    __slots__ = ("_held",)

    def __init__(self) -> None:
        self._held = 0

    def take(self, size: int, *, held: int) -> bool:
        """Return whether a body may grow, and count it.

        Args:
            size: Bytes that are added.
            held: Bytes that the body has so far.
        """
        if held + size > ALWAYS_ALLOWED_BYTES and self._held + size > TOTAL_BYTES:
            return False
        self._held += size
        return True

    def release(self, size: int) -> None:
        """Record that a body is no longer held here."""
        self._held -= size
