"""Deltas between two versions of the configuration text.

With 7,600 organisations the text has about a megabyte. Sent whole at each of 690 changes a day, it
would use up the control traffic of an instance. Most changes touch one place, so the text between
the common prefix and the common suffix is small.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from hashlib import blake2b
from typing import Final

CHAIN_LENGTH: Final = 64
"""Maximum number of deltas kept for peers."""
CHAIN_CHARACTERS: Final = 262_144
"""Maximum characters kept in all deltas together; bounds memory use."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigurationDelta:
    """Change from the text of ``base`` to that of ``version``."""

    base: int
    version: int
    start: int
    """Length of the common prefix in characters."""
    end: int
    """Length of the common suffix in characters."""
    middle: str
    digest: int
    """`compute_digest` of the new text."""


def compute_digest(text: str) -> int:
    """Return a 64-bit digest of a text."""
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest())


def create_delta(*, base: int, old: str, version: int, new: str) -> ConfigurationDelta:
    """Return the delta between two texts."""
    start = _count_common_start(old, new)
    limit = min(len(old), len(new)) - start
    old_tail, new_tail = old[len(old) - limit :], new[len(new) - limit :]
    end = _count_common_start(old_tail[::-1], new_tail[::-1])
    return ConfigurationDelta(
        base=base,
        version=version,
        start=start,
        end=end,
        middle=new[start : len(new) - end],
        digest=compute_digest(new),
    )


def apply_delta(delta: ConfigurationDelta, *, version: int, text: str) -> str | None:
    """Return the new text, or None when the delta does not apply to this text.

    A delta of another base would give a text that nobody accepted. The delta carries the digest of
    its result, so such a text is dropped and the whole text is requested.
    """
    if delta.base != version or delta.start + delta.end > len(text):
        return None
    result = text[: delta.start] + delta.middle + text[len(text) - delta.end :]
    return result if compute_digest(result) == delta.digest else None


class DeltaChain:
    """Recent deltas of one instance, each based on the previous one."""

    __slots__ = ("_deltas",)

    def __init__(self) -> None:
        self._deltas: deque[ConfigurationDelta] = deque()

    def append(self, delta: ConfigurationDelta) -> None:
        """Add a delta and drop the oldest ones beyond the bounds."""
        self._deltas.append(delta)
        while self._deltas and self._exceeds_bounds():
            self._deltas.popleft()

    def list_since(self, version: int) -> tuple[ConfigurationDelta, ...]:
        """Return the deltas from a version to the latest one, or none if it is no kept base."""
        kept = list(self._deltas)
        for index, delta in enumerate(kept):
            if delta.base == version:
                return tuple(kept[index:])
        return ()

    def _exceeds_bounds(self) -> bool:
        characters = sum(len(delta.middle) for delta in self._deltas)
        return len(self._deltas) > CHAIN_LENGTH or characters > CHAIN_CHARACTERS


def _count_common_start(first: str, second: str) -> int:
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
