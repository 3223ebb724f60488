"""Fakes of clock, platform, endpoints and slots that park at every step of an operation world."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.clocks import Clock
from guavamast.endpoint_sender import EndpointSender
from guavamast.errors import ErrorCode
from guavamast.group_commit import GroupCommit
from guavamast.operation_store import OperationStore
from guavamast.operations import OPERATIONS_TABLE, Answer, decode_operation
from guavamast.platform_client import PlatformAnswerLost, PlatformClient, PlatformUnavailable
from guavamast.send_gates import PauseWatch, SendGate
from guavamast.service_call import (
    RetryPolicy,
    ServiceCall,
    SlotGrant,
    SlotSource,
    SlotUnavailable,
)
from guavamast.service_calls import ServiceCalls
from guavamast.single_fetch import AnswerLost, NotSent
from guavamast.world import Endpoint, EndpointKind
from tests.operation_world import Fault, Late, Run, World

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.endpoint_sender import EndpointCall
    from guavamast.platform_client import Check, ListedInstance, Row, Write
    from guavamast.standins.platform import TableState

ENDPOINTS = tuple(
    Endpoint(name=name, kind=EndpointKind.SERVICE, url=name, failure_domain="d", slots=1)
    for name in ("ledger-1", "ledger-2")
)


class WorldClock(Clock):
    """The world's time; sleeping parks."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance

    def read_monotonic(self) -> float:
        """Return the world's time."""
        return self.world.now

    def read_wall(self) -> float:
        """Return the world's time."""
        return self.world.now

    async def sleep(self, seconds: float) -> None:
        """Park until the time has come."""
        await self.world.park(self.instance, "timer", due=self.world.now + seconds)


class WorldPlatform(PlatformClient):
    """One instance's access to the world's tables."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance
        self.objects: dict[str, bytes] = {}

    async def transact(self, checks: list[Check], writes: list[Write]) -> list[int]:
        """Park, write under the step's fault, park, answer."""
        tables = self.world.tables
        fault = await self.world.park(self.instance, "write")
        if fault is Fault.BEFORE:
            raise PlatformUnavailable("down")
        if fault is Fault.LATE:
            self.world.late.append(Late(apply=lambda: _try_transact(tables, checks, writes)))
        if fault in (Fault.LATE, Fault.LOST_BEFORE):
            raise PlatformAnswerLost("lost")
        versions = tables.transact(checks, writes)
        if fault is Fault.LOST_AFTER:
            raise PlatformAnswerLost("lost")
        await self.world.park(self.instance, "written")
        return versions

    async def read(self, table: str, key: str) -> Row:
        """Park, then read unless the step fails."""
        if await self.world.park(self.instance, "read") is not Fault.NONE:
            raise PlatformUnavailable("down")
        row = self.world.tables.read(table, key)
        await self.world.park(self.instance, "was read")
        return row

    async def scan(self, table: str, prefix: str) -> list[Row]:
        """Return the rows at once."""
        return self.world.tables.scan(table, prefix)

    async def put_object(self, name: str, body: bytes) -> None:
        """Store at once."""
        self.objects[name] = body

    async def get_object(self, name: str) -> bytes | None:
        """Return the object at once."""
        return self.objects.get(name)

    async def list_instances(self) -> list[ListedInstance]:
        """Return none."""
        return []


def _try_transact(tables: TableState, checks: list[Check], writes: list[Write]) -> None:
    if all(tables.read(check.table, check.key).version == check.version for check in checks):
        tables.transact(checks, writes)


class WorldSender(EndpointSender):
    """Sends to endpoints that run whatever arrives."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance

    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Answer:
        """Park at the connect, in mid-send and before the answer."""
        world = self.world
        if await world.park(self.instance, "connect") is Fault.BEFORE:
            raise NotSent("refused")
        before_write()
        self._note_send(call)
        fault = await world.park(self.instance, "sent")
        if fault is Fault.LATE:
            world.late.append(Late(apply=lambda: self._run(call)))
        if fault in (Fault.BEFORE, Fault.LOST_BEFORE, Fault.LATE):
            raise AnswerLost("cut")
        answer = self._run(call)
        if fault is Fault.LOST_AFTER or await world.park(self.instance, "ran") is not Fault.NONE:
            raise AnswerLost("cut")
        return answer

    def _note_send(self, call: EndpointCall) -> None:
        world = self.world
        world.sent_requests.add(int(call.request_id))
        for row in world.tables.scan(OPERATIONS_TABLE, ""):
            operation = decode_operation(row.value)
            if operation.key.key == call.idempotency_key:
                world.sent_nonces.add(operation.nonce)
        if world.now >= world.asked[int(call.request_id)].deadline:
            world.wrong_sends.append(f"request {call.request_id} was sent after its deadline")
        if call.url in world.drained:
            world.wrong_sends.append(f"request {call.request_id} was sent to a drained endpoint")
        if not world.nodes[self.instance].pauses.is_settled(now=world.now):
            world.wrong_sends.append(f"request {call.request_id} was sent right after a pause")

    def _run(self, call: EndpointCall) -> Answer:
        self.world.runs.append(Run(request=int(call.request_id), key=call.idempotency_key))
        body = f"run {len(self.world.runs)} of {call.body.decode()}".encode()
        return Answer(status=200, content_type="text/plain", body=body)


class WorldGrant(SlotGrant):
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


class WorldSlots(SlotSource):
    """Grants the first endpoint that is not excluded."""

    def __init__(self, world: World, instance: str) -> None:
        self.world = world
        self.instance = instance
        self.grants: list[WorldGrant] = []

    async def acquire(self, call: ServiceCall, *, excluded: frozenset[str]) -> SlotGrant:
        """Park, then grant or refuse."""
        fault = await self.world.park(self.instance, "slot")
        left = [endpoint for endpoint in ENDPOINTS if endpoint.name not in excluded]
        if fault is Fault.BEFORE or self.world.slots_refused or not left:
            raise SlotUnavailable(ErrorCode.SHED, call.rule.service, status=503, retry_after_s=1)
        self.grants.append(WorldGrant(left[0]))
        return self.grants[-1]


class WorldGate(SendGate):
    """The configuration in force: which endpoints are drained."""

    def __init__(self, world: World) -> None:
        self.world = world

    def is_open(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint isn't drained."""
        return endpoint.name not in self.world.drained


class NoRetries(RetryPolicy):
    """Never retries."""

    def record_success(self, call: ServiceCall) -> None:
        """Do nothing."""

    def plan(self, call: ServiceCall, *, attempt: int, now: float) -> float | None:  # noqa: ARG002
        """Return that there is no retry."""
        return None


class Node:
    """One instance's entry, made of the code that runs in the daemon."""

    def __init__(self, world: World, name: str) -> None:
        clock = WorldClock(world, name)
        client = GroupCommit(client=WorldPlatform(world, name), clock=clock)
        self.pauses = PauseWatch(now=world.now)
        self.slots = WorldSlots(world, name)
        self.calls = ServiceCalls(
            store=OperationStore(client=client, clock=clock),
            slots=self.slots,
            sender=WorldSender(world, name),
            gate=WorldGate(world),
            pauses=self.pauses,
            retries=NoRetries(),
            clock=clock,
        )


def make_world(*names: str) -> World:
    """Return a world with these instances; call with a running loop."""
    world = World()
    for name in names:
        world.nodes[name] = Node(world, name)
    return world
