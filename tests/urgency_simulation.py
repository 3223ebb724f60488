"""Discrete-event simulation of three kinds of requests at engines that are too few for all of them.

Requests arrive in clumps and differ in length. Callers retry once, at the time that they are told,
and leave when nothing has come for too long. Instances know the work of others a moment late.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from guavamast.relay.caller_gate import Admitted
from guavamast.relay.catalog import Catalog, RouteKind, ServiceSettings, WeightedService
from guavamast.relay.endpoint_load import EndpointLoads, Load, Work
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.heartbeat_messages import LoadUpdate
from guavamast.relay.load_update_sender import WAITING_REPEAT_S
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.peers import Peers
from guavamast.relay.placement.admission_history import AdmissionHistory
from guavamast.relay.placement.endpoint_choice import EndpointChooser
from guavamast.relay.placement.engine_profile import (
    EngineProfile,
    EngineProfiles,
    Estimate,
    ProfileEstimates,
)
from guavamast.relay.placement.length_buckets import PromptDemand
from guavamast.relay.placement.prompt_cache import PromptCache
from guavamast.relay.placement.waiting import CHECK_INTERVAL_S, PlacementWait, RoomCheck, begin_wait
from guavamast.relay.request_progress import RequestProgress, begin_progress
from guavamast.relay.scheduled_placer import MAX_QUERY_INTERVAL_S
from guavamast.relay.scheduler import LEARNING_S, GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import PlacementQuery, Verdict, WorkPhase, WorkUpdate
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from guavamast.urgency_order import BegunWork, RequestOutcome
from tests.relay_fixtures import (
    LIMITS,
    build_endpoint,
    build_parts,
    build_request,
    build_route,
    build_versions,
)
from tests.scheduling_simulation import GROUP, POOL, make_query

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.messages import CallerRequest

BEGIN_S = LEARNING_S + 0.5
CLUMP = 3.0
"""Requests that arrive together, on average."""
CLUMP_S = 0.02
"""Seconds within which they arrive."""
LOAD_DELAY_S = 0.025
"""Seconds until other instances know that the work at an engine has grown or shrunk."""
HEARTBEAT_S = 0.25
"""Seconds between two heartbeats of an instance."""
MAX_RETRY_SHARE = 1 / 3
"""Share of its remaining time for which a caller waits before its retry at most."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Kind:
    """A kind of request."""

    name: str
    urgency: int
    objective_s: float
    per_s: float
    mean_tokens: float
    max_tokens: float
    output_tokens: int
    timeout_s: float
    patience_s: float
    """Seconds without an event after which a caller leaves."""


QUESTION = Kind(
    name="question",
    urgency=0,
    objective_s=0.3,
    per_s=12.0,
    mean_tokens=830.0,
    max_tokens=3_500.0,
    output_tokens=290,
    timeout_s=12.0,
    patience_s=2.0,
)
PHOTO = Kind(
    name="photo",
    urgency=1,
    objective_s=0.4,
    per_s=16.0,
    mean_tokens=2_370.0,
    max_tokens=7_400.0,
    output_tokens=24,
    timeout_s=3.0,
    patience_s=2.4,
)
DIGEST = Kind(
    name="digest",
    urgency=2,
    objective_s=2.0,
    per_s=8.5,
    mean_tokens=10_500.0,
    max_tokens=50_000.0,
    output_tokens=384,
    timeout_s=15.0,
    patience_s=8.0,
)
KINDS = (QUESTION, PHOTO, DIGEST)


@dataclass(frozen=True, slots=True, kw_only=True)
class Burst:
    """A span in which more is asked for."""

    factor: float
    from_s: float
    until_s: float
    kind: Kind | None = None
    """None for all kinds."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Engines, instances and load of a run."""

    engines: int = 6
    speed: float = 1.0
    """Share of the usual speed of engines."""
    bursts: tuple[Burst, ...] = ()
    load: float = 1.0
    """Factor on all rates."""
    instances: int = 13
    scheduled: bool = False
    """Whether one scheduler decides for all instances."""
    length_s: float = 18.0
    kinds: tuple[Kind, ...] = KINDS

    def compute_rate(self, kind: Kind, at_s: float) -> float:
        """Return how many requests of a kind arrive in a second."""
        rate = self.load * kind.per_s
        for burst in self.bursts:
            if burst.kind in (None, kind) and burst.from_s <= at_s < burst.until_s:
                rate *= burst.factor
        return rate

    def build_profile(self) -> EngineProfile:
        """Return the speed of the engines, as all instances have learnt it."""
        return EngineProfile(
            first_event_ms=60.0 / self.speed,
            read_tokens_per_ms=92.0 * self.speed,
            token_ms=4.5 / self.speed,
            run_ms=900.0 / self.speed,
            reading_pause_ms=90.0 / self.speed,
        )


