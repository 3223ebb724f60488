"""What all policies share, and the policies to compare with."""

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
NAIVE_ATTEMPTS: Final = 3
"""Attempts of a request under the baselines, which have no retry budget."""
ENGINE_CACHE: Final = 20
"""Prompt prefixes that an engine remembers."""


class Policy(ABC):
    """Decides where requests run.

    Args:
        site: The site's shape.
        fleet: Its configuration and members.
        scenario: What happens.
        seed: Seed of the draws of the policy.
    """

    def __init__(self, *, site: Site, fleet: Fleet, scenario: Scenario, seed: int) -> None:
        self.site = site
        self.fleet = fleet
        self.scenario = scenario
        self.random = Random(seed)
        self.events = EventQueue()
        self.wasted: Counter[str] = Counter()
        """Tokens computed in vain, by cause."""
        self.attempts = 0
        """Attempts sent, but for those that go on after a pause."""
        self.engines = {
            name: FakeEngine(
                events=self.events,
                name=name,
                slots=endpoint.slots,
                token_s=SERVICE_UNIT_S if endpoint.service else ENGINE_TOKEN_S,
                batches=not endpoint.service,
                cache=ENGINE_CACHE,
            )
            for name, endpoint in fleet.configuration.endpoints.items()
        }
        self.pools: dict[str, list[FakeEngine]] = {}
        for name, endpoint in fleet.configuration.endpoints.items():
            self.pools.setdefault(endpoint.service, []).append(self.engines[name])

    @abstractmethod
    def take(self, request: Request) -> None:
        """Decide on an arriving request."""

    def take_report(self, engine: FakeEngine, running: int, as_of: float) -> None:  # noqa: B027
        """Take an engine's load report, which is late; most policies do without."""

    def measure_link(self) -> float:
        """Return the seconds that one message takes."""
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
        """Send a request to an engine; ends it at its deadline.

        Args:
            request: The request.
            engine: Where to.
            skip: Tokens that earlier attempts have delivered.
            on_end: Called with whether the answer is whole and the tokens delivered in all, -1
                when the deadline has passed.
            imports: Whether the KV cache of a paused attempt is imported.
        """
        self.attempts += not imports
        request.attempts += 1
        ended = False

        def note_first() -> None:
            if request.first_at is None:
                request.first_at = self.events.now + self.site.latency_s

        def end(whole: bool) -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            delivered = skip
            if not whole:
                done = engine.compute_done(run) if run.started_at else 0.0
                delivered = skip + max(0, int(done - run.prefill))
                self.wasted["failed"] += min(done, run.prefill)
            self.events.call_later(self.measure_link(), lambda: on_end(whole, delivered))

        def give_up() -> None:
            nonlocal ended
            if ended:
                return
            ended = True
            self.wasted["expired"] += engine.cancel(run) + skip
            on_end(False, -1)

        run = Run(
            request=request, on_first=note_first, on_end=end, skip_tokens=skip, imports=imports
        )
        self.events.call_later(self.measure_link(), lambda: engine.start(run))
        self.events.call_at(request.deadline, give_up)
        return run

    def complete(self, request: Request) -> None:
        """Record a whole answer."""
        request.completed = True
        request.ended_at = self.events.now

    def refuse(self, request: Request) -> None:
        """Record a request that got no answer."""
        request.refused = True
        request.ended_at = self.events.now


class DirectPolicy(Policy):
    """Sends each request to an engine at once; the engines queue first come first served."""

    @abstractmethod
    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:
        """Return the engine for a request."""

    def take(self, request: Request) -> None:
        """Send a request."""
        self._attempt(request, set(), 0)

    def _attempt(self, request: Request, failed: set[str], skip: int) -> None:
        pool = self.pools[request.kind.service]
        engines = [engine for engine in pool if engine.name not in failed] or pool
        engine = self.pick(request, engines)

        def end(whole: bool, delivered: int) -> None:
            if whole:
                self.complete(request)
            elif delivered < 0 or len(failed) + 1 >= NAIVE_ATTEMPTS:
                self.wasted["given up"] += max(0, delivered)
                self.refuse(request)
            else:
                self._attempt(request, failed | {engine.name}, delivered)

        self.run_at(request, engine, skip, end)


class RandomPolicy(DirectPolicy):
    """An engine at random."""

    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:  # noqa: ARG002
        """Return any engine."""
        return self.random.choice(engines)


class RoundRobinPolicy(DirectPolicy):
    """Each entry takes the engines in turn."""

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
    """The engine whose last report tells the least load."""

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._reported: dict[str, int] = {}

    def take_report(self, engine: FakeEngine, running: int, as_of: float) -> None:  # noqa: ARG002
        """Remember a report."""
        self._reported[engine.name] = running

    def pick(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:  # noqa: ARG002
        """Return the least loaded engine, a random one among equals."""
        return min(
            engines, key=lambda engine: (self._reported.get(engine.name, 0), self.random.random())
        )


class CentralPolicy(Policy):
    """One queue for each pool with the exact number of free slots."""

    def __init__(self, **arguments: object) -> None:
        super().__init__(**arguments)
        self._queues: dict[str, deque[tuple[Request, int]]] = {name: deque() for name in self.pools}
        self._free = {engine.name: engine.slots for engine in self.engines.values()}

    def take(self, request: Request) -> None:
        """Queue a request."""
        self._queues[request.kind.service].append((request, 0))
        self._serve(request.kind.service)

    def choose_next(self, queue: deque[tuple[Request, int]]) -> tuple[Request, int] | None:
        """Take the next request from a queue: the first."""
        while queue:
            request, skip = queue.popleft()
            if request.deadline > self.events.now:
                return request, skip
            self.refuse(request)
        return None

    def choose_engine(
        self, request: Request, engines: list[FakeEngine]  # noqa: ARG002
    ) -> FakeEngine:
        """Return the engine with the most free slots."""
        return max(engines, key=lambda engine: (self._free[engine.name], self.random.random()))

    def is_usable(self, engine: FakeEngine) -> bool:
        """Return whether an engine may be sent to."""
        return self._free[engine.name] > 0

    def _serve(self, service: str) -> None:
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
            elif delivered < 0 or request.attempts >= NAIVE_ATTEMPTS:
                self.wasted["given up"] += max(0, delivered)
                self.refuse(request)
            else:
                self._queues[request.kind.service].appendleft((request, delivered))
            self._serve(request.kind.service)

        self.run_at(request, engine, skip, end)


class OraclePolicy(CentralPolicy):
    """Knows lengths, loads, stragglers and crashes; strict tiers, then the earliest deadline.

    It sends only what can be completed in time. It is greedy, so it is a near limit, not a proof.
    """

    def is_usable(self, engine: FakeEngine) -> bool:
        """Return whether an engine lives and has a slot."""
        return super().is_usable(engine) and not engine.crashed

    def choose_next(self, queue: deque[tuple[Request, int]]) -> tuple[Request, int] | None:
        """Take the most urgent request of the highest tier that can still be completed."""
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
                self.refuse(request)
            else:
                usable.append((request.service_class.tier, limit - need, request.number, skip))
        if not usable:
            return None
        _, _, number, _ = min(usable)
        chosen = next(each for each in queue if each[0].number == number)
        queue.remove(chosen)
        return chosen

    def choose_engine(self, request: Request, engines: list[FakeEngine]) -> FakeEngine:
        """Return the engine that completes it first."""
        return min(
            engines,
            key=lambda engine: (
                engine.estimate_s(request) * (0.6 + 0.4 * engine.load / engine.slots),
                engine.name,
            ),
        )
