"""The dispatcher daemon: keepers of endpoints, membership and configuration of one instance."""

from __future__ import annotations

import asyncio
import time
import uuid
import zlib
from typing import TYPE_CHECKING, Final

from grpclib.server import Server

from guavamast._allotment_wire import decode_allotment_ask, encode_allotment
from guavamast._daemon import bind_socket, get_bound_address, run_daemon, wait_for_first
from guavamast.allotments import AllotmentDispatcher
from guavamast.clocks import SystemClock
from guavamast.configuration_spread import ConfigurationSpread, ConfigurationState, Source
from guavamast.errors import GuavamastError
from guavamast.findings import FindingsError
from guavamast.fleet_objects import Configuration
from guavamast.fleet_reader import IncrementalReader
from guavamast.heartbeat_links import HeartbeatLinks
from guavamast.hosted_endpoints import HostedEndpoints
from guavamast.keeper_host import PROBE_INTERVAL_S, KeeperHost
from guavamast.leases import LeaseHolder, LeaseParameters, PlatformLeaseTable
from guavamast.load_poller import LoadPoller
from guavamast.log import get_logger
from guavamast.membership import Membership
from guavamast.metrics import create_metrics
from guavamast.order_http import HttpOrderSender
from guavamast.order_issuer import OrderIssuer
from guavamast.order_loop import OrderLoop
from guavamast.peer_service import PeerService
from guavamast.plan_store import PlanStore
from guavamast.platform_client import PlatformError
from guavamast.platform_http import HttpPlatformClient
from guavamast.view_feed import ViewFeed

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from guavamast import peer_pb2
    from guavamast.members import MembershipView
    from guavamast.settings import InstanceSettings

POLL_CHECK_S: Final = 0.25
"""Granularity of the polls of the platform."""
VIEW_INTERVAL_S: Final = 0.25
"""Minimum time between two views published to entries."""
LOAD_VIEW_INTERVAL_S: Final = 5.0
"""Time after which a view that differs only in load is published."""
SEED_INTERVAL_S: Final = 15.0
"""Time between two reads of the platform's list of instances."""
HANDOVER_S: Final = 3.0
"""Time that a leaving dispatcher gives entries to move asks and slots to other keepers."""