@dataclass(slots=True, kw_only=True)
class Asked:
    """One request of a caller, over its attempts."""

    number: int
    kind: Kind
    tokens: int
    arrived: float
    attempts: int = 0
    attempt_began: float = 0.0
    first_event: float | None = None
    left: bool = False

    @property
    def deadline(self) -> float:
        return self.arrived + self.kind.timeout_s

    def is_served(self) -> bool:
        return self.first_event is not None and not self.left


class Engine:
    """An engine that admits the most urgent requests first and prefills one prompt at a time."""

    def __init__(self, profile: EngineProfile, *, slots: int) -> None:
        self._profile = profile
        self._slots = slots
        self._running = 0
        self._prefill_until = 0.0
        self._waiting: list[tuple[int, int, Asked]] = []
        self._arrivals = 0

    def enqueue(self, asked: Asked) -> None:
        """Add a request to those that wait for a slot."""
        self._arrivals += 1
        heappush(self._waiting, (asked.kind.urgency, self._arrivals, asked))

    def admit(self, now: float) -> list[tuple[Asked, float, float]]:
        """Return the requests that get a slot, each with the times of its first event and end."""
        admitted = []
        while self._waiting and self._running < self._slots:
            _, _, asked = heappop(self._waiting)
            self._running += 1
            start = max(now, self._prefill_until)
            self._prefill_until = start + self._profile.compute_prefill_ms(asked.tokens) / 1000.0
            first = self._prefill_until + self._profile.first_event_ms / 1000.0
            token_s = self._profile.token_ms / 1000.0 * (1.0 + self._running / self._slots)
            admitted.append((asked, first, first + token_s * asked.kind.output_tokens))
        return admitted

    def release(self) -> None:
        """Free a slot."""
        self._running -= 1


@dataclass(frozen=True, slots=True, kw_only=True)
class Decision:
    """The endpoint of an attempt, or the delay before its caller retries."""

    endpoint_id: str | None = None
    retry_after_s: float = 0.0


class Fleet(ABC):
    """Instances that decide on attempts and learn of their progress."""

    @abstractmethod
    def decide(self, asked: Asked, check: RoomCheck, now: float) -> Decision:
        """Decide on an attempt at one of its checks for room."""

    @abstractmethod
    def report(self, asked: Asked, phase: WorkPhase, now: float) -> None:
        """Learn of the progress of an attempt that was sent."""


def make_catalog(kinds: tuple[Kind, ...]) -> Catalog:
    """Return a configuration with a route for each kind."""
    service = WeightedService(service=POOL, weight=1.0)
    routes = [
        build_route(
            name=kind.name,
            path_prefix=f"/{kind.name}/",
            kind=RouteKind.STREAM,
            services=(service,),
            needs_key=False,
            timeout_s=kind.timeout_s,
            objective_s=kind.objective_s,
            urgency=kind.urgency,
        )
        for kind in kinds
    ]
    settings = ServiceSettings(
        name=POOL, health_path="/", max_connections=700, kv_capacity_tokens=614_000
    )
    return Catalog(
        version=1,
        row_version=1,
        routes=routes,
        services=[settings],
        organisations=None,
        limits=LIMITS,
    )


