"""Determines when the lease of another instance has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.leases.lease import LeaseParameters, LeaseRow, TableTime


class LeaseWatch:
    """Determines when a lease has ended for all instances.

    Clocks of different instances are never compared. The holder measures its lease from before it
    wrote the row. Every other instance measures it by the table's clock, in which the holder has
    stated its end; without a table clock from after it first read that version of the row, by its
    own monotonic clock. So a lease ends for its holder before it ends for any other instance,
    however slow the messages are.

    Args:
        parameters: Durations of leases.
    """

    __slots__ = ("_clock", "_first_read_at", "_observed_at", "_parameters", "_row")

    def __init__(self, *, parameters: LeaseParameters) -> None:
        self._parameters = parameters
        self._row: LeaseRow | None = None
        self._clock: TableTime | None = None
        self._first_read_at = 0.0
        self._observed_at = 0.0

    def observe(self, row: LeaseRow, *, now: float, clock: TableTime | None = None) -> None:
        """Record a row that was read.

        Args:
            row: The lease's row.
            now: Monotonic time after the response arrived.
            clock: The table's clock in that response, if it has one.
        """
        if self._row is None or row.row_version != self._row.row_version:
            self._row = row
            self._first_read_at = now
        self._clock = clock
        self._observed_at = now

    def compute_free_at(self, *, fenced: bool) -> float:
        """Return the monotonic time from which the lease may be acquired.

        If the receiver of orders ignores fencing numbers, the new holder waits until the old lease
        and the longest order time are over, as an order of the last holder may still arrive until
        then. Without this, such an order could arrive after one of the new holder. A receiver that
        checks the number rejects the late order by itself.

        Args:
            fenced: Whether the receiver of orders checks fencing numbers.
        """
        if self._row is None:
            return float("inf")
        tenure_end = self._compute_tenure_end(self._row)
        if self._row.released:
            return max(tenure_end, self._first_read_at)
        free_at = self._compute_expiry(self._row)
        if not fenced:
            free_at += self._stretch(self._parameters.order_time_s)
        return max(tenure_end, free_at)

    def _compute_expiry(self, row: LeaseRow) -> float:
        local = self._locate(row.expires_at)
        if local is not None:
            return local
        return self._first_read_at + self._stretch(self._parameters.duration_s)

    def _compute_tenure_end(self, row: LeaseRow) -> float:
        """Return the time until which the holder keeps even a lease that it has released.

        Without this, a lease could pass from one instance to another and back within a moment, and
        a receiver that orders calls by their time would see both in turns.
        """
        local = self._locate(row.acquired_at)
        if local is None:
            return float("-inf")
        return local + self._stretch(self._parameters.tenure_s)

    def _locate(self, table_time: float | None) -> float | None:
        """Return a local time by which a table time has passed."""
        if table_time is None or self._clock is None:
            return None
        ahead_s = table_time - self._clock.table_time
        # The table read its clock before its response arrived.
        return self._observed_at + (self._stretch(ahead_s) if ahead_s > 0 else ahead_s)

    def _stretch(self, seconds: float) -> float:
        return seconds * (1.0 + self._parameters.clock_drift)
