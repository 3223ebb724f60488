"""What operators do with the duties: see who holds them, and limit the orders of engines."""

from __future__ import annotations

import uuid
from dataclasses import replace
from typing import TYPE_CHECKING

from guavamast.decoding import Decoding, MalformedData, decode_json
from guavamast.errors import ErrorCode, GuavamastError
from guavamast.platform.lease_client import StoreLeaseTable
from guavamast.platform.store_calls import StoreCalls
from guavamast.platform_client import PlatformAnswerLost, PlatformError
from guavamast.relay.boot_clock import read_boot_time
from guavamast.relay.duties.holder import RESOURCE
from guavamast.relay.duties.usage_ledger import STATE_KEY, WINDOW_PREFIX
from guavamast.relay.freshness import StoreClock
from guavamast.relay.scaling.control import ScalingControl, find_control
from guavamast.relay.scaling.order_book import ORDERS_KEY
from guavamast.text_output import format_table

if TYPE_CHECKING:
    from guavamast.leases import LeaseRead, LeaseRecord
    from guavamast.relay.node_settings import SocketAddress


async def describe_duties(address: SocketAddress) -> str:
    """Return who holds the duties, what is reported, and what is ordered.

    Args:
        address: Address of the store.

    Raises:
        GuavamastError: The store gives no usable response.
    """
    calls = _connect(address)
    read, records = await _read(calls)
    calls.close_idle()
    try:
        with Decoding("records of the duties"):
            return _describe(read, records)
    except MalformedData as error:
        raise GuavamastError(ErrorCode.PLATFORM_UNAVAILABLE, str(error)) from error


def _describe(read: LeaseRead, records: list[LeaseRecord]) -> str:
    texts = {record.key: record.text or "" for record in records}
    lines = [_describe_holder(read), _describe_usage(texts), _describe_control(records)]
    orders = decode_json(texts.get(ORDERS_KEY, "[]"))
    rows = [
        [service, domain, "reclaimable" if reclaimable else "lasting", engines]
        for service, domain, reclaimable, engines in sorted(orders)
    ]
    lines.append(format_table(["SERVICE", "FAILURE DOMAIN", "KIND", "ENGINES ORDERED"], rows))
    return "\n".join(lines)


async def set_control(address: SocketAddress, control: ScalingControl) -> str:
    """Limit the orders of engines; return what happens next.

    The lease's row is written too, so that its holder has to read the records again. It stays held
    as long as before: released, another instance could act beside the holder.

    Args:
        address: Address of the store.
        control: The limits.

    Raises:
        GuavamastError: The row has changed meanwhile, or the store gives no usable response.
    """
    calls = _connect(address)
    table = StoreLeaseTable(calls=calls)
    read, _ = await _read(calls)
    row = replace(read.row, nonce=f"operator-{uuid.uuid4().hex}")
    try:
        await table.write(RESOURCE, row, [control.build_record()])
    except PlatformAnswerLost as error:
        raise GuavamastError(
            ErrorCode.PLAN_CONFLICT, "the lease has changed, or no answer came; look and try again"
        ) from error
    calls.close_idle()
    return "in force within 15 s"


async def _read(calls: StoreCalls) -> tuple[LeaseRead, list[LeaseRecord]]:
    table = StoreLeaseTable(calls=calls)
    try:
        return await table.read(RESOURCE), await table.read_records(RESOURCE)
    except PlatformError as error:
        raise GuavamastError(ErrorCode.PLATFORM_UNAVAILABLE, error.message) from error


def _describe_holder(read: LeaseRead) -> str:
    row = read.row
    if not row.row_version:
        return "holder: none yet"
    if row.released or row.expires_at is None or read.table_time is None:
        return f"holder: {row.holder}, released; fencing number {row.fencing}"
    held_s = read.table_time - (row.acquired_at or read.table_time)
    left_s = row.expires_at - read.table_time
    state = f"lease ends in {left_s:.1f} s" if left_s > 0 else f"lease ended {-left_s:.1f} s ago"
    return f"holder: {row.holder} for {held_s:.1f} s; {state}; fencing number {row.fencing}"


def _describe_usage(texts: dict[str, str]) -> str:
    if STATE_KEY not in texts:
        return "usage: no window fixed yet"
    state = decode_json(texts[STATE_KEY])
    unreported = sorted(
        int(key.removeprefix(WINDOW_PREFIX)) for key in texts if key.startswith(WINDOW_PREFIX)
    )
    waiting = ", ".join(map(str, unreported)) or "none"
    return f"usage: fixed through window {state['fixed_through']}; not confirmed: {waiting}"


def _describe_control(records: list[LeaseRecord]) -> str:
    control = find_control(records)
    state = "paused" if control.paused else "automatic"
    by = f", set by {control.by}" if control.by else ""
    return f"orders: {state}, at least {control.floor} engines a service{by}"


def _connect(address: SocketAddress) -> StoreCalls:
    return StoreCalls(address=address, clock=StoreClock(), read_time=read_boot_time)
