"""The interface of the table that stores leases."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.leases.lease import LeaseRecord, LeaseRow


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRead:
    """A lease's row as it was read."""

    row: LeaseRow
    table_time: float | None = None
    """Reading of the table's monotonic clock in seconds; None if it has none."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseWrite:
    """Result of a conditional write."""

    row_version: int
    table_time: float | None = None
    """Reading of the table's monotonic clock in seconds; None if it has none."""


class LeaseTable(ABC):
    """Stores leases, and the records that only their holders write.

    The methods raise `PlatformError` if nothing was read or written.
    """

    @abstractmethod
    async def read(self, resource: str) -> LeaseRead:
        """Return the lease of a resource, with version 0 if it was never acquired."""

    @abstractmethod
    async def read_records(self, resource: str) -> list[LeaseRecord]:
        """Return all records of a resource."""

    @abstractmethod
    async def write(
        self, resource: str, row: LeaseRow, records: Sequence[LeaseRecord] = ()
    ) -> LeaseWrite:
        """Write a lease and records of its resource in one transaction.

        Args:
            resource: Name of the leased resource.
            row: The new row, with the version that the present one must have.
            records: Records to write or to remove.

        Raises:
            TransactionConflict: The present row has another version; nothing was written.
            PlatformAnswerLost: The transaction may have taken effect, or may do so later.
        """
