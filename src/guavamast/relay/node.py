"""One instance of the relay: listeners, fleet state and heartbeats in one process and loop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from random import Random
from typing import TYPE_CHECKING, Final

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.buffering import (
    MemoryAccount,
    SlowReaders,
    compute_backlog_limit,
    compute_memory_limit,
)
from guavamast.relay.caller_admission import CallerAdmission
from guavamast.relay.caller_gate import CallerGate
from guavamast.relay.cleanup_loop import CleanupLoop
from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure import Departure
from guavamast.relay.departure_gate import DepartureGate, ResponseDurations
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.endpoint_access import EndpointAccess
from guavamast.relay.endpoint_statements import EndpointStatements
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.forwarding import ForwardListener
from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
from guavamast.relay.heartbeat_exchange import HeartbeatExchange
from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.heartbeat_topology import HeartbeatTopology
from guavamast.relay.instance_heartbeats import InstanceHeartbeats
from guavamast.relay.listener import CallerListener
from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.load_update_sender import LoadUpdateSender
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peer_messages import PeerMessages
from guavamast.relay.peer_socket import PeerSocket
from guavamast.relay.peers import Peers
from guavamast.relay.placement import MemoryReserve
from guavamast.relay.quarantine import Containment
from guavamast.relay.query_listener import QueryHandler, open_query_listeners
from guavamast.relay.rate_limits import RateLimitLedger, RateLimitSharing
from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
from guavamast.relay.rejection_limits import RejectionLimits
from guavamast.relay.relayer_factory import build_relayer
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.requester import Requester
from guavamast.relay.scheduling import Scheduling
from guavamast.relay.staleness import StalenessBounds
from guavamast.relay.store_reader import StoreReader
from guavamast.relay.store_watch import StoreWatch
from guavamast.relay.stream_binding import StreamBindings
from guavamast.relay.supervisor import Supervisor
from guavamast.relay.table_publisher import TablePublisher
from guavamast.relay.table_watch import build_table_watches
from guavamast.relay.unread_headers import UnreadHeaders
from guavamast.relay.work_state import WorkState

if TYPE_CHECKING:
    from guavamast.leases import LeaseTable
    from guavamast.relay.duties import Duties
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.provider import Provider
    from guavamast.relay.relayer import Relayer
    from guavamast.relay.store import InstanceRecord, Store
    from guavamast.relay.unreadable_rows import UnreadableRow

STANDARD_OUTPUT: Final = 1
"""Descriptor of the log by default."""


class Node:
    """Runs one instance.

    Args:
        settings: Location, addresses and time bounds.
        store: The platform's store.
        codec: Header names.
        clock: Updated from the store's responses.
        leases: Stores the lease of the duties; None if there are no duties.
        provider: Receives the calls of the duties; None if there are no duties.
        log_descriptor: File descriptor of the log.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        store: Store,
        codec: HeaderCodec,
        clock: StoreClock,
        leases: LeaseTable | None = None,
        provider: Provider | None = None,
        log_descriptor: int = STANDARD_OUTPUT,
    ) -> None:
        self.settings = settings
        self.counters = Counters()
        self.log = DecisionLog(
            instance=settings.name, descriptor=log_descriptor, counters=self.counters
        )
        self.peers = Peers(own_name=settings.name)
        self.fleet_state = FleetState(
            failure_domain=settings.failure_domain, peers=self.peers, clock=clock
        )
        self.record = settings.build_record()
        self._store = store
        self._random = Random(f"{settings.name}{os.getpid()}{time.time_ns()}")
        self._incarnation = time.time_ns() // 1_000_000
        self._schedule = DepartureSchedule(grace_s=settings.grace_s)
        self._work = WorkState(settings.sharing)
        self._loop_delay = LoopDelay()
        memory_limit = compute_memory_limit(settings.memory_bytes)
        self._memory = MemoryAccount(limit_bytes=memory_limit)
        self._readers = SlowReaders(
            account=self._memory,
            limit_bytes=compute_backlog_limit(settings.memory_bytes, limit_bytes=memory_limit),
        )
        self._bounds = StalenessBounds(
            change_s=settings.change_s,
            leaving_s=settings.leaving_s,
            revocation_s=settings.revocation_s,
        )
        self._stop = asyncio.Event()
        self._heartbeat_socket = PeerSocket(counters=self.counters)
        self._heartbeats = self._build_heartbeats()
        self._load_updates = self._build_load_updates()
        self._memory_reserve = MemoryReserve() if settings.memory_pressure else None
        limits = RejectionLimits()
        rate_limits = RateLimitLedger()
        self._scheduling = self._build_scheduling(limits, rate_limits)
        self._exchange = self._build_exchange()
        self._limits = RejectionLimitSharing(
            limits=limits,
            fleet_state=self.fleet_state,
            exchange=self._exchange,
            log=self.log,
            read_time=read_boot_time,
        )
        self._rate_limits = self._build_rate_limits(rate_limits)
        self._statements = EndpointStatements(
            rejection_limits=self._limits,
            rate_limits=self._rate_limits,
            unread=UnreadHeaders(codec=codec, log=self.log),
            log=self.log,
            read_time=read_boot_time,
        )
        self._reader = self._build_reader()
        self._access = self._build_access()
        self._bindings = self._build_bindings()
        self._containment = self._build_containment()
        self._duties = self._build_duties(leases, provider, clock)
        self._watch = self._build_watch()
        self._recorder = RequestRecorder(
            log=self.log,
            counters=self.counters,
            fleet_state=self.fleet_state,
            loop_delay=self._loop_delay,
            schedule=self._schedule,
        )
        admission = self._build_admission()
        self._relayer = self._build_relayer(codec, admission)
        self._listener_recorder = ListenerRecorder(
            log=self.log, counters=self.counters, read_time=read_boot_time
        )
        self._listener = CallerListener(
            relayer=self._relayer,
            codec=codec,
            recorder=self._listener_recorder,
            memory=self._memory,
            rejects_large=settings.memory_bytes > 0,
            read_time=read_boot_time,
        )
        self._forward_listener = ForwardListener(
            server=self._access.build_server(
                admission=admission,
                versions=self._bindings.versions,
                codec=codec,
                loop_delay=self._loop_delay,
                statements=self._statements,
                rate_limits=self._rate_limits,
            ),
            recorder=self._listener_recorder,
            read_time=read_boot_time,
        )
        self._departure = Departure(
            name=settings.name,
            schedule=self._schedule,
            store=store,
            listener=self._listener,
            forward_listener=self._forward_listener,
            relayer=self._relayer,
            announce=self._exchange.announce_to_all,
            log=self.log,
            read_time=read_boot_time,
        )
        self._cleanup_loop = self._build_cleanup_loop()

    def _build_heartbeats(self) -> InstanceHeartbeats:
        return InstanceHeartbeats(
            record=self.record,
            incarnation=self._incarnation,
            fleet_state=self.fleet_state,
            work=self._work,
            read_state=self._read_state,
            is_store_reachable=lambda: self._reader.answers,
            on_stamps=lambda: self._watch.wake_for_update(),
            send=self._heartbeat_socket.send,
            read_time=read_boot_time,
        )

    def _build_load_updates(self) -> LoadUpdateSender:
        return LoadUpdateSender(
            instance=self.settings.name,
            incarnation=self._incarnation,
            loads=self._work.loads,
            history=self._work.rejections,
            shares=self._work.shares,
            cache=self._work.cache,
            send=self._heartbeats.send_load_update,
            count_instances=self.peers.count_known,
            read_time=read_boot_time,
        )

    def _build_rate_limits(self, ledger: RateLimitLedger) -> RateLimitSharing:
        sharing = RateLimitSharing(
            ledger=ledger,
            name=self.settings.name,
            fleet_state=self.fleet_state,
            exchange=self._exchange,
            is_granter=self._scheduling.is_granter,
            send=self._heartbeat_socket.send_to,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
        )
        self._scheduling.tell_limits = sharing.tell
        return sharing

    def _build_scheduling(
        self, limits: RejectionLimits, rate_limits: RateLimitLedger
    ) -> Scheduling:
        return Scheduling(
            record=self.record,
            incarnation=self._incarnation,
            fleet_state=self.fleet_state,
            profiles=self._work.profiles,
            limits=limits,
            rate_limits=rate_limits,
            is_leaving=lambda: self._schedule.is_leaving,
            counters=self.counters,
            send=self._heartbeat_socket.send_to,
            sharing=self.settings.sharing,
            random=self._random,
            read_time=read_boot_time,
            memory=self._memory_reserve,
            loads=self._work.loads,
        )

    def _build_bindings(self) -> StreamBindings:
        return StreamBindings(
            requester=Requester(instance=self.settings.name, incarnation=self._incarnation),
            fleet_state=self.fleet_state,
            read_endpoints=self._reader.endpoints.join,
            send=self._heartbeat_socket.send_to,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
        )

    def _build_exchange(self) -> HeartbeatExchange:
        return HeartbeatExchange(
            name=self.settings.name,
            peers=self.peers,
            topology=HeartbeatTopology(record=self.record, peers=self.peers),
            aggregates=HeartbeatAggregation(
                record=self.record,
                fleet_state=self.fleet_state,
                read_profiles=self._heartbeats.aggregate_profiles,
            ),
            build_heartbeat=self._heartbeats.build,
            on_heartbeat=self._heartbeats.receive,
            on_aggregate=self._heartbeats.receive_aggregate,
            send=self._heartbeat_socket.send,
            read_time=read_boot_time,
        )

    def _build_access(self) -> EndpointAccess:
        return EndpointAccess(
            record=self.record,
            incarnation=self._incarnation,
            fleet_state=self.fleet_state,
            exchange=self._exchange,
            read_catalog=self._reader.catalog.join,
            log=self.log,
            counters=self.counters,
            random=self._random,
            read_time=read_boot_time,
        )

    def _build_admission(self) -> CallerAdmission:
        return CallerAdmission(
            gate=CallerGate(bounds=self._bounds),
            bounds=self._bounds,
            fleet_state=self.fleet_state,
            reader=self._reader,
            read_time=read_boot_time,
        )

    def _build_containment(self) -> Containment:
        return Containment(
            store=self._store,
            fleet_state=self.fleet_state,
            loads=self._work.loads,
            connector=self._access.connector,
            limits=self._limits.limits,
            exchange=self._exchange,
            domain=self.settings.failure_domain,
            window_s=self.settings.spread_s,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
            reserve=self._memory_reserve,
        )

    def _build_duties(
        self, leases: LeaseTable | None, provider: Provider | None, clock: StoreClock
    ) -> Duties | None:
        if self.settings.duties is None or leases is None or provider is None:
            return None
        # Where there are no duties, their modules take no memory.
        from guavamast.relay.duties import Duties

        return Duties(
            settings=self.settings.duties,
            record=self.record,
            incarnation=self._incarnation,
            fleet_state=self.fleet_state,
            table=leases,
            provider=provider,
            profiles=self._work.profiles,
            clock=clock,
            send=self._heartbeat_socket.send_to,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
        )

    def _build_reader(self) -> StoreReader:
        publisher = TablePublisher(exchange=self._exchange, domain=self.settings.failure_domain)
        return StoreReader(
            store=self._store,
            fleet_state=self.fleet_state,
            log=self.log,
            counters=self.counters,
            read_time=read_boot_time,
            send_heartbeat=self._exchange.announce,
            publish_catalog=publisher.publish_catalog,
            publish_endpoints=publisher.publish_endpoints,
        )

    def _build_watch(self) -> StoreWatch:
        return StoreWatch(
            store=self._store,
            reader=self._reader,
            watches=build_table_watches(
                reader=self._reader,
                bounds=self._bounds,
                fleet_state=self.fleet_state,
                counters=self.counters,
                loop_delay=self._loop_delay,
                random=self._random,
                read_time=read_boot_time,
            ),
            fleet_state=self.fleet_state,
            record=self.record,
            log=self.log,
            read_time=read_boot_time,
            broadcast_heartbeat=self._exchange.announce_to_all,
        )

    def _build_cleanup_loop(self) -> CleanupLoop:
        return CleanupLoop(
            fleet_state=self.fleet_state,
            work=self._work,
            access=self._access,
            reader=self._reader,
            memory=self._memory,
            readers=self._readers,
            recorder=self._recorder,
            scheduling=self._scheduling,
            bindings=self._bindings.directory,
            unregister=self._departure.unregister,
            read_time=read_boot_time,
        )

    def _build_relayer(self, codec: HeaderCodec, admission: CallerAdmission) -> Relayer:
        return build_relayer(
            settings=self.settings,
            codec=codec,
            fleet_state=self.fleet_state,
            work=self._work,
            departure=DepartureGate(schedule=self._schedule, durations=ResponseDurations()),
            admission=admission,
            access=self._access,
            recorder=self._recorder,
            scheduling=self._scheduling,
            bindings=self._bindings,
            limits=self._limits.limits,
            rate_limits=self._rate_limits.ledger,
            statements=self._statements,
            guard=self._containment.guard,
            duties=self._duties,
            publish_load=self._load_updates.record_change,
            publish_waiting=self._load_updates.record_waiting,
            memory=self._memory,
            readers=self._readers,
            random=self._random,
            read_time=read_boot_time,
        )

    def _build_peer_messages(self) -> PeerMessages:
        return PeerMessages(
            exchange=self._exchange,
            peers=self.peers,
            work=self._work,
            reader=self._reader,
            scheduling=self._scheduling,
            containment=self._containment,
            access=self._access,
            limits=self._limits,
            rate_limits=self._rate_limits,
            bindings=self._bindings.directory,
            duties=self._duties,
            read_time=read_boot_time,
        )

    @property
    def state(self) -> InstanceState:
        """State of this instance; only a serving one is listed for callers."""
        if self._schedule.is_leaving:
            return InstanceState.LEAVING
        if self.fleet_state.catalog is None or not self.fleet_state.endpoints.digest:
            return InstanceState.STARTING
        age_s = self.fleet_state.compute_catalog_age(now=read_boot_time())
        return InstanceState.STALE if age_s > self._bounds.keys_s else InstanceState.SERVING

    def list_serving(self) -> list[InstanceRecord]:
        """Return the instances that callers may connect to, including this one."""
        own = [self.record] if self.state is InstanceState.SERVING else []
        return own + self.peers.list_serving(now=read_boot_time())

    def list_unreaching(self) -> set[str]:
        """Return the names of the instances that don't reach all services."""
        return self._access.list_unreaching()

    def list_fallback(self) -> list[InstanceRecord]:
        """Return the instances to list if none is known to be serving."""
        live = self.peers.list_live(now=read_boot_time())
        return [self.record, *(peer.record for peer in live)]

    async def run(
        self,
        *,
        directory: QueryHandler,
        readiness: QueryHandler,
        metrics: QueryHandler,
    ) -> None:
        """Serve until SIGTERM.

        Signals are handled before the first listener opens: by its default action, SIGTERM would
        end the process at once and reset the connections of callers.
        """
        settings = self.settings
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        self._listener.listen(settings.callers.ip, settings.callers.port)
        self._forward_listener.listen(settings.peers.ip, settings.peers.port)
        listeners = open_query_listeners(
            [
                (settings.directory, directory),
                (settings.readiness, readiness),
                (settings.metrics, metrics),
            ],
            recorder=self._listener_recorder,
            read_time=read_boot_time,
        )
        await self._heartbeat_socket.open(
            settings.peers.ip, settings.peers.port, messages=self._build_peer_messages()
        )
        self.log.write("started", now=read_boot_time(), callers=str(settings.callers))
        gc.freeze()
        background = self._start_background()
        await self._stop.wait()
        self._schedule.begin(now=read_boot_time())
        if self._duties is not None:
            background.append(asyncio.create_task(self._duties.holder.leave()))
        await self._departure.run()
        for task in background:
            task.cancel()
        await asyncio.gather(*(listener.stop() for listener in listeners))
        self.log.write("stopped", now=read_boot_time(), in_flight=self._relayer.in_flight)

    def _start_background(self) -> list[asyncio.Task[None]]:
        """Start the tasks that run until the instance has left."""
        supervisor = Supervisor(log=self.log, counters=self.counters, read_time=read_boot_time)
        runs = {
            "store_watch": self._watch.run,
            "heartbeats": self._exchange.run,
            "cleanup": self._cleanup_loop.run,
            "scheduling": self._scheduling.client.run,
            "quarantine": self._containment.run,
            "endpoint_access": self._access.run,
            "rate_limits": self._rate_limits.run,
        }
        if self._duties is not None:
            runs["duties"] = self._duties.run
        return [supervisor.start(name, run) for name, run in runs.items()]

    def record_unreadable_row(self, row: UnreadableRow) -> None:
        """Record a row of the store that is skipped, as it can't be decoded."""
        self.counters.add(f'unreadable_rows_total{{table="{row.table}"}}')
        self.log.write(
            "row_unreadable",
            now=read_boot_time(),
            table=row.table,
            key=row.key,
            row_version=row.version,
            reason=row.reason,
        )

    def _read_state(self) -> InstanceState:
        """Return the state for the next heartbeat; changed limits are applied as often."""
        self._apply_limits()
        return self.state

    def _apply_limits(self) -> None:
        catalog = self.fleet_state.catalog
        if catalog is not None and self._listener.limits is not catalog.limits:
            self._listener.set_limits(catalog.limits)

    def _log_ignored_reload(self) -> None:
        """Log that a changed settings file takes effect at the next start only."""
        self.log.write("reload_ignored", now=read_boot_time())