class Dispatcher:
    """One dispatcher and its components.

    Args:
        settings: The instance's settings.
    """

    def __init__(self, *, settings: InstanceSettings) -> None:
        self._settings = settings
        self.clock = time.monotonic
        self.metrics = create_metrics(settings.statsd)
        self.configuration = Configuration(version=0)
        self.host = KeeperHost(clock=self.clock, metrics=self.metrics)
        self.allotments = AllotmentDispatcher()
        self.feed = ViewFeed(instance=settings.instance.name)
        self.address = ""
        """Bound peer address."""
        self._platform = HttpPlatformClient(
            tables_url=settings.tables_url, objects_url=settings.objects_url
        )
        self._plans = PlanStore(platform=self._platform, make_id=lambda: uuid.uuid4().hex)
        self._reader = IncrementalReader()
        self._unreadable_version = 0
        self.leave_requested = asyncio.Event()
        """Set when the configuration lists this instance as leaving."""
        self._tasks: list[asyncio.Task[None]] = []
        self._published: tuple[object, ...] = ()
        self._published_at = 0.0
        self._serving: frozenset[str] = frozenset()
        self._server: Server | None = None

    async def start(self) -> None:
        """Listen and start all background tasks."""
        sock = bind_socket(self._settings.instance.peer_address)
        self.address = get_bound_address(sock)
        instance = self._settings.instance.with_peer_address(self.address)
        now = self.clock()
        self.membership = Membership(me=instance, incarnation=time.time_ns() // 10**6, now=now)
        self.membership.add_seeds(self._settings.seeds)
        seed = zlib.crc32(instance.name.encode())
        self.spread = ConfigurationSpread(now=now, seed=seed)
        self.heartbeats = HeartbeatLinks(
            membership=self.membership,
            spread=self.spread,
            metrics=self.metrics,
            on_change=self._apply_newest_configuration,
        )
        self._server = Server([self._create_service()])
        await self._server.start(sock=sock)
        poller = LoadPoller(
            host=self.host, get_configuration=lambda: self.configuration, clock=self.clock
        )
        self.host.on_new_keeper = poller.poll_now
        self._start_task(self.heartbeats.run())
        self._start_task(self._create_order_loop().run())
        self._start_task(poller.run())
        self._start_task(self._poll_platform())
        self._start_task(self._read_seeds())
        self._start_task(self._publish_views())
        self._start_task(self._send_probes())

    async def leave(self) -> None:
        """Hand the kept endpoints over to other dispatchers."""
        self.membership.leave(now=self.clock())
        self.heartbeats.schedule_flush()
        self._publish(self.clock())
        others = self.membership.create_view(now=self.clock()).list_serving()
        if others:
            await asyncio.sleep(HANDOVER_S)

    async def close(self) -> None:
        """Stop everything."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.heartbeats.close()
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()

    def handle_announcement(self, request: peer_pb2.AnnounceRequest) -> int:
        """Handle an entry's announcement; return the version in force here."""
        now = self.clock()
        if request.configuration_text:
            self.spread.accept(
                request.configuration_version,
                request.configuration_text,
                source=Source.PLATFORM,
                now=now,
            )
            self._apply_newest_configuration()
        if request.leaving:
            self.membership.leave(now=now)
        self.membership.set_load(request.load)
        if request.leaving or request.configuration_text:
            self.heartbeats.schedule_flush()
        return self.configuration.version

    def answer_allotment(
        self, message: peer_pb2.AllotmentAskMessage, entry: str
    ) -> peer_pb2.KeeperMessage | None:
        """Return an entry's allotment; None for an unknown organisation or an outdated ask."""
        organisation = self.configuration.organisations.get(message.organisation)
        if organisation is None:
            return None
        ask = decode_allotment_ask(message, entry=entry.partition("/")[0])
        allotment = self.allotments.ask(ask, organisation, now=self.clock())
        return None if allotment is None else encode_allotment(allotment)

    def _create_order_loop(self) -> OrderLoop:
        clock, parameters = SystemClock(), LeaseParameters()
        name = self._settings.instance.name
        leases = LeaseHolder(
            table=PlatformLeaseTable(platform=self._platform),
            read_time=clock.read_monotonic,
            holder=name,
            generate_nonce=lambda: uuid.uuid4().hex,
            parameters=parameters,
        )
        issuer = OrderIssuer(
            platform=self._platform,
            leases=leases,
            sender=HttpOrderSender(),
            clock=clock,
            parameters=parameters,
        )
        hosted = HostedEndpoints(
            instance=name,
            host=self.host,
            get_configuration=lambda: self.configuration,
            get_view=lambda: self.membership.create_view(now=self.clock()),
        )
        return OrderLoop(issuer=issuer, kept=hosted, clock=clock)

    def _create_service(self) -> PeerService:
        return PeerService(
            host=self.host,
            feed=self.feed,
            answer_allotment=self.answer_allotment,
            handle_announcement=self.handle_announcement,
            serve_gossip=self.heartbeats.serve,
        )

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _poll_platform(self) -> None:
        while True:
            if self.clock() >= self.spread.next_poll_at:
                await self._read_head()
            version = self.spread.choose_snapshot(now=self.clock())
            if version is not None:
                await self._read_snapshot(version)
            await asyncio.sleep(POLL_CHECK_S)

    async def _read_head(self) -> None:
        try:
            head = await self._plans.read_head()
        except PlatformError as error:
            get_logger().info("failed to read the head row: %s", error)
            self.spread.record_failed_poll(now=self.clock())
            return
        self.spread.record_head(head.version, now=self.clock())

    async def _read_snapshot(self, version: int) -> None:
        try:
            text = await self._plans.read_text(version)
        except GuavamastError as error:
            get_logger().info("failed to read snapshot %d: %s", version, error)
            return
        if text is None:
            get_logger().info("snapshot %d does not exist", version)
            return
        self.spread.accept(version, text, source=Source.PLATFORM, now=self.clock())
        self._apply_newest_configuration()

    def _apply_newest_configuration(self) -> None:
        version = self.spread.version
        if version <= max(self.configuration.version, self._unreadable_version):
            return
        try:
            configuration = self._reader.read(self.spread.text, version=version)
        except FindingsError as error:
            self._unreadable_version = version
            get_logger().error("failed to parse configuration %d: %s", version, error)
            return
        self.configuration = configuration
        self.membership.set_configuration_version(version)
        self.host.configure(configuration)
        self.feed.set_configuration(configuration)
        self.heartbeats.schedule_flush()
        get_logger().info("configuration %d in force", version)
        if self._settings.instance.name in configuration.leaving_instances:
            self.leave_requested.set()

    async def _read_seeds(self) -> None:
        while True:
            try:
                listed = await self._platform.list_instances()
            except PlatformError as error:
                get_logger().info("failed to read the list of instances: %s", error)
            else:
                self.membership.set_platform_addresses(item.peer_address for item in listed)
            await asyncio.sleep(SEED_INTERVAL_S)

    async def _publish_views(self) -> None:
        while True:
            self._apply_newest_configuration()
            now = self.clock()
            view = self.membership.create_view(now=now)
            due = now - self._published_at > LOAD_VIEW_INTERVAL_S
            if due or self._summarize(view, now) != self._published:
                self._publish(now)
            await asyncio.sleep(VIEW_INTERVAL_S)

    def _publish(self, now: float) -> None:
        view = self.membership.create_view(now=now)
        serving = frozenset(member.instance.name for member in view.list_serving())
        if serving != self._serving:
            self._serving = serving
            self.allotments.record_view_change(now=now)
        self.allotments.evict_idle(now=now)
        self._published = self._summarize(view, now)
        self._published_at = now
        self.feed.set_view(view, isolated=self._is_isolated(now))

    def _is_isolated(self, now: float) -> bool:
        # Members that are gone count, because this instance may be the one that was cut off.
        others_known = len(self.membership.list_shareable()) > 1
        standing = self.spread.compute_state(now=now, others_known=others_known)
        return standing is ConfigurationState.ISOLATED

    def _summarize(self, view: MembershipView, now: float) -> tuple[object, ...]:
        members = tuple(
            (item.instance, item.incarnation, item.state, item.configuration_version)
            for item in view.members
        )
        return (*members, self._is_isolated(now))

    async def _send_probes(self) -> None:
        while True:
            self.host.send_probes()
            await asyncio.sleep(PROBE_INTERVAL_S)


async def serve(settings: InstanceSettings, stop: asyncio.Event) -> None:
    """Run a dispatcher until ``stop`` is set, then leave gracefully."""
    dispatcher = Dispatcher(settings=settings)
    await dispatcher.start()
    get_logger().info(
        "ready peers=%s", dispatcher.address, extra={"instance": settings.instance.name}
    )
    try:
        await wait_for_first(stop, dispatcher.leave_requested)
        await dispatcher.leave()
    finally:
        await dispatcher.close()


def run(settings: InstanceSettings) -> None:
    """Run the daemon; return after a graceful leave."""
    run_daemon(settings, serve)
