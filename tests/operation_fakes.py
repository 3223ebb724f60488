"""Fakes of clock, platform, endpoints and slots that park at every step of a simulation."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.at_most_once_fetch import AnswerLost, NotSent
from guavamast.clocks import Clock
from guavamast.endpoint_sender import EndpointSender
from guavamast.errors import ErrorCode
from guavamast.fleet_objects import Endpoint, EndpointKind
from guavamast.group_commit import GroupCommit
from guavamast.operation_store import OperationStore
from guavamast.operations import OPERATIONS_TABLE, Response, decode_operation
from guavamast.platform_client import PlatformAnswerLost, PlatformClient, PlatformUnavailable
from guavamast.send_gates import PauseDetector, SendGate
from guavamast.service_call import (
    RetryPolicy,
    ServiceCall,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)
from guavamast.service_calls import ServiceCalls
from tests.operation_simulation import Fault, LateEffect, OperationSimulation, Run

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.endpoint_sender import EndpointCall
    from guavamast.platform_client import Check, ListedInstance, Row, Write
    from guavamast.standins.platform import TableState

ENDPOINTS = tuple(
    Endpoint(name=name, kind=EndpointKind.SERVICE, url=name, failure_domain="d", slots=1)
    for name in ("ledger-1", "ledger-2")
)


class SimulatedClock(Clock):
    """Simulated time; sleeping parks."""

    def __init__(self, simulation: OperationSimulation, instance: str) -> None:
        self.simulation = simulation
        self.instance = instance

    def read_monotonic(self) -> float:
        """Return the simulated time."""
        return self.simulation.now

    def read_wall(self) -> float:
        """Return the simulated time."""
        return self.simulation.now

    async def sleep(self, seconds: float) -> None:
        """Park until the simulated time is reached."""
        await self.simulation.park(self.instance, "timer", due=self.simulation.now + seconds)


class SimulatedPlatform(PlatformClient):
    """One instance's access to the simulated tables."""

    def __init__(self, simulation: OperationSimulation, instance: str) -> None:
        self.simulation = simulation
        self.instance = instance
        self.objects: dict[str, bytes] = {}

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Park, write with the step's fault, park, return the versions."""
        tables = self.simulation.tables
        fault = await self.simulation.park(self.instance, "write")
        if fault is Fault.BEFORE:
            raise PlatformUnavailable("down")
        if fault is Fault.LATE:
            self.simulation.late_effects.append(
                LateEffect(apply=lambda: _try_transact(tables, checks, writes))
            )
        if fault in (Fault.LATE, Fault.LOST_BEFORE):
            raise PlatformAnswerLost("lost")
        versions = tables.transact(checks, writes)
        if fault is Fault.LOST_AFTER:
            raise PlatformAnswerLost("lost")
        await self.simulation.park(self.instance, "written")
        return versions

    async def read(self, table: str, key: str) -> Row:
        """Park, then read unless the step fails."""
        if await self.simulation.park(self.instance, "read") is not Fault.NONE:
            raise PlatformUnavailable("down")
        row = self.simulation.tables.read(table, key)
        await self.simulation.park(self.instance, "was read")
        return row

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the rows without parking."""
        return self.simulation.tables.scan(table, prefix)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store without parking."""
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """Return the object without parking."""
        return self.objects.get(name)

    async def list_instances(self) -> list[ListedInstance]:
        """Return an empty list."""
        return []


def _try_transact(tables: TableState, checks: list[Check], writes: list[Write]) -> None:
    if all(tables.read(check.table, check.key).version == check.version for check in checks):
        tables.transact(checks, writes)


