"""HTTP client of the platform's calls that one instance at a time makes."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any, Final

from guavamast.relay.http_connection import (
    ConnectionLost,
    ConnectionRefused,
    HttpConnection,
    MalformedAnswer,
)
from guavamast.relay.loop_timeout import wait_in_steps
from guavamast.relay.provider import (
    CallAuthority,
    CallOutcome,
    EngineOrder,
    Provider,
    WindowUsage,
)

if TYPE_CHECKING:
    from guavamast.relay.node_settings import SocketAddress

CONNECT_TIMEOUT_S: Final = 0.4
"""Seconds for connecting; together with a call they stay below the margin of the lease."""
CALL_TIMEOUT_S: Final = 0.9
"""Seconds for one call. One that takes longer may still be carried out."""
MAX_BODY_BYTES: Final = 65_536
"""Bytes of a response that are read at most; only its status is used."""
_OUTCOMES: Final = {
    200: CallOutcome.DONE,
    409: CallOutcome.CONFLICT,
    429: CallOutcome.LIMITED,
}


class ProviderClient(Provider):
    """Makes each call on a connection of its own.

    The calls are rare, and a kept connection may have become unresponsive unnoticed: a call on it
    would count as unanswered although it was never carried out.

    Args:
        address: The provider's address.
        name: Name of this instance, which each call states.
    """

    __slots__ = ("_address", "_name")

    def __init__(self, *, address: SocketAddress, name: str) -> None:
        self._address = address
        self._name = name

    async def report_usage(self, usage: WindowUsage, authority: CallAuthority) -> CallOutcome:
        """Report the usage of one window."""
        fields = {"window_id": usage.window, "counts": usage.counts}
        return await self._call("/usage", fields, authority)

    async def order_engines(self, order: EngineOrder, authority: CallAuthority) -> CallOutcome:
        """Order the number of engines of one group."""
        group = order.group
        fields: dict[str, Any] = {
            "service": group.service,
            "zone": group.failure_domain,
            "desired": order.engines,
        }
        if group.reclaimable:
            fields["spot"] = True
        return await self._call("/scale", fields, authority)

    async def _call(
        self, path: str, fields: dict[str, Any], authority: CallAuthority
    ) -> CallOutcome:
        try:
            connection = await HttpConnection.open(
                self._address.ip, self._address.port, timeout_s=CONNECT_TIMEOUT_S
            )
        except (ConnectionLost, ConnectionRefused):
            return CallOutcome.NOT_SENT
        if not authority.may_send():
            connection.close()
            return CallOutcome.NOT_SENT
        try:
            exchange = self._exchange(connection, path, fields, authority.fencing)
            status = await wait_in_steps(exchange, timeout_s=CALL_TIMEOUT_S)
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            return CallOutcome.UNKNOWN
        finally:
            connection.close()
        return _OUTCOMES.get(status, CallOutcome.UNKNOWN)

    async def _exchange(
        self, connection: HttpConnection, path: str, fields: dict[str, Any], fencing: int
    ) -> int:
        """Make one call and return the status of its complete response."""
        body = json.dumps(fields).encode()
        headers = [
            ("Host", str(self._address)),
            ("X-Duty-Holder", self._name),
            ("X-Fencing-Token", str(fencing)),
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        await connection.send("POST", path, headers, body)
        head = await connection.read_head()
        received = 0
        while (chunk := await connection.read_chunk()) is not None:
            received += len(chunk)
            if received > MAX_BODY_BYTES:
                raise MalformedAnswer("the response is too long")
        return head.status
