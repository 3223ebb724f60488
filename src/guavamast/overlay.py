"""Overlay topology for heartbeats: rings of members ordered by rendezvous weight.

Each member is linked to its predecessor and its successor on every ring. The rings of the whole
fleet keep it connected whatever fails within a region; the ring of each region keeps that region
connected at the moment at which it loses the others. A join or a leave changes two links per ring.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

FLEET_RINGS: Final = 2
"""Rings through all members. The diameter of two random rings grows logarithmically."""
REGION_RINGS: Final = 1
"""Rings through the members of one region."""


class Overlay:
    """Computes neighbours and caches ring weights between calls."""

    __slots__ = ("_weights",)

    def __init__(self) -> None:
        self._weights: dict[tuple[str, str], int] = {}

    def find_neighbours(self, name: str, regions: Mapping[str, str]) -> frozenset[str]:
        """Return the members that one member is linked to; the relation is symmetric.

        Args:
            name: The member, which must be in ``regions``.
            regions: Region by name, of every other member and the member itself.

        Returns:
            At most two names per ring.
        """
        region = regions[name]
        in_region = [other for other, place in regions.items() if place == region]
        found: set[str] = set()
        for number in range(FLEET_RINGS):
            found |= self._find_adjacent(f"fleet-{number}", name, regions)
        for number in range(REGION_RINGS):
            found |= self._find_adjacent(f"region-{region}-{number}", name, in_region)
        return frozenset(found - {name})

    def forget(self, name: str) -> None:
        """Drop the cached weights of a member that is forgotten."""
        self._weights = {key: w for key, w in self._weights.items() if key[1] != name}

    def _find_adjacent(self, ring: str, name: str, candidates: Iterable[str]) -> set[str]:
        own = self._compute_position(ring, name)
        positions = [self._compute_position(ring, other) for other in candidates if other != name]
        if not positions:
            return set()
        after = min((p for p in positions if p > own), default=min(positions))
        before = max((p for p in positions if p < own), default=max(positions))
        return {after[1], before[1]}

    def _compute_position(self, ring: str, name: str) -> tuple[int, str]:
        weight = self._weights.get((ring, name))
        if weight is None:
            weight = compute_weight(ring, name)
            self._weights[ring, name] = weight
        return weight, name
