"""What an instance does with each kind of message from another one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.heartbeat_messages import AggregatedHeartbeat, Heartbeat

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.catalog_update import CatalogUpdate
    from guavamast.relay.duties import Duties
    from guavamast.relay.endpoint_access import EndpointAccess
    from guavamast.relay.endpoint_update import EndpointUpdate
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.heartbeat_messages import LoadUpdate
    from guavamast.relay.peers import Peers
    from guavamast.relay.quarantine import Containment
    from guavamast.relay.rate_limits import RateLimitSharing
    from guavamast.relay.rejection_limit_sharing import RejectionLimitSharing
    from guavamast.relay.scheduling import Scheduling
    from guavamast.relay.scheduling_wire import SchedulingMessage
    from guavamast.relay.store_reader import StoreReader
    from guavamast.relay.stream_binding import BindingDirectory
    from guavamast.relay.work_state import WorkState


class PeerMessages:
    """Passes the messages of other instances on to those that use them.

    Args:
        exchange: Receives heartbeats, and forwards changed tables.
        peers: The other instances.
        work: Receives load updates.
        reader: Applies changed tables.
        scheduling: Receives scheduling messages.
        containment: Receives quarantine reports.
        access: Receives reachability reports.
        limits: Receives rejection limits.
        rate_limits: Receives rate limits.
        bindings: Receives messages about bound streams.
        duties: Receives messages about duties; None if there are none.
        read_time: Local clock.
    """

    __slots__ = (
        "_bindings",
        "_access",
        "_containment",
        "_duties",
        "_exchange",
        "_limits",
        "_peers",
        "_rate_limits",
        "_read_time",
        "_reader",
        "_scheduling",
        "_work",
    )

    def __init__(
        self,
        *,
        exchange: HeartbeatExchange,
        peers: Peers,
        work: WorkState,
        reader: StoreReader,
        scheduling: Scheduling,
        containment: Containment,
        access: EndpointAccess,
        limits: RejectionLimitSharing,
        rate_limits: RateLimitSharing,
        bindings: BindingDirectory,
        duties: Duties | None,
        read_time: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._peers = peers
        self._work = work
        self._reader = reader
        self._scheduling = scheduling
        self._containment = containment
        self._access = access
        self._limits = limits
        self._rate_limits = rate_limits
        self._bindings = bindings
        self._duties = duties
        self._read_time = read_time

    def receive(self, message: Heartbeat | LoadUpdate | AggregatedHeartbeat) -> None:
        """Receive a heartbeat or a load update; one of a former process is ignored."""
        if isinstance(message, Heartbeat):
            self._exchange.receive(message)
        elif isinstance(message, AggregatedHeartbeat):
            self._exchange.receive_aggregate(message)
        elif self._peers.is_current_process(message.instance, message.incarnation):
            self._work.apply_load_update(message, now=self._read_time())

    def receive_scheduling(self, message: SchedulingMessage, source: tuple[str, int]) -> None:
        """Receive a scheduling message and the address of its sender."""
        self._scheduling.receive(message, source)

    def receive_catalog(self, update: CatalogUpdate, data: bytes) -> None:
        """Apply and forward a configuration that another instance has read."""
        if self._reader.apply_catalog_update(update):
            self._exchange.forward_table_update(data, domain=update.domain)

    def receive_endpoints(self, update: EndpointUpdate, data: bytes) -> None:
        """Apply and forward an endpoint table that another instance has read."""
        if self._reader.apply_endpoint_snapshot(update.snapshot, from_peer=True):
            self._exchange.forward_table_update(data, domain=update.domain)

    def receive_quarantine(self, data: bytes) -> None:
        """Receive the datagram of a quarantine report.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        self._containment.receive(data)

    def receive_reachability(self, data: bytes) -> None:
        """Receive the datagram of a reachability report.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        self._access.receive(data)

    def receive_rejection_limit(self, data: bytes) -> None:
        """Receive the datagram of a rejection limit.

        Raises:
            MalformedData: The datagram is not a valid limit.
        """
        self._limits.receive(data)

    def receive_rate_limits(self, data: bytes, source: tuple[str, int]) -> None:
        """Receive a datagram of rate limits and the address of its sender.

        Raises:
            MalformedData: The datagram is not a valid report.
        """
        self._rate_limits.receive(data, source)

    def receive_binding(self, data: bytes, source: tuple[str, int]) -> None:
        """Receive a datagram about bound streams and the address of its sender.

        Raises:
            MalformedData: The datagram is not a valid message.
        """
        self._bindings.receive(data, source)

    def receive_duty(self, data: bytes) -> None:
        """Receive the datagram of a message about duties.

        Raises:
            MalformedData: The datagram is not a valid message.
        """
        if self._duties is not None:
            self._duties.receive(data)
