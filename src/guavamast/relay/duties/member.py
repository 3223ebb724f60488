"""What every instance does for the duties: it reports its counts to those that may hold them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.duties.candidacy import rank_candidates
from guavamast.relay.duties.report_wire import encode_duty_message
from guavamast.relay.duties.reports import DutyReport
from guavamast.relay.duties.true_time import WindowClock
from guavamast.relay.heartbeat_messages import InstanceState

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.duties.collection import ReportCollection
    from guavamast.relay.duties.reports import DutyNotice
    from guavamast.relay.duties.usage_counter import UsageCounter, WindowCounts
    from guavamast.relay.fleet_state import FleetState
    from guavamast.relay.scaling import DemandCounter
    from guavamast.relay.store import InstanceRecord

REPORT_INTERVAL_S: Final = 0.5
"""Seconds between two reports: an instance that is killed loses the runs of one at most."""
RANKING_INTERVAL_S: Final = 2.0
"""Seconds for which the candidates are kept: ranking them iterates over all instances."""


class DutyMember:
    """Reports the counts of one instance.

    Args:
        record: This instance.
        incarnation: Start of this process.
        fleet_state: The other instances.
        usage: Counts the runs that begin here.
        demand: Counts the demand that reaches this instance.
        collection: Receives this instance's own reports.
        window_s: Length of a usage window.
        locate: Returns the store time of a local time; None before the store has answered.
        send: Sends a datagram to an address.
        read_time: The local clock.
        read_wall: The wall clock in Unix seconds.
    """

    __slots__ = (
        "_candidates",
        "_collection",
        "_demand",
        "_fleet_state",
        "_holder",
        "_incarnation",
        "_locate",
        "_offset_s",
        "_ranked_at",
        "_read_time",
        "_read_wall",
        "_record",
        "_send",
        "_sequence",
        "_usage",
        "_window_s",
    )

    def __init__(
        self,
        *,
        record: InstanceRecord,
        incarnation: int,
        fleet_state: FleetState,
        usage: UsageCounter,
        demand: DemandCounter,
        collection: ReportCollection,
        window_s: float,
        locate: Callable[[float], float | None],
        send: Callable[[bytes, tuple[str, int]], None],
        read_time: Callable[[], float],
        read_wall: Callable[[], float],
    ) -> None:
        self._record = record
        self._incarnation = incarnation
        self._fleet_state = fleet_state
        self._usage = usage
        self._demand = demand
        self._collection = collection
        self._window_s = window_s
        self._locate = locate
        self._send = send
        self._read_time = read_time
        self._read_wall = read_wall
        self._sequence = 0
        self._offset_s: float | None = None
        self._holder: str | None = None
        self._candidates: list[InstanceRecord] = []
        self._ranked_at = float("-inf")

    async def run(self) -> None:
        """Report until cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self.report(now=self._read_time())

    def receive_notice(self, notice: DutyNotice) -> None:
        """Apply what the holder says of the windows."""
        self._holder = notice.holder
        if notice.clock_offset_s is not None:
            self._offset_s = notice.clock_offset_s
        self._usage.forget_through(notice.fixed_through)

    def list_candidates(self, *, now: float) -> list[InstanceRecord]:
        """Return the instances that may hold the duties, in order."""
        if now - self._ranked_at >= RANKING_INTERVAL_S:
            self._candidates = self._rank_candidates(now=now)
            self._ranked_at = now
        return self._candidates

    def _rank_candidates(self, *, now: float) -> list[InstanceRecord]:
        live = [
            peer.record
            for peer in self._fleet_state.peers.list_live(now=now)
            if peer.state is not InstanceState.LEAVING
        ]
        return rank_candidates([self._record, *live])

    def report(self, *, now: float) -> None:
        """Send the counts of this instance to the candidates and to the present holder."""
        report = self._build_report(now=now)
        if report is None:
            return
        self._collection.apply(report, now=now)
        data = encode_duty_message(report)
        targets = {one.name: one for one in self.list_candidates(now=now)}
        holder = self._find_record(self._holder)
        if holder is not None:
            targets[holder.name] = holder
        for target in targets.values():
            if target.name != self._record.name:
                self._send(data, (target.ip, target.peer_port))

    def _build_report(self, *, now: float) -> DutyReport | None:
        store_time = self._locate(now)
        if store_time is None:
            return None
        self._sequence += 1
        return DutyReport(
            instance=self._record.name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            as_of=store_time,
            wall_offset_s=self._read_wall() - store_time,
            clock_offset_s=self._offset_s,
            windows=self._count_windows(),
            demand=self._demand.read(),
        )

    def _count_windows(self) -> WindowCounts:
        if self._offset_s is None:
            return {}
        clock = WindowClock(offset_s=self._offset_s, window_s=self._window_s)
        counts = self._usage.count(clock)
        return {window: dict(organisations) for window, organisations in counts.items()}

    def _find_record(self, name: str | None) -> InstanceRecord | None:
        if name is None:
            return None
        peers = self._fleet_state.peers.list_targets()
        return next((one for one in peers if one.name == name), None)
