"""Keeps the knowledge of an instance fresh by reading the store."""

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
    from guavamast.relay.store import EndpointReading, InstanceRecord, Store

TICK_S: Final = 0.05
"""How often it is decided whether to read; a small part of the read interval."""
REGISTER_RETRY_S: Final = 1.0
"""Between two attempts to register: short beside the start of an instance, and one call a second
from each of some hundred instances is a tenth of what the store takes."""


class StoreWatch:
    """Reads the store when it is due and tells the others by a beat at once.

    Args:
        store: The platform's store.
        knowledge: What is kept fresh.
        record: This instance, to be registered.
        log: Decisions.
        counters: Metrics.
        loop_delay: Told how late each round of the watch is.
        random: Spreads the reads of instances.
        read_time: The local clock.
        announce: Sends a beat with news.
        announce_to_all: Sends a beat to each instance directly.
        tell_endpoints: Tells the others a table of endpoints.
    """

    __slots__ = (
        "_announce",
        "_announce_to_all",
        "_catalog_schedule",
        "_counters",
        "_endpoint_schedule",
        "_knowledge",
        "_log",
        "_loop_delay",
        "_read_time",
        "_record",
        "_store",
        "_tell_endpoints",
        "answers",
    )

    def __init__(
        self,
        *,
        store: Store,
        knowledge: FleetKnowledge,
        record: InstanceRecord,
        log: DecisionLog,
        counters: Counters,
        loop_delay: LoopDelay,
        random: Random,
        read_time: Callable[[], float],
        announce: Callable[[], None],
        announce_to_all: Callable[[], None],
        tell_endpoints: Callable[[EndpointReading], None],
    ) -> None:
        self._store = store
        self._knowledge = knowledge
        self._record = record
        self._log = log
        self._counters = counters
        self._loop_delay = loop_delay
        self._read_time = read_time
        self._announce = announce
        self._announce_to_all = announce_to_all
        self._tell_endpoints = tell_endpoints
        self._catalog_schedule = ReadSchedule(random=random)
        self._endpoint_schedule = ReadSchedule(random=random)
        self.answers = True
        """Whether the last read succeeded."""

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
                self._note_failure("register", error)
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
                await self._read_catalog()
            await self._pause()

    def _rank(self, age_s: float, *, now: float) -> int:
        """Return the place among the readers; 0 while the proof is too young for any to read.

        Ranking goes over all instances: it took 3 ms of each second at 127 of them.
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
                await self._read_endpoints()
            await asyncio.sleep(TICK_S)

    async def _pause(self) -> None:
        """Wait for the next round, and note how much later than due it begins."""
        began = self._read_time()
        await asyncio.sleep(TICK_S)
        now = self._read_time()
        delay_s = max(0.0, now - began - TICK_S)
        self._loop_delay.record(delay_s, now=now)
        self._counters.observe("loop_delay_seconds", delay_s)

    async def _read_catalog(self) -> None:
        began = self._read_time()
        former_age_s = self._knowledge.compute_catalog_age(now=began)
        try:
            reading = await self._store.read_catalog(known=self._knowledge.catalog)
        except StoreError as error:
            self._catalog_schedule.record_failure(now=self._read_time())
            self._note_failure("read_configuration", error)
            return
        self._catalog_schedule.record_success()
        self._note_success(began=began)
        if self._knowledge.take_catalog(reading):
            catalog = self._knowledge.catalog
            self._log.write(
                "configuration_taken",
                now=self._read_time(),
                config_version=self._knowledge.catalog_version,
                row_version=catalog.row_version if catalog else None,
                former_age_s=round(min(1e6, former_age_s), 2),
            )
        self._announce()

    async def _read_endpoints(self) -> None:
        began = self._read_time()
        heard_of = self._knowledge.newer_endpoints_heard
        try:
            reading = await self._store.read_endpoints()
        except StoreError as error:
            self._endpoint_schedule.record_failure(now=self._read_time())
            self._note_failure("read_endpoints", error)
            return
        self._endpoint_schedule.record_success()
        self._note_success(began=began)
        # Whoever reads because of another's word has nothing to tell: that one has told it already.
        if self.take_endpoints(reading, told=False) and not heard_of:
            self._tell_endpoints(reading)
        self._announce()

    def take_endpoints(self, reading: EndpointReading, *, told: bool) -> bool:
        """Take a table of endpoints; returns whether it differs from the one in force.

        Args:
            reading: The table.
            told: Whether another instance has read it.
        """
        now = self._read_time()
        former_age_s = self._knowledge.compute_endpoints_age(now=now)
        if not self._knowledge.take_endpoints(reading):
            return False
        records = self._knowledge.endpoints.list_all()
        self._log.write(
            "endpoints_taken",
            now=now,
            endpoints_version=reading.digest,
            listed=len(reading.records),
            ready=sum(record.ready for record in records),
            lapsed=self._knowledge.endpoints.has_lapsed,
            told=told,
            former_age_s=round(min(1e6, former_age_s), 2),
        )
        return True

    def _note_failure(self, call: str, error: StoreError) -> None:
        self._counters.add(f'store_failures_total{{call="{call}"}}')
        if self.answers:
            now = self._read_time()
            self._log.write(
                "store_lost",
                now=now,
                call=call,
                reason=error.reason,
                config_age_s=round(min(1e6, self._knowledge.compute_catalog_age(now=now)), 2),
            )
        self.answers = False

    def _note_success(self, *, began: float) -> None:
        now = self._read_time()
        self._counters.add("store_reads_total")
        self._counters.observe("store_read_seconds", now - began)
        if not self.answers:
            self._log.write("store_regained", now=now)
        self.answers = True