class Instance:
    """One instance that decides locally."""

    def __init__(
        self, scenario: Scenario, records: list[EndpointRecord], *, name: str, seed: int
    ) -> None:
        self.name = name
        self.now = 0.0
        self.loads = EndpointLoads()
        self.demand = PromptDemand()
        self.rejections = AdmissionHistory()
        self.fleet_state = FleetState(
            failure_domain="a", peers=Peers(own_name=name), clock=StoreClock()
        )
        catalog = make_catalog(scenario.kinds)
        self.catalog = catalog
        self.fleet_state.apply_catalog(CatalogSnapshot(catalog=catalog, store_time=1.0))
        self.fleet_state.apply_endpoints(
            EndpointSnapshot(records=records, digest="d", store_time=1.0)
        )
        self.profile = scenario.build_profile()
        random = Random(f"{seed}{name}")
        self.placer = LocalPlacer(
            fleet_state=self.fleet_state,
            chooser=EndpointChooser(loads=self.loads, cache=PromptCache(), random=random),
            versions=build_versions(self.fleet_state),
            demand=self.demand,
            profiles=build_profiles(self.profile),
            rejections=self.rejections,
            random=random,
            read_time=lambda: self.now,
        )

    def build_request(self, asked: Asked, now: float) -> CallerRequest:
        """Return the request of an attempt."""
        return build_request(
            request_id=f"{asked.number}.{asked.attempts}",
            target=f"/{asked.kind.name}/1",
            prompt_parts=build_parts((f"own{asked.number}", asked.tokens)),
            prompt_tokens=asked.tokens,
            output_tokens=asked.kind.output_tokens,
            received_at=now,
            timeout_s=asked.deadline - now,
        )

    def begin(self, request: CallerRequest, check: RoomCheck, now: float) -> RequestProgress:
        """Return the state of an attempt, whose demand is counted at its first check."""
        route = self.catalog.find_route(request.host, request.path)
        assert route is not None
        progress = begin_progress(
            request,
            Admitted(catalog=self.catalog, route=route, organisation=None),
            service=POOL,
            shortest_objective_s=self.catalog.find_shortest_objective(POOL),
            profile=self.profile,
            most_urgent=self.catalog.is_most_urgent(route, POOL),
            least_urgent=self.catalog.is_least_urgent(route, POOL),
        )
        if check.first:
            self.demand.record(
                progress.bucket,
                prompt_tokens=request.prompt_tokens,
                output_tokens=request.output_tokens,
                profile=self.profile,
                now=now,
            )
        return progress


def build_profiles(profile: EngineProfile) -> EngineProfiles:
    """Return engine profiles as learnt by all instances."""
    estimates = {
        name: Estimate(value=getattr(profile, name), samples=500)
        for name in ProfileEstimates.__dataclass_fields__
    }
    profiles = EngineProfiles()
    profiles.replace_peer("all", {POOL: ProfileEstimates(**estimates)})
    return profiles


class LocalFleet(Fleet):
    """Instances that decide locally; each attempt reaches a random one."""

    def __init__(self, scenario: Scenario, records: list[EndpointRecord], *, seed: int) -> None:
        self._random = Random(f"{seed}fleet")
        self.instances = [
            Instance(scenario, records, name=f"i{number}", seed=seed)
            for number in range(scenario.instances)
        ]
        self._works: dict[int, Work] = {}
        self._changes: list[tuple[float, int, LoadUpdate]] = []
        self._announced: dict[str, float] = {}
        self._count = 0
        self._at: dict[int, Instance] = {}
        self._endpoint: dict[int, str] = {}
        self._exchanged = [0.0] * scenario.instances

    def decide(self, asked: Asked, check: RoomCheck, now: float) -> Decision:
        """Decide at a random instance; the same for all checks of an attempt."""
        if check.first:
            self._at[asked.number] = self._random.choice(self.instances)
        instance = self._at[asked.number]
        self.deliver(now)
        instance.now = now
        request = instance.build_request(asked, now)
        progress = instance.begin(request, check, now)
        placed = instance.placer.decide(request, progress, check)
        if placed.rejection is not None:
            self._announce_waiting(instance, now)
        assert placed.choice is not None
        if placed.rejection is not None:
            return Decision(retry_after_s=placed.rejection.retry_after_s)
        self.begin_work(instance, asked, placed.choice.record.endpoint_id, now)
        return Decision(endpoint_id=placed.choice.record.endpoint_id)

    def begin_work(self, instance: Instance, asked: Asked, endpoint_id: str, now: float) -> None:
        """Count an attempt that an instance sends."""
        self._works[asked.number] = instance.loads.begin(
            endpoint_id,
            prefill_tokens=asked.tokens,
            kv_tokens=asked.tokens + asked.kind.output_tokens,
        )
        self._endpoint[asked.number] = endpoint_id
        self._announce(instance, endpoint_id, now)

    def report(self, asked: Asked, phase: WorkPhase, now: float) -> None:
        """Learn of the progress of an attempt that was sent."""
        work = self._works[asked.number]
        if phase.over:
            work.end()
        else:
            work.finish_prefill()
        self._announce(self._at[asked.number], self._endpoint[asked.number], now)

    def deliver(self, now: float) -> None:
        """Deliver the load updates and heartbeats that are due."""
        while self._changes and self._changes[0][0] <= now:
            due, _, update = heappop(self._changes)
            for receiver in self.instances:
                if receiver.name != update.instance:
                    receiver.loads.update_peer(update.instance, update.loads)
                    receiver.rejections.update_peer_waiting(
                        update.instance, update.waiting, now=due
                    )
        for number, sender in enumerate(self.instances):
            if now - self._exchanged[number] >= HEARTBEAT_S:
                self._exchanged[number] = now
                self._send_heartbeat(sender, now)

    def _send_heartbeat(self, sender: Instance, now: float) -> None:
        rejections = sender.rejections.list_own(now=now)
        demand = sender.demand.read_own(now=now)
        for receiver in self.instances:
            if receiver is not sender:
                receiver.rejections.replace_peer(sender.name, rejections, now=now)
                receiver.demand.replace_peer(sender.name, demand)

    def _announce(self, instance: Instance, endpoint_id: str, now: float) -> None:
        own = Load()
        own.add(instance.loads.list_own().get(endpoint_id) or Load())
        self._send_update(instance, {endpoint_id: own}, now)

    def _announce_waiting(self, instance: Instance, now: float) -> None:
        if now - self._announced.get(instance.name, 0.0) >= WAITING_REPEAT_S:
            self._announced[instance.name] = now
            self._send_update(instance, {}, now)

    def _send_update(self, instance: Instance, loads: dict[str, Load], now: float) -> None:
        self._count += 1
        update = LoadUpdate(
            instance=instance.name,
            incarnation=1,
            loads=loads,
            sends=[],
            waiting=instance.rejections.list_waiting(now=now),
        )
        heappush(self._changes, (now + LOAD_DELAY_S, self._count, update))


