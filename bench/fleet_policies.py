"""Policies of placing requests in a fleet.

They differ in which process knows the work of an engine, and with what delay.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

from bench.fleet_policy import DecisionState, FleetPolicy, SentRequest
from bench.fleet_simulation import DURATION_S
from guavamast.relay.endpoint_load import Load
from guavamast.rendezvous import compute_weight

if TYPE_CHECKING:
    from bench.fleet_simulation import FleetSimulation
    from bench.relay_engines import Request
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.placement.admission import Rejection
    from guavamast.relay.placement.length_buckets import Demand
    from guavamast.relay.placement.prompt_cache import PromptSend

HOP_S: Final = 0.002
"""Delay of one datagram: the link and one turn of both processes' event loops."""
SCHEDULER_TIMEOUT_S: Final = 0.03
"""Timeout of a query to a scheduler; after it, the instance chooses locally."""
UPDATE_DELAY_S: Final = 0.025
"""Delay of load updates in fleets that send each change to all instances."""
HEARTBEAT_INTERVAL_S: Final = 0.5
"""Interval of heartbeats where they are aggregated, and else of the exchange of demand."""
AGGREGATED_DELAY_S: Final = (0.25, 1.0)
"""Minimum and maximum delay of an aggregated heartbeat until an instance receives it."""
ENGINES_PER_GROUP: Final = 30
SUBSET_ENGINES: Final = 16
"""Engines per instance in the policy where each instance sends to a subset only."""
QUERY_BYTES: Final = 300
UPDATE_BYTES: Final = 100
HEARTBEAT_BYTES: Final = 150
"""Compressed size of the loads and sends in one heartbeat."""


class ExactLoads(FleetPolicy):
    """All instances know all work without delay: the upper bound."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        self._state = DecisionState.create(simulation)

    def place(self, request: Request) -> None:
        """Place a request by the shared state."""
        choice, rejection = self.choose(request, self._state, self.records, loads_stale=False)
        if rejection is not None:
            self.reject(request, rejection)
        else:
            self.send(request, self._state, choice)

    def restart(self, instances: range) -> None:
        """Keep the state, as this policy is only an upper bound."""


class LocalChoice(FleetPolicy):
    """Each instance chooses by its own and the others' published work, like `LocalPlacer`."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        self._states = [DecisionState.create(simulation) for _ in range(simulation.fleet.instances)]
        self.loads_stale = simulation.fleet.instances > 32
        if self.loads_stale:
            for number in range(simulation.fleet.instances):
                simulation.call_at(
                    HEARTBEAT_INTERVAL_S * simulation.random.random(),
                    lambda one=number: self._send_heartbeat(one),
                )
        else:
            for step in range(1, int(DURATION_S / HEARTBEAT_INTERVAL_S)):
                simulation.call_at(step * HEARTBEAT_INTERVAL_S, self._exchange_demand)

    def place(self, request: Request) -> None:
        """Place a request by its instance's state."""
        while self.is_down(request.instance):
            request.instance = self.simulation.random.randrange(self.simulation.fleet.instances)
        state = self._states[request.instance]
        records = self.list_engines(request)
        choice, rejection = self.choose(request, state, records, loads_stale=self.loads_stale)
        if rejection is not None:
            self.reject(request, rejection)
        else:
            self.send(request, state, choice)

    def list_engines(self, request: Request) -> list[EndpointRecord]:
        """Return the engines to which a request's instance may send it."""
        del request
        return self.records

    def restart(self, instances: range) -> None:
        """Restart some instances; the others drop the work that these published."""
        remaining = {str(one) for one in range(self.simulation.fleet.instances)} - set(
            map(str, instances)
        )
        for number in instances:
            self._states[number] = DecisionState.create(self.simulation)
        for state in self._states:
            state.loads.retain_peers(remaining)

    def publish_change(self, sent: SentRequest) -> None:
        """Publish the change to all others in fleets of at most 32 instances."""
        if not self.loads_stale:
            self._publish_load(sent, UPDATE_DELAY_S)

    def _publish_load(self, sent: SentRequest, delay_s: float) -> None:
        number = sent.request.instance
        state = sent.state
        load = state.loads.list_own().get(sent.engine.name, Load())
        update = {sent.engine.name: replace(load)}
        sends = state.cache.list_recent(now=self.simulation.now, interval_s=delay_s)
        self.datagrams += len(self._states) - 1
        self.bytes_sent += (len(self._states) - 1) * UPDATE_BYTES

        def apply_update() -> None:
            for other in self._states:
                if other is not state and not self.simulation.drops_datagram():
                    other.loads.update_peer(str(number), dict(update))
                    other.cache.apply_peer_sends(str(number), 1, sends)

        self.simulation.call_at(self.simulation.now + delay_s, apply_update)

    def _exchange_demand(self) -> None:
        demands = [state.demand.read_own(now=self.simulation.now) for state in self._states]
        for number, demand in enumerate(demands):
            for other_number, other in enumerate(self._states):
                if other_number != number:
                    other.demand.replace_peer(str(number), demand)

    def _send_heartbeat(self, number: int) -> None:
        now = self.simulation.now
        state = self._states[number]
        loads = {name: replace(load) for name, load in state.loads.list_own().items()}
        sends = state.cache.list_recent(now=now, interval_s=HEARTBEAT_INTERVAL_S)
        demand = state.demand.read_own(now=now)
        self.datagrams += 2
        self.bytes_sent += len(self._states) * HEARTBEAT_BYTES
        for domain in range(self.simulation.fleet.domains):
            delay_s = self.simulation.random.uniform(*AGGREGATED_DELAY_S)
            self.simulation.call_at(
                now + delay_s,
                lambda one=domain: self._receive_heartbeat(number, one, loads, sends, demand),
            )
        if now < DURATION_S:
            self.simulation.call_at(
                now + HEARTBEAT_INTERVAL_S, lambda: self._send_heartbeat(number)
            )

    def _receive_heartbeat(
        self,
        number: int,
        domain: int,
        loads: dict[str, Load],
        sends: list[PromptSend],
        demand: Demand,
    ) -> None:
        for state in self._states[domain :: self.simulation.fleet.domains]:
            if state is not self._states[number] and not self.simulation.drops_datagram():
                state.loads.replace_peer(str(number), dict(loads))
                state.cache.apply_peer_sends(str(number), 1, sends)
                state.demand.replace_peer(str(number), demand)


