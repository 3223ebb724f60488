"""Ways to place requests in a fleet: who knows the work of an engine, and how late."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from bench.fleet_world import LENGTH_S
from bench.relay_policies import SERVICE, is_delicate_kind, make_record
from guavamast.relay.admission import WaitParameters
from guavamast.relay.admission_control import AdmissionControl
from guavamast.relay.endpoint_choice import EndpointChooser
from guavamast.relay.endpoint_load import EndpointLoads, Load
from guavamast.relay.engine_profile import EngineProfiles
from guavamast.relay.length_buckets import Demand, PromptDemand, find_bucket, is_latency_tolerant
from guavamast.relay.placement import Placement
from guavamast.relay.prompt_cache import PromptCache, PromptSend
from guavamast.relay.rejection_history import RejectionHistory
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from bench.fleet_world import FleetWorld
    from bench.relay_engines import ReadingEngine, Request
    from guavamast.relay.admission import Rejection
    from guavamast.relay.endpoint_choice import Choice
    from guavamast.relay.endpoint_load import Work
    from guavamast.relay.endpoint_table import EndpointRecord

HOP_S: Final = 0.002
"""One datagram: the link and a turn of both processes' loops."""
TIMEOUT_S: Final = 0.03
"""After which a silent placer is passed over."""
NOTICE_S: Final = 0.025
"""After which others know of changed work where each change is told to all."""
BEAT_S: Final = 0.5
"""Between two beats where they are relayed."""
RELAYED_S: Final = (0.25, 1.0)
"""Least and longest time until a relayed beat has come to an instance."""
ENGINES_A_GROUP: Final = 30
SUBSET: Final = 16
"""Engines to which an instance sends where each sends to a few only."""
QUESTION_BYTES: Final = 300
UPDATE_BYTES: Final = 100
BEAT_BYTES: Final = 150
"""Of loads and sends in one beat, compressed."""


