"""Runner of one relay instance with the platform's settings."""

from __future__ import annotations

import os
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

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
from guavamast.stop_signals import block_late_signals

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.leases import LeaseTable
    from guavamast.relay.node_settings import NodeSettings
    from guavamast.relay.provider import Provider


@dataclass(frozen=True, slots=True, kw_only=True)
class DutyClients:
    """Clients of what the duties use."""

    leases: LeaseTable | None = None
    provider: Provider | None = None


async def run_process(settings: NodeSettings) -> None:
    """Serve until SIGTERM in a process that ends after this.

    Args:
        settings: The instance's decoded settings.
    """
    await run_node(settings, end_process=partial(os._exit, 0))
    block_late_signals()


async def run_node(
    settings: NodeSettings,
    *,
    log_descriptor: int = STANDARD_OUTPUT,
    end_process: Callable[[], None] | None = None,
) -> None:
    """Serve until SIGTERM.

    Args:
        settings: The instance's decoded settings.
        log_descriptor: File descriptor to which log lines are written.
        end_process: Ends the process at once; called if anything is left to do when the platform
            would kill it next. None if the process goes on after the instance.
    """
    clock = StoreClock()
    store = StoreClient(address=settings.store, clock=clock, read_time=read_boot_time)
    clients = _build_duty_clients(settings, store)
    node = Node(
        settings=settings,
        store=store,
        codec=PlatformHeaders(),
        clock=clock,
        leases=clients.leases,
        provider=clients.provider,
        log_descriptor=log_descriptor,
        end_process=end_process,
    )
    store.unreadable.report = node.record_unreadable_row
    await node.run(
        directory=AddressQueryHandler(node=node),
        readiness=ReadinessQueryHandler(node=node),
        metrics=MetricsQueryHandler(node=node),
    )


def _build_duty_clients(settings: NodeSettings, store: StoreClient) -> DutyClients:
    """Return the clients of what the duties use; their modules are imported where there are any."""
    if settings.duties is None:
        return DutyClients()
    from guavamast.platform.lease_client import StoreLeaseTable
    from guavamast.platform.provider_client import ProviderClient

    return DutyClients(
        leases=StoreLeaseTable(calls=store.calls),
        provider=ProviderClient(address=settings.duties.provider, name=settings.name),
    )
