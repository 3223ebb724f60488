"""Caller that repeats a request which ends each engine that runs it."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.lethal_requests import LETHAL_BODY_PREFIX
from guavamast.platform.standins.site import HOST, KEY, STREAM_PREFIX
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer

if TYPE_CHECKING:
    from random import Random

    from soak.instances import Instance

LETHAL_BODY: Final = LETHAL_BODY_PREFIX + b"request"
LETHAL_TARGET: Final = STREAM_PREFIX + "stream/lethal"
TIMEOUT_S: Final = 2.0
"""Time after which the caller gives up a request."""
PAUSES_S: Final = (0.05, 0.4, 1.5)
"""Pauses between two requests: impatient callers, and some that wait."""


class LethalCaller:
    """Repeats the same request at random instances.

    Args:
        instances: The instances.
        random: Chooses instances and pauses.
    """

    def __init__(self, *, instances: list[Instance], random: Random) -> None:
        self._instances = instances
        self._random = random
        self.senders: dict[str, Instance] = {}
        """Instance to which each request was sent, by request id."""

    async def run(self, until: float) -> None:
        """Repeat the request until a time of the monotonic clock."""
        while time.monotonic() < until:
            instance = self._random.choice(self._instances)
            request_id = f"lethal-{len(self.senders)}"
            self.senders[request_id] = instance
            # What it gets is of no interest: engines record what reaches them.
            with suppress(ConnectionLost, MalformedAnswer, TimeoutError):
                async with asyncio.timeout(TIMEOUT_S):
                    await self._send(instance.caller_address, request_id)
            await asyncio.sleep(self._random.choice(PAUSES_S))

    async def _send(self, address: str, request_id: str) -> None:
        host, _, port = address.rpartition(":")
        connection = await HttpConnection.open(host, int(port), timeout_s=TIMEOUT_S)
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {KEY}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(int(TIMEOUT_S * 1000))),
            ("Content-Length", str(len(LETHAL_BODY))),
        ]
        try:
            await connection.send("POST", LETHAL_TARGET, headers, LETHAL_BODY)
            await connection.read_head()
            while await connection.read_chunk() is not None:
                pass
        finally:
            connection.close()
