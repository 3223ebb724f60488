"""Background work on services that this instance doesn't reach: probes, reports, log lines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.reachability.reports import (
    AGGREGATED_REPORT_INTERVAL_S,
    REPORT_INTERVAL_S,
    ReachabilityReport,
    decode_reachability_report,
    encode_reachability_report,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.endpoint_table import EndpointRecord
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.reachability.monitor import ReachabilityMonitor
    from guavamast.relay.reachability.reports import PeerReachability
    from guavamast.relay.store import InstanceRecord

PROBE_INTERVAL_S: Final = 0.5
"""Seconds between two probes of a service that isn't reached, on average."""
FINAL_REPORTS: Final = 3
"""Intervals in which it is reported that all services are reached again: two may be lost."""


class ReachabilityUpkeep:
    """Probes services that this instance doesn't reach, and reports them to the others.

    Args:
        record: This instance.
        incarnation: Start of this process.
        monitor: Services that this instance doesn't reach.
        peers: What the others have reported.
        fleet_state: Endpoints and other instances.
        exchange: Sends reports.
        log: Decision log.
        counters: Metrics.
        random: Spreads probes.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_counters",
        "_exchange",
        "_fleet_state",
        "_incarnation",
        "_log",
        "_monitor",
        "_peers",
        "_probes",
        "_random",
        "_read_time",
        "_record",
        "_reported_at",
        "_sequence",
        "_woken",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        incarnation: int,
        monitor: ReachabilityMonitor,
        peers: PeerReachability,
        fleet_state: FleetState,
        exchange: HeartbeatExchange,
        log: DecisionLog,
        counters: Counters,
        random: Random,
        read_time: Callable[[], float],
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._monitor = monitor
        self._peers = peers
        self._fleet_state = fleet_state
        self._exchange = exchange
        self._log = log
        self._counters = counters
        self._random = random
        self._read_time = read_time
        self._sequence = 0
        self._reported_at = float("-inf")
        self._probes = 0
        self._woken = asyncio.Event()

    def record_blocked(self, service: str) -> None:
        """Log and report that a service isn't reached any more."""
        now = self._read_time()
        silence_s = self._monitor.compute_silence(service, now=now)
        self._counters.add(f'paths_lost_total{{service="{service}"}}')
        self._count_unreached()
        self._log.write(
            "path_lost",
            now=now,
            service=service,
            service_silent_s=round(silence_s, 3) if silence_s is not None else None,
            endpoints=len(self._fleet_state.endpoints.list_ready(service)),
        )
        self._report(now=now)
        self._woken.set()

    def record_restored(self, service: str, blocked_s: float) -> None:
        """Log and report that a service is reached again."""
        now = self._read_time()
        self._count_unreached()
        self._log.write("path_restored", now=now, service=service, after_s=round(blocked_s, 3))
        self._report(now=now)

    def receive(self, data: bytes) -> None:
        """Apply another instance's report; in a large fleet, forward it if it is news.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        report = decode_reachability_report(data)
        if not self._peers.apply(report, now=self._read_time()):
            return
        if self._fleet_state.peers.aggregated:
            self._exchange.forward_table_update(data, domain=report.failure_domain)

    async def run(self, probe: Callable[[EndpointRecord], Awaitable[bool]]) -> None:
        """Probe and report while a service isn't reached, until cancelled.

        Args:
            probe: Connects to an endpoint, and records if this succeeds.
        """
        while True:
            await self._woken.wait()
            self._woken.clear()
            while self._monitor.list_blocked():
                await asyncio.sleep(self._random.uniform(0.5, 1.5) * PROBE_INTERVAL_S)
                await self._probe_blocked(probe)
                self._report_if_due()
            for _ in range(FINAL_REPORTS):
                await asyncio.sleep(REPORT_INTERVAL_S)
                self._report(now=self._read_time())

    async def _probe_blocked(self, probe: Callable[[EndpointRecord], Awaitable[bool]]) -> None:
        """Connect to another endpoint of each service that isn't reached, in rotation."""
        self._probes += 1
        for service in self._monitor.list_blocked():
            endpoints = self._fleet_state.endpoints.list_ready(service)
            if endpoints:
                await probe(endpoints[self._probes % len(endpoints)])

    def _count_unreached(self) -> None:
        self._counters.set("services_unreached", len(self._monitor.list_blocked()))

    def _report_if_due(self) -> None:
        now = self._read_time()
        aggregated = self._fleet_state.peers.aggregated
        interval_s = AGGREGATED_REPORT_INTERVAL_S if aggregated else REPORT_INTERVAL_S
        if now - self._reported_at >= interval_s:
            self._report(now=now)

    def _report(self, *, now: float) -> None:
        self._reported_at = now
        self._sequence += 1
        report = ReachabilityReport(
            instance=self._record.name,
            failure_domain=self._record.failure_domain,
            incarnation=self._incarnation,
            sequence=self._sequence,
            blocked=self._monitor.list_blocked(),
        )
        self._exchange.spread(encode_reachability_report(report))
