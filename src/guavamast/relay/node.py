"""One instance of the relay: listeners, fleet state and heartbeats in one process and loop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.relay.beat_exchange import BeatExchange
from guavamast.relay.beat_relays import BeatRelays
from guavamast.relay.beat_socket import BeatSocket
from guavamast.relay.beats import Beat, BeatBundle, InstanceState, LoadNotice, encode_notice
from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.bundle_content import BundleContent
from guavamast.relay.caller_addresses import VALIDITY_S
from guavamast.relay.catalog_news import CatalogNews, encode_catalog
from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.endpoint_news import EndpointNews, encode_endpoints
from guavamast.relay.fleet_knowledge import FleetKnowledge
from guavamast.relay.housekeeper import Housekeeper
from guavamast.relay.listener import CallerListener, Question, QuestionListener
from guavamast.relay.load_notices import LoadNotices
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peers import Peers, compute_beat_interval
from guavamast.relay.prompt_lanes import NO_DEMAND
from guavamast.relay.request_notes import RequestNotes
from guavamast.relay.request_path import make_relayer
from guavamast.relay.scheduling import Scheduling
from guavamast.relay.staleness import StalenessBounds
from guavamast.relay.store import InstanceRecord
from guavamast.relay.store_reader import StoreReader
from guavamast.relay.store_watch import StoreWatch
from guavamast.relay.table_watch import build_table_watches
from guavamast.relay.work_knowledge import WorkKnowledge

if TYPE_CHECKING:
    from guavamast.relay.engine_profile import ProfileEstimates
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.messages import CallerRequest, HeaderCodec
    from guavamast.relay.node_settings import NodeSettings, SocketAddress
    from guavamast.relay.relayer import Relayer
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store import CatalogReading, EndpointReading, Store

STANDARD_OUTPUT: Final = 1
"""Descriptor of the log by default."""
ADDRESS_CACHE_FACTOR: Final = 3.0
"""Factor on the validity of a response with addresses: some callers cache it that long."""
LEAVE_MARGIN_S: Final = 0.5
"""Seconds added to the time in which callers may still connect: a heartbeat plus the transit of a
request."""
STOP_MARGIN_S: Final = 0.8
"""Seconds before the platform would kill the process at which it ends."""


class Node:
    """Runs one instance.

    Args:
        settings: Location, addresses and time bounds.
        store: The platform's store.
        codec: Header names.
        clock: Updated from the store's responses.
        log_descriptor: File descriptor of the log.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        store: Store,
        codec: HeaderCodec,
        clock: StoreClock,
        log_descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.log = DecisionLog(instance=settings.name, descriptor=log_descriptor)
        self.peers = Peers(own_name=settings.name)
        self.knowledge = FleetKnowledge(
            failure_domain=settings.failure_domain, peers=self.peers, clock=clock
        )
        self.record = InstanceRecord(
            name=settings.name,
            ip=settings.ip,
            failure_domain=settings.failure_domain,
            region=settings.region,
            callers_address=str(settings.callers),
            peer_port=settings.peers.port,
            link_mbps=settings.link_mbps,
            processor_share=settings.processor_share,
        )
        self._store = store
        self._random = Random(f"{settings.name}{os.getpid()}{time.time_ns()}")
        self._incarnation = time.time_ns() // 1_000_000
        self._sequence = 0
        self._leaving = False
        self._work = WorkKnowledge()
        self._loop_delay = LoopDelay()
        self._pool = ConnectionPool()
        self._bounds = StalenessBounds(
            change_s=settings.change_s,
            leaving_s=settings.leaving_s,
            revocation_s=settings.revocation_s,
        )
        self._stop = asyncio.Event()
        self._load_updates = self._build_load_updates()
        self._heartbeat_socket = BeatSocket(
            take=self._receive_message,
            take_catalog=self._receive_catalog,
            take_endpoints=self._receive_endpoints,
            take_scheduling=self._receive_scheduling,
            counters=self.counters,
        )
        self._scheduling = self._build_scheduling()
        self._exchange = self._build_exchange()
        self._reader = self._build_reader()
        self._watch = self._build_watch()
        self._notes = RequestNotes(
            log=self.log,
            counters=self.counters,
            knowledge=self.knowledge,
            loop_delay=self._loop_delay,
        )
        self._cleanup_loop = self._build_cleanup_loop()
        self._relayer = self._build_relayer(codec)
        self._listener = CallerListener(
            relayer=self._relayer,
            codec=codec,
            read_time=read_boot_time,
            note_rejection=self._record_rejection,
            note_fault=self._record_fault,
        )

    def _build_load_updates(self) -> LoadNotices:
        return LoadNotices(
            instance=self.settings.name,
            incarnation=self._incarnation,
            loads=self._work.loads,
            cache=self._work.cache,
            send=self._send_load_update,
            count_instances=self.peers.count_known,
            read_time=read_boot_time,
        )

    def _build_scheduling(self) -> Scheduling:
        return Scheduling(
            record=self.record,
            incarnation=self._incarnation,
            knowledge=self.knowledge,
            profiles=self._work.profiles,
            counters=self.counters,
            send=self._heartbeat_socket.send_to,
            random=self._random,
            read_time=read_boot_time,
        )

    def _build_exchange(self) -> BeatExchange:
        return BeatExchange(
            name=self.settings.name,
            peers=self.peers,
            relays=BeatRelays(record=self.record, peers=self.peers),
            content=BundleContent(
                record=self.record,
                knowledge=self.knowledge,
                read_profiles=self._aggregate_profiles,
            ),
            make_beat=self._build_heartbeat,
            take_beat=self._receive_heartbeat,
            take_bundle=self._receive_aggregated_heartbeat,
            send=self._heartbeat_socket.send,
            read_time=read_boot_time,
        )

    def _build_reader(self) -> StoreReader:
        return StoreReader(
            store=self._store,
            fleet_state=self.knowledge,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
            send_heartbeat=self._exchange.announce,
            publish_catalog=self._publish_catalog,
            publish_endpoints=self._publish_endpoints,
        )

    def _build_watch(self) -> StoreWatch:
        return StoreWatch(
            store=self._store,
            reader=self._reader,
            watches=build_table_watches(
                reader=self._reader,
                bounds=self._bounds,
                fleet_state=self.knowledge,
                counters=self.counters,
                loop_delay=self._loop_delay,
                random=self._random,
                read_time=read_boot_time,
            ),
            fleet_state=self.knowledge,
            record=self.record,
            log=self.log,
            read_time=read_boot_time,
            broadcast_heartbeat=self._exchange.announce_to_all,
        )

    def _build_cleanup_loop(self) -> Housekeeper:
        return Housekeeper(
            fleet_state=self.knowledge,
            work=self._work,
            pool=self._pool,
            reader=self._reader,
            notes=self._notes,
            scheduling=self._scheduling,
            unregister=self._unregister,
            read_time=read_boot_time,
        )

    def _build_relayer(self, codec: HeaderCodec) -> Relayer:
        return make_relayer(
            settings=self.settings,
            codec=codec,
            knowledge=self.knowledge,
            work=self._work,
            bounds=self._bounds,
            reader=self._reader,
            pool=self._pool,
            notes=self._notes,
            scheduling=self._scheduling,
            tell_load=self._load_updates.note,
            random=self._random,
            read_time=read_boot_time,
        )

    @property
    def state(self) -> InstanceState:
        """State of this instance; only a serving one is listed for callers."""
        if self._leaving:
            return InstanceState.LEAVING
        if self.knowledge.catalog is None or not self.knowledge.endpoints.digest:
            return InstanceState.STARTING
        age_s = self.knowledge.compute_catalog_age(now=read_boot_time())
        return InstanceState.STALE if age_s > self._bounds.keys_s else InstanceState.SERVING

    def list_serving(self) -> list[InstanceRecord]:
        """Return the instances that callers may connect to, including this one."""
        own = [self.record] if self.state is InstanceState.SERVING else []
        return own + self.peers.list_serving(now=read_boot_time())

    def list_fallback(self) -> list[InstanceRecord]:
        """Return the instances to list if none is known to be serving."""
        live = self.peers.list_live(now=read_boot_time())
        return [self.record, *(peer.record for peer in live)]

    async def run(
        self,
        *,
        directory: Question,
        readiness: Question,
        metrics: Question,
    ) -> None:
        """Serve until SIGTERM."""
        settings = self.settings
        self._listener.listen(settings.callers.ip, settings.callers.port)
        listeners = self._open_listeners(directory, readiness, metrics)
        await self._heartbeat_socket.open(settings.peers.ip, settings.peers.port)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        self.log.write("started", now=read_boot_time(), callers=str(settings.callers))
        gc.freeze()
        background = [
            asyncio.create_task(self._watch.run()),
            asyncio.create_task(self._exchange.run()),
            asyncio.create_task(self._cleanup_loop.run()),
            asyncio.create_task(self._scheduling.client.run()),
        ]
        stopping = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait([stopping, *background], return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            if task is not stopping:
                task.result()
        await self._leave()
        for task in background:
            task.cancel()
        for listener in listeners:
            listener.stop()
        self.log.write("stopped", now=read_boot_time(), in_flight=self._relayer.in_flight)

    def _open_listeners(
        self, directory: Question, readiness: Question, metrics: Question
    ) -> list[QuestionListener]:
        settings = self.settings
        queries: list[tuple[SocketAddress | None, Question]] = [
            (settings.directory, directory),
            (settings.readiness, readiness),
            (settings.metrics, metrics),
        ]
        listeners = []
        for address, query in queries:
            if address is None:
                continue
            listener = QuestionListener(questions=[query])
            listener.listen(address.ip, address.port)
            listeners.append(listener)
        return listeners

    async def _leave(self) -> None:
        """Keep serving while callers may still connect, then stop when no request is in flight."""
        requested_at = read_boot_time()
        self._leaving = True
        self._listener.close_after_answers()
        self._exchange.announce_to_all()
        self.log.write("leaving", now=requested_at, in_flight=self._relayer.in_flight)
        addresses_expired_at = requested_at + ADDRESS_CACHE_FACTOR * VALIDITY_S + LEAVE_MARGIN_S
        deadline = requested_at + self.settings.grace_s - STOP_MARGIN_S
        removing = asyncio.create_task(self._unregister(self.settings.name))
        while read_boot_time() < deadline:
            if read_boot_time() >= addresses_expired_at and self._relayer.in_flight == 0:
                break
            await asyncio.sleep(0.05)
        self._listener.stop()
        removing.cancel()

    async def _unregister(self, name: str) -> None:
        """Remove an instance's record; if that fails, the remaining record does no harm."""
        try:
            await self._store.remove_instance(name)
        except Exception as error:  # noqa: BLE001
            self.log.write("unregister_failed", now=read_boot_time(), who=name, reason=str(error))

    def _build_heartbeat(self) -> Beat:
        """Return this instance's next heartbeat."""
        now = read_boot_time()
        self._apply_limits()
        self._sequence += 1
        interval_s = compute_beat_interval(self.peers.count_known())
        # In large fleets the schedulers track all requests; other instances need no such fields.
        scheduled = self.peers.relayed
        return Beat(
            record=self.record,
            incarnation=self._incarnation,
            sequence=self._sequence,
            state=self.state,
            store_answers=self._reader.answers,
            catalog=self.knowledge.catalog_stamp,
            endpoints=self.knowledge.endpoint_stamp,
            loads={} if scheduled else self._work.loads.list_own(),
            demand=NO_DEMAND if scheduled else self._work.demand.read_own(now=now),
            refusals=[] if scheduled else self._work.refusals.list_own(now=now),
            profiles=self._work.profiles.list_own(now=now),
            sends=[] if scheduled else self._work.cache.list_recent(now=now, interval_s=interval_s),
        )

    def _send_load_update(self, update: LoadNotice) -> None:
        data = encode_notice(update)
        for peer in self.peers.list_live(now=read_boot_time()):
            self._heartbeat_socket.send(data, peer.record)

    def _receive_message(self, message: Beat | LoadNotice | BeatBundle) -> None:
        if isinstance(message, Beat):
            self._exchange.take(message)
        elif isinstance(message, BeatBundle):
            self._exchange.take_bundle(message)
        elif self.peers.is_current(message.instance, message.incarnation):
            self._work.take_notice(message)

    def _receive_scheduling(self, message: SchedulingMessage, source: tuple[str, int]) -> None:
        self._scheduling.take(message, source)

    def _publish_catalog(self, snapshot: CatalogReading) -> None:
        """Send a configuration that this instance has read to the other instances."""
        assert snapshot.catalog is not None
        update = CatalogNews(
            domain=self.settings.failure_domain,
            row_version=snapshot.catalog.row_version,
            reading=snapshot.reading,
            text=snapshot.text,
        )
        self._exchange.tell_table(encode_catalog(update))

    def _publish_endpoints(self, snapshot: EndpointReading) -> None:
        """Send an endpoint table that this instance has read to the other instances."""
        update = EndpointNews(domain=self.settings.failure_domain, reading=snapshot)
        self._exchange.tell_table(encode_endpoints(update))

    def _receive_catalog(self, update: CatalogNews, data: bytes) -> None:
        """Apply and forward a configuration that another instance has read."""
        if self._reader.apply_catalog_update(update):
            self._exchange.forward_table(data, domain=update.domain)

    def _receive_endpoints(self, update: EndpointNews, data: bytes) -> None:
        """Apply and forward an endpoint table that another instance has read."""
        if self._reader.apply_endpoint_snapshot(update.reading, from_peer=True):
            self._exchange.forward_table(data, domain=update.domain)

    def _receive_heartbeat(self, heartbeat: Beat) -> None:
        self.knowledge.take_proofs(catalog=heartbeat.catalog, endpoints=heartbeat.endpoints)
        self._watch.wake_for_update()
        self._work.take_beat(heartbeat, now=read_boot_time())

    def _receive_aggregated_heartbeat(self, heartbeat: BeatBundle) -> None:
        self.knowledge.take_proofs(catalog=heartbeat.catalog, endpoints=heartbeat.endpoints)
        self._watch.wake_for_update()
        self._work.take_bundle(heartbeat)

    def _aggregate_profiles(self) -> dict[str, dict[str, ProfileEstimates]]:
        """Return the engine profiles, aggregated by failure domain."""
        own = self.settings.failure_domain
        now = read_boot_time()
        live = self.peers.list_live(now=now)
        names = [peer.record.name for peer in live if peer.record.failure_domain == own]
        return self._work.sum_up_profiles(own, names, now=now)

    def _apply_limits(self) -> None:
        catalog = self.knowledge.catalog
        if catalog is not None and self._listener.limits is not catalog.limits:
            self._listener.set_limits(catalog.limits)

    def _record_rejection(self, status: int) -> None:
        self.counters.add(f'refusals_total{{status="{status}"}}')
        self.log.write("rejected", now=read_boot_time(), status=status, reason="over a limit")

    def _record_fault(self, request: CallerRequest, error: Exception) -> None:
        self.counters.add("faults_total")
        self.log.write(
            "fault",
            now=read_boot_time(),
            request_id=request.request_id,
            error=f"{type(error).__name__}: {error}",
        )

    def _log_ignored_reload(self) -> None:
        """Log that a changed settings file takes effect at the next start only."""
        self.log.write("reload_ignored", now=read_boot_time())