class SubsetUpdates(LocalChoice):
    """Each instance sends to a few engines; others that use them receive updates in 50 ms."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        self.loads_stale = False
        ids = [record.endpoint_id for record in self.records]
        self._subsets = []
        for number in range(simulation.fleet.instances):
            ranked = sorted(ids, key=lambda one, at=number: compute_weight(str(at), one))
            chosen = set(ranked[:SUBSET_ENGINES])
            self._subsets.append([one for one in self.records if one.endpoint_id in chosen])

    def list_engines(self, request: Request) -> list[EndpointRecord]:
        """Return the engines of the instance's subset."""
        return self._subsets[request.instance]

    def publish_change(self, sent: SentRequest) -> None:
        """Publish the change; count the datagrams to instances that use the engine too."""
        share = min(1.0, SUBSET_ENGINES / len(self.records))
        before = self.datagrams, self.bytes_sent
        self._publish_load(sent, 0.05)
        self.datagrams = before[0] + int((self.datagrams - before[0]) * share)
        self.bytes_sent = before[1] + int((self.bytes_sent - before[1]) * share)


class EngineKeepers(LocalChoice):
    """An instance queries the keepers of two engines, which know all work there."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        self._keeper_state = DecisionState.create(simulation)

    def place(self, request: Request) -> None:
        """Query two keepers: of the longest shared part's affinity endpoint and of a random one."""
        while self.is_down(request.instance):
            request.instance = self.simulation.random.randrange(self.simulation.fleet.instances)
        part_id = request.parts[-2].part_id
        affinity_endpoint = max(
            self.records, key=lambda one: compute_weight(part_id, one.endpoint_id)
        )
        other = self.simulation.random.choice(
            [one for one in self.records if one is not affinity_endpoint]
        )
        self.datagrams += 6
        self.bytes_sent += 4 * QUERY_BYTES + 2 * UPDATE_BYTES
        self.simulation.call_at(
            self.simulation.now + 2 * HOP_S,
            lambda: self._decide(request, [affinity_endpoint, other]),
        )

    def _decide(self, request: Request, records: list[EndpointRecord]) -> None:
        choice, rejection = self.choose(request, self._keeper_state, records, loads_stale=False)
        if rejection is not None:
            self.reject(request, rejection)
        else:
            self.send(request, self._keeper_state, choice)

    def restart(self, instances: range) -> None:
        """Restart some instances; the keepers' state stays, as it is published to them again."""
        super().restart(instances)

    def publish_change(self, sent: SentRequest) -> None:
        """Do nothing, as `place` counts the update of the keeper."""


