"""The endpoints that the store lists, and which of them may get requests."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRecord:
    """What one endpoint says of itself in the store."""

    endpoint_id: str
    row_version: int
    """The store's number of the row; grows with each change."""
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    """Requests that run at the same time."""
    ready: bool
    """Whether the state is known and is not that of leaving."""
    born_ms: int | None
    """Start of this incarnation, Unix milliseconds, if stated."""


def compute_digest(versions: Iterable[tuple[str, int]]) -> str:
    """Return a short name of a table's content from the keys and versions of its rows."""
    digest = blake2b(digest_size=8)
    for key, version in sorted(versions):
        digest.update(f"{key}\x00{version}\x00".encode())
    return digest.hexdigest()


class EndpointTable:
    """The endpoints as the store last listed them.

    A listing replaces the one before it. Endpoints missing from it are gone at once, unless the
    store has just come back from an outage.

    Failure: the store is away, the entries of healthy endpoints lapse, and the first listing after
    its return names none; all requests would be refused. Missing endpoints that were ready stay in
    use until the time within which they write themselves again is over.
    """

    __slots__ = ("_lapsed", "_records", "digest", "revision")

    def __init__(self) -> None:
        self._records: dict[str, EndpointRecord] = {}
        self._lapsed: set[str] = set()
        self.digest = ""
        """Name of the listing in force; empty before the first."""
        self.revision = 0
        """Counts up with each listing that is taken."""

    def apply(self, records: list[EndpointRecord], *, digest: str, returning: bool) -> None:
        """Take a listing.

        Args:
            records: All rows that could be read.
            digest: Name of the listing, unreadable rows included.
            returning: Whether missing entries may be on their way back after an outage.
        """
        listed = {record.endpoint_id: record for record in records}
        self._lapsed = set()
        if returning:
            for endpoint_id, record in self._records.items():
                if endpoint_id not in listed and record.ready:
                    listed[endpoint_id] = record
                    self._lapsed.add(endpoint_id)
        self._records = listed
        self.digest = digest
        self.revision += 1

    @property
    def has_lapsed(self) -> bool:
        """Whether endpoints are in use that the last listing does not name."""
        return bool(self._lapsed)

    def find(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the record of an endpoint."""
        return self._records.get(endpoint_id)

    def list_ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may get new requests."""
        return [
            record
            for record in self._records.values()
            if record.ready and record.service == service
        ]

    def list_all(self) -> list[EndpointRecord]:
        """Return all endpoints."""
        return list(self._records.values())
