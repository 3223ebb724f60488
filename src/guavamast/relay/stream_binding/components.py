"""What one instance needs to bind streams and to let them go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.stream_binding.directory import BindingDirectory
from guavamast.relay.stream_binding.recorder import TakeUpRecorder
from guavamast.relay.stream_binding.take_up import StreamTakeUps
from guavamast.relay.stream_binding.versions import SoftwareVersions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.requester import Requester


class StreamBindings:
    """Builds and holds what binds streams at one instance.

    Args:
        requester: This process.
        fleet_state: Endpoints and other instances.
        read_endpoints: Reads the endpoint table.
        send: Sends a datagram to an address.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = ("directory", "take_ups", "versions")

    def __init__(
        self,
        *,
        requester: Requester,
        fleet_state: FleetState,
        read_endpoints: Callable[[], Awaitable[bool]],
        send: Callable[[bytes, tuple[str, int]], None],
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self.versions = SoftwareVersions(
            fleet_state=fleet_state, read_endpoints=read_endpoints, read_time=read_time
        )
        """Software of the endpoints."""
        self.directory = BindingDirectory(
            requester=requester,
            peers=fleet_state.peers,
            send=send,
            counters=counters,
            read_time=read_time,
        )
        """Bound streams that this instance remembers."""
        self.take_ups = StreamTakeUps(
            directory=self.directory,
            versions=self.versions,
            recorder=TakeUpRecorder(log=log, counters=counters),
            read_time=read_time,
        )
        """Decides on streams that callers take up."""
