"""What one instance needs to bind streams and to let them go on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.stream_binding.directory import BindingDirectory
from guavamast.relay.stream_binding.ledger import BindingLedger
from guavamast.relay.stream_binding.recorder import TakeUpRecorder
from guavamast.relay.stream_binding.saved_streams import SavedStreams
from guavamast.relay.stream_binding.saver import BindingSaver
from guavamast.relay.stream_binding.saver_choice import SaverChoice
from guavamast.relay.stream_binding.take_up import StreamTakeUps
from guavamast.relay.stream_binding.versions import SoftwareVersions

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.requester import Requester
    from guavamast.relay.store import InstanceRecord, Store


class StreamBindings:
    """Builds and holds what binds streams at one instance.

    Args:
        requester: This process.
        record: This instance.
        store: The platform's store.
        clock: Maps store time to local time.
        may_save: Whether this instance can save streams: it stays, and the store answers.
        fleet_state: Endpoints and other instances.
        read_endpoints: Reads the endpoint table.
        send: Sends a datagram to an address.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = ("directory", "saver", "take_ups", "versions")

    def __init__(
        self,
        *,
        requester: Requester,
        record: InstanceRecord,
        store: Store,
        clock: StoreClock,
        may_save: Callable[[], bool],
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
        peers = fleet_state.peers
        ledger = BindingLedger()
        saved = SavedStreams(
            store=store, ledger=ledger, peers=peers, clock=clock, log=log, read_time=read_time
        )
        self.saver = BindingSaver(
            name=record.name,
            store=store,
            saved=saved,
            clock=clock,
            log=log,
            counters=counters,
            read_time=read_time,
        )
        """Saves bound streams in the store."""
        self.directory = BindingDirectory(
            requester=requester,
            ledger=ledger,
            saver=self.saver,
            savers=SaverChoice(record=record, peers=peers, may_save=may_save),
            saved=saved,
            peers=peers,
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
