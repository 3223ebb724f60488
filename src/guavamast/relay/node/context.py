"""What all parts of one instance share: its identity, its sinks and what it knows."""

from __future__ import annotations

import os
import time
from random import Random
from typing import TYPE_CHECKING

from guavamast.relay.counters import Counters
from guavamast.relay.decision_log import DecisionLog
from guavamast.relay.departure_schedule import DepartureSchedule
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.loop_delay import LoopDelay
from guavamast.relay.peers import Peers
from guavamast.relay.staleness import StalenessBounds
from guavamast.relay.work_state import WorkState

if TYPE_CHECKING:
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.messages import HeaderCodec
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.store import Store


class NodeContext:
    """Identity, sinks and state of one instance.

    Args:
        settings: Location, addresses and time bounds.
        store: The platform's store.
        codec: Header names.
        clock: Updated from the store's responses.
        log_descriptor: File descriptor of the log.
    """

    __slots__ = (
        "bounds",
        "clock",
        "codec",
        "counters",
        "fleet_state",
        "incarnation",
        "log",
        "loop_delay",
        "peers",
        "random",
        "record",
        "schedule",
        "settings",
        "store",
        "work",
    )

    def __init__(
        self,
        *,
        settings: NodeSettings,
        store: Store,
        codec: HeaderCodec,
        clock: StoreClock,
        log_descriptor: int,
    ) -> None:
        self.settings = settings
        self.store = store
        self.codec = codec
        self.clock = clock
        self.counters = Counters()
        self.log = DecisionLog(
            instance=settings.name, descriptor=log_descriptor, counters=self.counters
        )
        self.peers = Peers(own_name=settings.name)
        self.fleet_state = FleetState(
            failure_domain=settings.failure_domain, peers=self.peers, clock=clock
        )
        self.record = settings.build_record()
        """The record of this instance in the store."""
        self.random = Random(f"{settings.name}{os.getpid()}{time.time_ns()}")
        """Source of all jitter and random choices."""
        self.incarnation = time.time_ns() // 1_000_000
        """Milliseconds of the wall clock at the start; tells the starts of an instance apart."""
        self.schedule = DepartureSchedule(grace_s=settings.grace_s)
        self.work = WorkState(settings.sharing)
        self.loop_delay = LoopDelay()
        self.bounds = StalenessBounds(
            change_s=settings.change_s,
            leaving_s=settings.leaving_s,
            revocation_s=settings.revocation_s,
        )

    def begin_departure(self, received_at: float) -> None:
        """Begin to leave; no request is sent as if this instance stayed from here on.

        Args:
            received_at: Local time at which the stop signal was received.
        """
        delay_s = self.loop_delay.read_present(now=received_at)
        self.schedule.begin(now=received_at, delay_s=delay_s)
