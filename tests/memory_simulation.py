"""Simulated fleet whose engines hold few of the longest prompts, without a network."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import Enum, auto
from heapq import heappop, heappush
from random import Random
from typing import TYPE_CHECKING

from guavamast.relay.caller_gate import Admitted
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.local_placer import LocalPlacer
from guavamast.relay.peers import FULL_MESH_INSTANCES, Peers
from guavamast.relay.placement import (
    SINGLE_CHECK,
    AdmissionHistory,
    EndpointChooser,
    KvLimit,
    MemoryReserve,
    PromptCache,
    PromptDemand,
    RequestSizes,
    UnscheduledMemory,
)
from guavamast.relay.placement.engine_forecast import KV_FULL_WAIT_MS
from guavamast.relay.request_progress import begin_progress
from guavamast.relay.requester import Requester
from guavamast.relay.scheduler import GroupScheduler, ServiceParameters
from guavamast.relay.scheduling_messages import (
    PlacedWork,
    Verdict,
    WorkPhase,
    WorkReport,
    WorkUpdate,
)
from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot
from tests.relay_fixtures import PROFILE, build_endpoint, build_request, build_versions
from tests.scheduling_simulation import (
    GROUP,
    KV_CAPACITY_TOKENS,
    POOL,
    make_pool_catalog,
    make_query,
)
from tests.urgency_fleets import build_profiles

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_load import Work
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement import Placement

LOAD_AGE_S = 0.5
"""Seconds until other instances know a load."""
DURATION_S = 24.0
CUT_AT_S = 6.0
REJOIN_AT_S = 11.0
REPLACED_AT_S = 15.0
"""Time at which the first instances ask another scheduler."""
SWITCH_S = 0.3
"""Seconds until the last instance asks it, too."""
DISCONNECTED = 2
"""Instances that are cut off from the scheduler and from the others for a time."""
RETRY_S = 0.1
ATTEMPTS = 10
LOAD_FACTOR = 1.6
"""Demand for memory relative to the capacity of all engines."""
MEAN_HELD = 6_700
"""Mean tokens of a request, prompt and output."""
MEAN_RUN_S = 3.0
LARGEST_TOKENS = 23_600
"""Tokens of the largest request with its longest output."""
COUNTED = ((3.0, CUT_AT_S), (REPLACED_AT_S + 4.5, DURATION_S))
"""Times in which the used share is measured: under load, while all instances are connected."""


class Policy(Enum):
    """How memory is kept within its bounds."""

    NONE = auto()
    """As without `memory_pressure`."""
    FIXED = auto()
    """Each instance places alone, with a fixed reserve of a quarter of the KV cache."""
    SENDERS = auto()
    """Each instance places alone, with a reserve for the largest request of each other one."""
    GRANTS = auto()
    """Leased grants of a scheduler at any number of instances."""


@dataclass(slots=True, kw_only=True)
class Asked:
    """A request, what is known of it, and what it takes."""

    number: int
    instance: int
    prompt: int
    stated_output: int
    output: int
    run_s: float
    urgent: bool
    sized: bool
    body_bytes: int
    attempts: int = 0
    endpoint_id: str = ""
    work: Work | None = None
    granted: bool = False


class DelayedLoads(EndpointLoads):
    """Loads as one instance knows them: its own now, those of others half a second ago."""

    def __init__(self, fleet: MemoryFleet, place: int) -> None:
        super().__init__()
        self._fleet = fleet
        self._place = place

    def sum_up(self, endpoint_id: str) -> Load:
        """Return the own load now and that of all others as published."""
        total = Load()
        total.add(self._own.get(endpoint_id) or Load())
        total.add(self._fleet.published_total(endpoint_id))
        total.subtract(self._fleet.published[self._place].get(endpoint_id) or Load())
        return total


class AloneInstance:
    """What an instance needs to place without a scheduler."""

    def __init__(self, fleet: MemoryFleet, place: int) -> None:
        self.now = 0.0
        state = FleetState(
            failure_domain="a", peers=Peers(own_name=f"i{place}"), clock=StoreClock()
        )
        self.catalog = make_pool_catalog()
        state.apply_catalog(CatalogSnapshot(catalog=self.catalog, store_time=1.0))
        state.apply_endpoints(EndpointSnapshot(records=fleet.engines, digest="d", store_time=1.0))
        random = Random(f"{fleet.seed}{place}")
        memory = None
        if fleet.policy is Policy.GRANTS:
            memory = UnscheduledMemory(
                own_name=f"i{place}",
                list_instances=lambda: [f"i{one}" for one in range(fleet.instances)],
                read_held=lambda endpoint_id: fleet.sum_ungranted(place, endpoint_id),
            )
            memory.update(now=0.0)
        self.placer = _Placer(
            fleet_state=state,
            chooser=EndpointChooser(loads=fleet.loads[place], cache=PromptCache(), random=random),
            versions=build_versions(state),
            demand=PromptDemand(),
            profiles=build_profiles(PROFILE),
            rejections=AdmissionHistory(),
            random=random,
            read_time=lambda: self.now,
            memory=memory,
        )
        self.placer.limit = fleet.select_limit()

    def place(self, asked: Asked, prompt: int, output: int, now: float) -> str | None:
        """Return the endpoint for a request; None without one."""
        self.now = now
        request = build_request(
            request_id=f"{asked.number}.{asked.attempts}",
            target="/answers/1",
            prompt_tokens=prompt,
            output_tokens=output,
            received_at=now,
            timeout_s=10.0,
        )
        route = self.catalog.find_route(request.host, request.path)
        assert route is not None
        progress = begin_progress(
            request,
            Admitted(catalog=self.catalog, route=route, organisation=None),
            service=POOL,
            shortest_objective_s=0.3,
            profile=PROFILE,
            most_urgent=asked.urgent,
            least_urgent=not asked.urgent,
        )
        placed = self.placer.decide(request, progress, SINGLE_CHECK)
        if placed.choice is None or placed.rejection is not None:
            return None
        return placed.choice.record.endpoint_id


class _Placer(LocalPlacer):
    """A local placer whose limit may be replaced by one of the compared limits."""

    limit: KvLimit | None = None

    def _build_placement(self, *args: object, **names: object) -> Placement:
        placement = super()._build_placement(*args, **names)  # type: ignore[arg-type]
        return replace(placement, kv_limit=self.limit) if self.limit else placement


class MemoryFleet:
    """Instances and engines through a disconnection and the replacement of the scheduler."""

    def __init__(self, *, instances: int, engines: int, policy: Policy, seed: int) -> None:
        self.instances = instances
        self.policy = policy
        self.seed = seed
        self.random = Random(seed)
        self.now = 0.0
        self.engines: list[EndpointRecord] = [
            build_endpoint(f"e{number}", service=POOL, slots=64) for number in range(engines)
        ]
        self.published: list[dict[str, Load]] = [{} for _ in range(instances)]
        self._published_total: dict[str, Load] = {}
        self._snapshots: deque[tuple[float, list[dict[str, Load]]]] = deque()
        self.loads = [DelayedLoads(self, place) for place in range(instances)]
        self.held = {record.endpoint_id: 0 for record in self.engines}
        self.highest = dict.fromkeys(self.held, 0)
        """The most that each engine ever held, in tokens."""
        self._used: list[float] = []
        self.rejected = 0
        self.served = 0
        self._sizes = [RequestSizes() for _ in range(instances)]
        self._running: list[dict[int, Asked]] = [{} for _ in range(instances)]
        self._alone: dict[int, AloneInstance] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._reserve = MemoryReserve() if policy is Policy.GRANTS else None
        self._parameters = ServiceParameters(
            profile=PROFILE, kv_capacity_tokens=KV_CAPACITY_TOKENS, shortest_pause_s=0.6
        )
        self._schedulers: list[GroupScheduler | None] = [self._build_scheduler(-60.0), None]
        self._switched = [REPLACED_AT_S + self.random.random() * SWITCH_S for _ in range(instances)]
        self._reported_to = [-1] * instances

    @property
    def highest_share(self) -> float:
        """The most that any engine ever held, as a share of its KV cache."""
        return max(self.highest.values()) / KV_CAPACITY_TOKENS

    @property
    def used_share(self) -> float:
        """The mean share of the KV caches in use under load."""
        return sum(self._used) / len(self._used)

    def run(self) -> None:
        """Run to the end."""
        rate = LOAD_FACTOR * len(self.engines) * KV_CAPACITY_TOKENS / MEAN_HELD / MEAN_RUN_S
        at = 0.0
        while at < DURATION_S:
            at += self.random.expovariate(rate)
            self._schedule(at, lambda: self._try(self._draw()))
        for tick in range(int(DURATION_S / 0.05)):
            self._schedule(tick * 0.05, self._tick)
        for place in range(self.instances):
            offset = self.random.random()
            for second in range(int(DURATION_S)):
                self._schedule(second + offset, lambda place=place: self._report(place))
        while self._events:
            self.now, _, action = heappop(self._events)
            action()

    def published_total(self, endpoint_id: str) -> Load:
        """Return the load of all instances at an endpoint as published."""
        return self._published_total.get(endpoint_id) or Load()

    def sum_ungranted(self, place: int, endpoint_id: str) -> int:
        """Return the tokens that an instance holds at an endpoint without a grant."""
        return sum(
            sum(self._size(one))
            for one in self._running[place].values()
            if not one.granted and one.endpoint_id == endpoint_id
        )

    def select_limit(self) -> KvLimit | None:
        """Return the limit of the compared reserves; None for the placer's own."""
        if self.policy is Policy.FIXED:
            return KvLimit(share=0.75, wait_ms=KV_FULL_WAIT_MS)
        if self.policy is Policy.SENDERS:
            unknown = (self.instances - 1) * LARGEST_TOKENS / KV_CAPACITY_TOKENS
            return KvLimit(share=max(0.0, 1.0 - unknown), wait_ms=KV_FULL_WAIT_MS)
        return None

    def _schedule(self, at: float, action: Callable[[], None]) -> None:
        self._count += 1
        heappush(self._events, (at, self._count, action))

    def _build_scheduler(self, now: float) -> GroupScheduler:
        return GroupScheduler(random=Random(self.seed), now=now, memory=self._reserve)

    def _draw(self) -> Asked:
        self._count += 1
        random = self.random
        kind = random.random()
        if kind < 0.6:
            prompt = random.randint(500, 3_000)
        elif kind < 0.85:
            prompt = random.randint(6_000, 12_000)
        else:
            prompt = random.randint(18_000, 22_000)
        stated = random.randint(100, 800)
        longer = random.random() < 0.1
        return Asked(
            number=self._count,
            instance=random.randrange(self.instances),
            prompt=prompt,
            stated_output=stated,
            output=stated * 2 if longer else int(stated * random.uniform(0.8, 1.0)),
            run_s=random.uniform(1.0, 5.0),
            urgent=random.random() < 0.5,
            sized=random.random() >= 0.1,
            body_bytes=int(prompt * random.uniform(0.97, 1.03)),
        )

    def _size(self, asked: Asked) -> tuple[int, int]:
        """Return the prompt and output by which a request is counted."""
        if asked.sized:
            return asked.prompt, asked.stated_output
        if self.policy is Policy.NONE:
            return 0, 0
        return self._sizes[asked.instance].estimate("answers", body_bytes=asked.body_bytes)

    def _is_cut(self, place: int) -> bool:
        return place < DISCONNECTED and CUT_AT_S <= self.now < REJOIN_AT_S

    def _try(self, asked: Asked) -> None:
        asked.attempts += 1
        place = asked.instance
        prompt, output = self._size(asked)
        if asked.sized:
            self._sizes[place].record(
                "answers",
                body_bytes=asked.body_bytes,
                prompt_tokens=prompt,
                output_tokens=output,
            )
        scheduled = self.instances > FULL_MESH_INSTANCES or self.policy is Policy.GRANTS
        if self.policy in (Policy.FIXED, Policy.SENDERS):
            scheduled = False
        if scheduled and not self._is_cut(place):
            endpoint_id = self._ask(asked, prompt, output)
            asked.granted = endpoint_id is not None
        else:
            if place not in self._alone:
                self._alone[place] = AloneInstance(self, place)
            endpoint_id = self._alone[place].place(asked, prompt, output, self.now)
        if endpoint_id is not None:
            self._begin(asked, endpoint_id, prompt, output)
        elif asked.attempts < ATTEMPTS:
            self._schedule(
                self.now + RETRY_S * self.random.uniform(0.8, 1.2), lambda: self._try(asked)
            )
        else:
            self.rejected += 1

    def _find_scheduler(self, place: int) -> int:
        return int(self.now >= self._switched[place])

    def _get_scheduler(self, place: int) -> GroupScheduler:
        number = self._find_scheduler(place)
        scheduler = self._schedulers[number]
        if scheduler is None:
            scheduler = self._schedulers[number] = self._build_scheduler(self.now)
            self._publish_to(scheduler)
        if self._reported_to[place] != number:
            self._reported_to[place] = number
            scheduler.work.apply_report(self._build_report(place), now=self.now)
        return scheduler

    def _ask(self, asked: Asked, prompt: int, output: int) -> str | None:
        scheduler = self._get_scheduler(asked.instance)
        query = make_query(
            asked.number,
            requester=f"i{asked.instance}",
            prompt_parts=(),
            prompt_tokens=prompt,
            output_tokens=output,
            objective_s=3.0,
            most_urgent=asked.urgent,
            least_urgent=not asked.urgent,
            precedence=int(not asked.urgent),
        )
        reply = scheduler.decide(query, self.engines, self._parameters, now=self.now)
        return reply.endpoint_id if reply.verdict is Verdict.GRANTED else None

    def _begin(self, asked: Asked, endpoint_id: str, prompt: int, output: int) -> None:
        asked.endpoint_id = endpoint_id
        asked.work = self.loads[asked.instance].begin(
            endpoint_id, prefill_tokens=0, kv_tokens=prompt + output
        )
        self._running[asked.instance][asked.number] = asked
        self.held[endpoint_id] += asked.prompt + asked.output
        self.highest[endpoint_id] = max(self.highest[endpoint_id], self.held[endpoint_id])
        self.served += 1
        self._schedule(self.now + 0.2, lambda: self._update(asked, WorkPhase.RUNNING))
        self._schedule(self.now + asked.run_s, lambda: self._end(asked))

    def _end(self, asked: Asked) -> None:
        assert asked.work is not None
        asked.work.end()
        del self._running[asked.instance][asked.number]
        self.held[asked.endpoint_id] -= asked.prompt + asked.output
        self._update(asked, WorkPhase.ENDED)

    def _update(self, asked: Asked, phase: WorkPhase) -> None:
        if self._is_cut(asked.instance):
            return
        scheduler = self._schedulers[self._find_scheduler(asked.instance)]
        if scheduler is None:
            return
        requester = Requester(instance=f"i{asked.instance}", incarnation=1)
        scheduler.apply_update(
            WorkUpdate(requester=requester, group=GROUP, number=asked.number, phase=phase),
            now=self.now,
        )

    def _build_report(self, place: int) -> WorkReport:
        works = tuple(
            PlacedWork(
                number=one.number,
                endpoint_id=one.endpoint_id,
                phase=WorkPhase.RUNNING,
                shared_part=None,
                uncached_tokens=0,
                kv_tokens=sum(self._size(one)),
                pause_sensitive=False,
                organisation="",
                precedence=0,
            )
            for one in self._running[place].values()
        )
        requester = Requester(instance=f"i{place}", incarnation=1)
        return WorkReport(requester=requester, group=GROUP, works=works)

    def _report(self, place: int) -> None:
        if not self._is_cut(place) and self._running[place]:
            scheduler = self._get_scheduler(place)
            scheduler.work.apply_report(self._build_report(place), now=self.now)

    def _tick(self) -> None:
        """Publish loads half a second late, clean up schedulers and measure."""
        copies = [
            {key: replace(load) for key, load in loads.list_own().items()} for loads in self.loads
        ]
        self._snapshots.append((self.now, copies))
        while self._snapshots[0][0] <= self.now - LOAD_AGE_S:
            _, snapshot = self._snapshots.popleft()
            for place, loads in enumerate(snapshot):
                if not self._is_cut(place):
                    self.published[place] = loads
        self._published_total = {}
        for loads in self.published:
            for endpoint_id, load in loads.items():
                self._published_total.setdefault(endpoint_id, Load()).add(load)
        for scheduler in self._schedulers:
            if scheduler is not None:
                self._publish_to(scheduler)
                scheduler.work.drop_expired(now=self.now)
        if any(begin <= self.now < end for begin, end in COUNTED):
            capacity = KV_CAPACITY_TOKENS * len(self.engines)
            self._used.append(sum(self.held.values()) / capacity)

    def _publish_to(self, scheduler: GroupScheduler) -> None:
        if self.policy is Policy.GRANTS:
            scheduler.work.apply_published(
                {f"i{place}": loads for place, loads in enumerate(self.published)}
            )
