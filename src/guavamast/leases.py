"""Leases in the platform's table, each taking with a greater fencing number.

No two clocks are compared. A holder counts its lease from before it wrote the row; everybody else
counts from after they first read that version of the row, each by its own monotonic clock. So a
lease ends for its holder before it ends for anyone else, however slow the messages were.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

from guavamast.platform_client import (
    Check,
    PlatformAnswerLost,
    PlatformError,
    TransactionConflict,
    Write,
)
from guavamast.world import Fencing

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.clocks import Clock
    from guavamast.platform_client import PlatformClient, Row

LEASE_TABLE: Final = "leases"


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTerms:
    """The times of a lease; all instances of a fleet use the same."""

    duration_s: float = 30.0
    margin_s: float = 8.0
    """The holder stops this long before the end: one order's longest sending time, and more."""
    order_time_s: float = 120.0
    """Longest time from the sending of an order until it can no longer take effect."""
    clock_drift: float = 0.01
    """Share by which another instance's monotonic clock may run faster."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """What the platform has of one resource's lease."""

    row_version: int
    """0 when nobody ever took it."""
    fencing: int = 0
    holder: str = ""
    nonce: str = ""
    """Chosen anew for each taking, to tell one's own write from another's."""
    released: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease as its holder has it."""

    resource: str
    fencing: int
    nonce: str
    row_version: int
    ends_at: float
    """Monotonic time of the holder, counted from before the row was written."""

    def allows_sending(self, *, now: float, terms: LeaseTerms) -> bool:
        """Return whether an order may go out now.

        Failure: the holder was paused past the end of its lease, another took over, and the
        holder's next order arrives after the other's. Checked right before each sending, and
        with a margin in which that sending ends. A pause between this check and the sending is
        beyond it: endpoints that check the number refuse that order, and at the others the new
        holder finds its effect in the endpoint's report and repairs it.
        """
        return now < self.ends_at - terms.margin_s


class LeaseWatch:
    """Tells when a resource's lease has ended for everyone, by this process's clock alone.

    Args:
        terms: The times.
    """

    __slots__ = ("_row", "_since", "_terms")

    def __init__(self, *, terms: LeaseTerms) -> None:
        self._terms = terms
        self._row: LeaseRow | None = None
        self._since = 0.0

    def observe(self, row: LeaseRow, *, now: float) -> None:
        """Take note of a row.

        Args:
            row: What was read.
            now: Monotonic time after the answer arrived.
        """
        if self._row is None or row.row_version != self._row.row_version:
            self._row = row
            self._since = now

    def find_free_at(self, fencing: Fencing) -> float:
        """Return the monotonic time from which the lease may be taken.

        Failure: an endpoint that ignores fencing numbers gets an order of the last holder after
        one of the new holder, and runs the older model version. Until the old lease and the
        longest order time are over such an order may still come, so the new holder waits for
        both. An endpoint that checks the number refuses the late order by itself.
        """
        if self._row is None:
            return float("inf")
        if self._row.released:
            return self._since
        free_at = self._since + self._terms.duration_s * (1.0 + self._terms.clock_drift)
        if fencing is Fencing.IGNORED:
            free_at += self._terms.order_time_s * (1.0 + self._terms.clock_drift)
        return free_at


class LeaseHolder:
    """Takes and releases leases for one instance.

    Args:
        platform: The platform.
        clock: Monotonic time.
        holder: Name of this instance, for people who read the table.
        make_nonce: Makes a nonce that nobody made before.
        terms: The times.
    """

    __slots__ = ("_clock", "_held", "_holder", "_make_nonce", "_platform", "_terms", "_watches")

    def __init__(
        self,
        *,
        platform: PlatformClient,
        clock: Clock,
        holder: str,
        make_nonce: Callable[[], str],
        terms: LeaseTerms,
    ) -> None:
        self._platform = platform
        self._clock = clock
        self._holder = holder
        self._make_nonce = make_nonce
        self._terms = terms
        self._held: dict[str, HeldLease] = {}
        self._watches: dict[str, LeaseWatch] = {}

    def find_held(self, resource: str) -> HeldLease | None:
        """Return the lease on a resource if an order may go out under it now."""
        held = self._held.get(resource)
        now = self._clock.read_monotonic()
        if held is not None and held.allows_sending(now=now, terms=self._terms):
            return held
        return None

    async def take(self, resource: str, fencing: Fencing) -> HeldLease | None:
        """Take the lease on a resource, unless it is held by another or must be waited out.

        Only call this while no order of this instance to the resource can still take effect.

        Args:
            resource: What the lease is on.
            fencing: Whether the endpoint behind it refuses old numbers.

        Returns:
            The lease, or None: try again later.

        Raises:
            PlatformError: The platform is down.
        """
        held = self.find_held(resource)
        if held is not None:
            return held
        row = read_lease_row(await self._platform.read(LEASE_TABLE, resource))
        if not self._is_free(resource, row, fencing):
            return None
        return await self._write_taking(resource, row)

    async def release(self, resource: str) -> None:
        """Give the lease back, so that the next holder need not wait it out.

        Only call this when no order given under it can still take effect. A failure is harmless:
        the lease then ends by itself.
        """
        held = self._held.pop(resource, None)
        if held is None:
            return
        check = Check(table=LEASE_TABLE, key=resource, version=held.row_version)
        value = make_lease_value(self._holder, held.fencing, held.nonce, released=True)
        try:
            await self._platform.transact(
                [check], [Write(table=LEASE_TABLE, key=resource, value=value)]
            )
        except (PlatformError, PlatformAnswerLost):
            return

    def forget(self, resource: str) -> None:
        """Stop using a lease without giving it back; it ends by itself."""
        self._held.pop(resource, None)

    def _is_free(self, resource: str, row: LeaseRow, fencing: Fencing) -> bool:
        now = self._clock.read_monotonic()
        watch = self._watches.setdefault(resource, LeaseWatch(terms=self._terms))
        watch.observe(row, now=now)
        held = self._held.get(resource)
        if held is not None and held.nonce == row.nonce:
            # Nobody else took it since, and the caller has no order of its own under way.
            return True
        return now >= watch.find_free_at(fencing)

    async def _write_taking(self, resource: str, row: LeaseRow) -> HeldLease | None:
        nonce = self._make_nonce()
        value = make_lease_value(self._holder, row.fencing + 1, nonce, released=False)
        check = Check(table=LEASE_TABLE, key=resource, version=row.row_version)
        write = Write(table=LEASE_TABLE, key=resource, value=value)
        began = self._clock.read_monotonic()
        try:
            row_version = (await self._platform.transact([check], [write]))[0]
        except TransactionConflict:
            return None
        except PlatformAnswerLost:
            found = read_lease_row(await self._platform.read(LEASE_TABLE, resource))
            if found.nonce != nonce:
                return None
            row_version = found.row_version
        held = HeldLease(
            resource=resource,
            fencing=row.fencing + 1,
            nonce=nonce,
            row_version=row_version,
            ends_at=began + self._terms.duration_s,
        )
        self._held[resource] = held
        return held


def read_lease_row(row: Row) -> LeaseRow:
    """Return what a lease's row says."""
    return LeaseRow(row_version=row.version, **(row.value or {}))


def make_lease_value(holder: str, fencing: int, nonce: str, *, released: bool) -> dict[str, Any]:
    """Return the value of a lease's row."""
    return {"holder": holder, "fencing": fencing, "nonce": nonce, "released": released}
