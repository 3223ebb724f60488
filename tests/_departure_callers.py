"""Callers that connect while an instance leaves, and send their requests at different moments."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable

CONNECT_INTERVAL_S: Final = 0.06
"""Time between two connections of one kind of caller."""
RESPONSE_TIMEOUT_S: Final = 20.0
READ_BYTES: Final = 65_536


class SendPattern(StrEnum):
    """When a caller sends the parts of its request."""

    AT_ONCE = "at once"
    AFTER_PAUSE = "0.2 s after it connected"
    AFTER_SECOND = "1 s after it connected"
    HALF_HEAD = "half of the head at once, the rest 0.2 s later"
    SLOW_BODY = "all but the last byte at once, that 0.5 s later"


_FIRST_PAUSES_S: Final = {SendPattern.AFTER_PAUSE: 0.2, SendPattern.AFTER_SECOND: 1.0}
_SECOND_PAUSES_S: Final = {SendPattern.HALF_HEAD: 0.2, SendPattern.SLOW_BODY: 0.5}


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One connection of a caller, with times in seconds since the first one was opened."""

    pattern: SendPattern
    connected_at: float
    sent_at: float | None = None
    """When the last byte of the request was sent."""
    closed_at: float | None = None
    received: bytes = b""
    error: str | None = None
    """The error that ended the connection, if it didn't end in order."""

    @property
    def status(self) -> int | None:
        """Status of the response; None if there is none."""
        head = self.received.partition(b"\r\n")[0].split()
        return int(head[1]) if len(head) > 1 else None


class DepartureCallers:
    """Opens connections of all patterns until the instance accepts none.

    Args:
        address: ``ip:port`` of the instance.
        request: A whole request with a body, whose connection the instance closes after it.
    """

    def __init__(self, *, address: str, request: bytes) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._request = request
        self._started_at = time.monotonic()
        self.attempts: list[Attempt] = []

    async def run(self, has_ended: Callable[[], bool]) -> None:
        """Connect again and again, and return when all connections have ended.

        Args:
            has_ended: Returns whether the instance's process is gone.
        """
        async with asyncio.TaskGroup() as tasks:
            while not has_ended():
                for pattern in SendPattern:
                    tasks.create_task(self._try(pattern))
                await asyncio.sleep(CONNECT_INTERVAL_S)

    def list_unanswered(self) -> list[Attempt]:
        """Return the attempts without a status."""
        return [attempt for attempt in self.attempts if attempt.status is None]

    async def _try(self, pattern: SendPattern) -> None:
        try:
            reader, writer = await asyncio.open_connection(self._host, self._port)
        except ConnectionError:
            return  # Nothing was sent, and the caller knows it.
        attempt = Attempt(pattern=pattern, connected_at=self._read_time())
        self.attempts.append(attempt)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._send(writer, attempt)
                while chunk := await reader.read(READ_BYTES):
                    attempt.received += chunk
        except (ConnectionError, TimeoutError) as error:
            attempt.error = repr(error)
        attempt.closed_at = self._read_time()
        writer.close()

    async def _send(self, writer: asyncio.StreamWriter, attempt: Attempt) -> None:
        await asyncio.sleep(_FIRST_PAUSES_S.get(attempt.pattern, 0.0))
        pause_s = _SECOND_PAUSES_S.get(attempt.pattern)
        rest = self._request
        if pause_s is not None:
            half_head = attempt.pattern is SendPattern.HALF_HEAD
            count = len(rest.partition(b"\r\n\r\n")[0]) // 2 if half_head else len(rest) - 1
            writer.write(rest[:count])
            await asyncio.sleep(pause_s)
            rest = rest[count:]
        writer.write(rest)
        attempt.sent_at = self._read_time()

    def _read_time(self) -> float:
        return time.monotonic() - self._started_at
