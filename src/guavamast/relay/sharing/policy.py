"""Whether, and by which weights, organisations share a service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Mapping


@dataclass(frozen=True, slots=True, kw_only=True)
class SharingPolicy:
    """The operators' settings of fair sharing."""

    enabled: bool = True
    weights: Mapping[str, float] = field(default_factory=dict)
    """Weights by organisation; 1 for others."""

    def find_weight(self, organisation: str) -> float:
        """Return the weight of an organisation."""
        return self.weights.get(organisation, 1.0)


EQUAL_SHARES: Final = SharingPolicy()
NO_SHARING: Final = SharingPolicy(enabled=False)
"""What applies without a policy file: sharing costs a part of what is served in total."""