@dataclass(slots=True, kw_only=True)
class Knowledge:
    """What one place knows of engines, and its decisions."""

    loads: EndpointLoads
    cache: PromptCache
    demand: PromptDemand
    chooser: EndpointChooser
    admission: AdmissionControl

    @classmethod
    def begin(cls, world: FleetWorld) -> Knowledge:
        """Return a place that knows nothing yet."""
        loads = EndpointLoads()
        cache = PromptCache()
        chooser = EndpointChooser(loads=loads, cache=cache, random=world.random)
        admission = AdmissionControl(history=RejectionHistory(), random=world.random)
        return cls(
            loads=loads,
            cache=cache,
            demand=PromptDemand(),
            chooser=chooser,
            admission=admission,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """One request at its engine, as the place that chose it counts it."""

    request: Request
    engine: ReadingEngine
    place: Knowledge
    work: Work
    known_tokens: int


class Way(ABC):
    """Places requests, and keeps account of what that costs."""

    def __init__(self, world: FleetWorld) -> None:
        self.world = world
        self.refused_wrongly = 0
        self.datagrams = 0
        self.bytes_sent = 0
        # Speeds are alike for all engines, so that one place may learn them for all.
        self.profiles = EngineProfiles()
        self.records = [make_record(engine) for engine in world.engines.values()]
        if world.scenario.restarted:
            world.call_at(6.0, self.forget_all)
        if world.scenario.killed_share:
            killed = range(int(world.fleet.instances * world.scenario.killed_share))
            world.call_at(6.0, lambda: self.forget(killed))

    @abstractmethod
    def ask(self, request: Request) -> None:
        """Place a request that has come to its instance."""

    @abstractmethod
    def forget(self, instances: range) -> None:
        """Have some instances start anew."""

    def forget_all(self) -> None:
        """Have all instances start anew."""
        self.forget(range(self.world.fleet.instances))

    def is_gone(self, instance: int) -> bool:
        """Return whether an instance is dead now."""
        killed = int(self.world.fleet.instances * self.world.scenario.killed_share)
        return instance < killed and 6.0 <= self.world.now < 8.0

    def choose(
        self, request: Request, place: Knowledge, records: list[EndpointRecord], *, late: bool
    ) -> tuple[Choice, Rejection | None]:
        """Return what a place decides on a request among some engines."""
        placement = self._describe(request, place, late=late)
        now = self.world.now
        kinds = self.world.fleet.kinds
        shortest_s = min(kind.objective_s for kind in kinds)
        terms = WaitParameters(
            objective_s=request.kind.objective_s,
            latency_tolerant=is_latency_tolerant(request.kind.objective_s, shortest_s=shortest_s),
            most_urgent=request.kind.objective_s == shortest_s,
            loads_stale=late,
            first_attempt=not late and not request.returned,
        )
        urgency = sum(kind.objective_s < request.kind.objective_s for kind in kinds)
        has_room = place.admission.create_room_filter(
            terms, service=SERVICE, urgency=urgency, now=now
        )
        choice = place.chooser.choose(
            placement, records, exclude=frozenset(), now=now, has_room=has_room
        )
        assert choice is not None and choice.forecast is not None
        later = place.admission.admit(
            choice.forecast, terms, service=SERVICE, urgency=urgency, now=now
        )
        return choice, later

    def serve(self, request: Request, place: Knowledge, choice: Choice) -> Sent:
        """Send a request to the engine that a place has chosen."""
        world = self.world
        engine = world.engines[choice.record.endpoint_id]
        engine.serve(request, world.now, world.read_anywhere)
        part_id = request.parts[-2].part_id
        place.cache.record(engine.name, part_id, choice.uncached_tokens, now=world.now)
        profile = self.profiles.find(SERVICE, now=world.now)
        work = place.loads.begin(
            engine.name,
            prefill_tokens=choice.uncached_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            pause_sensitive=is_delicate_kind(request.kind, profile) and choice.own_bucket,
        )
        known = place.loads.sum_up(engine.name).prefill_tokens
        sent = Sent(request=request, engine=engine, place=place, work=work, known_tokens=known)
        assert request.first_event is not None
        world.call_at(request.first_event, lambda: self._begin(sent))
        world.call_at(request.end, lambda: self._end(sent))
        self.note_change(sent)
        return sent

    def send_back(self, request: Request, later: Rejection) -> None:
        """Refuse a request; it comes back once."""
        if request.returned:
            self.refused_wrongly += self._has_room(request)
            return
        request.returned = True
        request.instance = self.world.random.randrange(self.world.fleet.instances)
        self.world.call_at(self.world.now + later.retry_after_s, lambda: self.ask(request))

    def note_change(self, sent: Sent) -> None:
        """Tell others of changed work; most ways have nothing to tell here."""
        del sent

    def _has_room(self, request: Request) -> bool:
        """Return whether some engine could begin to read a request well in time."""
        limit = self.world.now + request.kind.objective_s / 4
        return any(
            engine.find_begin(self.world.now) < limit for engine in self.world.engines.values()
        )

    def _begin(self, sent: Sent) -> None:
        sent.work.finish_prefill()
        request = sent.request
        assert request.first_event is not None
        self.profiles.record_first_event(
            SERVICE,
            uncached_tokens=sent.known_tokens,
            took_ms=(request.first_event - request.sent) * 1000.0,
            now=self.world.now,
        )
        self.note_change(sent)

    def _end(self, sent: Sent) -> None:
        sent.work.end()
        request = sent.request
        assert request.first_event is not None
        run_ms = (request.end - request.first_event) * 1000.0
        now = self.world.now
        output_tokens = request.output_tokens
        self.profiles.record_run(SERVICE, output_tokens=output_tokens, run_ms=run_ms, now=now)
        self.profiles.record_pause(
            SERVICE,
            uncached_tokens=sent.place.loads.sum_up(sent.engine.name).prefill_tokens,
            pause_ms=sent.engine.measure_pause(request) * 1000.0,
            now=now,
        )
        self.note_change(sent)

    def _describe(self, request: Request, place: Knowledge, *, late: bool) -> Placement:
        kinds = self.world.fleet.kinds
        profile = self.profiles.find(SERVICE, now=self.world.now)
        delicate = is_delicate_kind(request.kind, profile)
        lane = find_bucket(
            request.prompt_tokens,
            objective_s=request.kind.objective_s,
            shortest_s=min(kind.objective_s for kind in kinds),
            profile=profile,
        )
        lane = 0 if delicate else lane
        place.demand.record(
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
            bucket_shares=place.demand.compute_shares(),
            output_tokens=request.output_tokens,
            kv_capacity_tokens=self.world.fleet.memory_tokens,
            profile=profile,
            objective_s=request.kind.objective_s,
            pause_sensitive=delicate,
            shortest_pause_s=min(kind.longest_pause_s for kind in kinds),
            loads_stale=late,
        )


class ExactLoads(Way):
    """All instances know all work at once: the upper bound."""

    def __init__(self, world: FleetWorld) -> None:
        super().__init__(world)
        self._place = Knowledge.begin(world)

    def ask(self, request: Request) -> None:
        """Place a request by what everybody knows."""
        choice, later = self.choose(request, self._place, self.records, late=False)
        if later is not None:
            self.send_back(request, later)
        else:
            self.serve(request, self._place, choice)

    def forget(self, instances: range) -> None:
        """Forget nothing: this is no real way."""


class OwnChoice(Way):
    """Each instance chooses by its own work and what others have told: as the code stands."""

    def __init__(self, world: FleetWorld) -> None:
        super().__init__(world)
        self._places = [Knowledge.begin(world) for _ in range(world.fleet.instances)]
        self.late = world.fleet.instances > 32
        if self.late:
            for number in range(world.fleet.instances):
                world.call_at(BEAT_S * world.random.random(), lambda one=number: self._beat(one))
        else:
            for step in range(1, int(LENGTH_S / BEAT_S)):
                world.call_at(step * BEAT_S, self._share_demand)

    def ask(self, request: Request) -> None:
        """Place a request by what its instance knows."""
        while self.is_gone(request.instance):
            request.instance = self.world.random.randrange(self.world.fleet.instances)
        place = self._places[request.instance]
        records = self.list_engines(request)
        choice, later = self.choose(request, place, records, late=self.late)
        if later is not None:
            self.send_back(request, later)
        else:
            self.serve(request, place, choice)

    def list_engines(self, request: Request) -> list[EndpointRecord]:
        """Return the engines to which a request's instance may send."""
        del request
        return self.records

    def forget(self, instances: range) -> None:
        """Have some instances start anew; the others forget their work."""
        left = {str(one) for one in range(self.world.fleet.instances)} - set(map(str, instances))
        for number in instances:
            self._places[number] = Knowledge.begin(self.world)
        for place in self._places:
            place.loads.retain_peers(left)

    def note_change(self, sent: Sent) -> None:
        """Tell all others soon where there are few."""
        if not self.late:
            self._tell(sent, NOTICE_S)

    def _tell(self, sent: Sent, delay_s: float) -> None:
        number = sent.request.instance
        place = sent.place
        load = place.loads.list_own().get(sent.engine.name, Load())
        told = {sent.engine.name: replace(load)}
        sends = place.cache.list_recent(now=self.world.now, interval_s=delay_s)
        self.datagrams += len(self._places) - 1
        self.bytes_sent += (len(self._places) - 1) * UPDATE_BYTES

        def hear() -> None:
            for other in self._places:
                if other is not place and not self.world.loses():
                    other.loads.update_peer(str(number), dict(told))
                    other.cache.apply_peer_sends(str(number), 1, sends)

        self.world.call_at(self.world.now + delay_s, hear)

    def _share_demand(self) -> None:
        told = [place.demand.read_own(now=self.world.now) for place in self._places]
        for number, demand in enumerate(told):
            for other_number, other in enumerate(self._places):
                if other_number != number:
                    other.demand.replace_peer(str(number), demand)

    def _beat(self, number: int) -> None:
        now = self.world.now
        place = self._places[number]
        loads = {name: replace(load) for name, load in place.loads.list_own().items()}
        sends = place.cache.list_recent(now=now, interval_s=BEAT_S)
        demand = place.demand.read_own(now=now)
        self.datagrams += 2
        self.bytes_sent += len(self._places) * BEAT_BYTES
        for first in range(self.world.fleet.domains):
            delay_s = self.world.random.uniform(*RELAYED_S)
            self.world.call_at(
                now + delay_s, lambda one=first: self._hear(number, one, loads, sends, demand)
            )
        if now < LENGTH_S:
            self.world.call_at(now + BEAT_S, lambda: self._beat(number))

    def _hear(
        self,
        number: int,
        domain: int,
        loads: dict[str, Load],
        sends: list[PromptSend],
        demand: Demand,
    ) -> None:
        for place in self._places[domain :: self.world.fleet.domains]:
            if place is not self._places[number] and not self.world.loses():
                place.loads.replace_peer(str(number), dict(loads))
                place.cache.apply_peer_sends(str(number), 1, sends)
                place.demand.replace_peer(str(number), demand)


class SubsetNotices(OwnChoice):
    """Each instance sends to a few engines, and tells those who send there too within 50 ms."""

    def __init__(self, world: FleetWorld) -> None:
        super().__init__(world)
        self.late = False
        ids = [record.endpoint_id for record in self.records]
        self._subsets = []
        for number in range(world.fleet.instances):
            ranked = sorted(ids, key=lambda one, at=number: compute_weight(str(at), one))
            chosen = set(ranked[:SUBSET])
            self._subsets.append([one for one in self.records if one.endpoint_id in chosen])

    def list_engines(self, request: Request) -> list[EndpointRecord]:
        """Return the engines of an instance's subset."""
        return self._subsets[request.instance]

    def note_change(self, sent: Sent) -> None:
        """Tell those who send to the engine too."""
        share = min(1.0, SUBSET / len(self.records))
        before = self.datagrams, self.bytes_sent
        self._tell(sent, 0.05)
        self.datagrams = before[0] + int((self.datagrams - before[0]) * share)
        self.bytes_sent = before[1] + int((self.bytes_sent - before[1]) * share)


class EngineKeepers(OwnChoice):
    """An instance asks the keepers of two engines, which know all that goes there."""

    def __init__(self, world: FleetWorld) -> None:
        super().__init__(world)
        self._exact = Knowledge.begin(world)

    def ask(self, request: Request) -> None:
        """Ask about the home of the longest shared part, and about another engine."""
        while self.is_gone(request.instance):
            request.instance = self.world.random.randrange(self.world.fleet.instances)
        key = request.parts[-2].part_id
        home = max(self.records, key=lambda one: compute_weight(key, one.endpoint_id))
        other = self.world.random.choice([one for one in self.records if one is not home])
        self.datagrams += 6
        self.bytes_sent += 4 * QUESTION_BYTES + 2 * UPDATE_BYTES
        self.world.call_at(self.world.now + 2 * HOP_S, lambda: self._decide(request, [home, other]))

    def _decide(self, request: Request, records: list[EndpointRecord]) -> None:
        choice, later = self.choose(request, self._exact, records, late=False)
        if later is not None:
            self.send_back(request, later)
        else:
            self.serve(request, self._exact, choice)

    def forget(self, instances: range) -> None:
        """Have some keepers start anew: what they know is told to them again."""
        super().forget(instances)

    def note_change(self, sent: Sent) -> None:
        """Tell the keeper only."""


class GroupPlacers(OwnChoice):
    """One placer for each group of engines is asked and chooses among all of its group."""

    def __init__(self, world: FleetWorld) -> None:
        super().__init__(world)
        number = max(1, round(len(self.records) / ENGINES_A_GROUP))
        self._groups: list[list[EndpointRecord]] = [[] for _ in range(number)]
        for record in self.records:
            best = max(range(number), key=lambda at: compute_weight(f"g{at}", record.endpoint_id))
            self._groups[best].append(record)
        self._groups = [group for group in self._groups if group]
        self._placers = [Knowledge.begin(world) for _ in self._groups]
        self._silent_until = [0.0] * len(self._groups)
        if world.scenario.frozen_placers:
            world.call_at(6.0, self._freeze_some)

    def ask(self, request: Request) -> None:
        """Ask the placers in the order of the longest shared part."""
        while self.is_gone(request.instance):
            request.instance = self.world.random.randrange(self.world.fleet.instances)
        key = request.parts[-2].part_id
        order = sorted(
            range(len(self._groups)), key=lambda at: compute_weight(key, f"g{at}"), reverse=True
        )
        self._ask_next(request, order[:3], None)

    def forget(self, instances: range) -> None:
        """Have some instances start anew; their groups are silent until another is asked."""
        super().forget(instances)
        share = len(instances) / self.world.fleet.instances
        for at in range(int(len(self._groups) * share)):
            self._placers[at] = Knowledge.begin(self.world)
            self._silent_until[at] = self.world.now + 0.6

    def note_change(self, sent: Sent) -> None:
        """Tell the placer only."""
        del sent
        self.datagrams += 1
        self.bytes_sent += UPDATE_BYTES

    def _freeze_some(self) -> None:
        for at in range(0, len(self._groups), 3):
            self._silent_until[at] = self.world.now + 0.6

    def _ask_next(self, request: Request, order: list[int], later: Rejection | None) -> None:
        if not order:
            assert later is not None
            self.send_back(request, later)
            return
        at = order[0]
        self.datagrams += 2
        self.bytes_sent += 2 * QUESTION_BYTES
        silent = self.world.now < self._silent_until[at]
        if silent or self.world.loses() or self.world.loses():
            when = self.world.now + TIMEOUT_S
            self.world.call_at(when, lambda: self._choose_alone(request))
            return
        when = self.world.now + HOP_S
        self.world.call_at(when, lambda: self._decide(request, order, later))

    def _decide(self, request: Request, order: list[int], later: Rejection | None) -> None:
        at = order[0]
        place = self._placers[at]
        choice, refusal = self.choose(request, place, self._groups[at], late=False)
        when = self.world.now + HOP_S
        if refusal is not None:
            if later is not None and later.retry_after_s < refusal.retry_after_s:
                refusal = later
            self.world.call_at(when, lambda: self._ask_next(request, order[1:], refusal))
        else:
            self.serve(request, place, choice)

    def _choose_alone(self, request: Request) -> None:
        place = self._places[request.instance]
        choice, later = self.choose(request, place, self.records, late=True)
        if later is not None:
            self.send_back(request, later)
        else:
            self.serve(request, place, choice)


WAYS: Final[dict[str, type[Way]]] = {
    "own choice": OwnChoice,
    "subset, notices": SubsetNotices,
    "two keepers": EngineKeepers,
    "group placers": GroupPlacers,
    "exact loads": ExactLoads,
}
