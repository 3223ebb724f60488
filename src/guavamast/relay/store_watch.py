"""Registers an instance and keeps its knowledge fresh by reading the store in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.store import InstanceRecord, Store
    from guavamast.relay.store_reader import StoreReader
    from guavamast.relay.table_watch import TableWatch

REGISTER_RETRY_S: Final = 1.0
"""Seconds between two attempts to register: short beside the start of an instance."""


class StoreWatch:
    """Registers this instance and reads the store's tables when they are due.

    Args:
        store: The platform's store.
        reader: Reads its tables.
        watches: Keep the tables fresh.
        knowledge: Told of the other instances.
        record: This instance, to be registered.
        log: Decisions.
        read_time: The local clock.
        announce_to_all: Sends a beat to each instance directly.
    """

    __slots__ = (
        "_announce_to_all",
        "_knowledge",
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
        knowledge: FleetKnowledge,
        record: InstanceRecord,
        log: DecisionLog,
        read_time: Callable[[], float],
        announce_to_all: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = reader
        self._watches = watches
        self._knowledge = knowledge
        self._record = record
        self._log = log
        self._read_time = read_time
        self._announce_to_all = announce_to_all

    async def run(self) -> None:
        """Register, and read until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._register())
            for watch in self._watches:
                tasks.create_task(watch.run())

    async def _register(self) -> None:
        """Make this instance known and learn of the others."""
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
                self._knowledge.peers.add_listed(record, now=now)
            self._log.write("registered", now=now, instances=len(listed))
            self._announce_to_all()
            return

    def wake_for_update(self) -> None:
        """Have it decided at once whether to read what another instance told of."""
        for watch in self._watches:
            watch.wake_for_update()
