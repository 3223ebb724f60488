"""Properties of a request that determine the choice of its endpoint."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.relay.placement.engine_forecast import FRESH_LOADS_LIMIT

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart
    from guavamast.relay.placement.engine_forecast import KvLimit
    from guavamast.relay.placement.engine_profile import EngineProfile


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The properties of one request that determine the choice of its endpoint."""

    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    failure_domain: str
    """Failure domain of the sending instance."""
    bucket: int
    """Length bucket of its prompt."""
    bucket_shares: tuple[float, ...]
    """Share of the engines for each length bucket."""
    output_tokens: int
    """Token limit of the answer."""
    kv_capacity_tokens: int
    """Tokens that fit into an engine's KV cache; 0 for plain services."""
    profile: EngineProfile
    """Profile of the service's engines; unused for plain services."""
    transfer_bytes: int = 0
    """Bytes of the request and its expected response on the path to the endpoint."""
    objective_s: float = float("inf")
    """Time in which the first event is due."""
    pause_sensitive: bool = False
    """Whether it is pause-sensitive: concurrent prefills of long prompts would make it late."""
    shortest_pause_s: float = float("inf")
    """The longest allowed pause of the most pause-sensitive streams of its service."""
    kv_limit: KvLimit = FRESH_LOADS_LIMIT
    """How much of an engine's KV cache running requests may take."""
    loads_stale: bool = False
    """Whether load updates are too late for a comparison of all endpoints."""

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """The parts that other requests may share: all but the last."""
        return self.prompt_parts[:-1]

    @property
    def shared_tokens(self) -> int:
        """Tokens of all parts that other requests share."""
        return sum(part.tokens for part in self.shared_parts)
