"""Builds what one instance learns of the fleet and tells it: heartbeats, tables, limits, duties."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.endpoint_access import EndpointAccess
from guavamast.relay.endpoint_statements import EndpointStatements
from guavamast.relay.heartbeat_aggregation import HeartbeatAggregation
from guavamast.relay.heartbeat_exchange import HeartbeatExchange
from guavamast.relay.heartbeat_topology import HeartbeatTopology
from guavamast.relay.instance_heartbeats import InstanceHeartbeats
from guavamast.relay.load_update_sender import LoadUpdateSender
from guavamast.relay.peer_messages import PeerMessages
from guavamast.relay.peer_socket import PeerSocket
from guavamast.relay.placement import MemoryReserve
from guavamast.relay.quarantine import Containment
from guavamast.relay.rate_limits import RateLimitLedger, RateLimitSharing
from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
from guavamast.relay.rejection_limits import RejectionLimits
from guavamast.relay.requester import Requester
from guavamast.relay.scheduling import Scheduling
from guavamast.relay.store_reader import StoreReader
from guavamast.relay.store_watch import StoreWatch
from guavamast.relay.stream_binding import StreamBindings
from guavamast.relay.table_publisher import TablePublisher
from guavamast.relay.table_watch import build_table_watches
from guavamast.relay.unread_headers import UnreadHeaders

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeaseTable
    from guavamast.relay.duties import Duties
    from guavamast.relay.heartbeat_messages import InstanceState
    from guavamast.relay.node.context import NodeContext
    from guavamast.relay.provider import Provider


class FleetComponents:
    """What one instance learns of the fleet and tells it.

    Args:
        context: Identity, sinks and state of the instance.
        read_state: Returns the state for the next heartbeat.
        leases: Stores the lease of the duties; None if there are no duties.
        provider: Receives the calls of the duties; None if there are no duties.
    """

    __slots__ = (
        "_context",
        "_heartbeats",
        "_memory_reserve",
        "access",
        "bindings",
        "containment",
        "duties",
        "exchange",
        "heartbeat_socket",
        "limits",
        "load_updates",
        "rate_limits",
        "reader",
        "scheduling",
        "statements",
        "watch",
    )

    def __init__(
        self,
        *,
        context: NodeContext,
        read_state: Callable[[], InstanceState],
        leases: LeaseTable | None,
        provider: Provider | None,
    ) -> None:
        self._context = context
        self.heartbeat_socket = PeerSocket(counters=context.counters)
        self._heartbeats = self._build_heartbeats(read_state)
        self.load_updates = self._build_load_updates()
        self._memory_reserve = MemoryReserve() if context.settings.memory_pressure else None
        limits = RejectionLimits()
        rate_limits = RateLimitLedger()
        self.scheduling = self._build_scheduling(limits, rate_limits)
        self.exchange = self._build_exchange()
        self.limits = self._build_limits(limits)
        self.rate_limits = self._build_rate_limits(rate_limits)
        self.statements = self._build_statements()
        self.reader = self._build_reader()
        self.access = self._build_access()
        self.bindings = self._build_bindings()
        self.containment = self._build_containment()
        self.duties = self._build_duties(leases, provider)
        self.watch = self._build_watch()

    def build_peer_messages(self) -> PeerMessages:
        """Return what receives the messages of other instances."""
        context = self._context
        return PeerMessages(
            exchange=self.exchange,
            peers=context.peers,
            work=context.work,
            reader=self.reader,
            scheduling=self.scheduling,
            containment=self.containment,
            access=self.access,
            limits=self.limits,
            rate_limits=self.rate_limits,
            bindings=self.bindings.directory,
            duties=self.duties,
            read_time=read_boot_time,
        )

    def _build_heartbeats(self, read_state: Callable[[], InstanceState]) -> InstanceHeartbeats:
        context = self._context
        return InstanceHeartbeats(
            record=context.record,
            incarnation=context.incarnation,
            fleet_state=context.fleet_state,
            work=context.work,
            read_state=read_state,
            is_store_reachable=lambda: self.reader.answers,
            on_stamps=lambda: self.watch.wake_for_update(),
            send=self.heartbeat_socket.send,
            read_time=read_boot_time,
        )

    def _build_load_updates(self) -> LoadUpdateSender:
        context = self._context
        return LoadUpdateSender(
            instance=context.settings.name,
            incarnation=context.incarnation,
            loads=context.work.loads,
            history=context.work.rejections,
            shares=context.work.shares,
            cache=context.work.cache,
            send=self._heartbeats.send_load_update,
            count_instances=context.peers.count_known,
            read_time=read_boot_time,
        )

    def _build_scheduling(
        self, limits: RejectionLimits, rate_limits: RateLimitLedger
    ) -> Scheduling:
        context = self._context
        return Scheduling(
            record=context.record,
            incarnation=context.incarnation,
            fleet_state=context.fleet_state,
            profiles=context.work.profiles,
            limits=limits,
            rate_limits=rate_limits,
            is_leaving=lambda: context.schedule.is_leaving,
            counters=context.counters,
            send=self.heartbeat_socket.send_to,
            sharing=context.settings.sharing,
            random=context.random,
            read_time=read_boot_time,
            memory=self._memory_reserve,
            loads=context.work.loads,
        )

    def _build_exchange(self) -> HeartbeatExchange:
        context = self._context
        return HeartbeatExchange(
            name=context.settings.name,
            peers=context.peers,
            topology=HeartbeatTopology(record=context.record, peers=context.peers),
            aggregates=HeartbeatAggregation(
                record=context.record,
                fleet_state=context.fleet_state,
                read_profiles=self._heartbeats.aggregate_profiles,
            ),
            build_heartbeat=self._heartbeats.build,
            on_heartbeat=self._heartbeats.receive,
            on_aggregate=self._heartbeats.receive_aggregate,
            send=self.heartbeat_socket.send,
            loop_delay=context.loop_delay,
            read_time=read_boot_time,
        )

    def _build_limits(self, limits: RejectionLimits) -> RejectionLimitSharing:
        context = self._context
        return RejectionLimitSharing(
            limits=limits,
            fleet_state=context.fleet_state,
            exchange=self.exchange,
            log=context.log,
            read_time=read_boot_time,
        )

    def _build_rate_limits(self, ledger: RateLimitLedger) -> RateLimitSharing:
        context = self._context
        sharing = RateLimitSharing(
            ledger=ledger,
            name=context.settings.name,
            fleet_state=context.fleet_state,
            exchange=self.exchange,
            is_granter=self.scheduling.is_granter,
            send=self.heartbeat_socket.send_to,
            log=context.log,
            counters=context.counters,
            read_time=read_boot_time,
        )
        self.scheduling.tell_limits = sharing.tell
        return sharing

    def _build_statements(self) -> EndpointStatements:
        context = self._context
        return EndpointStatements(
            rejection_limits=self.limits,
            rate_limits=self.rate_limits,
            unread=UnreadHeaders(codec=context.codec, log=context.log),
            log=context.log,
            read_time=read_boot_time,
        )

    def _build_reader(self) -> StoreReader:
        context = self._context
        publisher = TablePublisher(exchange=self.exchange, domain=context.settings.failure_domain)
        return StoreReader(
            store=context.store,
            fleet_state=context.fleet_state,
            log=context.log,
            counters=context.counters,
            read_time=read_boot_time,
            send_heartbeat=self.exchange.announce,
            publish_catalog=publisher.publish_catalog,
            publish_endpoints=publisher.publish_endpoints,
        )

    def _build_access(self) -> EndpointAccess:
        context = self._context
        return EndpointAccess(
            record=context.record,
            incarnation=context.incarnation,
            fleet_state=context.fleet_state,
            exchange=self.exchange,
            read_catalog=self.reader.catalog.join,
            log=context.log,
            counters=context.counters,
            random=context.random,
            read_time=read_boot_time,
        )

    def _build_bindings(self) -> StreamBindings:
        context = self._context
        return StreamBindings(
            requester=Requester(instance=context.settings.name, incarnation=context.incarnation),
            record=context.record,
            store=context.store,
            clock=context.clock,
            may_save=lambda: self.reader.answers and not context.schedule.is_leaving,
            fleet_state=context.fleet_state,
            read_endpoints=self.reader.endpoints.join,
            send=self.heartbeat_socket.send_to,
            log=context.log,
            counters=context.counters,
            read_time=read_boot_time,
        )

    def _build_containment(self) -> Containment:
        context = self._context
        return Containment(
            store=context.store,
            fleet_state=context.fleet_state,
            loads=context.work.loads,
            connector=self.access.connector,
            limits=self.limits.limits,
            exchange=self.exchange,
            domain=context.settings.failure_domain,
            window_s=context.settings.spread_s,
            log=context.log,
            counters=context.counters,
            read_time=read_boot_time,
            reserve=self._memory_reserve,
        )

    def _build_duties(self, leases: LeaseTable | None, provider: Provider | None) -> Duties | None:
        context = self._context
        if context.settings.duties is None or leases is None or provider is None:
            return None
        # Where there are no duties, their modules take no memory.
        from guavamast.relay.duties import Duties

        return Duties(
            settings=context.settings.duties,
            record=context.record,
            incarnation=context.incarnation,
            fleet_state=context.fleet_state,
            table=leases,
            provider=provider,
            profiles=context.work.profiles,
            clock=context.clock,
            send=self.heartbeat_socket.send_to,
            log=context.log,
            counters=context.counters,
            read_time=read_boot_time,
        )

    def _build_watch(self) -> StoreWatch:
        context = self._context
        return StoreWatch(
            store=context.store,
            reader=self.reader,
            watches=build_table_watches(
                reader=self.reader,
                bounds=context.bounds,
                fleet_state=context.fleet_state,
                counters=context.counters,
                loop_delay=context.loop_delay,
                random=context.random,
                read_time=read_boot_time,
            ),
            fleet_state=context.fleet_state,
            record=context.record,
            log=context.log,
            read_time=read_boot_time,
            broadcast_heartbeat=self.exchange.announce_to_all,
        )
