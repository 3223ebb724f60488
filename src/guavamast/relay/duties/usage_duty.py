"""Decides which windows' usage is complete enough to be fixed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.relay.duties.collection import FRESH_S
from guavamast.relay.duties.true_time import WindowClock
from guavamast.relay.provider import WindowUsage

if TYPE_CHECKING:
    from collections.abc import Iterable

    from guavamast.leases import LeaseRecord
    from guavamast.relay.duties.collection import ReportCollection
    from guavamast.relay.duties.usage_ledger import UsageLedger

SETTLE_S: Final = 0.9
"""Seconds after the end of a window before which its counts are not fixed, as reports
are under way."""
MAX_WAIT_SHARE: Final = 0.5
"""Share of the time until usage is due for which instances that lag behind are waited for."""
RECENT_S: Final = 30.0
"""Seconds of silence after which an instance is not waited for."""
SAVE_INTERVAL_S: Final = 1.0
"""Seconds between two writes of the counts of windows that are not fixed; what began since the last
one is lost with all instances."""
MAX_BACKLOG_WINDOWS: Final = 12
"""Intervals of usage that are fixed in one step at most."""


class UsageDuty:
    """Fixes windows in the ledger of the present holder.

    Args:
        ledger: The fixed windows.
        collection: The reports of all instances.
        window_s: Length of a window.
        due_s: Time from the end of a window until its usage is due.
    """

    __slots__ = ("_collection", "_due_s", "_save_from", "_saved_at", "_window_s", "ledger")

    def __init__(
        self,
        *,
        ledger: UsageLedger,
        collection: ReportCollection,
        window_s: float,
        due_s: float,
    ) -> None:
        self.ledger = ledger
        self._collection = collection
        self._window_s = window_s
        self._due_s = due_s
        self._saved_at = float("-inf")
        self._save_from = float("-inf")
        """Local time from which processes that have not reported here have ended."""

    def restore(self, records: Iterable[LeaseRecord], *, now: float) -> None:
        """Take over what the earlier holder has written.

        Raises:
            MalformedData: A record can't be decoded.
        """
        self.ledger.load(records, now=now)
        self._collection.restore(self.ledger.saved)
        self._save_from = now + FRESH_S

    def count_reporting(self, *, now: float) -> int:
        """Return the number of instances that have reported recently."""
        return self._collection.count_fresh(now=now)

    def is_save_due(self, *, now: float) -> bool:
        """Return whether the counts of windows that are not fixed are to be written now."""
        return self._may_save(now=now) and now - self._saved_at >= SAVE_INTERVAL_S

    def save(self, *, now: float) -> None:
        """Have these counts written with the next renewal of the lease."""
        if self._may_save(now=now):
            self._saved_at = now
            self.ledger.save(self._collection.save(fixed_through=self.ledger.fixed_through))

    def _may_save(self, *, now: float) -> bool:
        """Return whether it is known which of the processes that were saved have ended."""
        return self.ledger.offset_s is not None and now >= self._save_from

    def fix_windows(self, *, store_time: float, instances: int, now: float) -> list[WindowUsage]:
        """Fix the windows that are complete; they are sent once they are written.

        Args:
            store_time: The present time on the store's clock.
            instances: Number of known instances.
            now: The present local time.

        Returns:
            The windows that have been fixed.
        """
        clock = self._prepare_clock(store_time=store_time, instances=instances, now=now)
        if clock is None:
            return []
        fixed: list[WindowUsage] = []
        while len(fixed) < MAX_BACKLOG_WINDOWS:
            window = self.ledger.fixed_through + 1
            if not self._is_complete(clock, window, store_time=store_time, now=now):
                break
            usage = WindowUsage(window=window, counts=self._collection.count_window(window))
            self.ledger.fix(usage, now=now)
            fixed.append(usage)
        return fixed

    def _prepare_clock(
        self, *, store_time: float, instances: int, now: float
    ) -> WindowClock | None:
        """Return the clock of windows; the first holder of all agrees on it with the others."""
        offset_s = self.ledger.offset_s
        if offset_s is not None:
            return WindowClock(offset_s=offset_s, window_s=self._window_s)
        agreed_s = self._collection.agree_on_offset(instances=instances, now=now)
        if agreed_s is None:
            return None
        clock = WindowClock(offset_s=round(agreed_s, 3), window_s=self._window_s)
        self.ledger.begin(offset_s=clock.offset_s, first_window=clock.find_window(store_time))
        return clock

    def _is_complete(
        self, clock: WindowClock, window: int, *, store_time: float, now: float
    ) -> bool:
        end = clock.find_end(window)
        if store_time < end + SETTLE_S:
            return False
        if store_time >= end + MAX_WAIT_SHARE * self._due_s:
            return True
        behind = self._collection.list_behind(end, offset_s=clock.offset_s, since=now - RECENT_S)
        return not behind
