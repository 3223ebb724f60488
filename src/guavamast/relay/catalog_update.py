"""Catalog update: the operators' configuration as one instance has read it, in a datagram."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from guavamast.decoding import Decoding
from guavamast.relay.compressed_json import pack, unpack
from guavamast.relay.endpoint_update import MAX_DATAGRAM_BYTES

CATALOG_PREFIX: Final = b"c"
"""First byte of a catalog update."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CatalogUpdate:
    """A configuration as stored, and the failure domain of its reader."""

    domain: str
    """Failure domain of the instance that read it."""
    row_version: int
    """Version of the row in the store."""
    store_time: float
    """Store time of the read, in seconds."""
    text: bytes


def encode_catalog_update(update: CatalogUpdate) -> bytes | None:
    """Return the datagram of a catalog update, or None if it is too long for one."""
    fields = [update.domain, update.row_version, update.store_time, update.text.decode("latin-1")]
    data = CATALOG_PREFIX + pack(fields)
    return data if len(data) <= MAX_DATAGRAM_BYTES else None


def decode_catalog_update(data: bytes) -> CatalogUpdate:
    """Return the catalog update of a datagram.

    Raises:
        MalformedData: The datagram is not a valid catalog update.
    """
    with Decoding("configuration"):
        domain, row_version, store_time, text = unpack(data[len(CATALOG_PREFIX) :])
        return CatalogUpdate(
            domain=str(domain),
            row_version=int(row_version),
            store_time=float(store_time),
            text=text.encode("latin-1"),
        )
