"""Discrete-event simulation of a burst of requests, their admission and the engines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from guavamast.relay.caller_gate import Admitted
from guavamast.relay.catalog import Catalog, Route, RouteKind, ServiceSettings, WeightedService
from guavamast.relay.endpoint_load import EndpointLoads, Work
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.peers import Peers
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_profile import EngineProfiles, Estimate, ProfileEstimates
from guavamast.relay.placement.length_buckets import PromptDemand, find_bucket, is_latency_tolerant
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.relay.placement.waiting import (
    CHECK_INTERVAL_S,
    SINGLE_CHECK,
    PlacementWait,
    RoomCheck,
    begin_wait,
)
from guavamast.relay.request_progress import begin_progress
from guavamast.relay.scheduler import LEARNING_S, GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import PlacementQuery, Verdict, WorkPhase, WorkUpdate
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from tests.relay_fixtures import (
    LIMITS,
    PROFILE,
    build_endpoint,
    build_request,
    build_route,
    build_versions,
)
from tests.scheduling_simulation import GROUP, POOL, make_query

if TYPE_CHECKING:
    from guavamast.relay.endpoint_table import EndpointRecord

ENGINES = 4
SLOTS = 16
MEMORY_TOKENS = 600_000
OUTPUT_TOKENS = 100
PARAMETERS = ServiceParameters(
    profile=PROFILE, kv_capacity_tokens=MEMORY_TOKENS, shortest_pause_s=0.6
)
BEGIN_S = LEARNING_S + 1.0
INSTANCES = 6
TIMEOUT_S = 10.0
"""Seconds for which a caller waits for an attempt."""
HEARTBEAT_INTERVAL_S = 0.25
"""Seconds between two heartbeats of an instance."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A class of requests with common properties."""

    name: str
    urgency: int
    objective_s: float
    prompt_tokens: int
    run_s: float
    rate_per_s: float


@dataclass(slots=True, kw_only=True)
class Outcome:
    """Counts of the requests of one kind by their results."""

    requests: int = 0
    rejected: int = 0
    """Rejected, and rejected again at the retry."""
    started: int = 0
    in_time: int = 0


QUESTION = Kind(
    name="question", urgency=0, objective_s=0.25, prompt_tokens=900, run_s=0.5, rate_per_s=60.0
)
DOSSIER = Kind(
    name="dossier", urgency=1, objective_s=0.6, prompt_tokens=6_000, run_s=0.3, rate_per_s=60.0
)
TIGHT_DEADLINE = Kind(
    name="short of time",
    urgency=1,
    objective_s=0.2,
    prompt_tokens=2_500,
    run_s=0.3,
    rate_per_s=150.0,
)
FEWER_DOSSIERS = replace(DOSSIER, rate_per_s=30.0)
SUMMARY = Kind(
    name="summary", urgency=2, objective_s=2.0, prompt_tokens=9_000, run_s=0.4, rate_per_s=15.0
)


@dataclass(slots=True, kw_only=True)
class Engine:
    """An engine that prefills prompts in their order of arrival."""

    prefill_until: float = 0.0

    def schedule_prefill(self, tokens: int, *, now: float) -> float:
        """Add a prompt to the prefill queue and return the time of its first event."""
        start = max(now, self.prefill_until)
        self.prefill_until = start + PROFILE.compute_prefill_ms(tokens) / 1000.0
        return self.prefill_until + PROFILE.first_event_ms / 1000.0


