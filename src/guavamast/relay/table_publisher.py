"""Publishes the tables that this instance has read from the store to the other instances."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.relay.catalog_update import CatalogUpdate, encode_catalog_update
from guavamast.relay.endpoint_update import EndpointUpdate, encode_endpoint_update

if TYPE_CHECKING:
    from guavamast.relay.heartbeat_exchange import HeartbeatExchange
    from guavamast.relay.store import CatalogSnapshot, EndpointSnapshot


class TablePublisher:
    """Sends changed tables to the other instances.

    Args:
        exchange: Sends the updates.
        domain: Failure domain of this instance.
    """

    __slots__ = ("_domain", "_exchange")

    def __init__(self, *, exchange: HeartbeatExchange, domain: str) -> None:
        self._exchange = exchange
        self._domain = domain

    def publish_catalog(self, snapshot: CatalogSnapshot) -> None:
        """Send a configuration that this instance has read."""
        assert snapshot.catalog is not None
        update = CatalogUpdate(
            domain=self._domain,
            row_version=snapshot.catalog.row_version,
            store_time=snapshot.store_time,
            text=snapshot.text,
        )
        self._exchange.send_table_update(encode_catalog_update(update))

    def publish_endpoints(self, snapshot: EndpointSnapshot) -> None:
        """Send an endpoint table that this instance has read."""
        update = EndpointUpdate(domain=self._domain, snapshot=snapshot)
        self._exchange.send_table_update(encode_endpoint_update(update))
