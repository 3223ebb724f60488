"""The entry daemon, which serves the callers and operators of one instance."""

from __future__ import annotations

import asyncio
import random
import time
import uuid
import zlib
from contextlib import suppress
from typing import TYPE_CHECKING, Any, Final

from guavamast import peer_pb2
from guavamast._daemon import (
    bind_socket,
    get_bound_address,
    log_connection,
    run_daemon,
    wait_for_first,
)
from guavamast.caller_server import CallerServer
from guavamast.callers import CallerServices, build_last_responses
from guavamast.chats import ChatRouter
from guavamast.clocks import SystemClock
from guavamast.endpoint_sender import HttpEndpointSender
from guavamast.engine_client import EngineClient
from guavamast.entry_state import EntryState
from guavamast.entry_status import EntryStatus
from guavamast.group_commit import GroupCommit
from guavamast.limit_gate import LimitGate
from guavamast.limits import EntryLimiter
from guavamast.log import get_logger
from guavamast.metrics import create_metrics
from guavamast.operation_store import OperationStore
from guavamast.operator_handlers import build_operator_routes
from guavamast.operator_tokens import TokenFileAuthenticator
from guavamast.placement import EndpointChooser
from guavamast.plan_store import PlanStore
from guavamast.platform_http import HttpPlatformClient
from guavamast.rendezvous import rank
from guavamast.retries import RetryBudget
from guavamast.routes import build_application, build_caller_routes
from guavamast.send_gates import TICK_INTERVAL_S, PauseDetector
from guavamast.service_calls import ServiceCalls
from guavamast.service_handlers import build_service_routes
from guavamast.service_slots import BudgetRetryPolicy, EntryGate, EntrySlotSource
from guavamast.slot_finder import SlotFinder
from guavamast.slot_links import SlotLinks
from guavamast.view_link import ViewLink

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from guavamast.caller_connection import ConnectionTrace
    from guavamast.fleet_objects import Configuration
    from guavamast.members import MembershipView
    from guavamast.settings import InstanceSettings

LOAD_INTERVAL_S: Final = 5.0
"""Time between two load reports to the local dispatcher."""
DISCARD_LIMIT_BYTES: Final = 1 << 40
"""Largest body read; bodies over ``max_body_bytes`` are discarded, so that callers get a 413."""
BODY_TIMEOUT_S: Final = 30.0


