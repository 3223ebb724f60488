"""Leases as they stand in a table, and as their holders know them."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseParameters:
    """Durations of a lease; all instances of a fleet use the same values."""

    duration_s: float = 30.0
    margin_s: float = 8.0
    """The holder stops sending this long before the end: longer than one send can take."""
    order_time_s: float = 120.0
    """Longest time from the send of an order until it can no longer take effect."""
    clock_drift: float = 0.01
    """Fraction by which another instance's monotonic clock may run faster."""
    tenure_s: float = 0.0
    """Time from an acquisition in which no other instance acquires the lease, even if released."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """A lease in the table."""

    row_version: int
    """0 if the lease was never acquired."""
    fencing: int = 0
    holder: str = ""
    nonce: str = ""
    """Unique for each write, so that an instance recognises its own."""
    released: bool = True
    expires_at: float | None = None
    """Table time at which the lease has ended for its holder; None without a table clock."""
    acquired_at: float | None = None
    """Table time by which its holder took it over from another; None without a table clock."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRecord:
    """A record that only the holder of a lease writes, in one transaction with the lease."""

    key: str
    text: str | None
    """None to remove the record."""


@dataclass(frozen=True, slots=True, kw_only=True)
class TableTime:
    """A reading of the table's monotonic clock."""

    table_time: float
    """Seconds on the table's clock."""
    sent_at: float
    """Local time at which the call was sent that returned it."""

    def compute_latest(self, at: float) -> float:
        """Return the latest table time that a local time can correspond to.

        Args:
            at: Local time.
        """
        return self.table_time + (at - self.sent_at)


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease as its holder knows it."""

    resource: str
    row: LeaseRow
    expires_at: float
    """Monotonic time of the holder, counted from before the row was written."""
    clock: TableTime | None = None
    """The last reading of the table's clock; None without a table clock."""

    @property
    def fencing(self) -> int:
        """The fencing number of what is sent under the lease."""
        return self.row.fencing

    def allows_sending(self, *, now: float, parameters: LeaseParameters) -> bool:
        """Return whether an order may be sent now.

        Checked right before each send, with a margin in which that send ends. Without this, a
        holder that was paused past the end of its lease could send an order that arrives after one
        of the new holder. A pause between this check and the send isn't covered: receivers that
        check the fencing number reject that order, and at the others the new holder finds its
        effect in what is reported and repairs it.
        """
        return now < self.expires_at - parameters.margin_s


@dataclass(frozen=True, slots=True, kw_only=True)
class LeasedRecords:
    """The records of a resource, with the lease under which they were read."""

    lease: HeldLease
    records: tuple[LeaseRecord, ...]