class ScheduledFleet(Fleet):
    """Instances that ask one scheduler."""

    def __init__(self, scenario: Scenario, records: list[EndpointRecord], *, seed: int) -> None:
        self._random = Random(f"{seed}fleet")
        self._scenario = scenario
        self._records = records
        self._scheduler = GroupScheduler(random=Random(seed), now=0.0)
        self._parameters = ServiceParameters(
            profile=scenario.build_profile(), kv_capacity_tokens=614_000, shortest_pause_s=0.2
        )
        self._instance = Instance(scenario, records, name="i0", seed=seed)
        self._numbers: dict[int, int] = {}
        self._count = 0

    def decide(self, asked: Asked, check: RoomCheck, now: float) -> Decision:
        """Ask the scheduler."""
        request = self._instance.build_request(asked, now)
        progress = self._instance.begin(request, check, now)
        self._count += 1
        query = self.build_query(request, progress, check)
        reply = self._scheduler.decide(query, self._records, self._parameters, now=now)
        if reply.verdict is Verdict.GRANTED:
            self._numbers[asked.number] = query.number
            return Decision(endpoint_id=reply.endpoint_id)
        return Decision(retry_after_s=reply.retry_after_s)

    def build_query(
        self, request: CallerRequest, progress: RequestProgress, check: RoomCheck
    ) -> PlacementQuery:
        """Return the query of an attempt."""
        return make_query(
            self._count,
            prompt_parts=request.prompt_parts,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            bucket=progress.bucket,
            objective_s=progress.admitted.route.objective_s,
            latency_tolerant=progress.latency_tolerant,
            most_urgent=progress.most_urgent,
            least_urgent=progress.least_urgent,
            precedence=progress.admitted.precedence,
            check=check,
        )

    def report(self, asked: Asked, phase: WorkPhase, now: float) -> None:
        """Report the progress to the scheduler."""
        number = self._numbers[asked.number]
        update = WorkUpdate(
            requester=make_query(number).requester, group=GROUP, number=number, phase=phase
        )
        self._scheduler.apply_update(update, now=now)


@dataclass(order=True, slots=True)
class Event:
    """A scheduled action."""

    due: float
    number: int
    act: Callable[[], None] = field(compare=False)


