"""Stand-in engines for the relay's choice: they answer by arithmetic, without a network.

An engine reads prompts one after the other. While it reads, each event of its running streams takes
as many pieces of reading as it has tokens.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.messages import PromptPart

PIECE_TOKENS: Final = 1_024
"""Prompt tokens that an engine reads between two tokens of the running requests."""
JOINED_S: Final = 0.005
"""Readings that follow one another within this time disturb as one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """One kind of request."""

    name: str
    per_s: float
    shared_tokens: int
    """Length of a part that several requests share."""
    shared_parts: int
    """How many such parts there are."""
    own_tokens: float
    """Mean length of the part that is a request's own."""
    output_tokens: float
    """Mean length of the answer."""
    objective_s: float
    """To the first event."""
    longest_pause_s: float


@dataclass(slots=True, kw_only=True)
class Request:
    """One request and what became of it."""

    kind: Kind
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    asked: float
    instance: int
    returned: bool = False
    sent: float = 0.0
    first_event: float | None = None
    end: float = 0.0
    engine: ReadingEngine | None = None


@dataclass(slots=True, kw_only=True)
class ReadingEngine:
    """One engine.

    Args:
        name: Its id.
        slots: Requests that run at the same time.
        read_tokens_per_ms: Reading speed.
        token_ms: Time of a token.
        start_ms: To the first event beside reading.
        event_tokens: Tokens of an event.
        memory_tokens: Tokens that its memory holds.
    """

    name: str
    slots: int
    read_tokens_per_ms: float
    token_ms: float
    start_ms: float
    event_tokens: int
    memory_tokens: int
    lost_at: float = float("inf")
    read_until: float = 0.0
    ends: list[float] = field(default_factory=list)
    """Ends of the running requests, a heap."""
    running: list[tuple[float, int]] = field(default_factory=list)
    """Ends of the running requests with the tokens that each takes in memory, a heap."""
    overruns: int = 0
    """Requests for which there was no memory when they came."""
    readings: list[tuple[float, float]] = field(default_factory=list)
    """Times in which it reads, joined."""
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    """Shared parts in its memory, the least recently used first."""
    read_again_tokens: int = 0
    seen: set[str] = field(default_factory=set)

    def count_unread(self, request: Request) -> int:
        """Return the prompt tokens that it would have to read."""
        cached = sum(part.tokens for part in request.parts[:-1] if part.part_id in self.parts)
        return request.prompt_tokens - cached

    def find_begin(self, now: float) -> float:
        """Return when it would begin to read a prompt that comes now."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        begin = max(now, self.read_until)
        over = len(self.ends) - self.slots
        return begin if over < 0 else max(begin, sorted(self.ends)[over])

    def serve(self, request: Request, now: float, read_anywhere: set[str]) -> None:
        """Take a request; its times stand in it afterwards."""
        unread = self.count_unread(request)
        request.sent = now
        begin = self.find_begin(now)
        read_end = begin + unread / self.read_tokens_per_ms / 1000.0
        self._note_reading(begin, read_end)
        self.read_until = read_end
        request.first_event = read_end + self.start_ms / 1000.0
        request.end = request.first_event + request.output_tokens * self.token_ms / 1000.0
        request.engine = self
        heapq.heappush(self.ends, request.end)
        self._take_memory(request, now)
        self._keep_parts(request, read_anywhere)

    def _take_memory(self, request: Request, now: float) -> None:
        while self.running and self.running[0][0] <= now:
            heapq.heappop(self.running)
        heapq.heappush(self.running, (request.end, request.prompt_tokens + request.output_tokens))
        taken = sum(tokens for _, tokens in self.running)
        self.overruns += taken > self.memory_tokens

    def measure_pause(self, request: Request) -> float:
        """Return the longest pause of a request that it has served, in seconds."""
        calm_s = self.event_tokens * self.token_ms / 1000.0
        piece_s = PIECE_TOKENS / self.read_tokens_per_ms / 1000.0
        longest_s = 0.0
        assert request.first_event is not None
        for begin, end in self.readings:
            together_s = min(end, request.end) - max(begin, request.first_event)
            longest_s = max(longest_s, together_s)
        return calm_s + min(longest_s, self.event_tokens * piece_s)

    def _note_reading(self, begin: float, end: float) -> None:
        if self.readings and begin - self.readings[-1][1] < JOINED_S:
            self.readings[-1] = (self.readings[-1][0], end)
        else:
            self.readings.append((begin, end))

    def _keep_parts(self, request: Request, read_anywhere: set[str]) -> None:
        for part in request.parts[:-1]:
            if part.part_id not in self.parts and part.part_id in read_anywhere:
                self.read_again_tokens += part.tokens
            read_anywhere.add(part.part_id)
            self.parts[part.part_id] = part.tokens
            self.parts.move_to_end(part.part_id)
        while sum(self.parts.values()) > self.memory_tokens // 2:
            self.parts.popitem(last=False)
