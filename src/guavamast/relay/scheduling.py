"""Both sides of scheduling at an instance: the client of schedulers and the scheduler host."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.endpoint_groups import EndpointGroups, find_service
from guavamast.relay.endpoint_load import EndpointLoads
from guavamast.relay.rate_limits import RateLimitLedger
from guavamast.relay.requester import Requester
from guavamast.relay.scheduler_directory import SchedulerDirectory
from guavamast.relay.scheduler_host import SchedulerHost
from guavamast.relay.scheduling_client import SchedulingClient
from guavamast.relay.scheduling_messages import (
    PlacementQuery,
    PlacementReply,
    WorkReport,
    WorkUpdate,
)
from guavamast.relay.scheduling_wire import encode_scheduling
from guavamast.relay.sharing import EQUAL_SHARES, SharingPolicy

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.placement import EngineProfiles, MemoryReserve
    from guavamast.relay.rate_limits import RateLimit
    from guavamast.relay.rejection_limits import RejectionLimits
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store import InstanceRecord


class Scheduling:
    """Scheduling client and scheduler host of one instance.

    Args:
        record: This instance.
        incarnation: Start time of this process, which identifies it.
        fleet_state: Configuration, endpoints and other instances.
        profiles: Speed of the engines.
        limits: Services whose endpoints bear few rejections.
        counters: Metrics.
        send: Sends a datagram to an address.
        random: Breaks ties between endpoints and spreads retry delays.
        read_time: Local clock.
        memory: Bounds what engines hold; None where they bear it if their memory runs out.
        loads: Work at endpoints as published by all instances.
        sharing: How organisations share the endpoints.
        rate_limits: Rate limits that endpoints state; None if there are none.
        is_leaving: Returns whether this instance is leaving.
    """

    __slots__ = (
        "_fleet_state",
        "_limits",
        "_memory",
        "_rate_limits",
        "_read_time",
        "_send",
        "client",
        "directory",
        "groups",
        "host",
        "tell_limits",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        incarnation: int,
        fleet_state: FleetState,
        profiles: EngineProfiles,
        limits: RejectionLimits,
        counters: Counters,
        send: Callable[[bytes, tuple[str, int]], None],
        random: Random,
        read_time: Callable[[], float],
        memory: MemoryReserve | None = None,
        loads: EndpointLoads | None = None,
        sharing: SharingPolicy = EQUAL_SHARES,
        rate_limits: RateLimitLedger | None = None,
        is_leaving: Callable[[], bool] = lambda: False,
    ) -> None:
        self._rate_limits = rate_limits or RateLimitLedger()
        self.tell_limits: Callable[[str, tuple[str, int]], None] | None = None
        """Tells an address the rate limits of a service; None if they aren't shared."""
        self.directory = SchedulerDirectory(
            record=record, peers=fleet_state.peers, is_leaving=is_leaving
        )
        """Selects schedulers."""
        self._memory = memory
        published = loads or EndpointLoads()
        self._fleet_state = fleet_state
        self._limits = limits
        self._send = send
        self._read_time = read_time
        self.groups = EndpointGroups(table=fleet_state.endpoints)
        """Groups of endpoints that are scheduled together."""
        self.host = SchedulerHost(
            fleet_state=fleet_state,
            groups=self.groups,
            profiles=profiles,
            limits=limits,
            counters=counters,
            random=random,
            memory=memory,
            read_published=lambda: published.list_published(record.name),
            sharing=sharing,
            rate_limits=self._rate_limits,
            is_first=lambda group: self.directory.is_first(group, now=read_time()),
        )
        """Schedules groups for all instances."""
        self.client = SchedulingClient(
            requester=Requester(instance=record.name, incarnation=incarnation),
            record=record,
            directory=self.directory,
            host=self.host,
            send=self._send_to_instance,
            is_scheduled=self.is_scheduled,
            on_new_scheduler=self._tell_scheduler,
            counters=counters,
            read_time=read_time,
        )
        """Queries the schedulers of groups."""

    def is_scheduled(self, service: str) -> bool:
        """Return whether the requests to a service are placed by schedulers.

        Up to some dozens of instances each knows the loads soon enough to place by itself. Where
        endpoints bear few rejections that is too late: several would take the same free slot. The
        same holds for memory where an engine ends that holds more than its KV cache, and for an
        endpoint that takes a stated number of requests a second from all instances together.
        """
        if self._memory is not None and self._fleet_state.find_kv_capacity_tokens(service):
            return True
        if self._fleet_state.peers.aggregated:
            return True
        now = self._read_time()
        return self._limits.applies(service, now=now) or self._rate_limits.applies(service, now=now)

    def is_granter(self, limit: RateLimit) -> bool:
        """Return whether this instance grants the permits under a rate limit."""
        record = self._fleet_state.endpoints.find(limit.endpoint_id)
        if record is None:
            return False
        return self.directory.is_first(self.groups.find_group(record), now=self._read_time())

    def receive(self, message: SchedulingMessage, source: tuple[str, int]) -> None:
        """Receive a message from another instance.

        Args:
            message: The message.
            source: Address of the sender, to which a reply goes.
        """
        now = self._read_time()
        if isinstance(message, PlacementQuery):
            if not message.knows_limits and self._rate_limits.applies(message.service, now=now):
                self._tell(message.service, source)
            self._send(encode_scheduling(self.host.decide(message, now=now)), source)
        elif isinstance(message, PlacementReply):
            self.client.receive_reply(message)
        elif isinstance(message, WorkUpdate):
            self.host.apply_update(message, now=now)
        elif isinstance(message, WorkReport):
            self.host.apply_report(message, now=now)

    def clean_up(self, *, endpoint_ids: set[str], now: float) -> None:
        """Drop work that is no longer confirmed.

        Args:
            endpoint_ids: Ids of all present endpoints.
            now: Current time.
        """
        self.host.clean_up(endpoint_ids=endpoint_ids, now=now)

    def tell_scheduler(self, group: str) -> None:
        """Tell the scheduler of a group the rate limits that it doesn't know."""
        scheduler = self.directory.select(group, now=self._read_time())
        self._tell_scheduler(group, scheduler)

    def _tell_scheduler(self, group: str, scheduler: InstanceRecord) -> None:
        """Tell a scheduler that is new for a group the rate limits that it may not know."""
        self._tell(find_service(group), (scheduler.ip, scheduler.peer_port))

    def _tell(self, service: str, address: tuple[str, int]) -> None:
        if self.tell_limits is not None:
            self.tell_limits(service, address)

    def _send_to_instance(self, message: SchedulingMessage, target: InstanceRecord) -> None:
        self._send(encode_scheduling(message), (target.ip, target.peer_port))