class UrgencyWorld:
    """Callers, instances and engines of one run."""

    def __init__(self, scenario: Scenario, *, seed: int) -> None:
        self._scenario = scenario
        self._random = Random(seed)
        profile = scenario.build_profile()
        records = [
            build_endpoint(f"e{number}", service=POOL, slots=64)
            for number in range(scenario.engines)
        ]
        self._engines = {one.endpoint_id: Engine(profile, slots=64) for one in records}
        fleet_class = ScheduledFleet if scenario.scheduled else LocalFleet
        self._fleet: Fleet = fleet_class(scenario, records, seed=seed)
        self._events: list[Event] = []
        self._count = 0
        self.now = 0.0
        self.asked: list[Asked] = []
        self.work: list[BegunWork] = []
        for kind in scenario.kinds:
            self._draw(kind)

    def run(self) -> None:
        """Process all events in the order of their times."""
        while self._events:
            event = heappop(self._events)
            self.now = event.due
            event.act()

    def list_outcomes(self) -> list[RequestOutcome]:
        """Return all requests over their attempts."""
        return [
            RequestOutcome(
                service=POOL,
                kind=one.kind.name,
                precedence=one.kind.urgency,
                tokens=one.tokens,
                asked_at=one.arrived,
                served=one.is_served(),
            )
            for one in self.asked
        ]

    def count_served(self) -> dict[str, float]:
        """Return the share of the requests of each kind that were served."""
        asked = Counter(one.kind.name for one in self.asked)
        served = Counter(one.kind.name for one in self.asked if one.is_served())
        return {name: served[name] / count for name, count in asked.items()}

    def count_in_time(self) -> dict[str, float]:
        """Return the share of the requests of each kind that were served in time."""
        served: dict[str, list[bool]] = defaultdict(list)
        for one in self.asked:
            in_time = one.is_served() and (one.first_event or 0.0) <= (
                one.arrived + one.kind.objective_s
            )
            served[one.kind.name].append(in_time)
        return {name: sum(flags) / len(flags) for name, flags in served.items()}

    def _at(self, due: float, act: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, Event(due=due, number=self._count, act=act))

    def _draw(self, kind: Kind) -> None:
        due = 0.0
        while True:
            rate = self._scenario.compute_rate(kind, due) / CLUMP
            due += self._random.expovariate(rate)
            if due >= self._scenario.length_s:
                return
            size = 1 + int(math.log(1.0 - self._random.random()) / math.log(1.0 - 1.0 / CLUMP))
            for _ in range(size):
                self._add(kind, BEGIN_S + due + self._random.uniform(0.0, CLUMP_S))

    def _add(self, kind: Kind, arrived: float) -> None:
        spread = 0.8
        mean = math.log(kind.mean_tokens) - spread * spread / 2.0
        tokens = int(min(kind.max_tokens, self._random.lognormvariate(mean, spread)))
        asked = Asked(number=len(self.asked) + 1, kind=kind, tokens=tokens, arrived=arrived)
        self.asked.append(asked)
        self._at(arrived, lambda: self._attempt(asked))

    def _attempt(self, asked: Asked) -> None:
        asked.attempts += 1
        asked.attempt_began = self.now
        wait = begin_wait(
            attempt=f"{asked.number}.{asked.attempts}",
            received_at=self.now,
            objective_s=asked.kind.objective_s,
            least_urgent=asked.kind is DIGEST,
            deadline=asked.deadline,
        )
        self._check(asked, wait)

    def _check(self, asked: Asked, wait: PlacementWait) -> None:
        """Look for room once; check again, or let the caller retry, if there is none."""
        check = wait.begin_check(now=self.now)
        decision = self._fleet.decide(asked, check, self.now)
        if decision.endpoint_id is not None:
            self._send(asked, decision.endpoint_id)
        elif not check.last:
            interval_s = CHECK_INTERVAL_S * self._random.uniform(0.5, 1.5)
            if self._scenario.scheduled:
                interval_s = max(interval_s, min(MAX_QUERY_INTERVAL_S, decision.retry_after_s))
            self._at(self.now + interval_s, lambda: self._check(asked, wait))
        elif asked.attempts == 1:
            wait_s = min(decision.retry_after_s, MAX_RETRY_SHARE * (asked.deadline - self.now))
            self._at(self.now + wait_s, lambda: self._attempt(asked))

    def _send(self, asked: Asked, endpoint_id: str) -> None:
        begun = BegunWork(
            service=POOL,
            precedence=asked.kind.urgency,
            tokens=asked.tokens,
            began_at=self.now,
        )
        self.work.append(begun)
        self._engines[endpoint_id].enqueue(asked)
        self._admit(endpoint_id)

    def _admit(self, endpoint_id: str) -> None:
        for asked, first, end in self._engines[endpoint_id].admit(self.now):
            asked.first_event = first
            asked.left = first > min(asked.deadline, asked.attempt_began + asked.kind.patience_s)
            self._report_at(first, asked, WorkPhase.RUNNING)
            self._at(end, lambda asked=asked: self._end(asked, endpoint_id))  # type: ignore[misc]

    def _report_at(self, due: float, asked: Asked, phase: WorkPhase) -> None:
        self._at(due, lambda: self._fleet.report(asked, phase, self.now))

    def _end(self, asked: Asked, endpoint_id: str) -> None:
        self._fleet.report(asked, WorkPhase.ENDED, self.now)
        self._engines[endpoint_id].release()
        self._admit(endpoint_id)
