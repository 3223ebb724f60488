"""Keeps one table of the store fresh: checks when a read is due, and sleeps in between."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from guavamast.relay.read_schedule import READ_INTERVAL_S, ReadSchedule

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.counters import Counters
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.loop_delay import LoopDelay
    from guavamast.relay.staleness import StalenessBounds
    from guavamast.relay.store_reader import SharedRead, StoreReader


class TableWatch(ABC):
    """Reads one table when it is due.

    At an instance that is not the reader, most checks find nothing to do, and waking up for them
    is most of the work of an idle instance. So the watch sleeps until the table may be old enough
    for any reader, unless an update wakes it.

    Args:
        read: Reads the table.
        schedule: Decides when to read.
        fleet_state: Holds the table.
        counters: Metrics.
        loop_delay: Records how late each round starts.
        read_time: The local clock.
    """

    def __init__(
        self,
        *,
        read: SharedRead,
        schedule: ReadSchedule,
        fleet_state: FleetState,
        counters: Counters,
        loop_delay: LoopDelay,
        read_time: Callable[[], float],
    ) -> None:
        self._read = read
        self._schedule = schedule
        self._fleet_state = fleet_state
        self._counters = counters
        self._loop_delay = loop_delay
        self._read_time = read_time
        self._woken = asyncio.Event()

    @abstractmethod
    def compute_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the table was the store's newest."""

    @abstractmethod
    def has_update(self) -> bool:
        """Return whether the store is known to have a newer version."""

    def wake_for_update(self) -> None:
        """Check at once whether a read is due, if an update for this table is known."""
        if self.has_update():
            self._woken.set()

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            now = self._read_time()
            age_s = self.compute_age(now=now)
            has_update = self.has_update()
            rank = self._rank(age_s, now=now)
            if self._schedule.is_due(age_s=age_s, rank=rank, has_update=has_update, now=now):
                await self._read_now()
            age_s = self.compute_age(now=self._read_time())
            await self._pause(
                self._schedule.compute_pause(age_s=age_s, has_update=self.has_update())
            )

    def _rank(self, age_s: float, *, now: float) -> int:
        """Return the rank among the readers; 0 while the table is too fresh for any to read.

        Ranking iterates over all instances, so it is done only when it can matter.
        """
        if age_s < READ_INTERVAL_S:
            return 0
        return self._fleet_state.peers.rank_as_reader(now=now)

    async def _read_now(self) -> None:
        if await self._read.join():
            self._schedule.record_success()
        else:
            now = self._read_time()
            outage_rank = self._fleet_state.peers.rank_in_outage(now=now)
            self._schedule.record_failure(now=now, outage_rank=outage_rank)

    async def _pause(self, pause_s: float) -> None:
        """Sleep until the next round or an update, and record how late the round starts."""
        due = self._read_time() + pause_s
        timer = asyncio.get_running_loop().call_later(pause_s, self._woken.set)
        try:
            with self._loop_delay.expect(due):
                await self._woken.wait()
        finally:
            timer.cancel()
        self._woken.clear()
        now = self._read_time()
        delay_s = max(0.0, now - due)
        self._loop_delay.record(delay_s, now=now)
        self._counters.observe("loop_delay_seconds", delay_s)


class CatalogWatch(TableWatch):
    """Keeps the configuration fresh."""

    def compute_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the configuration was the store's newest."""
        return self._fleet_state.compute_catalog_age(now=now)

    def has_update(self) -> bool:
        """Return whether another instance has a newer configuration."""
        return self._fleet_state.newer_catalog_known


class EndpointWatch(TableWatch):
    """Keeps the endpoint table fresh."""

    def compute_age(self, *, now: float) -> float:
        """Return an upper bound on the seconds since the table was the store's newest."""
        return self._fleet_state.compute_endpoints_age(now=now)

    def has_update(self) -> bool:
        """Return whether another instance has a later table, or this one must be read again."""
        return self._fleet_state.newer_endpoints_known or self._fleet_state.must_relist


def build_table_watches(
    *,
    reader: StoreReader,
    bounds: StalenessBounds,
    fleet_state: FleetState,
    counters: Counters,
    loop_delay: LoopDelay,
    random: Random,
    read_time: Callable[[], float],
) -> list[TableWatch]:
    """Return the watches of all tables that an instance keeps fresh.

    Args:
        reader: Reads the tables.
        bounds: Maximum ages of the tables for sending requests.
        fleet_state: Holds the tables.
        counters: Metrics.
        loop_delay: Records how late each round starts.
        random: Source of jitter.
        read_time: The local clock.
    """
    kinds: list[tuple[type[TableWatch], SharedRead, float]] = [
        (CatalogWatch, reader.catalog, bounds.catalog_s),
        (EndpointWatch, reader.endpoints, bounds.endpoints_s),
    ]
    return [
        kind(
            read=read,
            schedule=ReadSchedule(
                random=random,
                bound_s=bound_s,
                count_instances=fleet_state.count_instances,
            ),
            fleet_state=fleet_state,
            counters=counters,
            loop_delay=loop_delay,
            read_time=read_time,
        )
        for kind, read, bound_s in kinds
    ]
