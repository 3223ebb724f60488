"""Policies that the bench compares: baselines, the relay's own classes, and an oracle."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bench.relay_world import INSTANCES, LENGTH_S
from guavamast.relay.admission import WaitParameters, admit
from guavamast.relay.catalog import Route, RouteKind, WeightedService
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.endpoint_table import EndpointRecord
from guavamast.relay.engine_profile import PRIOR, EngineProfile, EngineProfiles
from guavamast.relay.length_buckets import PromptDemand, find_bucket, is_latency_tolerant
from guavamast.relay.placement import Placement
from guavamast.relay.prefill_interference import is_pause_sensitive
from guavamast.relay.prompt_cache import PromptCache
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from bench.relay_engines import Kind, ReadingEngine, Request
    from bench.relay_world import World
    from guavamast.relay.endpoint_load import Work

SERVICE: Final = "pool"
TOLD_S: Final = 0.025
"""After which other instances know of new and of ended work."""
SHARED_S: Final = 0.5
"""Between two exchanges of what instances have learnt."""


class Policy(ABC):
    """Decides where requests go."""

    def __init__(self, world: World) -> None:
        self.world = world

    @abstractmethod
    def choose(self, request: Request) -> ReadingEngine | float:
        """Return the engine, or the seconds after which to come back."""

    def note_sent(self, request: Request, engine: ReadingEngine) -> None:
        """Learn that a request was sent; most policies have nothing to remember."""
        del request, engine


class RandomChoice(Policy):
    """Any engine."""

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return an engine at random."""
        del request
        return self.world.random.choice(self.world.list_alive())


class LeastLoaded(Policy):
    """The engine with the fewest running requests, all of them known at once."""

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return the engine that runs the fewest."""
        del request
        return min(self.world.list_alive(), key=self._count)

    def _count(self, engine: ReadingEngine) -> float:
        engine.find_begin(self.world.now)
        return len(engine.ends) + self.world.random.random()


class TwoChoices(LeastLoaded):
    """The less loaded of two at random."""

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return the one of two that runs fewer."""
        del request
        alive = self.world.list_alive()
        return min(self.world.random.sample(alive, min(2, len(alive))), key=self._count)


class CacheOnly(Policy):
    """The engine that all would choose for the longest shared part."""

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return the part's home."""
        key = request.parts[-2].part_id
        return max(self.world.list_alive(), key=lambda one: compute_weight(key, one.name))


