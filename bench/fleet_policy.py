"""Base of the policies of placing requests in a fleet, and the state that they decide by."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bench.simulated_placement import (
    SERVICE,
    build_placement,
    build_record,
    is_pause_sensitive_kind,
)
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.placement.admission import WaitParameters
from guavamast.relay.placement.admission_control import AdmissionControl
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_profile import EngineProfiles
from guavamast.relay.placement.length_buckets import PromptDemand, is_latency_tolerant
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.relay.placement.waiting import SINGLE_CHECK

if TYPE_CHECKING:
    from bench.fleet_simulation import FleetSimulation
    from bench.relay_engines import Request, SimulatedEngine
    from guavamast.relay.endpoint_load import Work
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement.admission import Rejection
    from guavamast.relay.placement.endpoint_choice import Choice


@dataclass(slots=True, kw_only=True)
class DecisionState:
    """State and decision objects of one process that places requests."""

    loads: EndpointLoads
    cache: PromptCache
    demand: PromptDemand
    chooser: EndpointChooser
    admission: AdmissionControl

    @classmethod
    def create(cls, simulation: FleetSimulation) -> DecisionState:
        """Return the state of a process that has just started."""
        loads = EndpointLoads()
        cache = PromptCache()
        chooser = EndpointChooser(loads=loads, cache=cache, random=simulation.random)
        admission = AdmissionControl(history=AdmissionHistory(), random=simulation.random)
        return cls(
            loads=loads,
            cache=cache,
            demand=PromptDemand(),
            chooser=chooser,
            admission=admission,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class SentRequest:
    """One request at its engine, with the state of the process that placed it."""

    request: Request
    engine: SimulatedEngine
    state: DecisionState
    work: Work
    prefill_tokens: int


class FleetPolicy(ABC):
    """Places requests and counts the datagrams for it and the wrong rejections."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self.simulation = simulation
        self.wrongly_rejected = 0
        self.datagrams = 0
        self.bytes_sent = 0
        # All engines have the same speeds, so one profile serves all processes.
        self.profiles = EngineProfiles()
        self.records = [build_record(engine) for engine in simulation.engines.values()]
        if simulation.scenario.restarted:
            simulation.call_at(6.0, self.restart_all)
        if simulation.scenario.killed_share:
            killed = range(int(simulation.fleet.instances * simulation.scenario.killed_share))
            simulation.call_at(6.0, lambda: self.restart(killed))

    @abstractmethod
    def place(self, request: Request) -> None:
        """Place a request that has arrived at its instance."""

    @abstractmethod
    def restart(self, instances: range) -> None:
        """Restart some instances with empty state."""

    def restart_all(self) -> None:
        """Restart all instances with empty state."""
        self.restart(range(self.simulation.fleet.instances))

    def is_down(self, instance: int) -> bool:
        """Return whether an instance is down now."""
        killed = int(self.simulation.fleet.instances * self.simulation.scenario.killed_share)
        return instance < killed and 6.0 <= self.simulation.now < 8.0

    def choose(
        self,
        request: Request,
        state: DecisionState,
        records: list[EndpointRecord],
        *,
        loads_stale: bool,
    ) -> tuple[Choice, Rejection | None]:
        """Choose among some engines by a process's state; also return the rejection, if any."""
        placement = build_placement(
            request,
            kinds=self.simulation.fleet.kinds,
            demand=state.demand,
            profile=self.profiles.find(SERVICE, now=self.simulation.now),
            kv_capacity_tokens=self.simulation.fleet.kv_capacity_tokens,
            now=self.simulation.now,
            loads_stale=loads_stale,
        )
        now = self.simulation.now
        kinds = self.simulation.fleet.kinds
        shortest_s = min(kind.objective_s for kind in kinds)
        parameters = WaitParameters(
            objective_s=request.kind.objective_s,
            latency_tolerant=is_latency_tolerant(request.kind.objective_s, shortest_s=shortest_s),
            most_urgent=request.kind.objective_s == shortest_s,
            least_urgent=request.kind.objective_s == max(one.objective_s for one in kinds),
            loads_stale=loads_stale,
            first_attempt=not loads_stale and not request.retried,
        )
        precedence = sum(kind.objective_s < request.kind.objective_s for kind in kinds)
        terms = state.admission.prepare(
            parameters, service=SERVICE, precedence=precedence, check=SINGLE_CHECK, now=now
        )
        choice = state.chooser.choose(
            placement,
            records,
            exclude=frozenset(),
            now=now,
            terms=terms,
            needs_room=not parameters.least_urgent,
        )
        assert choice is not None and choice.forecast is not None and choice.survey is not None
        rejection = state.admission.admit(
            choice.forecast, choice.survey, check=SINGLE_CHECK, now=now
        )
        return choice, rejection

    def send(self, request: Request, state: DecisionState, choice: Choice) -> SentRequest:
        """Send a request to the chosen engine."""
        simulation = self.simulation
        engine = simulation.engines[choice.record.endpoint_id]
        engine.serve(request, simulation.now, simulation.prefilled_parts)
        part_id = request.parts[-2].part_id
        state.cache.record(engine.name, part_id, choice.uncached_tokens, now=simulation.now)
        profile = self.profiles.find(SERVICE, now=simulation.now)
        work = state.loads.begin(
            engine.name,
            prefill_tokens=choice.uncached_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            pause_sensitive=is_pause_sensitive_kind(request.kind, profile) and choice.own_bucket,
        )
        prefill_tokens = state.loads.sum_up(engine.name).prefill_tokens
        sent = SentRequest(
            request=request, engine=engine, state=state, work=work, prefill_tokens=prefill_tokens
        )
        assert request.first_event is not None
        simulation.call_at(request.first_event, lambda: self._record_first_event(sent))
        simulation.call_at(request.end, lambda: self._record_end(sent))
        self.publish_change(sent)
        return sent

    def reject(self, request: Request, rejection: Rejection) -> None:
        """Reject a request; its caller retries once."""
        if request.retried:
            self.wrongly_rejected += self._has_room(request)
            return
        request.retried = True
        request.instance = self.simulation.random.randrange(self.simulation.fleet.instances)
        self.simulation.call_at(
            self.simulation.now + rejection.retry_after_s, lambda: self.place(request)
        )

    def publish_change(self, sent: SentRequest) -> None:
        """Publish a change of the work at an engine; by default, do nothing."""
        del sent

    def _has_room(self, request: Request) -> bool:
        """Return whether an engine could start the prefill within a quarter of the objective."""
        limit = self.simulation.now + request.kind.objective_s / 4
        return any(
            engine.compute_prefill_start(self.simulation.now) < limit
            for engine in self.simulation.engines.values()
        )

    def _record_first_event(self, sent: SentRequest) -> None:
        sent.work.finish_prefill()
        request = sent.request
        assert request.first_event is not None
        self.profiles.record_first_event(
            SERVICE,
            uncached_tokens=sent.prefill_tokens,
            took_ms=(request.first_event - request.sent_at) * 1000.0,
            now=self.simulation.now,
        )
        self.publish_change(sent)

    def _record_end(self, sent: SentRequest) -> None:
        sent.work.end()
        request = sent.request
        assert request.first_event is not None
        run_ms = (request.end - request.first_event) * 1000.0
        now = self.simulation.now
        output_tokens = request.output_tokens
        self.profiles.record_run(SERVICE, output_tokens=output_tokens, run_ms=run_ms, now=now)
        self.profiles.record_pause(
            SERVICE,
            uncached_tokens=sent.state.loads.sum_up(sent.engine.name).prefill_tokens,
            pause_ms=sent.engine.compute_longest_pause(request) * 1000.0,
            now=now,
        )
        self.publish_change(sent)
