"""Selection of the endpoints whose cache is to hold a prompt's prefix, in logarithmic time."""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Iterable

POINTS_PER_ENDPOINT: Final = 32
"""Points of each endpoint on the ring; the endpoints' shares then differ by about 18%."""


class PrefixRing:
    """Consistent hashing of prefixes onto endpoints.

    Rendezvous hashing would hash every endpoint for each new prefix. Here the points are hashed
    once for each set of endpoints, and a prefix moves only when its own endpoint leaves or a new
    one is inserted right before it.

    Args:
        names: The endpoints.
    """

    __slots__ = ("_names", "_points")

    def __init__(self, names: Iterable[str]) -> None:
        ring = sorted(
            (compute_weight(str(number), name), name)
            for name in names
            for number in range(POINTS_PER_ENDPOINT)
        )
        self._points = [point for point, _ in ring]
        self._names = [name for _, name in ring]

    def select(self, prefix_key: str, count: int) -> list[str]:
        """Return up to ``count`` affinity endpoints of a prefix, the preferred one first."""
        if not self._names:
            return []
        start = bisect_right(self._points, compute_weight(prefix_key, ""))
        found: list[str] = []
        for step in range(min(len(self._names), count * POINTS_PER_ENDPOINT * 4)):
            name = self._names[(start + step) % len(self._names)]
            if name not in found:
                found.append(name)
                if len(found) == count:
                    break
        return found
