"""The ways of one instance to endpoints: its own connections, and those of other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.connection_pool import ConnectionPool
from guavamast.relay.direct_connector import DirectConnector
from guavamast.relay.endpoint_connector import EndpointConnector
from guavamast.relay.forwarding import ForwardClient, ForwarderChoice, ForwardServer
from guavamast.relay.reachability import (
    PeerReachability,
    ReachabilityMonitor,
    ReachabilityUpkeep,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from guavamast.relay.caller_admission import CallerAdmission
    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.departure_schedule import DepartureSchedule
    from guavamast.relay.endpoint_statements import EndpointStatements
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.rate_limits import RateLimitSharing
    from guavamast.relay.store import InstanceRecord
    from guavamast.relay.stream_binding import SoftwareVersions


class EndpointAccess:
    """Builds and holds what an instance needs to reach endpoints.

    Args:
        record: This instance.
        incarnation: Start of this process.
        fleet_state: Endpoints and other instances.
        exchange: Sends reports to other instances.
        read_catalog: Reads the configuration from the store.
        log: Decision log.
        counters: Metrics.
        random: Source of random choices.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_client",
        "_counters",
        "_direct",
        "_fleet_state",
        "_log",
        "_pool",
        "_read_time",
        "_record",
        "_upkeep",
        "connector",
        "monitor",
        "peers",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        incarnation: int,
        fleet_state: FleetState,
        exchange: HeartbeatExchange,
        read_catalog: Callable[[], Awaitable[bool]],
        log: DecisionLog,
        counters: Counters,
        random: Random,
        read_time: Callable[[], float],
    ) -> None:
        self._record = record
        self._fleet_state = fleet_state
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._pool = ConnectionPool()
        self.monitor = ReachabilityMonitor()
        """Services that this instance reaches."""
        self.peers = PeerReachability()
        """Services that the other instances don't reach."""
        self._upkeep = ReachabilityUpkeep(
            record=record,
            incarnation=incarnation,
            monitor=self.monitor,
            peers=self.peers,
            fleet_state=fleet_state,
            exchange=exchange,
            log=log,
            counters=counters,
            random=random,
            read_time=read_time,
        )
        self._direct = DirectConnector(
            pool=self._pool,
            monitor=self.monitor,
            fleet_state=fleet_state,
            on_blocked=self._upkeep.record_blocked,
            on_restored=self._upkeep.record_restored,
            random=random,
            read_time=read_time,
        )
        self._client = ForwardClient(
            record=record,
            choice=ForwarderChoice(record=record, reachability=self.peers, random=random),
            fleet_state=fleet_state,
            links=ConnectionPool(),
            read_catalog=read_catalog,
            log=log,
            counters=counters,
            read_time=read_time,
        )
        self.connector = EndpointConnector(
            direct=self._direct, forwarding=self._client, monitor=self.monitor
        )
        """Finds connections for requests."""

    def build_server(
        self,
        *,
        admission: CallerAdmission,
        versions: SoftwareVersions,
        codec: HeaderCodec,
        loop_delay: LoopDelay,
        schedule: DepartureSchedule,
        statements: EndpointStatements,
        rate_limits: RateLimitSharing,
    ) -> ForwardServer:
        """Return the server that forwards the requests of other instances.

        Args:
            admission: Checks each request as it is sent.
            versions: Software of the endpoints.
            codec: Decodes the headers of responses.
            loop_delay: Delay of this process.
            schedule: Moments of this instance's departure.
            statements: Told what endpoints state about themselves.
            rate_limits: Rate limits that endpoints state.
        """
        return ForwardServer(
            direct=self._direct,
            monitor=self.monitor,
            admission=admission,
            versions=versions,
            fleet_state=self._fleet_state,
            codec=codec,
            loop_delay=loop_delay,
            schedule=schedule,
            statements=statements,
            rate_limits=rate_limits,
            log=self._log,
            counters=self._counters,
            read_time=self._read_time,
        )

    def receive(self, data: bytes) -> None:
        """Receive the datagram of a reachability report.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        self._upkeep.receive(data)

    async def run(self) -> None:
        """Probe services that this instance doesn't reach, until cancelled."""
        await self._upkeep.run(self._direct.probe)

    def list_unreaching(self) -> set[str]:
        """Return the names of the instances that don't reach all services."""
        now = self._read_time()
        known = [peer.record.name for peer in self._fleet_state.peers.list_live(now=now)]
        names = {name for name in known if self.peers.list_blocked(name, now=now)}
        if self.monitor.list_blocked():
            names.add(self._record.name)
        return names

    def retain(self, *, endpoint_ids: set[str], instances: set[str], now: float) -> None:
        """Drop connections and signs of life of endpoints and instances that are gone."""
        records = self._fleet_state.endpoints.list_all()
        self._pool.retain(endpoint_ids, now=now)
        self.monitor.retain(endpoint_ids, services={record.service for record in records})
        self.peers.retain(instances)
        self._client.retain(instances, now=now)
