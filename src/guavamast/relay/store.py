"""The interface through which the relay uses the platform's store."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from guavamast.relay.catalog import Catalog
    from guavamast.relay.endpoint_table import EndpointRecord


class StoreError(Exception):
    """A call to the store that returned no usable response.

    Args:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogSnapshot:
    """The operators' configuration at one store time."""

    catalog: Catalog | None
    """None if no configuration has been written yet."""
    store_time: float
    """Store time in seconds."""
    text: bytes = b""
    """The stored text, if this read returned a new version."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointSnapshot:
    """The endpoint table at one store time."""

    records: list[EndpointRecord]
    digest: str
    store_time: float


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """The record with which an instance of the relay registers."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    """``IP:PORT`` to which callers connect."""
    peer_port: int
    """UDP port for heartbeats of other instances."""
    link_mbps: float = 0.0
    """Bandwidth of its network link in Mbit/s; 0 if not stated."""
    processor_share: float = 0.0
    """CPU cores that its process may use; 0 if not stated."""


@dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineRow:
    """The row of an attribute in quarantine, which all instances share."""

    attribute: str
    """What the requests that are held have in common, as `attributes.py` names it."""
    version: int
    """Version of the row; 0 for one that is not written yet."""
    organisation: str | None
    ends: int
    """Endpoints that have ended under it."""
    trials_left: int
    """Further times that it may be sent, by all instances together."""
    lifted_by: str | None = None
    """The operator who has released it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BindingRow:
    """Bound streams of one shard, as one instance has saved them."""

    shard: int
    instance: str
    """Name of the instance that has saved them; nobody else writes the row while it lives."""
    version: int
    """Version of the row; 0 for one that is not written yet."""
    streams: bytes | None
    """The encoded streams; None to remove the row."""


class Store(ABC):
    """The platform's store; each call raises `StoreError` if it gets no usable response."""

    @abstractmethod
    async def read_catalog(self, *, known: Catalog | None) -> CatalogSnapshot:
        """Read the operators' configuration; return ``known`` itself if it is still current."""

    @abstractmethod
    def decode_catalog(self, text: bytes, *, row_version: int) -> Catalog:
        """Parse the configuration in a row that another instance has read.

        Raises:
            StoreError: The text is no valid configuration.
        """

    @abstractmethod
    async def read_endpoints(self) -> EndpointSnapshot:
        """Read the endpoint table."""

    @abstractmethod
    async def read_instances(self) -> list[InstanceRecord]:
        """Read all registered instances."""

    @abstractmethod
    async def register_instance(self, record: InstanceRecord) -> None:
        """Write this instance's record, replacing an older one."""

    @abstractmethod
    async def remove_instance(self, name: str) -> None:
        """Remove an instance's record."""

    @abstractmethod
    async def read_quarantine(self) -> list[QuarantineRow]:
        """Read the rows of all attributes in quarantine."""

    @abstractmethod
    async def write_quarantine(self, row: QuarantineRow) -> bool:
        """Write a row; return False if it no longer has the version that the row states."""

    @abstractmethod
    async def read_evidence(self) -> list[bytes]:
        """Read the evidence below a decision as each instance that saves it did so last."""

    @abstractmethod
    async def write_evidence(self, report: bytes | None, *, rank: int) -> None:
        """Save evidence below a decision, replacing the last one of this rank; remove it if None.

        Args:
            report: The evidence.
            rank: Rank of this instance among those that save it; the first one removes all.
        """

    @abstractmethod
    async def remove_quarantine(self, attribute: str) -> None:
        """Remove the row of an attribute that is no longer in quarantine."""

    @abstractmethod
    async def read_bindings(self, *, shard: int | None) -> list[BindingRow]:
        """Read the saved streams of a shard, as all instances have saved them.

        Args:
            shard: The shard; None for all of them.
        """

    @abstractmethod
    async def write_bindings(self, rows: Sequence[BindingRow]) -> int:
        """Write or remove rows in one transaction if all have the version that they state.

        Returns:
            The version of the rows that were written.
        """
