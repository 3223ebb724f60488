"""Free slots of one endpoint, by the keeper's grants and the endpoint's own load reports."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.kv_headroom import KvHeadroom

if TYPE_CHECKING:
    from guavamast.grants import Grant, GrantTable
    from guavamast.slots import LoadReport


class FreeSlots:
    """Counts the slots that a keeper may still grant.

    Args:
        grants: The keeper's grants.
        cautious_until: Time until which entries may still present slots that they hold. Until then
            only slots that the endpoint's load reports show as free are counted.
    """

    __slots__ = (
        "_cautious_until",
        "_freed_since_report",
        "_grants",
        "_kv_check_at",
        "_kv_headroom",
    )

    def __init__(self, *, grants: GrantTable, cautious_until: float) -> None:
        self._grants = grants
        self._cautious_until = cautious_until
        self._kv_headroom = KvHeadroom()
        self._kv_check_at: float | None = None
        self._freed_since_report = 0
        """Presented slots that were freed since the last load report was received."""

    @property
    def cautious(self) -> bool:
        """Whether only reported slots are counted."""
        return self._cautious_until > 0.0

    def is_full(self, slots: int) -> bool:
        """Return whether as many grants are held as the endpoint has slots."""
        return len(self._grants) >= slots

    def count(self, slots: int, *, now: float) -> int:
        """Return the free slots of an endpoint; negative if more are in use than it has.

        Args:
            slots: The endpoint's slots.
            now: The present time.
        """
        free = slots - len(self._grants)
        if now < self._cautious_until:
            return min(free, self._count_reported(slots, now=now))
        if free > 0 and not self._kv_headroom.has_room(grants=self._grants, slots=slots, now=now):
            return 0
        return free

    def record_load(self, report: LoadReport) -> None:
        """Record a load report of the endpoint, unless it is older than the last one."""
        if self._kv_headroom.record(report, grants=self._grants):
            self._freed_since_report = 0

    def record_grant(self, grant: Grant, *, slots: int) -> None:
        """Record a new grant."""
        self._kv_headroom.record_grant(grant, slots=slots)

    def record_release(self, grant: Grant) -> None:
        """Record the end of a grant."""
        self._freed_since_report += grant.start is None

    def update(self, slots: int, *, now: float) -> None:
        """Plan the next check after grants have changed."""
        expiry = self._kv_headroom.find_expiry(now=now)
        self._kv_check_at = None if self.is_full(slots) else expiry

    def end_caution(self, *, now: float) -> None:
        """Trust the own grants once entries have had the time to present theirs."""
        if now >= self._cautious_until:
            self._cautious_until = 0.0

    def list_checks(self) -> list[float | None]:
        """Return the times at which more slots may be free without any message."""
        return [self._cautious_until or None, self._kv_check_at]

    def _count_reported(self, slots: int, *, now: float) -> int:
        """Return the free slots by the last load report and the changes since then."""
        report = self._kv_headroom.get_report(now)
        if report is None:
            return 0
        recent = sum(1 for g in self._grants.list_grants() if g.granted_at > report.as_of)
        return slots - report.running - recent + self._freed_since_report
