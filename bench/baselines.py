"""Base class of the policies, and the baselines that the router is compared with."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import Counter, deque
from random import Random
from typing import TYPE_CHECKING, Final

from bench.engine import PREFILL_S_PER_TOKEN, EventQueue, FakeEngine, Run
from bench.workload import ENGINE_TOKEN_S, SERVICE_UNIT_S, Fleet, Request, Scenario, Site

if TYPE_CHECKING:
    from collections.abc import Callable

REPORT_INTERVAL_S: Final = 0.5
BASELINE_ATTEMPTS: Final = 3
"""Attempts of a request under the baselines, which have no retry budget."""
ENGINE_CACHE_PREFIXES: Final = 20
"""Prompt prefixes that an engine keeps in its KV cache."""


class Policy(ABC):
    """Decides which engine runs each request, and when.

    Args:
        site: The fleet and traffic of a site.
        fleet: The configuration and members of the site.
        scenario: The load and faults of the run.
        seed: Seed of the policy's random draws.
    """

    def __init__(self, *, site: Site, fleet: Fleet, scenario: Scenario, seed: int) -> None:
        self.site = site
        self.fleet = fleet
        self.scenario = scenario
        self.random = Random(seed)
        self.events = EventQueue()
        self.wasted: Counter[str] = Counter()
        """Tokens that were computed and then discarded, by cause."""
        self.attempts = 0
        """Attempts sent, without those that resume a paused request."""
        self.engines = {
            name: FakeEngine(
                events=self.events,
                name=name,
                slots=endpoint.slots,
                token_s=SERVICE_UNIT_S if endpoint.service else ENGINE_TOKEN_S,
                batches=not endpoint.service,
                cache=ENGINE_CACHE_PREFIXES,
            )
            for name, endpoint in fleet.configuration.endpoints.items()
        }
        self.pools: dict[str, list[FakeEngine]] = {}
        for name, endpoint in fleet.configuration.endpoints.items():
            self.pools.setdefault(endpoint.service, []).append(self.engines[name])

    @abstractmethod
    def receive(self, request: Request) -> None:
        """Decide on an arriving request."""

    def apply_report(self, engine: FakeEngine, running: int, as_of: float) -> None:  # noqa: B027
        """Apply a delayed load report of an engine; most policies ignore it."""

    def draw_link_s(self) -> float:
        """Return a random latency of one message, in seconds."""
        return self.site.latency_s * self.random.uniform(0.8, 1.5)

    def run_at(
        self,
        request: Request,
        engine: FakeEngine,
        skip: int,
        on_end: Callable[[bool, int], None],
        *,
        imports: bool = False,
    ) -> Run:
        """Send a request to an engine and cancel it at its deadline.

        Args:
            request: The request.
            engine: The engine that runs it.
            skip: Tokens that earlier attempts have delivered.
            on_end: Called with whether the response is complete and the tokens delivered by all
                attempts, -1 when the deadline has passed.
            imports: Whether the engine imports the KV cache of a paused attempt.
        """
        self.attempts += not imports
        request.attempts += 1
        ended = False

        def record_first_token() -> None:
            if request.first_token_at is None:
                request.first_token_at = self.events.now + self.site.latency_s

        def end(whole: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            delivered = skip
            if not whole:
                done = engine.count_computed(run) if run.started_at else 0.0
                delivered = skip + max(0, int(done - run.prefill))
                self.wasted["failed"] += min(done, run.prefill)
            self.events.call_later(self.draw_link_s(), lambda: on_end(whole, delivered))

        def expire() -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            self.wasted["expired"] += engine.cancel(run) + skip
            on_end(False, -1)

        run = Run(
            request=request,
            on_first=record_first_token,
            on_end=end,
            skip_tokens=skip,
            imports_kv_cache=imports,
        )
        self.events.call_later(self.draw_link_s(), lambda: engine.start(run))
        self.events.call_at(request.deadline, expire)
        return run

    def complete(self, request: Request) -> None:
        """Record a complete response."""
        request.completed = True
        request.ended_at = self.events.now

    def reject(self, request: Request) -> None:
        """Record a request that got no complete response."""
        request.rejected = True
        request.ended_at = self.events.now


class DirectPolicy(Policy):
    """Sends each request to an engine immediately; the engines queue in order of arrival."""

    @abstractmethod
    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:
        """Return the engine that a request is sent to."""

    def receive(self, request: Request) -> None:
        """Send a request."""
        self._attempt(request, set(), 0)

    def _attempt(self, request: Request, failed: set[str], skip: int) -> None:
        pool = self.pools[request.kind.service]
        engines = [engine for engine in pool if engine.name not in failed] or pool
        engine = self.pick(request, engines)

        def end(whole: bool, delivered: int) -> None:
            if whole:
                self.complete(request)
            elif delivered < 0 or len(failed) + 1 >= BASELINE_ATTEMPTS:
                self.wasted["given up"] += max(0, delivered)
                self.reject(request)
            else:
                self._attempt(request, failed | {engine.name}, delivered)

        self.run_at(request, engine, skip, end)


class RandomPolicy(DirectPolicy):
    """Selects an engine at random."""

    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:  # noqa: ARG002
        """Return a random engine."""
        return self.random.choice(engines)


class RoundRobinPolicy(DirectPolicy):
    """Selects the engines in turn, at each entry separately."""

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._turns: dict[tuple[int, str], int] = {}

    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:
        """Return the next engine of the entry."""
        key = (request.entry, request.kind.service)
        turn = self._turns.get(key, request.entry)
        self._turns[key] = turn + 1
        return engines[turn % len(engines)]


class LeastLoadPolicy(DirectPolicy):
    """Selects the engine with the least load in its last report."""

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._reported: dict[str, int] = {}

    def apply_report(self, engine: FakeEngine, running: int, as_of: float) -> None:  # noqa: ARG002
        """Store the load of a report."""
        self._reported[engine.name] = running

    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:  # noqa: ARG002
        """Return the least loaded engine; ties are broken at random."""
        return min(
            engines, key=lambda engine: (self._reported.get(engine.name, 0), self.random.random())
        )


class CentralPolicy(Policy):
    """Central queue for each pool, with exact knowledge of the free slots."""

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._queues: dict[str, deque[tuple[Request, int]]] = {name: deque() for name in self.pools}
        self._free = {engine.name: engine.slots for engine in self.engines.values()}

    def receive(self, request: Request) -> None:
        """Queue a request."""
        self._queues[request.kind.service].append((request, 0))
        self._dispatch(request.kind.service)

    def choose_next(self, queue: deque[tuple[Request, int]]) -> tuple[Request, int] | None:
        """Remove and return the first request whose deadline has not passed."""
        while queue:
            request, skip = queue.popleft()
            if request.deadline > self.events.now:
                return request, skip
            self.reject(request)
        return None

    def choose_engine(
        self, request: Request, engines: list[FakeEngine]  # noqa: ARG002
    ) -> FakeEngine:
        """Return the engine with the most free slots; ties are broken at random."""
        return max(engines, key=lambda engine: (self._free[engine.name], self.random.random()))

    def is_usable(self, engine: FakeEngine) -> bool:
        """Return whether an engine has a free slot."""
        return self._free[engine.name] > 0

    def _dispatch(self, service: str) -> None:
        while engines := [each for each in self.pools[service] if self.is_usable(each)]:
            chosen = self.choose_next(self._queues[service])
            if chosen is None:
                return
            self._send(*chosen, self.choose_engine(chosen[0], engines))

    def _send(self, request: Request, skip: int, engine: FakeEngine) -> None:
        self._free[engine.name] -= 1

        def end(whole: bool, delivered: int) -> None:
            self._free[engine.name] += 1
            if whole:
                self.complete(request)
            elif delivered < 0 or request.attempts >= BASELINE_ATTEMPTS:
                self.wasted["given up"] += max(0, delivered)
                self.reject(request)
            else:
                self._queues[request.kind.service].appendleft((request, delivered))
            self._dispatch(request.kind.service)

        self.run_at(request, engine, skip, end)


class OraclePolicy(CentralPolicy):
    """Knows lengths, loads, stragglers and crashes; strict tiers, then the least slack.

    It sends only requests that can be completed in time. It is greedy, so its results approximate
    the optimum and are no proven bound.
    """

    def is_usable(self, engine: FakeEngine) -> bool:
        """Return whether an engine is up and has a free slot."""
        return super().is_usable(engine) and not engine.crashed

    def choose_next(self, queue: deque[tuple[Request, int]]) -> tuple[Request, int] | None:
        """Remove and return the most urgent request of the highest tier that can be completed."""
        if not queue:
            return None
        token_s = next(iter(self.pools[queue[0][0].kind.service])).token_s
        usable = []
        for request, skip in list(queue):
            limit = min(request.deadline, request.arrives_at + request.service_class.completion_s)
            need = (request.tokens - skip) * token_s
            need += request.prompt_tokens * PREFILL_S_PER_TOKEN
            if self.events.now + need > limit:
                queue.remove((request, skip))
                self.reject(request)
            else:
                usable.append((request.service_class.tier, limit - need, request.number, skip))
        if not usable:
            return None
        _, _, number, _ = min(usable)
        chosen = next(each for each in queue if each[0].number == number)
        queue.remove(chosen)
        return chosen

    def choose_engine(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:
        """Return the engine with the earliest estimated completion of a request."""
        return min(
            engines,
            key=lambda engine: (
                engine.estimate_s(request) * (0.6 + 0.4 * engine.load / engine.slots),
                engine.name,
            ),
        )