class SimulatedSender(EndpointSender):
    """Sends to endpoints that run every call that arrives."""

    def __init__(self, simulation: OperationSimulation, instance: str) -> None:
        self.simulation = simulation
        self.instance = instance

    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Response:
        """Park at the connect, during the send and before the response."""
        simulation = self.simulation
        if await simulation.park(self.instance, "connect") is Fault.BEFORE:
            raise NotSent("refused")
        before_write()
        self._record_send(call)
        fault = await simulation.park(self.instance, "sent")
        if fault is Fault.LATE:
            simulation.late_effects.append(LateEffect(apply=lambda: self._run(call)))
        if fault in (Fault.BEFORE, Fault.LOST_BEFORE, Fault.LATE):
            raise AnswerLost("cut")
        response = self._run(call)
        if (
            fault is Fault.LOST_AFTER
            or await simulation.park(self.instance, "ran") is not Fault.NONE
        ):
            raise AnswerLost("cut")
        return response

    def _record_send(self, call: EndpointCall) -> None:
        simulation = self.simulation
        simulation.sent_requests.add(int(call.request_id))
        for row in simulation.tables.scan(OPERATIONS_TABLE, ""):
            operation = decode_operation(row.value)
            if operation.key.key == call.idempotency_key:
                simulation.sent_nonces.add(operation.nonce)
        if simulation.now >= simulation.requests[int(call.request_id)].deadline:
            simulation.forbidden_sends.append(
                f"request {call.request_id} was sent after its deadline"
            )
        if call.url in simulation.drained:
            simulation.forbidden_sends.append(
                f"request {call.request_id} was sent to a drained endpoint"
            )
        if not simulation.nodes[self.instance].pauses.is_settled(now=simulation.now):
            simulation.forbidden_sends.append(
                f"request {call.request_id} was sent right after a pause"
            )

    def _run(self, call: EndpointCall) -> Response:
        self.simulation.runs.append(Run(request=int(call.request_id), key=call.idempotency_key))
        body = f"run {len(self.simulation.runs)} of {call.body.decode()}".encode()
        return Response(status=200, content_type="text/plain", body=body)


class SimulatedGrant(SlotGrant):
    """A slot of one endpoint."""

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self.released = 0

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint."""
        return self._endpoint

    def release(self, *, used: bool, failed: bool, duration_s: float) -> None:  # noqa: ARG002
        """Count the releases; a second one is an error."""
        self.released += 1
        assert self.released == 1, "a slot was released twice"


class SimulatedSlots(SlotSource):
    """Grants the first endpoint that is not excluded."""

    def __init__(self, simulation: OperationSimulation, instance: str) -> None:
        self.simulation = simulation
        self.instance = instance
        self.grants: list[SimulatedGrant] = []

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Park, then grant or reject."""
        fault = await self.simulation.park(self.instance, "slot")
        left = [endpoint for endpoint in ENDPOINTS if endpoint.name not in excluded]
        if fault is Fault.BEFORE or self.simulation.slots_rejected or not left:
            raise SlotUnavailable(ErrorCode.SHED, call.rule.service, status=503, retry_after_s=1)
        self.grants.append(SimulatedGrant(left[0]))
        return self.grants[-1]


class SimulatedGate(SendGate):
    """Current configuration: which endpoints are drained."""

    def __init__(self, simulation: OperationSimulation) -> None:
        self.simulation = simulation

    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint isn't drained."""
        return endpoint.name not in self.simulation.drained


class NoRetries(RetryPolicy):
    """Never retries."""

    def record_success(self, call: ServiceCall) -> None:
        """Do nothing."""

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        """Return None: no retry."""
        return None


class Node:
    """One instance's entry, built from the production code."""

    def __init__(self, simulation: OperationSimulation, name: str) -> None:
        clock = SimulatedClock(simulation, name)
        client = GroupCommit(client=SimulatedPlatform(simulation, name), clock=clock)
        self.pauses = PauseDetector(now=simulation.now)
        self.slots = SimulatedSlots(simulation, name)
        self.calls = ServiceCalls(
            store=OperationStore(client=client, clock=clock),
            slots=self.slots,
            sender=SimulatedSender(simulation, name),
            gate=SimulatedGate(simulation),
            pauses=self.pauses,
            retries=NoRetries(),
            clock=clock,
        )


def create_simulation(*names: str) -> OperationSimulation:
    """Return a simulation of these instances; call with a running loop."""
    simulation = OperationSimulation()
    for name in names:
        simulation.nodes[name] = Node(simulation, name)
    return simulation