@dataclass(order=True, slots=True)
class Event:
    """An event of the simulation."""

    due: float
    number: int
    kind: Kind = field(compare=False)
    phase: WorkPhase | None = field(compare=False, default=None)
    """None for the arrival of a request."""
    is_retry: bool = field(compare=False, default=False)
    wait: PlacementWait | None = field(compare=False, default=None)
    """The wait of its attempt, once it has checked for room."""
    arrived: float = field(compare=False, default=0.0)


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The endpoint of a request, or the delay before its retry."""

    endpoint_id: str | None = None
    retry_after_s: float = 0.0


class Decider(ABC):
    """A component that decides on requests and receives their progress."""

    @abstractmethod
    def decide(self, event: Event, check: RoomCheck) -> Decision:
        """Decide on a request at one of its checks for room."""

    @abstractmethod
    def report(self, event: Event) -> None:
        """Receive the progress of a request."""


class ScheduledDecider(Decider):
    """One scheduler for all instances."""

    def __init__(self, records: list[EndpointRecord], kinds: list[Kind], *, seed: int) -> None:
        self.shortest_s = min(kind.objective_s for kind in kinds)
        self.least_urgency = max(kind.urgency for kind in kinds)
        self.scheduler = GroupScheduler(random=Random(seed), now=0.0)
        self.records = records

    def make_query(self, event: Event, check: RoomCheck = SINGLE_CHECK) -> PlacementQuery:
        kind = event.kind
        return make_query(
            event.number,
            prompt_parts=(),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=OUTPUT_TOKENS,
            bucket=find_bucket(
                kind.prompt_tokens,
                objective_s=kind.objective_s,
                shortest_s=self.shortest_s,
                profile=PROFILE,
            ),
            objective_s=kind.objective_s,
            latency_tolerant=is_latency_tolerant(kind.objective_s, shortest_s=self.shortest_s),
            most_urgent=kind.urgency == 0,
            least_urgent=kind.urgency == self.least_urgency,
            precedence=kind.urgency,
            check=check,
        )

    def decide(self, event: Event, check: RoomCheck) -> Decision:
        reply = self.scheduler.decide(
            self.make_query(event, check), self.records, PARAMETERS, now=event.due
        )
        if reply.verdict is Verdict.GRANTED:
            return Decision(endpoint_id=reply.endpoint_id)
        return Decision(retry_after_s=reply.retry_after_s)

    def report(self, event: Event) -> None:
        assert event.phase is not None
        requester = self.make_query(event).requester
        update = WorkUpdate(
            requester=requester, group=GROUP, number=event.number, phase=event.phase
        )
        self.scheduler.work.apply_update(update, now=event.due)


def make_catalog(kinds: list[Kind]) -> Catalog:
    """Return a configuration with a route for each kind."""
    service = WeightedService(service=POOL, weight=1.0)
    routes = [
        build_route(
            name=kind.name,
            path_prefix=f"/{kind.urgency}/",
            kind=RouteKind.STREAM,
            services=(service,),
            needs_key=False,
            timeout_s=10.0,
            objective_s=kind.objective_s,
            urgency=kind.urgency,
        )
        for kind in kinds
    ]
    rule = ServiceSettings(
        name=POOL, health_path="/", max_connections=100, kv_capacity_tokens=MEMORY_TOKENS
    )
    return Catalog(
        version=1, row_version=1, routes=routes, services=[rule], organisations=None, limits=LIMITS
    )


def build_profiles() -> EngineProfiles:
    """Return engine profiles as learnt by all instances."""
    estimates = {
        name: Estimate(value=getattr(PROFILE, name), samples=500)
        for name in ProfileEstimates.__dataclass_fields__
    }
    profiles = EngineProfiles()
    profiles.replace_peer("all", {POOL: ProfileEstimates(**estimates)})
    return profiles


class LocalDecider(Decider):
    """Instances that decide locally, with current loads and rejections from heartbeats."""

    def __init__(self, records: list[EndpointRecord], kinds: list[Kind], *, seed: int) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.loads = EndpointLoads()
        self.works: dict[int, Work] = {}
        self.fleet_state = FleetState(
            failure_domain="a", peers=Peers(own_name="i0"), clock=StoreClock()
        )
        self.fleet_state.apply_catalog(CatalogSnapshot(catalog=make_catalog(kinds), store_time=1.0))
        self.fleet_state.apply_endpoints(
            EndpointSnapshot(records=records, digest="d", store_time=1.0)
        )
        self.profiles = build_profiles()
        self.demand = PromptDemand()
        self.rejections = [AdmissionHistory() for _ in range(INSTANCES)]
        self.last_exchange = 0.0
        self.placers = [self.build_placer(history, seed=seed) for history in self.rejections]

    def build_placer(self, history: AdmissionHistory, *, seed: int) -> LocalPlacer:
        return LocalPlacer(
            fleet_state=self.fleet_state,
            chooser=EndpointChooser(loads=self.loads, cache=PromptCache(), random=Random(seed)),
            versions=build_versions(self.fleet_state),
            demand=self.demand,
            profiles=self.profiles,
            rejections=history,
            random=Random(seed),
            read_time=lambda: self.now,
        )

    def find_route(self, kind: Kind) -> Route:
        assert self.fleet_state.catalog is not None
        route = self.fleet_state.catalog.find_route("portal.example", f"/{kind.urgency}/")
        assert route is not None
        return route

    def decide(self, event: Event, check: RoomCheck) -> Decision:
        self.now = event.due
        self.exchange_heartbeats()
        kind = event.kind
        assert self.fleet_state.catalog is not None
        request = build_request(
            request_id=str(event.number),
            prompt_tokens=kind.prompt_tokens,
            output_tokens=OUTPUT_TOKENS,
            received_at=self.now,
        )
        route = self.find_route(kind)
        progress = begin_progress(
            request,
            Admitted(catalog=self.fleet_state.catalog, route=route, organisation=None),
            service=POOL,
            shortest_objective_s=self.fleet_state.find_shortest_objective(POOL),
            profile=PROFILE,
            most_urgent=kind.urgency == 0,
            least_urgent=self.fleet_state.is_least_urgent(route, POOL),
        )
        placed = self.random.choice(self.placers).decide(request, progress, check)
        assert placed.choice is not None
        if placed.rejection is not None:
            return Decision(retry_after_s=placed.rejection.retry_after_s)
        endpoint_id = placed.choice.record.endpoint_id
        self.works[event.number] = self.loads.begin(
            endpoint_id,
            prefill_tokens=kind.prompt_tokens,
            kv_tokens=kind.prompt_tokens + OUTPUT_TOKENS,
        )
        return Decision(endpoint_id=endpoint_id)

    def exchange_heartbeats(self) -> None:
        if self.now - self.last_exchange < HEARTBEAT_INTERVAL_S:
            return
        self.last_exchange = self.now
        for receiver in self.rejections:
            for number, sender in enumerate(self.rejections):
                if sender is not receiver:
                    counts = sender.list_own(now=self.now)
                    receiver.replace_peer(f"i{number}", counts, now=self.now)

    def report(self, event: Event) -> None:
        if event.phase is WorkPhase.ENDED:
            self.works.pop(event.number).end()
        else:
            self.works[event.number].finish_prefill()


class BurstWorld:
    """A simulation of engines, a decider and callers that retry once."""

    def __init__(
        self, kinds: list[Kind], *, seed: int, local: bool, duration_s: float = 10.0
    ) -> None:
        self.random = Random(seed)
        records = [
            build_endpoint(f"e{number}", service=POOL, slots=SLOTS) for number in range(ENGINES)
        ]
        self.decider: Decider = (
            LocalDecider(records, kinds, seed=seed)
            if local
            else ScheduledDecider(records, kinds, seed=seed)
        )
        self.least_urgency = max(kind.urgency for kind in kinds)
        self.engines = {record.endpoint_id: Engine() for record in records}
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self.events: list[Event] = []
        self.number = 0
        for kind in kinds:
            self.add_arrivals(kind, duration_s=duration_s)

    def add_arrivals(self, kind: Kind, *, duration_s: float) -> None:
        due = BEGIN_S
        while due < BEGIN_S + duration_s:
            due += self.random.expovariate(kind.rate_per_s)
            self.number += 1
            heappush(self.events, Event(due=due, number=self.number, kind=kind, arrived=due))

    def run(self) -> dict[str, Outcome]:
        """Process all events in the order of their times."""
        while self.events:
            event = heappop(self.events)
            if event.phase is None:
                self.request(event)
            else:
                self.decider.report(event)
        return self.outcomes

    def request(self, event: Event) -> None:
        outcome = self.outcomes[event.kind.name]
        wait = event.wait
        if wait is None:
            outcome.requests += not event.is_retry
            wait = self.begin_wait(event)
        check = wait.begin_check(now=event.due)
        decision = self.decider.decide(event, check)
        if decision.endpoint_id is not None:
            self.start(event, decision.endpoint_id)
        elif not check.last:
            due = event.due + CHECK_INTERVAL_S
            heappush(self.events, replace(event, due=due, wait=wait))
        elif event.is_retry:
            outcome.rejected += 1
        else:
            self.number += 1
            retry = Event(
                due=event.due + decision.retry_after_s,
                number=self.number,
                kind=event.kind,
                is_retry=True,
                arrived=event.arrived,
            )
            heappush(self.events, retry)

    def begin_wait(self, event: Event) -> PlacementWait:
        return begin_wait(
            attempt=f"{event.number}",
            received_at=event.due,
            objective_s=event.kind.objective_s,
            least_urgent=event.kind.urgency == self.least_urgency,
            deadline=event.due + TIMEOUT_S,
        )

    def start(self, event: Event, endpoint_id: str) -> None:
        kind, outcome = event.kind, self.outcomes[event.kind.name]
        first = self.engines[endpoint_id].schedule_prefill(kind.prompt_tokens, now=event.due)
        outcome.started += 1
        outcome.in_time += first - event.arrived <= kind.objective_s
        for due, phase in ((first, WorkPhase.RUNNING), (first + kind.run_s, WorkPhase.ENDED)):
            heappush(self.events, Event(due=due, number=event.number, kind=kind, phase=phase))
