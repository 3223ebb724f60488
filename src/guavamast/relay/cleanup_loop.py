"""Periodic cleanup: idle connections, state of gone endpoints and instances, stale records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from guavamast.relay.buffering import MemoryAccount, SlowReaders
    from guavamast.relay.endpoint_access import EndpointAccess
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.gauges import Gauges
    from guavamast.relay.scheduling import Scheduling
    from guavamast.relay.store_reader import StoreReader
    from guavamast.relay.stream_binding import BindingDirectory
    from guavamast.relay.work_state import WorkState

CLEANUP_INTERVAL_S: Final = 1.0
"""Seconds between two cleanup rounds."""


class CleanupLoop:
    """Bounds the state that an instance keeps.

    Args:
        fleet_state: Endpoints and other instances.
        work: State of the requests at them.
        access: Connections to endpoints.
        reader: Tells whether the store answers.
        memory: Memory that this instance holds for others.
        readers: Callers that are written to; slow ones are cut off while memory is short.
        gauges: Metrics of the engine profiles and the held memory.
        scheduling: Scheduling state of this instance.
        bindings: Bound streams that this instance remembers.
        unregister: Removes an instance's record from the store.
        read_time: The local clock.
    """

    __slots__ = (
        "_access",
        "_bindings",
        "_fleet_state",
        "_gauges",
        "_memory",
        "_read_time",
        "_reader",
        "_readers",
        "_scheduling",
        "_unregister",
        "_work",
    )

    def __init__(
        self,
        *,
        fleet_state: FleetState,
        work: WorkState,
        access: EndpointAccess,
        reader: StoreReader,
        memory: MemoryAccount,
        readers: SlowReaders,
        gauges: Gauges,
        scheduling: Scheduling,
        bindings: BindingDirectory,
        unregister: Callable[[str], Awaitable[None]],
        read_time: Callable[[], float],
    ) -> None:
        self._fleet_state = fleet_state
        self._work = work
        self._access = access
        self._reader = reader
        self._memory = memory
        self._readers = readers
        self._gauges = gauges
        self._scheduling = scheduling
        self._bindings = bindings
        self._unregister = unregister
        self._read_time = read_time

    async def run(self) -> None:
        """Clean up periodically until cancelled."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            now = self._read_time()
            self._readers.cut_off_slowest(now=now)
            await self._unregister_gone(now=now)
            self._drop_gone(now=now)
            self._record_profiles(now=now)
            self._gauges.record_memory(self._memory.read_held(), paused=self._readers.paused)
            self._gauges.record_speeds(
                self._work.speeds.list_unusual() | self._scheduling.host.list_speeds()
            )

    async def _unregister_gone(self, *, now: float) -> None:
        """Remove the records of instances that are gone for good.

        An instance that ends without unregistering leaves its record, and each new instance sends
        heartbeats to all recorded ones for a while. One instance, the first-ranked reader of the
        store, removes these records; an instance that was only unreachable registers again at its
        next start.
        """
        peers = self._fleet_state.peers
        silent = peers.forget_silent(now=now)
        if peers.rank_as_reader(now=now) > 0 or not self._reader.answers:
            return
        for name in silent:
            await self._unregister(name)

    def _drop_gone(self, *, now: float) -> None:
        known = {record.endpoint_id for record in self._fleet_state.endpoints.list_all()}
        live = {peer.record.name for peer in self._fleet_state.peers.list_live(now=now)}
        self._access.retain(endpoint_ids=known, instances=live, now=now)
        self._work.retain(endpoint_ids=known, instances=live)
        self._scheduling.clean_up(endpoint_ids=known, now=now)
        self._bindings.clean_up(now=now)

    def _record_profiles(self, *, now: float) -> None:
        catalog = self._fleet_state.catalog
        for service in catalog.services.values() if catalog is not None else ():
            if service.kv_capacity_tokens is not None:
                profile = self._work.profiles.find(service.name, now=now)
                self._gauges.record_profile(service.name, profile)
