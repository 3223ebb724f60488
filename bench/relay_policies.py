"""Placement policies to compare: baselines, the relay's production classes and an oracle."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bench.relay_simulation import DURATION_S, INSTANCES
from bench.simulated_placement import (
    SERVICE,
    build_placement,
    build_record,
    is_pause_sensitive_kind,
)
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.placement.admission import WaitParameters, admit
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_profile import PRIOR, EngineProfiles
from guavamast.relay.placement.length_buckets import PromptDemand, is_latency_tolerant
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from bench.relay_engines import Request, SimulatedEngine
    from bench.relay_simulation import Simulation
    from guavamast.relay.endpoint_load import Work

UPDATE_DELAY_S: Final = 0.025
"""Delay until other instances receive an update of started or ended work."""
EXCHANGE_INTERVAL_S: Final = 0.5
"""Interval between two exchanges of profiles and demand."""


class Policy(ABC):
    """Chooses an engine for each request."""

    def __init__(self, simulation: Simulation) -> None:
        self.simulation = simulation

    @abstractmethod
    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the engine, or the seconds after which to retry."""

    def record_send(self, request: Request, engine: SimulatedEngine) -> None:
        """Record that a request was sent; by default, do nothing."""
        del request, engine


class RandomChoice(Policy):
    """Chooses any engine."""

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return an engine at random."""
        del request
        return self.simulation.random.choice(self.simulation.list_alive())


class LeastLoaded(Policy):
    """Chooses the engine with the fewest running requests, which are known without delay."""

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the engine with the fewest running requests."""
        del request
        return min(self.simulation.list_alive(), key=self._count_running)

    def _count_running(self, engine: SimulatedEngine) -> float:
        engine.compute_prefill_start(self.simulation.now)
        return len(engine.ends) + self.simulation.random.random()


class TwoChoices(LeastLoaded):
    """Chooses the less loaded of two random engines."""

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the one of two engines that runs fewer requests."""
        del request
        alive = self.simulation.list_alive()
        return min(
            self.simulation.random.sample(alive, min(2, len(alive))), key=self._count_running
        )


class CacheAffinity(Policy):
    """Chooses the affinity endpoint of the longest shared part, whatever its load."""

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the shared part's affinity endpoint."""
        key = request.parts[-2].part_id
        return max(self.simulation.list_alive(), key=lambda one: compute_weight(key, one.name))


