"""Simulated engines, which compute the times of their responses without a network.

An engine prefills one prompt at a time. During a prefill, each event of its running streams is
delayed by one prefill chunk per token of the event.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart

CHUNK_TOKENS: Final = 1_024
"""Prompt tokens that an engine prefills between two tokens of the running requests."""
MERGE_GAP_S: Final = 0.005
"""Prefills that follow one another within this time delay running streams as one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request."""

    name: str
    per_s: float
    """Requests per second."""
    shared_tokens: int
    """Length of a prompt part that several requests share."""
    shared_parts: int
    """Number of different shared parts."""
    unique_tokens: float
    """Mean length of the part that is unique to a request."""
    output_tokens: float
    """Mean length of the response."""
    objective_s: float
    """Longest allowed time to the first event."""
    longest_pause_s: float


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and its result."""

    kind: Kind
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    arrives_at: float
    instance: int
    retried: bool = False
    sent_at: float = 0.0
    first_event: float | None = None
    end: float = 0.0
    engine: SimulatedEngine | None = None


@dataclass(slots=True, kw_only=True)
class SimulatedEngine:
    """One simulated engine.

    Args:
        name: Endpoint id.
        slots: Maximum number of running requests.
        prefill_tokens_per_ms: Prefill speed.
        token_ms: Time per output token.
        start_ms: Time to the first event in addition to the prefill.
        event_tokens: Tokens per event.
        kv_capacity_tokens: Capacity of the KV cache.
    """

    name: str
    slots: int
    prefill_tokens_per_ms: float
    token_ms: float
    start_ms: float
    event_tokens: int
    kv_capacity_tokens: int
    lost_at: float = float("inf")
    prefill_until: float = 0.0
    ends: list[float] = field(default_factory=list)
    """Ends of the running requests, a heap."""
    running: list[tuple[float, int]] = field(default_factory=list)
    """End and KV cache tokens of each running request, a heap."""
    overruns: int = 0
    """Requests that exceeded the KV cache on arrival."""
    prefills: list[tuple[float, float]] = field(default_factory=list)
    """Begin and end of each prefill, merged across short gaps."""
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    """Shared parts in the KV cache, the least recently used first."""
    repeated_prefill_tokens: int = 0
    seen: set[str] = field(default_factory=set)

    def count_uncached(self, request: Request) -> int:
        """Return the prompt tokens of a request that would have to be prefilled."""
        cached = sum(part.tokens for part in request.parts[:-1] if part.part_id in self.parts)
        return request.prompt_tokens - cached

    def compute_prefill_start(self, now: float) -> float:
        """Return when the prefill of a prompt that arrives now would start."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        begin = max(now, self.prefill_until)
        over = len(self.ends) - self.slots
        return begin if over < 0 else max(begin, sorted(self.ends)[over])

    def serve(self, request: Request, now: float, prefilled_parts: set[str]) -> None:
        """Serve a request and record its times in it."""
        uncached = self.count_uncached(request)
        request.sent_at = now
        begin = self.compute_prefill_start(now)
        prefill_end = begin + uncached / self.prefill_tokens_per_ms / 1000.0
        self._record_prefill(begin, prefill_end)
        self.prefill_until = prefill_end
        request.first_event = prefill_end + self.start_ms / 1000.0
        request.end = request.first_event + request.output_tokens * self.token_ms / 1000.0
        request.engine = self
        heapq.heappush(self.ends, request.end)
        self._allocate_kv_cache(request, now)
        self._cache_parts(request, prefilled_parts)

    def _allocate_kv_cache(self, request: Request, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            heapq.heappop(self.running)
        heapq.heappush(self.running, (request.end, request.prompt_tokens + request.output_tokens))
        used = sum(tokens for _, tokens in self.running)
        self.overruns += used > self.kv_capacity_tokens

    def compute_longest_pause(self, request: Request) -> float:
        """Return the longest pause of a served request, in seconds."""
        undisturbed_s = self.event_tokens * self.token_ms / 1000.0
        chunk_s = CHUNK_TOKENS / self.prefill_tokens_per_ms / 1000.0
        longest_s = 0.0
        assert request.first_event is not None
        for begin, end in self.prefills:
            overlap_s = min(end, request.end) - max(begin, request.first_event)
            longest_s = max(longest_s, overlap_s)
        return undisturbed_s + min(longest_s, self.event_tokens * chunk_s)

    def _record_prefill(self, begin: float, end: float) -> None:
        if self.prefills and begin - self.prefills[-1][1] < MERGE_GAP_S:
            self.prefills[-1] = (self.prefills[-1][0], end)
        else:
            self.prefills.append((begin, end))

    def _cache_parts(self, request: Request, prefilled_parts: set[str]) -> None:
        for part in request.parts[:-1]:
            if part.part_id not in self.parts and part.part_id in prefilled_parts:
                self.repeated_prefill_tokens += part.tokens
            prefilled_parts.add(part.part_id)
            self.parts[part.part_id] = part.tokens
            self.parts.move_to_end(part.part_id)
        while sum(self.parts.values()) > self.kv_capacity_tokens // 2:
            self.parts.popitem(last=False)
