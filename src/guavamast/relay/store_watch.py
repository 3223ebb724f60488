"""Registers an instance and keeps its knowledge fresh by reading the store in time."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.read_schedule import READ_INTERVAL_S, ReadSchedule
from guavamast.relay.store import StoreError

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.fleet_knowledge import FleetKnowledge
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.staleness import StalenessBounds
    from guavamast.relay.store import InstanceRecord, Store
    from guavamast.relay.store_reader import SharedRead, StoreReader

TICK_S: Final = 0.05
"""How often it is decided whether to read; a small part of the read interval."""
REGISTER_RETRY_S: Final = 1.0
"""Between two attempts to register: short beside the start of an instance, and one call a second
from each of some hundred instances is a tenth of what the store takes."""


class StoreWatch:
    """Reads the store when it is due.

    Args:
        store: The platform's store.
        reader: Reads its tables.
        knowledge: What is kept fresh.
        record: This instance, to be registered.
        bounds: The ages at which requests are not sent any more.
        log: Decisions.
        counters: Metrics.
        loop_delay: Told how late each round of the watch is.
        random: Spreads the reads of instances.
        read_time: The local clock.
        announce_to_all: Sends a beat to each instance directly.
    """

    __slots__ = (
        "_announce_to_all",
        "_catalog_schedule",
        "_counters",
        "_endpoint_schedule",
        "_knowledge",
        "_log",
        "_loop_delay",
        "_read_time",
        "_reader",
        "_record",
        "_store",
    )

    def __init__(
        self,
        *,
        store: Store,
        reader: StoreReader,
        knowledge: FleetKnowledge,
        record: InstanceRecord,
        bounds: StalenessBounds,
        log: DecisionLog,
        counters: Counters,
        loop_delay: LoopDelay,
        random: Random,
        read_time: Callable[[], float],
        announce_to_all: Callable[[], None],
    ) -> None:
        self._store = store
        self._reader = reader
        self._knowledge = knowledge
        self._record = record
        self._log = log
        self._counters = counters
        self._loop_delay = loop_delay
        self._read_time = read_time
        self._announce_to_all = announce_to_all
        self._catalog_schedule = ReadSchedule(random=random, bound_s=bounds.catalog_s)
        self._endpoint_schedule = ReadSchedule(random=random, bound_s=bounds.endpoints_s)

    async def run(self) -> None:
        """Read until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._register())
            tasks.create_task(self._watch_catalog())
            tasks.create_task(self._watch_endpoints())

    async def _register(self) -> None:
        """Make this instance known and learn of the others."""
        while True:
            try:
                await self._store.register_instance(self._record)
                listed = await self._store.read_instances()
            except StoreError as error:
                self._reader.note_failure("register", error)
                await asyncio.sleep(REGISTER_RETRY_S)
                continue
            now = self._read_time()
            for record in listed:
                self._knowledge.peers.add_listed(record, now=now)
            self._log.write("registered", now=now, instances=len(listed))
            self._announce_to_all()
            return

    async def _watch_catalog(self) -> None:
        while True:
            now = self._read_time()
            age_s = self._knowledge.compute_catalog_age(now=now)
            due = self._catalog_schedule.is_due(
                age_s=age_s,
                rank=self._rank(age_s, now=now),
                news=self._knowledge.newer_catalog_heard,
                now=now,
            )
            if due:
                await self._read(self._reader.catalog, self._catalog_schedule)
            await self._pause()

    def _rank(self, age_s: float, *, now: float) -> int:
        """Return the place among the readers; 0 while the proof is too young for any to read.

        Ranking goes over all instances, so it is done only when it may decide.
        """
        if age_s < READ_INTERVAL_S:
            return 0
        return self._knowledge.peers.rank_as_reader(now=now)

    async def _watch_endpoints(self) -> None:
        while True:
            now = self._read_time()
            age_s = self._knowledge.compute_endpoints_age(now=now)
            due = self._endpoint_schedule.is_due(
                age_s=age_s,
                rank=self._rank(age_s, now=now),
                news=self._knowledge.newer_endpoints_heard or self._knowledge.must_relist,
                now=now,
            )
            if due:
                await self._read(self._reader.endpoints, self._endpoint_schedule)
            await asyncio.sleep(TICK_S)

    async def _read(self, read: SharedRead, schedule: ReadSchedule) -> None:
        if await read.join():
            schedule.record_success()
        else:
            schedule.record_failure(now=self._read_time())

    async def _pause(self) -> None:
        """Wait for the next round, and note how much later than due it begins."""
        began = self._read_time()
        await asyncio.sleep(TICK_S)
        now = self._read_time()
        delay_s = max(0.0, now - began - TICK_S)
        self._loop_delay.record(delay_s, now=now)
        self._counters.observe("loop_delay_seconds", delay_s)