class Oracle(Policy):
    """The engine where the fewest requests become late, knowing queues, caches and lengths."""

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return the engine with the least loss."""
        return min(self.world.list_alive(), key=lambda engine: self._weigh(request, engine))

    def _weigh(self, request: Request, engine: ReadingEngine) -> float:
        now = self.world.now
        unread_s = engine.count_unread(request) / engine.read_tokens_per_ms / 1000.0
        first_s = engine.find_begin(now) - now + unread_s + engine.start_ms / 1000.0
        late = float(first_s > request.kind.objective_s)
        delicate = request.kind.longest_pause_s < 0.15
        if delicate and engine.read_until > now + 0.09:
            late = 1.0
        broken = 0.0
        if not delicate and unread_s > 0.09:
            broken = 0.5 * len(engine.ends) * self._has_questions()
        return late + broken + 0.3 * unread_s + 0.1 * first_s

    def _has_questions(self) -> bool:
        return any(kind.longest_pause_s < 0.15 for kind in self.world.shape.kinds)


class _Instance:
    """The decision objects of one instance."""

    def __init__(self, *, number: int, world: World) -> None:
        self.name = f"i{number}"
        self.cut_off = number < world.scenario.cut_off_share * INSTANCES
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.demand = PromptDemand()
        self.profiles = EngineProfiles()
        self.chooser = EndpointChooser(loads=self.loads, cache=self.cache, random=world.random)


class Relay(Policy):
    """The production classes."""

    learns = True

    def __init__(self, world: World) -> None:
        super().__init__(world)
        self._start()
        if world.scenario.restarted_at_s < LENGTH_S:
            world.call_at(world.scenario.restarted_at_s, self._start)
        for step in range(1, int(LENGTH_S / SHARED_S)):
            world.call_at(step * SHARED_S, self._share)

    def _start(self) -> None:
        self._instances = [_Instance(number=one, world=self.world) for one in range(INSTANCES)]

    def choose(self, request: Request) -> ReadingEngine | float:
        """Return what the request's instance decides by what it knows."""
        now = self.world.now
        one = self._instances[request.instance]
        profile = one.profiles.find(SERVICE, now=now) if self.learns else PRIOR
        placement = self._describe(request, one, profile)
        alive = {engine.name: engine for engine in self.world.list_alive()}
        records = [make_record(engine) for engine in alive.values()]
        choice = one.chooser.choose(placement, records, exclude=frozenset(), now=now)
        assert choice is not None and choice.forecast is not None
        terms = WaitParameters(
            objective_s=request.kind.objective_s, latency_tolerant=self._is_patient(request)
        )
        refusal = admit(choice.forecast, terms, random=self.world.random)
        if refusal is not None:
            return refusal.retry_after_s
        return alive[choice.record.endpoint_id]

    def note_sent(self, request: Request, engine: ReadingEngine) -> None:
        """Count the request at its instance, and have it learn as the events come."""
        one = self._instances[request.instance]
        now = self.world.now
        unread = request.prompt_tokens - one.cache.count_cached(
            engine.name, request.parts[:-1], kv_capacity_tokens=engine.memory_tokens
        )
        one.cache.record(engine.name, request.parts[-2].part_id, unread, now=now)
        work = one.loads.begin(
            engine.name,
            prefill_tokens=unread,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            pause_sensitive=is_delicate_kind(request.kind, one.profiles.find(SERVICE, now=now)),
        )
        known = one.loads.sum_up(engine.name).prefill_tokens
        self._tell(one, engine)
        assert request.first_event is not None
        took_ms = (request.first_event - now) * 1000.0
        self.world.call_at(
            request.first_event,
            lambda: self._begin_stream(one, engine, work, known=known, took_ms=took_ms),
        )
        self.world.call_at(request.end, lambda: self._end_stream(one, engine, work, request))

    def _begin_stream(
        self, one: _Instance, engine: ReadingEngine, work: Work, *, known: int, took_ms: float
    ) -> None:
        work.finish_prefill()
        one.profiles.record_first_event(
            SERVICE, uncached_tokens=known, took_ms=took_ms, now=self.world.now
        )
        self._tell(one, engine)

    def _end_stream(
        self, one: _Instance, engine: ReadingEngine, work: Work, request: Request
    ) -> None:
        work.end()
        assert request.first_event is not None
        run_ms = (request.end - request.first_event) * 1000.0
        one.profiles.record_run(
            SERVICE, output_tokens=request.output_tokens, run_ms=run_ms, now=self.world.now
        )
        one.profiles.record_pause(
            SERVICE,
            uncached_tokens=one.loads.sum_up(engine.name).prefill_tokens,
            pause_ms=engine.measure_pause(request) * 1000.0,
            now=self.world.now,
        )
        self._tell(one, engine)

    def _describe(self, request: Request, one: _Instance, profile: EngineProfile) -> Placement:
        kinds = self.world.shape.kinds
        delicate = is_delicate_kind(request.kind, profile)
        lane = find_bucket(
            request.prompt_tokens,
            objective_s=request.kind.objective_s,
            shortest_s=min(kind.objective_s for kind in kinds),
            profile=profile,
        )
        lane = 0 if delicate else lane
        one.demand.record(
            lane,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            profile=profile,
            now=self.world.now,
        )
        return Placement(
            prompt_parts=request.parts,
            prompt_tokens=request.prompt_tokens,
            failure_domain="a",
            bucket=lane,
            bucket_shares=one.demand.compute_shares(),
            output_tokens=request.output_tokens,
            kv_capacity_tokens=next(iter(self.world.engines.values())).memory_tokens,
            profile=profile,
            objective_s=request.kind.objective_s,
            pause_sensitive=delicate,
            shortest_pause_s=min(kind.longest_pause_s for kind in kinds),
        )

    def _is_patient(self, request: Request) -> bool:
        shortest_s = min(kind.objective_s for kind in self.world.shape.kinds)
        return is_latency_tolerant(request.kind.objective_s, shortest_s=shortest_s)

    def _tell(self, one: _Instance, engine: ReadingEngine) -> None:
        load = one.loads.list_own().get(engine.name, Load())
        told = {engine.name: replace(load)}
        sends = one.cache.list_recent(now=self.world.now, interval_s=TOLD_S)

        def hear() -> None:
            for other in self._list_heard_by(one):
                other.loads.update_peer(one.name, told)
                other.cache.apply_peer_sends(one.name, 1, sends)

        self.world.call_at(self.world.now + TOLD_S, hear)

    def _share(self) -> None:
        now = self.world.now
        for one in self._instances:
            for other in self._list_heard_by(one):
                other.profiles.replace_peer(one.name, one.profiles.list_own(now=now))
                other.demand.replace_peer(one.name, one.demand.read_own(now=now))

    def _list_heard_by(self, one: _Instance) -> list[_Instance]:
        if one.cut_off:
            return []
        return [other for other in self._instances if other is not one and not other.cut_off]


class PriorRelay(Relay):
    """The production classes with the prior in place of what is learnt."""

    learns = False


def make_record(engine: ReadingEngine) -> EndpointRecord:
    """Return an engine as the store lists it."""
    return EndpointRecord(
        endpoint_id=engine.name,
        row_version=1,
        service=SERVICE,
        host="-",
        port=1,
        failure_domain="a",
        slots=engine.slots,
        ready=True,
        started_ms=1,
    )


def is_delicate_kind(kind: Kind, profile: EngineProfile) -> bool:
    """Return whether streams of a kind are late if long prompts are read beside them."""
    route = Route(
        name=kind.name,
        host="-",
        path_prefix="/",
        kind=RouteKind.STREAM,
        services=(WeightedService(service=SERVICE, weight=1.0),),
        timeout_s=5.0,
        objective_s=kind.objective_s,
        longest_pause_s=kind.longest_pause_s,
        max_endpoints=1,
        urgency=1,
        needs_key=False,
        resumable=False,
    )
    return is_pause_sensitive(route, profile)


POLICIES: Final[dict[str, type[Policy]]] = {
    "random": RandomChoice,
    "least loaded": LeastLoaded,
    "two choices": TwoChoices,
    "cache only": CacheOnly,
    "relay, prior": PriorRelay,
    "relay": Relay,
    "oracle": Oracle,
}
