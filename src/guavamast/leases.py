"""Leases in the platform's table; each acquisition gets a greater fencing number.

Clocks of different instances are never compared. The holder measures its lease from before it
wrote the row; every other instance measures from after it first read that version of the row, each
by its own monotonic clock. So a lease ends for its holder before it ends for any other instance,
however slow the messages are.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from guavamast.fleet_objects import Fencing
from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformError,
    TransactionConflict,
    Write,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.clocks import Clock
    from guavamast.platform_client import PlatformClient, Row

LEASE_TABLE: Final = "leases"


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


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """The platform's row for the lease on one resource."""

    row_version: int
    """0 if the lease was never acquired."""
    fencing: int = 0
    holder: str = ""
    nonce: str = ""
    """Unique for each acquisition, so that an instance recognises its own write."""
    released: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease as its holder knows it."""

    resource: str
    fencing: int
    nonce: str
    row_version: int
    expires_at: float
    """Monotonic time of the holder, counted from before the row was written."""

    def allows_sending(self, *, now: float, parameters: LeaseParameters) -> bool:
        """Return whether an order may be sent now.

        Checked right before each send, with a margin in which that send ends. Without this, a
        holder that was paused past the end of its lease could send an order that arrives after one
        of the new holder. A pause between this check and the send isn't covered: endpoints that
        check the fencing number reject that order, and at the others the new holder finds its
        effect in the endpoint's report and repairs it.
        """
        return now < self.expires_at - parameters.margin_s


class LeaseWatch:
    """Determines when a lease has ended for all instances, by this process's clock alone.

    Args:
        parameters: Durations of leases.
    """

    __slots__ = ("_row", "_first_read_at", "_parameters")

    def __init__(self, *, parameters: LeaseParameters) -> None:
        self._parameters = parameters
        self._row: LeaseRow | None = None
        self._first_read_at = 0.0

    def observe(self, row: LeaseRow, *, now: float) -> None:
        """Record a row that was read.

        Args:
            row: The lease's row.
            now: Monotonic time after the response arrived.
        """
        if self._row is None or row.row_version != self._row.row_version:
            self._row = row
            self._first_read_at = now

    def compute_free_at(self, fencing: Fencing) -> float:
        """Return the monotonic time from which the lease may be acquired.

        If the endpoint ignores fencing numbers, the new holder waits until the old lease and the
        longest order time are over, as an order of the last holder may still arrive until then.
        Without this, such an order could arrive after one of the new holder, and the endpoint
        would run the older model version. An endpoint that checks the number rejects the late
        order by itself.
        """
        if self._row is None:
            return float("inf")
        if self._row.released:
            return self._first_read_at
        free_at = self._first_read_at + self._parameters.duration_s * (
            1.0 + self._parameters.clock_drift
        )
        if fencing is Fencing.IGNORED:
            free_at += self._parameters.order_time_s * (1.0 + self._parameters.clock_drift)
        return free_at


class LeaseHolder:
    """Acquires and releases leases for one instance.

    Args:
        platform: Stores the rows of leases.
        clock: Monotonic time.
        holder: Name of this instance, written to the rows for operators.
        generate_nonce: Returns a unique nonce.
        parameters: Durations of leases.
    """

    __slots__ = (
        "_clock",
        "_held",
        "_holder",
        "_make_nonce",
        "_platform",
        "_parameters",
        "_watches",
    )

    def __init__(
        self,
        *,
        platform: PlatformClient,
        clock: Clock,
        holder: str,
        generate_nonce: Callable[[], str],
        parameters: LeaseParameters,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._holder = holder
        self._make_nonce = generate_nonce
        self._parameters = parameters
        self._held: dict[str, HeldLease] = {}
        self._watches: dict[str, LeaseWatch] = {}

    def get_valid(self, resource: str) -> HeldLease | None:
        """Return the lease on a resource if an order may be sent under it now."""
        held = self._held.get(resource)
        now = self._clock.read_monotonic()
        if held is not None and held.allows_sending(now=now, parameters=self._parameters):
            return held
        return None

    async def acquire(self, resource: str, fencing: Fencing) -> HeldLease | None:
        """Acquire the lease on a resource, unless another holds it or it isn't free yet.

        Only call this while no order of this instance to the resource can still take effect.

        Args:
            resource: Name of the leased resource.
            fencing: Whether the endpoint rejects older fencing numbers.

        Returns:
            The lease, or None when it isn't free yet; retry later.

        Raises:
            PlatformError: The platform is down.
        """
        held = self.get_valid(resource)
        if held is not None:
            return held
        row = decode_lease_row(await self._platform.read(LEASE_TABLE, resource))
        if not self._is_free(resource, row, fencing):
            return None
        return await self._write_acquisition(resource, row)

    async def release(self, resource: str) -> None:
        """Release the lease, so that the next holder need not wait until it expires.

        Only call this when no order sent under it can still take effect. A failure is harmless:
        the lease then expires by itself.
        """
        held = self._held.pop(resource, None)
        if held is None:
            return
        check = Check(table=LEASE_TABLE, key=resource, version=held.row_version)
        value = build_lease_value(self._holder, held.fencing, held.nonce, released=True)
        try:
            await self._platform.transact(
                [check], [Write(table=LEASE_TABLE, key=resource, value=value)]
            )
        except (PlatformError, PlatformAnswerLost):
            return

    def forget(self, resource: str) -> None:
        """Stop using a lease without releasing it; it expires by itself."""
        self._held.pop(resource, None)

    def _is_free(self, resource: str, row: LeaseRow, fencing: Fencing) -> bool:
        now = self._clock.read_monotonic()
        watch = self._watches.setdefault(resource, LeaseWatch(parameters=self._parameters))
        watch.observe(row, now=now)
        held = self._held.get(resource)
        if held is not None and held.nonce == row.nonce:
            # No other instance acquired it since, and the caller has no pending order of its own.
            return True
        return now >= watch.compute_free_at(fencing)

    async def _write_acquisition(self, resource: str, row: LeaseRow) -> HeldLease | None:
        nonce = self._make_nonce()
        value = build_lease_value(self._holder, row.fencing + 1, nonce, released=False)
        check = Check(table=LEASE_TABLE, key=resource, version=row.row_version)
        write = Write(table=LEASE_TABLE, key=resource, value=value)
        started_at = self._clock.read_monotonic()
        try:
            row_version = (await self._platform.transact([check], [write]))[0]
        except TransactionConflict:
            return None
        except PlatformAnswerLost:
            found = decode_lease_row(await self._platform.read(LEASE_TABLE, resource))
            if found.nonce != nonce:
                return None
            row_version = found.row_version
        held = HeldLease(
            resource=resource,
            fencing=row.fencing + 1,
            nonce=nonce,
            row_version=row_version,
            expires_at=started_at + self._parameters.duration_s,
        )
        self._held[resource] = held
        return held


def decode_lease_row(row: Row) -> LeaseRow:
    """Return the decoded row of a lease."""
    return LeaseRow(row_version=row.version, **(row.value or {}))


def build_lease_value(holder: str, fencing: int, nonce: str, *, released: bool) -> dict[str, Any]:
    """Return the value of a lease's row."""
    return {"holder": holder, "fencing": fencing, "nonce": nonce, "released": released}
