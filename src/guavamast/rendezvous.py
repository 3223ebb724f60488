"""Rendezvous (highest random weight) hashing."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def compute_weight(key: str, candidate: str) -> int:
    """Return the 64-bit weight of a candidate for a key; the same in every process."""
    digest = blake2b(f"{key}\x00{candidate}".encode(), digest_size=8).digest()
    return int.from_bytes(digest)


@lru_cache(maxsize=1024)
def compute_weight_cached(key: str, candidate: str) -> int:
    """Return the weight of a candidate from a cache, for few names that are looked up often."""
    return compute_weight(key, candidate)


def rank(key: str, candidates: Iterable[str]) -> list[str]:
    """Return the candidates in descending order of their weight for a key."""
    return sorted(candidates, key=lambda name: (compute_weight(key, name), name), reverse=True)
