"""A fake engine with continuous batching, and the event queue that drives it."""

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
"""Share of the prefill time that remains if the prompt's prefix is cached."""
SINGLE_REQUEST_SHARE: Final = 0.6
"""Time per token of a single request, as a share of that in a full batch."""


class EventQueue:
    """Simulated clock that runs actions in the order of their times."""

    def __init__(self) -> None:
        self.now = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def call_at(self, time: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._count, action))

    def call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.call_at(self.now + delay_s, action)

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, action = heapq.heappop(self._heap)
            action()
        self.now = until


@dataclass(slots=True, eq=False)
class Run:
    """One attempt of a request at one engine."""

    request: Request
    on_first: Callable[[], None]
    on_end: Callable[[bool], None]
    """Called with whether the response is complete."""
    skip_tokens: int = 0
    """Tokens that an earlier attempt has already delivered."""
    imports_kv_cache: bool = False
    """Whether the KV cache of a paused attempt is imported instead of a prefill."""
    started_at: float = 0.0
    start_progress: float = 0.0
    first_at: float | None = None
    prefill: float = 0.0
    ended: bool = False


class FakeEngine:
    """Streams tokens to all requests of its batch; the time per token grows with the batch.

    Progress counts the tokens that each running request receives; it is the same for all. Events
    are due at a progress instead of a time, so a change of the batch leaves their order as it is.
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
        """Tokens computed; a prefill counts as the tokens that could be generated in its time."""
        self.running: dict[Run, None] = {}
        self.waiting: list[Run] = []
        self._events = events
        self._progress = 0.0
        self._progress_at = 0.0
        self._events_due: list[tuple[float, int, bool, Run]] = []
        self._count = 0
        self._schedule_version = 0
        self._cache: OrderedDict[str, None] = OrderedDict()
        self._cache_size = cache

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return len(self.running) + len(self.waiting)

    def start(self, run: Run) -> None:
        """Start a request, or queue it in the engine if the batch is full."""
        if self.crashed:
            self._events.call_later(0.001, lambda: run.on_end(False))
        elif len(self.running) >= self.slots:
            self.waiting.append(run)
        else:
            self._begin(run)

    def cancel(self, run: Run) -> float:
        """Cancel a request and return the tokens computed for it."""
        if run in self.waiting:
            self.waiting.remove(run)
            return 0.0
        if run not in self.running:
            return 0.0
        self._advance()
        computed = self.count_computed(run)
        del self.running[run]
        run.ended = True
        self._start_waiting()
        self._schedule_next()
        return computed

    def count_computed(self, run: Run) -> float:
        """Return the tokens computed for a running request so far."""
        self._advance()
        return max(0.0, self._progress - run.start_progress)

    def crash(self) -> None:
        """Fail all requests; new ones fail after 1 ms until `recover`."""
        self.crashed = True
        self._advance()
        runs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        self._cache.clear()
        self._schedule_next()
        for run in runs:
            run.ended = True
            run.on_end(False)

    def recover(self) -> None:
        """Accept requests again after a crash."""
        self.crashed = False

    def set_slowdown(self, factor: float) -> None:
        """Set the factor on the time per token; 1 is full speed."""
        self._advance()
        self.factor = factor
        self._schedule_next()

    def estimate_s(self, request: Request) -> float:
        """Return the time that a request takes in a full batch."""
        prefill, tokens = self._estimate_work(request, imports=False)
        return (prefill + tokens) * self.token_s * self.factor

    def has_cached(self, prefix_key: str) -> bool:
        """Return whether a prefix is in the cache."""
        return prefix_key in self._cache

    def _estimate_work(self, request: Request, *, imports: bool) -> tuple[float, int]:
        if not self.batches:
            return 0.0, request.tokens
        share = CACHED_SHARE if imports or request.prefix_key in self._cache else 1.0
        return request.prompt_tokens * PREFILL_S_PER_TOKEN * share / self.token_s, request.tokens

    def _begin(self, run: Run) -> None:
        self._advance()
        run.prefill, tokens = self._estimate_work(run.request, imports=run.imports_kv_cache)
        run.started_at = self._events.now
        run.start_progress = self._progress
        if run.request.prefix_key:
            self._cache[run.request.prefix_key] = None
            self._cache.move_to_end(run.request.prefix_key)
            if len(self._cache) > self._cache_size:
                self._cache.popitem(last=False)
        self.running[run] = None
        first = self._progress + run.prefill + 1
        end = self._progress + run.prefill + max(1, tokens - run.skip_tokens)
        for progress, is_end in ((first, False), (end, True)):
            self._count += 1
            heapq.heappush(self._events_due, (progress, self._count, is_end, run))
        self._schedule_next()

    def _compute_token_interval(self) -> float:
        if not self.batches:
            return self.token_s * self.factor
        fill = len(self.running) / self.slots
        return (
            self.token_s * self.factor * (SINGLE_REQUEST_SHARE + (1 - SINGLE_REQUEST_SHARE) * fill)
        )

    def _advance(self) -> None:
        elapsed = self._events.now - self._progress_at
        if self.running and elapsed > 0:
            gained = elapsed / self._compute_token_interval()
            self._progress += gained
            self.computed += gained * len(self.running)
        self._progress_at = self._events.now

    def _schedule_next(self) -> None:
        """Schedule the next event; events scheduled before are ignored."""
        self._schedule_version += 1
        schedule_version = self._schedule_version
        while self._events_due and self._events_due[0][3].ended:
            heapq.heappop(self._events_due)
        if self._events_due:
            delay = max(
                0.0, (self._events_due[0][0] - self._progress) * self._compute_token_interval()
            )
            self._events.call_later(delay, lambda: self._step(schedule_version))

    def _step(self, schedule_version: int) -> None:
        if schedule_version != self._schedule_version:
            return
        self._advance()
        ended = []
        while self._events_due and (
            self._events_due[0][0] <= self._progress + 1e-6 or self._events_due[0][3].ended
        ):
            _, _, is_end, run = heapq.heappop(self._events_due)
            if run.ended:
                continue
            if is_end:
                run.ended = True
                del self.running[run]
                ended.append(run)
            else:
                run.first_at = self._events.now
                run.on_first()
        self._start_waiting()
        self._schedule_next()
        for run in ended:
            run.on_end(True)

    def _start_waiting(self) -> None:
        while self.waiting and len(self.running) < self.slots and not self.crashed:
            self._begin(self.waiting.pop(0))
