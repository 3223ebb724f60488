"""Runs one instance on the users' platform: ``python3 -m guavamast.platform``."""

from __future__ import annotations

import asyncio
import os
import sys

from guavamast.findings import FindingsError
from guavamast.platform.questions import AddressQuestion, MetricsQuestion, ReadinessQuestion
from guavamast.platform.request_headers import PlatformHeaders
from guavamast.platform.settings import SETTINGS_VARIABLE, read_settings
from guavamast.platform.store_client import StoreClient
from guavamast.relay.freshness import StoreClock
from guavamast.relay.node import Node, read_boot_time


async def run() -> None:
    """Read the settings and serve until asked to stop."""
    settings = read_settings(os.environ.get(SETTINGS_VARIABLE, ""))
    clock = StoreClock()
    store = StoreClient(address=settings.store, clock=clock, read_time=read_boot_time)
    node = Node(settings=settings, store=store, codec=PlatformHeaders(), clock=clock)
    await node.run(
        directory=AddressQuestion(node=node),
        readiness=ReadinessQuestion(node=node),
        metrics=MetricsQuestion(node=node),
    )


def main() -> int:
    """Run; exit 2 with all findings when the settings are not usable."""
    try:
        asyncio.run(run())
    except FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