class Entry:
    """One entry and its components.

    Args:
        settings: The instance's settings.
    """

    def __init__(self, *, settings: InstanceSettings) -> None:
        self._settings = settings
        self.clock = time.monotonic
        self.address = ""
        """Bound caller address."""
        self.leave_requested = asyncio.Event()
        """Set when the configuration lists this instance as leaving."""
        self._metrics = create_metrics(settings.statsd)
        self._random = random.Random(zlib.crc32(settings.instance.name.encode()))
        self._chooser = EndpointChooser(
            instance=settings.instance, seed=self._random.getrandbits(32)
        )
        self.state = EntryState(instance=settings.instance, chooser=self._chooser)
        self.links = self._create_links()
        self._limiter = EntryLimiter(
            entry=settings.instance.name, first_sequence=time.time_ns() // 10**6
        )
        self.limits = LimitGate(
            limiter=self._limiter, state=self.state, links=self.links, clock=self.clock
        )
        self.view_link = ViewLink(
            entry=settings.instance.name,
            address=settings.instance.peer_address,
            list_others=self._list_other_dispatchers,
            on_configuration=self.accept_configuration,
            on_view=self.apply_view,
        )
        self._platform = HttpPlatformClient(
            tables_url=settings.tables_url, objects_url=settings.objects_url
        )
        self.pauses = PauseDetector(now=self.clock())
        self._budget = RetryBudget()
        finder = SlotFinder(state=self.state, links=self.links, clock=self.clock)
        self.calls = self._create_calls(finder)
        self.services = self._create_services(finder)
        self._server: CallerServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    def _create_links(self) -> SlotLinks:
        return SlotLinks(
            entry=f"{self._settings.instance.name}/{uuid.uuid4().hex[:8]}",
            find_keeper=self.state.find_keeper_address,
            on_probe=lambda probe: self._chooser.record_probe(probe, now=self.clock()),
            on_allotment=lambda message: self.limits.apply_allotment(message),
            clock=self.clock,
        )

    def _create_services(self, finder: SlotFinder) -> CallerServices:
        chats = ChatRouter(
            state=self.state,
            finder=finder,
            links=self.links,
            engines=EngineClient(),
            budget=self._budget,
            pauses=self.pauses,
            random=self._random,
            clock=self.clock,
            metrics=self._metrics,
        )
        return CallerServices(
            state=self.state,
            chats=chats,
            limits=self.limits,
            metrics=self._metrics,
            clock=self.clock,
            max_body_bytes=self._settings.max_body_bytes,
            address_validity_s=self._settings.address_validity_s,
        )

    def _create_calls(self, finder: SlotFinder) -> ServiceCalls:
        clock = SystemClock()
        commits = GroupCommit(client=self._platform, clock=clock)
        return ServiceCalls(
            store=OperationStore(client=commits, clock=clock),
            slots=EntrySlotSource(state=self.state, finder=finder, links=self.links),
            sender=HttpEndpointSender(),
            gate=EntryGate(state=self.state),
            pauses=self.pauses,
            retries=BudgetRetryPolicy(budget=self._budget, random=self._random),
            clock=clock,
            metrics=self._metrics,
        )

    async def start(self) -> None:
        """Listen and follow the dispatcher."""
        sock = bind_socket(self._settings.instance.caller_address)
        self.address = get_bound_address(sock)
        routes = [
            *build_caller_routes(self.services),
            *build_service_routes(self.services, self.calls),
            *self._create_operator_routes(),
        ]
        application = build_application(routes, self.services)
        self._server = CallerServer(
            application,
            read_time=self.clock,
            on_unanswered=self._log_unanswered,
            max_body_size=DISCARD_LIMIT_BYTES,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._server.add_socket(sock)
        self.view_link.start()
        self._start_task(self._report_load())
        self._start_task(self._watch_pauses())
        self._start_task(self.limits.run())
        retention_s = self._settings.operation_retention_s
        self._start_task(
            self.calls.delete_expired(retention_s=retention_s, owns_prefix=self._owns_prefix)
        )

    def _create_operator_routes(self) -> list[tuple[str, type, dict[str, Any]]]:
        status = EntryStatus(state=self.state, links=self.links)
        authenticator = TokenFileAuthenticator(
            path=self._settings.operator_token_file, callers=status
        )
        return build_operator_routes(
            store=PlanStore(platform=self._platform, make_id=lambda: uuid.uuid4().hex),
            authenticator=authenticator,
            status=status,
            clock=SystemClock(),
            on_accepted=self._publish_configuration,
        )

    def _publish_configuration(self, configuration: Configuration) -> None:
        self.accept_configuration(configuration)
        announcement = peer_pb2.AnnounceRequest(
            configuration_version=configuration.version,
            configuration_text=configuration.text,
            load=float(self.services.in_flight),
        )
        self._start_task(self._announce(announcement))

    async def _announce(self, request: peer_pb2.AnnounceRequest) -> None:
        await self.view_link.announce(request)

    async def leave(self) -> None:
        """Redirect callers to other instances and wait for requests in flight.

        Callers keep an address for its validity, so new requests are still served that long; then
        they are rejected as not run, with other addresses. The wait for those in flight begins only
        then: each gets all of it, also those that came last.
        """
        if self._server is not None:
            self._server.disable_keep_alive()
        await self.view_link.announce(peer_pb2.AnnounceRequest(leaving=True))
        if self.state.list_live_peers():
            await asyncio.sleep(self._settings.address_validity_s)
        self.state.leaving = True
        deadline = self.clock() + self._settings.drain_wait_s
        while self.services.in_flight and self.clock() < deadline:
            await asyncio.sleep(0.05)
        await self._drain(deadline=deadline)
        with suppress(TimeoutError):
            async with asyncio.timeout(max(0.0, deadline - self.clock())):
                await self.calls.drain()

    async def close(self) -> None:
        """Stop everything; requests in flight get a response that their outcome is unknown."""
        await self._drain(deadline=self.clock())
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.view_link.close()
        await self.links.close()

    async def _drain(self, *, deadline: float) -> None:
        """Close all connections of callers; after this the entry accepts none."""
        if self._server is None:
            return
        for trace in await self._server.drain(deadline=deadline, responses=build_last_responses()):
            log_connection("gave up a request that was being served", trace, now=self.clock())

    def accept_configuration(self, configuration: Configuration) -> None:
        """Apply a configuration if it is newer."""
        if self.state.accept_configuration(configuration):
            get_logger().info("configuration %d in force", configuration.version)
            self.links.reroute()
            if self._settings.instance.name in configuration.leaving_instances:
                self.leave_requested.set()

    def apply_view(self, view: MembershipView, isolated: bool) -> None:
        """Apply a newer view and move asks whose keeper has changed."""
        self.state.apply_view(view)
        self.state.isolated = isolated
        self._limiter.configure(view)
        self.links.reroute()

    def _list_other_dispatchers(self) -> list[str]:
        """Return the other members' peer addresses, then the seeds that aren't among them.

        Without the seeds, an entry whose local dispatcher dies before it has reported any other
        member knows no dispatcher to follow. The seeds are known from the start.
        """
        members = [item.instance.peer_address for item in self.state.list_live_peers()]
        own = self._settings.instance.peer_address
        seeds = [item for item in self._settings.seeds if item != own and item not in members]
        return [*members, *seeds]

    def _owns_prefix(self, prefix: str) -> bool:
        """Return whether this instance cleans up a key prefix of the operations' table."""
        members = self.state.view.list_serving()
        ranked = rank(f"operations/{prefix}", [member.instance.name for member in members])
        return not ranked or ranked[0] == self._settings.instance.name

    def _log_unanswered(self, trace: ConnectionTrace) -> None:
        log_connection("closed a connection without a response", trace, now=self.clock())

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _watch_pauses(self) -> None:
        while True:
            self.pauses.tick(now=self.clock())
            await asyncio.sleep(TICK_INTERVAL_S)

    async def _report_load(self) -> None:
        while True:
            await asyncio.sleep(LOAD_INTERVAL_S)
            load = float(self.services.in_flight)
            await self.view_link.announce(peer_pb2.AnnounceRequest(load=load))


async def serve(settings: InstanceSettings, stop: asyncio.Event) -> None:
    """Run an entry until ``stop`` is set, then leave gracefully."""
    entry = Entry(settings=settings)
    await entry.start()
    get_logger().info("ready callers=%s", entry.address, extra={"instance": settings.instance.name})
    try:
        await wait_for_first(stop, entry.leave_requested)
        await entry.leave()
    finally:
        await entry.close()


def run(settings: InstanceSettings) -> None:
    """Run the daemon; return after a graceful leave."""
    run_daemon(settings, serve)
