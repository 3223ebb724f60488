"""A fake engine that batches continuously, and the event queue that drives it."""

from __future__ import annotations

import heapq
from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.workload import Request

PREFILL_S_PER_TOKEN: Final = 0.0002
CACHED_SHARE: Final = 0.1
"""Share of the prefill that remains when the prompt's prefix is cached."""
LONE_SHARE: Final = 0.6
"""Time for a token of a lone request, as a share of that in a full batch."""


class EventQueue:
    """Events in the order of their time."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        self._count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._count, action))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.call_at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until


@dataclass(slots=True, eq=False)
class Run:
    """One attempt at one engine."""

    request: Request
    on_first: Callable[[], None]
    on_end: Callable[[bool], None]
    """Called with whether the answer came whole."""
    skip_tokens: int = 0
    """Tokens that an earlier attempt has delivered already."""
    imports: bool = False
    """Whether the KV cache of a paused attempt is imported instead of a prefill."""
    started_at: float = 0.0
    start_mark: float = 0.0
    first_at: float | None = None
    prefill: float = 0.0
    over: bool = False


class FakeEngine:
    """Streams tokens to all requests of its batch, slower the fuller the batch is.

    Progress is counted in tokens a request of the batch has got since the start, the same number
    for all, so that a change of the batch moves no other event.
    """

    def __init__(
        self,
        *,
        events: EventQueue,
        name: str,
        slots: int,
        token_s: float,
        batches: bool,
        cache: int,
    ) -> None:
        self.name = name
        self.slots = slots
        self.token_s = token_s
        self.batches = batches
        self.factor = 1.0
        self.crashed = False
        self.computed = 0.0
        """Tokens computed, a prefill counted by its time."""
        self.running: dict[Run, None] = {}
        self.waiting: list[Run] = []
        self._events = events
        self._mark = 0.0
        self._marked_at = 0.0
        self._ends: list[tuple[float, int, bool, Run]] = []
        self._count = 0
        self._version = 0
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_size = cache

    @property
    def load(self) -> int:
        """Requests running and waiting."""
        return len(self.running) + len(self.waiting)

    def start(self, run: Run) -> None:
        """Take a request; it waits in the engine when the batch is full."""
        if self.crashed:
            self._events.call_later(0.001, lambda: run.on_end(False))
        elif len(self.running) >= self.slots:
            self.waiting.append(run)
        else:
            self._begin(run)

    def cancel(self, run: Run) -> float:
        """Stop a request and return the tokens computed for it."""
        if run in self.waiting:
            self.waiting.remove(run)
            return 0.0
        if run not in self.running:
            return 0.0
        self._advance()
        computed = self.compute_done(run)
        del self.running[run]
        run.over = True
        self._fill()
        self._plan()
        return computed

    def compute_done(self, run: Run) -> float:
        """Return the tokens computed for a running request so far."""
        self._advance()
        return max(0.0, self._mark - run.start_mark)

    def crash(self) -> None:
        """Fail all requests; new ones fail at once until `recover`."""
        self.crashed = True
        self._advance()
        runs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache.clear()
        self._plan()
        for run in runs:
            run.over = True
            run.on_end(False)

    def recover(self) -> None:
        """End a crash."""
        self.crashed = False

    def straggle(self, factor: float) -> None:
        """Slow down, or return to full speed with 1."""
        self._advance()
        self.factor = factor
        self._plan()

    def estimate_s(self, request: Request) -> float:
        """Return the time that a request would take here, were the batch full."""
        prefill, tokens = self._measure(request, imports=False)
        return (prefill + tokens) * self.token_s * self.factor

    def has_cached(self, prefix_key: str) -> bool:
        """Return whether a prefix is in the cache."""
        return prefix_key in self._cache

    def _measure(self, request: Request, *, imports: bool) -> tuple[float, int]:
        if not self.batches:
            return 0.0, request.tokens
        share = CACHED_SHARE if imports or request.prefix_key in self._cache else 1.0
        return request.prompt_tokens * PREFILL_S_PER_TOKEN * share / self.token_s, request.tokens

    def _begin(self, run: Run) -> None:
        self._advance()
        run.prefill, tokens = self._measure(run.request, imports=run.imports)
        run.started_at = self._events.now
        run.start_mark = self._mark
        if run.request.prefix_key:
            self._cache[run.request.prefix_key] = None
            self._cache.move_to_end(run.request.prefix_key)
            if len(self._cache) > self._cache_size:
                self._cache.popitem(last=False)
        self.running[run] = None
        first = self._mark + run.prefill + 1
        end = self._mark + run.prefill + max(1, tokens - run.skip_tokens)
        for mark, is_end in ((first, False), (end, True)):
            self._count += 1
            heapq.heappush(self._ends, (mark, self._count, is_end, run))
        self._plan()

    def _interval(self) -> float:
        if not self.batches:
            return self.token_s * self.factor
        fill = len(self.running) / self.slots
        return self.token_s * self.factor * (LONE_SHARE + (1 - LONE_SHARE) * fill)

    def _advance(self) -> None:
        elapsed = self._events.now - self._marked_at
        if self.running and elapsed > 0:
            gained = elapsed / self._interval()
            self._mark += gained
            self.computed += gained * len(self.running)
        self._marked_at = self._events.now

    def _plan(self) -> None:
        """Plan the next event; an event of an older plan does nothing."""
        self._version += 1
        version = self._version
        while self._ends and self._ends[0][3].over:
            heapq.heappop(self._ends)
        if self._ends:
            delay = max(0.0, (self._ends[0][0] - self._mark) * self._interval())
            self._events.call_later(delay, lambda: self._step(version))

    def _step(self, version: int) -> None:
        if version != self._version:
            return
        self._advance()
        ended = []
        while self._ends and (self._ends[0][0] <= self._mark + 1e-6 or self._ends[0][3].over):
            _, _, is_end, run = heapq.heappop(self._ends)
            if run.over:
                continue
            if is_end:
                run.over = True
                del self.running[run]
                ended.append(run)
            else:
                run.first_at = self._events.now
                run.on_first()
        self._fill()
        self._plan()
        for run in ended:
            run.on_end(True)

    def _fill(self) -> None:
        while self.waiting and len(self.running) < self.slots and not self.crashed:
            self._begin(self.waiting.pop(0))
