"""Shards of the bound streams that are saved in the store."""

from __future__ import annotations

from typing import Final

SHARDS: Final = 48
"""Parts into which bound streams are divided: one instance writes a row for each, with a condition,
and all of them together stay within what one transaction may have."""
PREFIX_DIGITS: Final = 8
"""Parts of a stream key, its first hexadecimal digits, that select its shard."""


def find_shard(key: str) -> int:
    """Return the shard of a stream key."""
    return int(key[:PREFIX_DIGITS], 16) % SHARDS
