"""The life of one instance: listeners, signals, background tasks and its state."""

from __future__ import annotations

import asyncio
import gc
import signal
from typing import TYPE_CHECKING, Final

from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.heartbeat_messages import InstanceState
from guavamast.relay.node.context import NodeContext
from guavamast.relay.node.fleet import FleetComponents
from guavamast.relay.node.service import ServiceComponents
from guavamast.relay.query_listener import QueryHandler, open_query_listeners
from guavamast.relay.supervisor import Supervisor
from guavamast.stop_signals import StopSignal, set_alarm

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeaseTable
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.provider import Provider
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
        end_process: Ends the process at once; called if anything is left to do when the platform
            would kill it next. None if the process goes on after the instance.
    """

    __slots__ = (
        "_begin_departure",
        "_bounds",
        "_end_process",
        "_fleet",
        "_has_stopped",
        "_schedule",
        "_service",
        "_settings",
        "_stop",
        "counters",
        "fleet_state",
        "log",
        "peers",
        "record",
    )

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
        end_process: Callable[[], None] | None = None,
    ) -> None:
        context = NodeContext(
            settings=settings,
            store=store,
            codec=codec,
            clock=clock,
            log_descriptor=log_descriptor,
        )
        self.counters = context.counters
        self.log = context.log
        self.peers = context.peers
        self.fleet_state = context.fleet_state
        self.record = context.record
        self._settings = settings
        self._schedule = context.schedule
        self._bounds = context.bounds
        self._begin_departure = context.begin_departure
        self._end_process = end_process
        self._has_stopped = False
        self._stop = StopSignal(on_receive=self._leave, read_time=read_boot_time)
        self._fleet = FleetComponents(
            context=context, read_state=self._read_state, leases=leases, provider=provider
        )
        self._service = ServiceComponents(context=context, fleet=self._fleet)

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
        return self._fleet.access.list_unreaching()

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
        end the process at once and reset the connections of callers. For the same reason the
        listener of callers opens last: while the former process ends, some address may be in use.
        """
        settings = self._settings
        loop = asyncio.get_running_loop()
        self._stop.install(loop)
        loop.add_signal_handler(signal.SIGHUP, self._log_ignored_reload)
        self._service.forward_listener.listen(settings.peers.ip, settings.peers.port)
        listeners = open_query_listeners(
            [
                (settings.directory, directory),
                (settings.readiness, readiness),
                (settings.metrics, metrics),
            ],
            recorder=self._service.listener_recorder,
            read_time=read_boot_time,
        )
        await self._fleet.heartbeat_socket.open(
            settings.peers.ip, settings.peers.port, messages=self._fleet.build_peer_messages()
        )
        self._service.listener.listen(settings.callers.ip, settings.callers.port)
        self.log.write("started", now=read_boot_time(), callers=str(settings.callers))
        gc.freeze()
        background = self._start_background()
        await self._stop.wait()
        if self._fleet.duties is not None:
            background.append(asyncio.create_task(self._fleet.duties.holder.leave()))
        await self._service.departure.run(listeners)
        for task in background:
            task.cancel()
        self._log_stop()
        await self.log.flush(until=self._schedule.exits_at, read_time=read_boot_time)

    def _leave(self, received_at: float) -> None:
        """Begin to leave; called between two instructions once the stop signal is received."""
        self._begin_departure(received_at)
        if self._end_process is not None:
            set_alarm(self._schedule.exits_at - received_at, self._end_overdue)

    def _end_overdue(self) -> None:
        """End the process though something is left to do, as the platform would kill it next.

        Without this, a process whose event loop gets few turns beside busy processes is killed in
        the middle of its last ones, counts as crashed, and its log doesn't tell that it left.
        """
        assert self._end_process is not None
        if not self._has_stopped:
            self._log_stop(overdue=True)
        self._end_process()

    def _log_stop(self, **fields: bool) -> None:
        in_flight = self._service.relayer.in_flight
        now = read_boot_time()
        self.log.write("stopped", now=now, essential=True, in_flight=in_flight, **fields)
        self._has_stopped = True

    def _start_background(self) -> list[asyncio.Task[None]]:
        """Start the tasks that run until the instance has left."""
        supervisor = Supervisor(log=self.log, counters=self.counters, read_time=read_boot_time)
        runs = {
            "store_watch": self._fleet.watch.run,
            "heartbeats": self._fleet.exchange.run,
            "cleanup": self._service.cleanup_loop.run,
            "scheduling": self._fleet.scheduling.client.run,
            "quarantine": self._fleet.containment.run,
            "endpoint_access": self._fleet.access.run,
            "rate_limits": self._fleet.rate_limits.run,
            "saved_streams": self._fleet.bindings.saver.run,
        }
        if self._fleet.duties is not None:
            runs["duties"] = self._fleet.duties.run
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
        if catalog is not None and self._service.listener.limits is not catalog.limits:
            self._service.listener.set_limits(catalog.limits)

    def _log_ignored_reload(self) -> None:
        """Log that a changed settings file takes effect at the next start only."""
        self.log.write("reload_ignored", now=read_boot_time())
