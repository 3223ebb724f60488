"""The endpoints that the store lists, and which of them may receive requests."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointRecord:
    """The record that an endpoint keeps of itself in the store."""

    endpoint_id: str
    row_version: int
    """Version of the row in the store; increases with each change."""
    service: str
    host: str
    port: int
    failure_domain: str
    slots: int
    """Requests that may run concurrently."""
    ready: bool
    """Whether the state is known and is not leaving."""
    started_ms: int | None
    """Start time of this incarnation in Unix milliseconds, if stated."""
    software_version: str | None
    """Version of its software, which has no order; None if it is missing or unusable."""
    reclaimable: bool = False
    """Whether its provider may take it away at short notice."""
    leaves_s: float | None = None
    """Time from the write of its row until it ends, if it is leaving and states the time."""


def compute_digest(versions: Iterable[tuple[str, int]]) -> str:
    """Return a digest of a table's content, computed from the keys and versions of its rows."""
    digest = blake2b(digest_size=8)
    for key, version in sorted(versions):
        digest.update(f"{key}\x00{version}\x00".encode(errors="surrogatepass"))
    return digest.hexdigest()


class EndpointTable:
    """The endpoints of the latest snapshot of the store's table.

    Each snapshot replaces the previous one. Endpoints missing from it are dropped at once, unless
    the store has just recovered from an outage.

    During a store outage the entries of healthy endpoints expire, and the first snapshot after it
    lists none, so all requests would be rejected. Missing endpoints that were ready therefore stay
    in use until the time in which they register again is over.
    """

    __slots__ = ("_unlisted", "_records", "digest", "revision")

    def __init__(self) -> None:
        self._records: dict[str, EndpointRecord] = {}
        self._unlisted: set[str] = set()
        self.digest = ""
        """Digest of the current snapshot; empty before the first."""
        self.revision = 0
        """Number of snapshots applied so far."""

    def apply(self, records: list[EndpointRecord], *, digest: str, recovering: bool) -> None:
        """Apply a snapshot.

        Args:
            records: All rows that could be parsed.
            digest: Digest of the snapshot, including rows that could not be parsed.
            recovering: Whether missing endpoints may still register again after an outage.
        """
        listed = {record.endpoint_id: record for record in records}
        self._unlisted = set()
        if recovering:
            for endpoint_id, record in self._records.items():
                if endpoint_id not in listed and record.ready:
                    listed[endpoint_id] = record
                    self._unlisted.add(endpoint_id)
        self._records = listed
        self.digest = digest
        self.revision += 1

    @property
    def has_lapsed(self) -> bool:
        """Whether endpoints are in use that the latest snapshot does not list."""
        return bool(self._unlisted)

    def find(self, endpoint_id: str) -> EndpointRecord | None:
        """Return the record of an endpoint."""
        return self._records.get(endpoint_id)

    def list_ready(self, service: str) -> list[EndpointRecord]:
        """Return the endpoints of a service that may receive new requests."""
        return [
            record
            for record in self._records.values()
            if record.ready and record.service == service
        ]

    def list_all(self) -> list[EndpointRecord]:
        """Return all endpoints."""
        return list(self._records.values())
