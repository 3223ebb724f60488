"""Builds what serves requests in one instance: listeners, relayer, departure and clean-up."""

from __future__ import annotations

from typing import TYPE_CHECKING

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
from guavamast.relay.departure import Departure
from guavamast.relay.departure_gate import DepartureGate
from guavamast.relay.forwarding import ForwardListener
from guavamast.relay.gauges import Gauges
from guavamast.relay.listener import CallerListener
from guavamast.relay.listener_recorder import ListenerRecorder
from guavamast.relay.relayer_factory import build_relayer
from guavamast.relay.request_metrics import RequestMetrics
from guavamast.relay.request_recorder import RequestRecorder
from guavamast.relay.response_durations import ResponseDurations

if TYPE_CHECKING:
    from guavamast.relay.node.context import NodeContext
    from guavamast.relay.node.fleet import FleetComponents
    from guavamast.relay.relayer import Relayer


class ServiceComponents:
    """What serves requests in one instance.

    Args:
        context: Identity, sinks and state of the instance.
        fleet: What the instance learns of the fleet and tells it.
    """

    __slots__ = (
        "_context",
        "_fleet",
        "_memory",
        "_readers",
        "_recorder",
        "cleanup_loop",
        "departure",
        "forward_listener",
        "listener",
        "listener_recorder",
        "relayer",
    )

    def __init__(self, *, context: NodeContext, fleet: FleetComponents) -> None:
        self._context = context
        self._fleet = fleet
        memory_bytes = context.settings.memory_bytes
        memory_limit = compute_memory_limit(memory_bytes)
        self._memory = MemoryAccount(limit_bytes=memory_limit)
        self._readers = SlowReaders(
            account=self._memory,
            limit_bytes=compute_backlog_limit(memory_bytes, limit_bytes=memory_limit),
        )
        self._recorder = RequestRecorder(
            log=context.log,
            metrics=RequestMetrics(counters=context.counters),
            fleet_state=context.fleet_state,
            loop_delay=context.loop_delay,
            schedule=context.schedule,
        )
        admission = self._build_admission()
        self.relayer = self._build_relayer(admission)
        self.listener_recorder = ListenerRecorder(
            log=context.log, counters=context.counters, read_time=read_boot_time
        )
        self.listener = self._build_listener()
        self.forward_listener = self._build_forward_listener(admission)
        self.departure = self._build_departure()
        self.cleanup_loop = self._build_cleanup_loop()

    def _build_admission(self) -> CallerAdmission:
        context = self._context
        fleet = self._fleet
        return CallerAdmission(
            gate=CallerGate(bounds=context.bounds),
            bounds=context.bounds,
            fleet_state=context.fleet_state,
            reader=fleet.reader,
            read_time=read_boot_time,
        )

    def _build_relayer(self, admission: CallerAdmission) -> Relayer:
        context = self._context
        fleet = self._fleet
        return build_relayer(
            settings=context.settings,
            codec=context.codec,
            fleet_state=context.fleet_state,
            work=context.work,
            departure=DepartureGate(schedule=context.schedule, durations=ResponseDurations()),
            admission=admission,
            access=fleet.access,
            recorder=self._recorder,
            scheduling=fleet.scheduling,
            bindings=fleet.bindings,
            limits=fleet.limits.limits,
            rate_limits=fleet.rate_limits.ledger,
            statements=fleet.statements,
            guard=fleet.containment.guard,
            duties=fleet.duties,
            publish_load=fleet.load_updates.record_change,
            publish_waiting=fleet.load_updates.record_waiting,
            memory=self._memory,
            readers=self._readers,
            random=context.random,
            read_time=read_boot_time,
        )

    def _build_listener(self) -> CallerListener:
        context = self._context
        return CallerListener(
            relayer=self.relayer,
            codec=context.codec,
            recorder=self.listener_recorder,
            memory=self._memory,
            rejects_large=context.settings.memory_bytes > 0,
            read_time=read_boot_time,
        )

    def _build_forward_listener(self, admission: CallerAdmission) -> ForwardListener:
        context = self._context
        fleet = self._fleet
        return ForwardListener(
            server=fleet.access.build_server(
                admission=admission,
                versions=fleet.bindings.versions,
                codec=context.codec,
                loop_delay=context.loop_delay,
                schedule=context.schedule,
                statements=fleet.statements,
                rate_limits=fleet.rate_limits,
            ),
            recorder=self.listener_recorder,
            read_time=read_boot_time,
        )

    def _build_departure(self) -> Departure:
        context = self._context
        return Departure(
            name=context.settings.name,
            schedule=context.schedule,
            store=context.store,
            listener=self.listener,
            forward_listener=self.forward_listener,
            relayer=self.relayer,
            announce=self._fleet.exchange.announce_to_all,
            hand_over=self._fleet.bindings.directory.hand_over,
            log=context.log,
            read_time=read_boot_time,
        )

    def _build_cleanup_loop(self) -> CleanupLoop:
        context = self._context
        fleet = self._fleet
        return CleanupLoop(
            fleet_state=context.fleet_state,
            work=context.work,
            access=fleet.access,
            reader=fleet.reader,
            memory=self._memory,
            readers=self._readers,
            gauges=Gauges(counters=context.counters),
            scheduling=fleet.scheduling,
            bindings=fleet.bindings.directory,
            unregister=self.departure.unregister,
            read_time=read_boot_time,
        )
