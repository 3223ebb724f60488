"""Callers that keep their connections and send until their instance's process is gone."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from guavamast.platform.standins.site import HOST, KEY
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_TIMEOUT_S = 1.0
RESPONSE_TIMEOUT_S = 30.0
RECONNECT_PAUSE_S = 0.05
"""Pause before a caller opens its next connection."""


@dataclass(slots=True, kw_only=True)
class KeptRequest:
    """One request of a caller, with times in seconds on the monotonic clock."""

    request_id: str
    address: str
    """Address of the instance that it was sent to."""
    kept: bool
    """Whether its connection had carried another request before."""
    sent_at: float
    ended_at: float = 0.0
    status: int | None = None
    """Status of the response; None if there was none."""
    complete: bool = False
    """Whether the whole response was received."""

    @property
    def is_cut(self) -> bool:
        """Whether a response began and its end is missing."""
        return self.status is not None and not self.complete


class KeptCallers:
    """Callers that send one request after another over connections that they keep.

    Each goes on with the same instance until that accepts no connection any more.

    Args:
        addresses: ``ip:port`` of the instance of each caller.
        target: Path of the requests.
        timeout_ms: Milliseconds that a caller waits for a response.
        stagger_s: Seconds between the first requests of two callers.
    """

    def __init__(
        self, *, addresses: list[str], target: str, timeout_ms: int, stagger_s: float = 0.0
    ) -> None:
        self._addresses = addresses
        self._target = target
        self._timeout_ms = timeout_ms
        self._stagger_s = stagger_s
        self.requests: list[KeptRequest] = []

    async def run(self, has_ended: Callable[[str], bool]) -> None:
        """Send requests until every instance has ended.

        Args:
            has_ended: Returns whether the process at an address is gone.
        """
        async with asyncio.TaskGroup() as tasks:
            for number, address in enumerate(self._addresses):
                delay_s = number * self._stagger_s
                tasks.create_task(self._call(f"c{number}", address, has_ended, delay_s=delay_s))

    def list_sent(self, address: str, *, since: float, until: float) -> list[KeptRequest]:
        """Return the requests sent to an instance within a span of the monotonic clock."""
        return [
            one for one in self.requests if one.address == address and since <= one.sent_at < until
        ]

    async def _call(
        self, name: str, address: str, has_ended: Callable[[str], bool], *, delay_s: float
    ) -> None:
        host, _, port = address.rpartition(":")
        await asyncio.sleep(delay_s)
        count = 0
        while not has_ended(address):
            try:
                connection = await HttpConnection.open(host, int(port), timeout_s=CONNECT_TIMEOUT_S)
            except ConnectionLost:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            kept = False
            goes_on = True
            while goes_on:
                count += 1
                request = KeptRequest(
                    request_id=f"{name}-{count}",
                    address=address,
                    kept=kept,
                    sent_at=time.monotonic(),
                )
                goes_on = await self._send(connection, request)
                request.ended_at = time.monotonic()
                self.requests.append(request)
                kept = True
            connection.close()

    async def _send(self, connection: HttpConnection, request: KeptRequest) -> bool:
        """Send a request and read its response; return whether the connection is still open."""
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {KEY}"),
            ("X-Attempt-Id", request.request_id),
            ("X-Request-Deadline-Ms", str(self._timeout_ms)),
            ("Content-Length", "5"),
        ]
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await connection.send("POST", self._target, headers, b"pay 5")
                head = await connection.read_head()
                request.status = head.status
                while await connection.read_chunk() is not None:
                    pass
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            return False
        request.complete = True
        fields = {name.lower(): value.lower() for name, value in head.headers}
        return fields.get("connection") != "close" and connection.reusable
