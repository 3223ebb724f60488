"""What the relay needs of the platform's store, in its own words."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from guavamast.relay.catalog import Catalog
    from guavamast.relay.endpoint_table import EndpointRecord


class StoreError(Exception):
    """A call to the store had no usable answer.

    Args:
        reason: What happened.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogReading:
    """The operators' configuration at one reading of the store's clock."""

    catalog: Catalog | None
    """None when none has been written yet."""
    reading: float
    """Seconds on the store's clock."""
    text: bytes = b""
    """As the store holds it, where it was read anew."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointReading:
    """The table of endpoints at one reading of the store's clock."""

    records: list[EndpointRecord]
    digest: str
    reading: float


@dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """One instance of the relay as it registers itself."""

    name: str
    ip: str
    failure_domain: str
    region: str
    callers_address: str
    """``IP:PORT`` to which callers connect."""
    peer_port: int
    """UDP port for the beats of other instances."""
    link_mbps: float = 0.0
    """Width of its link in Mbit/s; 0 if not stated."""
    processor_share: float = 0.0
    """Cores that its process may use; 0 if not stated."""


class Store(ABC):
    """The platform's store; each call raises `StoreError` when it has no usable answer."""

    @abstractmethod
    async def read_catalog(self, *, known: Catalog | None) -> CatalogReading:
        """Read the operators' configuration; returns ``known`` itself if it is still in force."""

    @abstractmethod
    def decode_catalog(self, text: bytes, *, row_version: int) -> Catalog:
        """Return the configuration of a row that another instance has read.

        Raises:
            StoreError: It is none.
        """

    @abstractmethod
    async def read_endpoints(self) -> EndpointReading:
        """Read the table of endpoints."""

    @abstractmethod
    async def read_instances(self) -> list[InstanceRecord]:
        """Read all registered instances."""

    @abstractmethod
    async def register_instance(self, record: InstanceRecord) -> None:
        """Write an instance's own record, replacing an older one."""

    @abstractmethod
    async def remove_instance(self, name: str) -> None:
        """Drop an instance's record."""