class GroupSchedulers(LocalChoice):
    """A scheduler per group of engines chooses among the engines of its group."""

    def __init__(self, simulation: FleetSimulation) -> None:
        super().__init__(simulation)
        number = max(1, round(len(self.records) / ENGINES_PER_GROUP))
        self._groups: list[list[EndpointRecord]] = [[] for _ in range(number)]
        for record in self.records:
            best = max(range(number), key=lambda at: compute_weight(f"g{at}", record.endpoint_id))
            self._groups[best].append(record)
        self._groups = [group for group in self._groups if group]
        self._scheduler_states = [DecisionState.create(simulation) for _ in self._groups]
        self._silent_until = [0.0] * len(self._groups)
        if simulation.scenario.schedulers_frozen_s:
            simulation.call_at(6.0, self._freeze_schedulers)

    def place(self, request: Request) -> None:
        """Query up to three schedulers, ranked by rendezvous weights of the longest shared part."""
        while self.is_down(request.instance):
            request.instance = self.simulation.random.randrange(self.simulation.fleet.instances)
        part_id = request.parts[-2].part_id
        order = sorted(
            range(len(self._groups)), key=lambda at: compute_weight(part_id, f"g{at}"), reverse=True
        )
        self._query_next(request, order[:3], None)

    def restart(self, instances: range) -> None:
        """Restart some instances; their groups do not respond until others take them over."""
        super().restart(instances)
        share = len(instances) / self.simulation.fleet.instances
        for at in range(int(len(self._groups) * share)):
            self._scheduler_states[at] = DecisionState.create(self.simulation)
            self._silent_until[at] = self.simulation.now + 0.6

    def publish_change(self, sent: SentRequest) -> None:
        """Publish the change to the group's scheduler only."""
        del sent
        self.datagrams += 1
        self.bytes_sent += UPDATE_BYTES

    def _freeze_schedulers(self) -> None:
        for at in range(0, len(self._groups), 3):
            self._silent_until[at] = self.simulation.now + 0.6

    def _query_next(
        self, request: Request, order: list[int], earliest_rejection: Rejection | None
    ) -> None:
        if not order:
            assert earliest_rejection is not None
            self.reject(request, earliest_rejection)
            return
        at = order[0]
        self.datagrams += 2
        self.bytes_sent += 2 * QUERY_BYTES
        silent = self.simulation.now < self._silent_until[at]
        if silent or self.simulation.drops_datagram() or self.simulation.drops_datagram():
            when = self.simulation.now + SCHEDULER_TIMEOUT_S
            self.simulation.call_at(when, lambda: self._choose_locally(request))
            return
        when = self.simulation.now + HOP_S
        self.simulation.call_at(when, lambda: self._decide(request, order, earliest_rejection))

    def _decide(
        self, request: Request, order: list[int], earliest_rejection: Rejection | None
    ) -> None:
        at = order[0]
        state = self._scheduler_states[at]
        choice, rejection = self.choose(request, state, self._groups[at], loads_stale=False)
        when = self.simulation.now + HOP_S
        if rejection is not None:
            if (
                earliest_rejection is not None
                and earliest_rejection.retry_after_s < rejection.retry_after_s
            ):
                rejection = earliest_rejection
            self.simulation.call_at(when, lambda: self._query_next(request, order[1:], rejection))
        else:
            self.send(request, state, choice)

    def _choose_locally(self, request: Request) -> None:
        state = self._states[request.instance]
        choice, rejection = self.choose(request, state, self.records, loads_stale=True)
        if rejection is not None:
            self.reject(request, rejection)
        else:
            self.send(request, state, choice)


POLICIES: Final[dict[str, type[FleetPolicy]]] = {
    "own choice": LocalChoice,
    "subset, notices": SubsetUpdates,
    "two keepers": EngineKeepers,
    "group placers": GroupSchedulers,
    "exact loads": ExactLoads,
}
