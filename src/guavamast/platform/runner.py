"""Runner of one relay instance with the platform's settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from guavamast.platform.lease_client import StoreLeaseTable
from guavamast.platform.provider_client import ProviderClient
from guavamast.platform.query_handlers import (
    AddressQueryHandler,
    MetricsQueryHandler,
    ReadinessQueryHandler,
)
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.store_client import StoreClient
from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.freshness import StoreClock
from guavamast.relay.node import STANDARD_OUTPUT, Node

if TYPE_CHECKING:
    from guavamast.relay.node_settings import NodeSettings


async def run_node(settings: NodeSettings, *, log_descriptor: int = STANDARD_OUTPUT) -> None:
    """Serve until SIGTERM.

    Args:
        settings: The instance's decoded settings.
        log_descriptor: File descriptor to which log lines are written.
    """
    clock = StoreClock()
    store = StoreClient(address=settings.store, clock=clock, read_time=read_boot_time)
    duties = settings.duties
    node = Node(
        settings=settings,
        store=store,
        codec=PlatformHeaders(),
        clock=clock,
        leases=StoreLeaseTable(calls=store.calls),
        provider=(
            ProviderClient(address=duties.provider, name=settings.name)
            if duties is not None
            else None
        ),
        log_descriptor=log_descriptor,
    )
    await node.run(
        directory=AddressQueryHandler(node=node),
        readiness=ReadinessQueryHandler(node=node),
        metrics=MetricsQueryHandler(node=node),
    )
