"""The quarantine of one instance: its ledger, the guard of the request path, and the upkeep."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.quarantine.answered_parts import AnsweredParts
from guavamast.relay.quarantine.guard import CrashGuard
from guavamast.relay.quarantine.ledger import QuarantineLedger
from guavamast.relay.quarantine.losses import PendingLosses
from guavamast.relay.quarantine.report_wire import decode_quarantine_report
from guavamast.relay.quarantine.rows import QuarantineRows
from guavamast.relay.quarantine.upkeep import QuarantineUpkeep

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_connector import EndpointConnector
    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.placement import MemoryReserve
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.store import Store


class Containment:
    """Keeps requests that end endpoints from further endpoints.

    Args:
        store: Keeps the rows of quarantines.
        fleet_state: Endpoints and other instances.
        loads: Work at endpoints.
        connector: Tells whether an endpoint's host refuses connections.
        limits: Services whose endpoints end by themselves under load.
        exchange: Sends reports to other instances.
        domain: Failure domain of this instance.
        window_s: Time in which all instances must know of a quarantine.
        log: Decision log.
        counters: Metrics.
        read_time: The local clock.
        reserve: Memory of engines that isn't granted; None where they bear it if it runs out.
    """

    __slots__ = ("_exchange", "_fleet_state", "_ledger", "_read_time", "_upkeep", "guard")

    def __init__(
        self,
        *,
        store: Store,
        fleet_state: FleetState,
        loads: EndpointLoads,
        connector: EndpointConnector,
        limits: RejectionLimits,
        exchange: HeartbeatExchange,
        domain: str,
        window_s: float,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
        reserve: MemoryReserve | None = None,
    ) -> None:
        self._exchange = exchange
        self._fleet_state = fleet_state
        self._read_time = read_time
        self._ledger = QuarantineLedger(domain=domain, window_s=window_s)
        losses = PendingLosses()
        answered_parts = AnsweredParts()
        rows = QuarantineRows(store=store, ledger=self._ledger, log=log, read_time=read_time)
        self.guard = CrashGuard(
            ledger=self._ledger,
            losses=losses,
            rows=rows,
            answered_parts=answered_parts,
            fleet_state=fleet_state,
            loads=loads,
            connector=connector,
            limits=limits,
            log=log,
            counters=counters,
            wake=self._wake,
            publish=self._publish,
            read_time=read_time,
            reserve=reserve,
        )
        """Decides on requests."""
        self._upkeep = QuarantineUpkeep(
            ledger=self._ledger,
            losses=losses,
            guard=self.guard,
            rows=rows,
            answered_parts=answered_parts,
            log=log,
            counters=counters,
            send=exchange.spread,
            rank_sender=self._rank_sender,
            rank_saver=self._rank_saver,
            read_time=read_time,
        )

    async def run(self) -> None:
        """Do the background work until cancelled."""
        await self._upkeep.run()

    def receive(self, data: bytes) -> None:
        """Merge another instance's report; in a large fleet, forward what of it is new here.

        Clearances wait for the next report of an aggregator. There are some for each end from each
        instance that had answered something, and each forwarded alone is a datagram to each member.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        now = self._read_time()
        report = decode_quarantine_report(data, now=now)
        news = self._ledger.apply_report(report, now=now)
        if not news:
            return
        if self._fleet_state.peers.aggregated:
            if news.urgent:
                self._exchange.forward_table_update(data, domain=report.domain)
            elif self._exchange.is_aggregator(now=now):
                self._ledger.relay_clearances(news.cleared, now=now)
        self._upkeep.wake()

    def _wake(self) -> None:
        self._upkeep.wake()

    def _publish(self) -> None:
        self._upkeep.publish()

    def _rank_saver(self) -> int:
        """Return this instance's rank among those that save evidence."""
        return self._fleet_state.peers.rank_as_reader(now=self._read_time())

    def _rank_sender(self) -> int:
        """Return this instance's rank among those that repeat all quarantines.

        In a large fleet every aggregator repeats them, to its own domain and to other aggregators.
        """
        now = self._read_time()
        rank = self._fleet_state.peers.rank_as_reader(now=now)
        if rank > 0 and self._exchange.is_aggregator(now=now):
            return 1
        return rank
