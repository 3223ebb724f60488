"""Callers that use a connection until it ends, whatever becomes of their instance."""

from __future__ import annotations

import asyncio
import math
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.site import HOST
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.messages import Header

CONNECT_TIMEOUT_S: Final = 1.0
RESPONSE_TIMEOUT_S: Final = 30.0
RECONNECT_PAUSE_S: Final = 0.05
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
    written: bool = False
    """Whether it was written; not if its connection had ended before."""
    status: int | None = None
    """Status of the response; None if there was none."""
    response_id: str | None = None
    """Request id in the response."""
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    """Whether the whole response was received."""

    @property
    def is_cut(self) -> bool:
        """Whether a response began and its end is missing."""
        return self.status is not None and not self.complete


class KeptCaller:
    """Caller that sends its next request at once on its connection, until that ends.

    It lets go of a connection only if that fails or a response says that it closes. New addresses
    don't matter to it while its connection is open.

    Args:
        name: Prefix of its request ids.
        key: API key.
        choose_address: Returns the address that it connects to next.
        choose_target: Returns the path of a request by its id.
        timeout_ms: Milliseconds that it states as the deadline of each request.
        requests: List to which it appends its requests.
    """

    def __init__(
        self,
        *,
        name: str,
        key: str,
        choose_address: Callable[[], str],
        choose_target: Callable[[str], str],
        timeout_ms: int,
        requests: list[KeptRequest],
    ) -> None:
        self._name = name
        self._key = key
        self._choose_address = choose_address
        self._choose_target = choose_target
        self._timeout_ms = timeout_ms
        self._requests = requests
        self._count = 0

    def build_headers(self, request_id: str) -> list[Header]:
        """Return the headers of a request, but for the length of its body."""
        return [
            ("Host", HOST),
            ("Authorization", f"Bearer {self._key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(self._timeout_ms)),
        ]

    def build_body(self, request_id: str) -> bytes:
        """Return the body of a request."""
        return request_id.encode()

    async def run(self, has_ended: Callable[[], bool], *, until: float = math.inf) -> None:
        """Send requests.

        Args:
            has_ended: Returns whether no further connection is to be opened.
            until: Monotonic time from which on no further request is sent.
        """
        while not has_ended() and time.monotonic() < until:
            address = self._choose_address()
            host, _, port = address.rpartition(":")
            try:
                connection = await HttpConnection.open(host, int(port), timeout_s=CONNECT_TIMEOUT_S)
            except ConnectionLost:
                await asyncio.sleep(RECONNECT_PAUSE_S)
                continue
            await self._use(connection, address, until)
            connection.close()

    async def _use(self, connection: HttpConnection, address: str, until: float) -> None:
        """Send one request after another on a connection until that ends."""
        kept = False
        goes_on = True
        while goes_on and time.monotonic() < until:
            self._count += 1
            request = KeptRequest(
                request_id=f"{self._name}-{self._count}",
                address=address,
                kept=kept,
                sent_at=time.monotonic(),
            )
            goes_on = await self._send(connection, request)
            request.ended_at = time.monotonic()
            self._requests.append(request)
            kept = True

    async def _send(self, connection: HttpConnection, request: KeptRequest) -> bool:
        """Send a request and read its response; return whether the connection is still open."""
        body = self.build_body(request.request_id)
        headers = self.build_headers(request.request_id)
        headers.append(("Content-Length", str(len(body))))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                target = self._choose_target(request.request_id)
                await connection.send("POST", target, headers, body)
                request.written = True
                head = await connection.read_head()
                fields = {name.lower(): value for name, value in head.headers}
                request.status = head.status
                request.response_id = fields.get("x-attempt-id")
                while (chunk := await connection.read_chunk()) is not None:
                    request.body += chunk
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            return False
        request.complete = True
        return fields.get("connection", "").lower() != "close" and connection.reusable
