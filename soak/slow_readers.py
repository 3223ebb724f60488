"""Callers that read large responses slowly or not at all, beside engines of unlike speed."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING, Final

import psutil

from guavamast.platform.standins.engine import encode_answer
from guavamast.platform.standins.site import HOST, LOOKUP_PREFIX
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from soak.guarantees import RequestKind, RequestRecord

if TYPE_CHECKING:
    from random import Random

    from guavamast.platform.standins.engine import EngineStandIn
    from soak.instances import Instance

PACES: Final = (1_000, 10_000, 100_000, 0)
"""Bytes that callers read in a second; 0 for those that stop reading after the head."""
READERS_PER_PACE: Final = 4
SUFFICIENT_PACE: Final = 100_000
"""Bytes in a second from which on a caller must get its whole response."""
PADDING_BYTES: Final = 300_000
"""Bytes of a response, which the fastest of these callers read in three seconds."""
PATIENCE_S: Final = 5.0
"""Seconds after which a caller leaves."""
RECEIVE_BUFFER_BYTES: Final = 4_096
"""Bytes that the system receives ahead for such a caller; the instance has to hold the rest."""
NAME_PREFIX: Final = "slow."
UNREAD_S: Final = 2.0
"""Seconds after which engines cut a response that stays unread."""
ENGINE_SPEEDS: Final = (0.7, 0.7, 1.7)
"""Speeds of the engines, in turn."""
MEMORY_MB: Final = 160
"""Memory of an instance's process, as its settings state it."""
SAMPLE_INTERVAL_S: Final = 0.2


def prepare_engine(engine: EngineStandIn, number: int) -> None:
    """Let an engine send large responses to these callers, cut unread ones, and have a speed.

    Args:
        engine: The engine.
        number: Number of engines that were built before it.
    """
    engine.padding_bytes = PADDING_BYTES
    engine.padded_target = NAME_PREFIX.encode()
    engine.unread_s = UNREAD_S
    engine.speed = ENGINE_SPEEDS[number % len(ENGINE_SPEEDS)]


class SlowReader:
    """Caller that reads its responses at a pace.

    Args:
        number: Number of the caller, which decides its pace.
        key: API key.
        organisation: Organisation of the key.
        instances: The instances.
        random: Chooses instances.
        requests: List to which it appends its requests.
    """

    def __init__(
        self,
        *,
        number: int,
        key: str,
        organisation: str,
        instances: list[Instance],
        random: Random,
        requests: list[RequestRecord],
    ) -> None:
        self._name = f"{NAME_PREFIX}{number}"
        self._pace = PACES[number % len(PACES)]
        self._key = key
        self._organisation = organisation
        self._instances = instances
        self._random = random
        self._requests = requests
        self._request_count = 0

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            self._request_count += 1
            await self._ask(f"{self._name}-{self._request_count}")
            await asyncio.sleep(self._random.uniform(0.0, 0.2))

    async def _ask(self, request_id: str) -> None:
        address = self._random.choice(self._instances).caller_address
        sent_at = time.monotonic()
        answer = _Answer()
        left = False
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self._read(address, request_id, answer)
        except (ConnectionLost, MalformedAnswer):
            pass
        except TimeoutError:
            left = True
        body = bytes(answer.body)
        self._requests.append(
            RequestRecord(
                request_id=request_id,
                kind=RequestKind.LOOKUP,
                organisation=self._organisation,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=answer.status,
                response_id=answer.headers.get("x-attempt-id"),
                body=body,
                expected_body=encode_answer(request_id) + b" " * PADDING_BYTES,
                complete=answer.complete,
                left=left or self._pace < SUFFICIENT_PACE,
                address=address,
                anywhere=True,
            )
        )

    async def _read(self, address: str, request_id: str, answer: _Answer) -> None:
        connection = await _open_connection(address)
        try:
            headers = [
                ("Host", HOST),
                ("Authorization", f"Bearer {self._key}"),
                ("X-Attempt-Id", request_id),
                ("X-Request-Deadline-Ms", str(int(PATIENCE_S * 1000))),
            ]
            await connection.send("GET", LOOKUP_PREFIX + request_id, headers, b"")
            head = await connection.read_head()
            answer.status = head.status
            answer.headers = {name.lower(): value for name, value in head.headers}
            if self._pace == 0:
                await asyncio.sleep(PATIENCE_S)
            while (chunk := await connection.read_chunk()) is not None:
                answer.body += chunk
                await asyncio.sleep(len(chunk) / self._pace)
            answer.complete = True
        finally:
            connection.close()


class MemoryWatch:
    """Samples the memory of the instances' processes.

    Args:
        instances: The instances.
    """

    def __init__(self, *, instances: list[Instance]) -> None:
        self._instances = instances
        self.peaks: dict[str, int] = {}
        """Bytes that each instance used at most, by its name."""

    async def run(self, until: float) -> None:
        """Sample until a time of the monotonic clock."""
        while time.monotonic() < until:
            for instance in self._instances:
                with suppress(psutil.Error):
                    used = psutil.Process(instance.pid).memory_info().rss
                    self.peaks[instance.name] = max(used, self.peaks.get(instance.name, 0))
            await asyncio.sleep(SAMPLE_INTERVAL_S)


class _Answer:
    """The part of an answer that was received."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.headers: dict[str, str] = {}
        self.body = bytearray()
        self.complete = False


async def _open_connection(address: str) -> HttpConnection:
    """Connect with a small receive buffer.

    Raises:
        ConnectionLost: The connection failed.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        _, connection = await loop.create_connection(HttpConnection, sock=sock)
    except OSError as error:
        sock.close()
        raise ConnectionLost(f"connect: {type(error).__name__}") from error
    except asyncio.CancelledError:
        sock.close()
        raise
    return connection