class Oracle(Policy):
    """Minimizes late requests, knowing all queues, caches and lengths."""

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the engine with the lowest cost."""
        return min(
            self.simulation.list_alive(), key=lambda engine: self._compute_cost(request, engine)
        )

    def _compute_cost(self, request: Request, engine: SimulatedEngine) -> float:
        now = self.simulation.now
        prefill_s = engine.count_uncached(request) / engine.prefill_tokens_per_ms / 1000.0
        first_event_s = (
            engine.compute_prefill_start(now) - now + prefill_s + engine.start_ms / 1000.0
        )
        late = float(first_event_s > request.kind.objective_s)
        pause_sensitive = request.kind.longest_pause_s < 0.15
        if pause_sensitive and engine.prefill_until > now + 0.09:
            late = 1.0
        delayed = 0.0
        if not pause_sensitive and prefill_s > 0.09:
            delayed = 0.5 * len(engine.ends) * self._has_pause_sensitive_kinds()
        return late + delayed + 0.3 * prefill_s + 0.1 * first_event_s

    def _has_pause_sensitive_kinds(self) -> bool:
        return any(kind.longest_pause_s < 0.15 for kind in self.simulation.deployment.kinds)


class _Instance:
    """The decision objects of one instance."""

    def __init__(self, *, number: int, simulation: Simulation) -> None:
        self.name = f"i{number}"
        self.isolated = number < simulation.scenario.isolated_share * INSTANCES
        self.loads = EndpointLoads()
        self.cache = PromptCache()
        self.demand = PromptDemand()
        self.profiles = EngineProfiles()
        self.chooser = EndpointChooser(loads=self.loads, cache=self.cache, random=simulation.random)


class Relay(Policy):
    """Chooses by the production classes."""

    uses_learnt_profiles = True

    def __init__(self, simulation: Simulation) -> None:
        super().__init__(simulation)
        self._restart()
        if simulation.scenario.restarted_at_s < DURATION_S:
            simulation.call_at(simulation.scenario.restarted_at_s, self._restart)
        for step in range(1, int(DURATION_S / EXCHANGE_INTERVAL_S)):
            simulation.call_at(step * EXCHANGE_INTERVAL_S, self._exchange_estimates)

    def _restart(self) -> None:
        self._instances = [
            _Instance(number=one, simulation=self.simulation) for one in range(INSTANCES)
        ]

    def choose(self, request: Request) -> SimulatedEngine | float:
        """Return the decision of the request's instance by its own state."""
        now = self.simulation.now
        instance = self._instances[request.instance]
        profile = instance.profiles.find(SERVICE, now=now) if self.uses_learnt_profiles else PRIOR
        placement = build_placement(
            request,
            kinds=self.simulation.deployment.kinds,
            demand=instance.demand,
            profile=profile,
            kv_capacity_tokens=next(iter(self.simulation.engines.values())).kv_capacity_tokens,
            now=now,
        )
        alive = {engine.name: engine for engine in self.simulation.list_alive()}
        records = [build_record(engine) for engine in alive.values()]
        choice = instance.chooser.choose(placement, records, exclude=frozenset(), now=now)
        assert choice is not None and choice.forecast is not None
        parameters = WaitParameters(
            objective_s=request.kind.objective_s,
            latency_tolerant=self._is_latency_tolerant(request),
        )
        rejection = admit(choice.forecast, parameters, random=self.simulation.random)
        if rejection is not None:
            return rejection.retry_after_s
        return alive[choice.record.endpoint_id]

    def record_send(self, request: Request, engine: SimulatedEngine) -> None:
        """Record the request at its instance, and schedule the records of its events."""
        instance = self._instances[request.instance]
        now = self.simulation.now
        uncached_tokens = request.prompt_tokens - instance.cache.count_cached(
            engine.name, request.parts[:-1], kv_capacity_tokens=engine.kv_capacity_tokens
        )
        instance.cache.record(engine.name, request.parts[-2].part_id, uncached_tokens, now=now)
        work = instance.loads.begin(
            engine.name,
            prefill_tokens=uncached_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            pause_sensitive=is_pause_sensitive_kind(
                request.kind, instance.profiles.find(SERVICE, now=now)
            ),
        )
        prefill_tokens = instance.loads.sum_up(engine.name).prefill_tokens
        self._publish_load(instance, engine)
        assert request.first_event is not None
        took_ms = (request.first_event - now) * 1000.0
        self.simulation.call_at(
            request.first_event,
            lambda: self._record_first_event(
                instance, engine, work, prefill_tokens=prefill_tokens, took_ms=took_ms
            ),
        )
        self.simulation.call_at(
            request.end, lambda: self._record_end(instance, engine, work, request)
        )

    def _record_first_event(
        self,
        instance: _Instance,
        engine: SimulatedEngine,
        work: Work,
        *,
        prefill_tokens: int,
        took_ms: float,
    ) -> None:
        work.finish_prefill()
        instance.profiles.record_first_event(
            SERVICE, uncached_tokens=prefill_tokens, took_ms=took_ms, now=self.simulation.now
        )
        self._publish_load(instance, engine)

    def _record_end(
        self, instance: _Instance, engine: SimulatedEngine, work: Work, request: Request
    ) -> None:
        work.end()
        assert request.first_event is not None
        run_ms = (request.end - request.first_event) * 1000.0
        instance.profiles.record_run(
            SERVICE, output_tokens=request.output_tokens, run_ms=run_ms, now=self.simulation.now
        )
        instance.profiles.record_pause(
            SERVICE,
            uncached_tokens=instance.loads.sum_up(engine.name).prefill_tokens,
            pause_ms=engine.compute_longest_pause(request) * 1000.0,
            now=self.simulation.now,
        )
        self._publish_load(instance, engine)

    def _is_latency_tolerant(self, request: Request) -> bool:
        shortest_s = min(kind.objective_s for kind in self.simulation.deployment.kinds)
        return is_latency_tolerant(request.kind.objective_s, shortest_s=shortest_s)

    def _publish_load(self, instance: _Instance, engine: SimulatedEngine) -> None:
        load = instance.loads.list_own().get(engine.name, Load())
        update = {engine.name: replace(load)}
        sends = instance.cache.list_recent(now=self.simulation.now, interval_s=UPDATE_DELAY_S)

        def apply_update() -> None:
            for other in self._list_receivers(instance):
                other.loads.update_peer(instance.name, update)
                other.cache.apply_peer_sends(instance.name, 1, sends)

        self.simulation.call_at(self.simulation.now + UPDATE_DELAY_S, apply_update)

    def _exchange_estimates(self) -> None:
        now = self.simulation.now
        for instance in self._instances:
            for other in self._list_receivers(instance):
                other.profiles.replace_peer(instance.name, instance.profiles.list_own(now=now))
                other.demand.replace_peer(instance.name, instance.demand.read_own(now=now))

    def _list_receivers(self, instance: _Instance) -> list[_Instance]:
        if instance.isolated:
            return []
        return [other for other in self._instances if other is not instance and not other.isolated]


class PriorRelay(Relay):
    """Chooses by the production classes, with the prior instead of the learnt profile."""

    uses_learnt_profiles = False


POLICIES: Final[dict[str, type[Policy]]] = {
    "random": RandomChoice,
    "least loaded": LeastLoaded,
    "two choices": TwoChoices,
    "cache only": CacheAffinity,
    "relay, prior": PriorRelay,
    "relay": Relay,
    "oracle": Oracle,
}
