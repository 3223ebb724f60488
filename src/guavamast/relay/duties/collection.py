"""The reports of all instances, as one that may hold the duties knows them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.relay.duties.saved_usage import SavedUsage
from guavamast.relay.duties.true_time import agree_on_offset
from guavamast.relay.scaling import ServiceDemand

if TYPE_CHECKING:
    from guavamast.relay.duties.reports import DutyReport
    from guavamast.relay.duties.usage_counter import WindowCounts

FRESH_S: Final = 2.0
"""Seconds after which the last report of an instance no longer shows that it is alive: several
reports were lost."""
KEEP_S: Final = 180.0
"""Seconds for which the counts of a process that reports no more are kept."""


@dataclass(slots=True, kw_only=True)
class _Process:
    """The newest report of one process."""

    report: DutyReport
    received_at: float


class ReportCollection:
    """Keeps the newest report of each process, also of those that have ended."""

    __slots__ = ("_demand", "_processes", "_saved")

    def __init__(self) -> None:
        self._processes: dict[str, dict[int, _Process]] = {}
        self._saved = SavedUsage()
        self._demand: dict[str, ServiceDemand] = {}

    @property
    def demand(self) -> dict[str, ServiceDemand]:
        """Demand for each service that was reported since this instance started, in total."""
        return self._demand

    def apply(self, report: DutyReport, *, now: float) -> None:
        """Apply a report unless a newer one of its process is known."""
        processes = self._processes.setdefault(report.instance, {})
        known = processes.get(report.incarnation)
        if known is not None and report.sequence <= known.report.sequence:
            return
        # What an instance did before its first report here isn't recent demand.
        before = known.report.demand if known is not None else report.demand
        for service, demand in report.demand.items():
            total = self._demand.get(service, ServiceDemand())
            increase = demand - before.get(service, ServiceDemand())
            self._demand[service] = total + increase
        processes[report.incarnation] = _Process(report=report, received_at=now)

    def count_fresh(self, *, now: float) -> int:
        """Return the number of instances that have reported recently."""
        return sum(
            any(now - one.received_at <= FRESH_S for one in processes.values())
            for processes in self._processes.values()
        )

    def agree_on_offset(self, *, instances: int, now: float) -> float | None:
        """Return the offset of Unix time from the store's clock by all recent wall clocks.

        Args:
            instances: Number of known instances.
            now: The present time.
        """
        offsets = [
            one.report.wall_offset_s
            for processes in self._processes.values()
            for one in processes.values()
            if now - one.received_at <= FRESH_S
        ]
        return agree_on_offset(offsets, instances=instances)

    def restore(self, saved: SavedUsage) -> None:
        """Take over the counts that an earlier holder has written down."""
        self._saved = saved

    def save(self, *, fixed_through: int) -> SavedUsage:
        """Return the counts of the windows that are not fixed yet.

        Args:
            fixed_through: The last window whose counts are fixed.
        """
        kept = self._saved.drop_through(fixed_through)
        reported = {
            window
            for processes in self._processes.values()
            for process in processes.values()
            for window in process.report.windows
        }
        windows = {*kept.ended, *kept.reporting, *reported}
        return SavedUsage(
            ended=kept.ended if self._knows_saved() else _add_windows(kept),
            reporting={
                window: counts
                for window in sorted(windows)
                if window > fixed_through and (counts := self._count_reporting(window))
            },
            processes=self._list_newest(),
        )

    def count_window(self, window: int) -> dict[str, int]:
        """Return the requests of each organisation in a window."""
        reported = self._count_reported(window)
        return self._saved.count(window, reported=reported, any_alive=self._knows_saved())

    def _count_reporting(self, window: int) -> dict[str, int]:
        """Return the counts of a window without those of processes that have certainly ended."""
        reported = self._count_reported(window)
        if not self._knows_saved():
            return reported
        saved = SavedUsage(reporting=self._saved.reporting)
        return saved.count(window, reported=reported, any_alive=True)

    def _count_reported(self, window: int) -> dict[str, int]:
        total: dict[str, int] = {}
        for processes in self._processes.values():
            for process in processes.values():
                for organisation, count in process.report.windows.get(window, {}).items():
                    total[organisation] = total.get(organisation, 0) + count
        return total

    def _knows_saved(self) -> bool:
        """Return whether one of the processes whose counts were restored has reported here.

        The restored counts include those of older processes of the same instances.
        """
        return any(
            one <= newest
            for name, newest in self._saved.processes.items()
            for one in self._processes.get(name, ())
        )

    def _list_newest(self) -> dict[str, int]:
        """Return the newest process of each instance that is included in what is reporting."""
        newest = dict(self._saved.processes) if self._knows_saved() else {}
        for name, processes in self._processes.items():
            newest[name] = max(newest.get(name, 0), *processes)
        return newest

    def list_behind(self, end: float, *, offset_s: float, since: float) -> list[str]:
        """Return the instances whose newest process has not reported all runs up to a store time.

        Args:
            end: Store time.
            offset_s: Offset of Unix time; a report that used another one is not complete.
            since: Local time; processes not heard since then have ended.
        """
        behind = []
        for name, processes in self._processes.items():
            newest = processes[max(processes)]
            if newest.received_at < since:
                continue
            report = newest.report
            if report.as_of < end or report.clock_offset_s != offset_s:
                behind.append(name)
        return behind

    def forget_old(self, *, now: float) -> None:
        """Forget processes that have not reported for long."""
        for name, processes in list(self._processes.items()):
            for incarnation, process in list(processes.items()):
                if now - process.received_at > KEEP_S:
                    del processes[incarnation]
            if not processes:
                del self._processes[name]


def _add_windows(saved: SavedUsage) -> WindowCounts:
    """Return all saved counts, as none of the processes is alive."""
    return {
        window: saved.count(window, reported={}, any_alive=False)
        for window in sorted({*saved.ended, *saved.reporting})
    }
