"""Registers an instance and keeps its tables fresh by reading the store in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.store import InstanceRecord, Store
    from guavamast.relay.store_reader import StoreReader
    from guavamast.relay.table_watch import TableWatch

REGISTER_RETRY_S: Final = 1.0
"""Seconds between two attempts to register: short compared to the start of an instance."""


class StoreWatch:
    """Registers this instance and reads the store's tables when they are due.

    Args:
        store: The platform's store.
        reader: Reads its tables.
        watches: Keep the tables fresh.
        fleet_state: Receives the list of other instances.
        record: Record of this instance to register.
        log: Decision log.
        read_time: The local clock.
        broadcast_heartbeat: Sends a heartbeat to each instance directly.
    """

    __slots__ = (
        "_broadcast_heartbeat",
        "_fleet_state",
        "_log",
        "_read_time",
        "_reader",
        "_record",
        "_store",
        "_watches",
    )

    def __init__(
        self,
        *,
        store: Store,
        reader: StoreReader,
        watches: Sequence[TableWatch],
        fleet_state: FleetState,
        record: InstanceRecord,
        log: DecisionLog,
        read_time: Callable[[], float],
        broadcast_heartbeat: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = reader
        self._watches = watches
        self._fleet_state = fleet_state
        self._record = record
        self._log = log
        self._read_time = read_time
        self._broadcast_heartbeat = broadcast_heartbeat

    async def run(self) -> None:
        """Register, and read the tables until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._register())
            for watch in self._watches:
                tasks.create_task(watch.run())

    async def _register(self) -> None:
        """Register this instance and list the others; retry until it succeeds."""
        while True:
            try:
                await self._store.register_instance(self._record)
                listed = await self._store.read_instances()
            except StoreError as error:
                self._reader.record_failure("register", error)
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            now = self._read_time()
            for record in listed:
                self._fleet_state.peers.add_listed(record, now=now)
            self._log.write("registered", now=now, instances=len(listed))
            self._broadcast_heartbeat()
            return

    def wake_for_update(self) -> None:
        """Check at once whether to read a newer table that another instance has."""
        for watch in self._watches:
            watch.wake_for_update()
