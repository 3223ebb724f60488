"""What is known of one request when its endpoint is chosen."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.relay.engine_model import RECENT_LIMIT

if TYPE_CHECKING:
    from guavamast.relay.engine_model import MemoryLimit
    from guavamast.relay.engine_profile import EngineProfile
    from guavamast.relay.messages import PromptPart


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The facts of one request that matter for its place."""

    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    failure_domain: str
    """Of the instance that sends."""
    lane: int
    """Which engines are meant for its prompt."""
    lane_shares: tuple[float, ...]
    """Share of the engines that each lane of prompts should have."""
    output_tokens: int
    """Most tokens that the answer may have."""
    memory_tokens: int
    """Tokens that fit into an engine's memory; 0 for plain services."""
    profile: EngineProfile
    """How fast the service's engines are; of no account for plain services."""
    objective_s: float = float("inf")
    """Time in which the first event is due."""
    delicate: bool = False
    """Whether long prompts that are read beside it would make it late."""
    shortest_pause_s: float = float("inf")
    """The longest pause that the most delicate streams of its service may have."""
    memory_limit: MemoryLimit = RECENT_LIMIT
    """How much of an engine's memory running requests may take."""
    loads_late: bool = False
    """Whether other instances' work is told too late to be compared at all endpoints."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.shared_parts)
