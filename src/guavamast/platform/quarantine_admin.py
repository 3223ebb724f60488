"""What operators do with attributes in quarantine: list them, and release one."""

from __future__ import annotations

import time
from dataclasses import replace
from typing import TYPE_CHECKING

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.platform.store_client import StoreClient
from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.freshness import StoreClock
from guavamast.relay.store import StoreError
from guavamast.text_output import format_table

if TYPE_CHECKING:
    from guavamast.relay.node_settings import SocketAddress
    from guavamast.relay.store import QuarantineRow


async def list_attributes(address: SocketAddress) -> str:
    """Return a table of the attributes in quarantine.

    Args:
        address: Address of the store.

    Raises:
        GuavamastError: The store gives no usable response.
    """
    client = _connect(address)
    rows = await _read_rows(client)
    client.close_idle()
    header = ["ATTRIBUTE", "ORGANISATION", "ENDPOINTS ENDED", "TRIALS LEFT", "LIFTED BY"]
    return format_table(
        header,
        [
            [
                row.attribute,
                row.organisation or "-",
                row.ends,
                row.trials_left,
                row.lifted_by or "-",
            ]
            for row in sorted(rows, key=lambda row: row.attribute)
        ],
    )


async def lift_attribute(address: SocketAddress, attribute: str, *, by: str) -> str:
    """Release an attribute, with a line in the audit trail; return what happens next.

    Args:
        address: Address of the store.
        attribute: Name of the attribute.
        by: Name of the operator.

    Raises:
        GuavamastError: The attribute is not in quarantine, its row has changed meanwhile, or the
            store gives no usable response.
    """
    client = _connect(address)
    rows = {row.attribute: row for row in await _read_rows(client)}
    if attribute not in rows:
        raise GuavamastError(ErrorCode.NOT_FOUND, f"{attribute} is not in quarantine")
    try:
        lifted = await client.lift_quarantine(
            replace(rows[attribute], lifted_by=by), at=time.time()
        )
    except StoreError as error:
        raise GuavamastError(ErrorCode.PLATFORM_UNAVAILABLE, error.reason) from error
    client.close_idle()
    if not lifted:
        raise GuavamastError(ErrorCode.PLAN_CONFLICT, "the row has changed; list and try again")
    return f"{attribute} is released within seconds"


async def _read_rows(client: StoreClient) -> list[QuarantineRow]:
    try:
        return await client.read_quarantine()
    except StoreError as error:
        raise GuavamastError(ErrorCode.PLATFORM_UNAVAILABLE, error.reason) from error


def _connect(address: SocketAddress) -> StoreClient:
    return StoreClient(address=address, clock=StoreClock(), read_time=read_boot_time)
