"""Callers that ask for addresses, keep connections, send requests and note what comes back."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from guavamast.platform.standins.site import (
    CALL_PREFIX,
    HOST,
    LOOKUP_PREFIX,
    RESUMABLE_PREFIX,
    STREAM_PREFIX,
)
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from soak.promises import Asked, RequestKind

if TYPE_CHECKING:
    from random import Random

    from guavamast.relay.http_connection import ResponseHead

PATHS: Final = {
    RequestKind.CALL: CALL_PREFIX,
    RequestKind.LOOKUP: LOOKUP_PREFIX,
    RequestKind.STREAM: STREAM_PREFIX + "stream/",
    RequestKind.RESUMABLE: RESUMABLE_PREFIX + "stream/",
}
PATIENCE_S: Final = 4.0
"""Time that a caller waits for an answer."""
CONNECT_S: Final = 1.0
PAUSE_S: Final = 0.05
"""Between two requests of a caller on average."""
HELD_FACTOR: Final = 3.0
"""Some callers keep an answer with addresses for so many times its validity."""


@dataclass(slots=True, kw_only=True)
class _Answer:
    """What has come of an answer so far."""

    head: ResponseHead | None = None
    body: bytearray = field(default_factory=bytearray)
    whole: bool = False

    def read_header(self, name: str) -> str | None:
        """Return a header of the answer."""
        if self.head is None:
            return None
        return next((value for key, value in self.head.headers if key.lower() == name), None)


class Caller:
    """One caller, which sends one request after the other.

    Args:
        name: Begins the ids of its requests.
        organisation: Whose key it holds.
        key: The key.
        directories: Addresses of the listeners that tell where to connect.
        random: Kinds, instances and pauses.
        asked: Where it notes its requests.
    """

    def __init__(
        self,
        *,
        name: str,
        organisation: str,
        key: str,
        directories: list[str],
        random: Random,
        asked: list[Asked],
    ) -> None:
        self._name = name
        self._organisation = organisation
        self._key = key
        self._directories = directories
        self._random = random
        self._asked = asked
        self._addresses: list[str] = []
        self._addresses_until = 0.0
        self._held = HELD_FACTOR if random.random() < 0.3 else 1.0
        self._connection: HttpConnection | None = None
        self._address = ""
        self._number = 0

    async def run(self, until: float) -> None:
        """Send requests until a time of the steady clock."""
        while time.monotonic() < until:
            self._number += 1
            if await self._connect():
                await self._ask(f"{self._name}-{self._number}")
            await asyncio.sleep(self._random.uniform(0.0, 2.0 * PAUSE_S))
        self._drop()

    async def _connect(self) -> bool:
        """Have a connection to an address that is named; False if there is none."""
        await self._resolve()
        kept = self._connection
        if kept is not None and kept.reusable and self._address in self._addresses:
            return True
        self._drop()
        if not self._addresses:
            return False
        self._address = self._random.choice(self._addresses)
        try:
            self._connection = await _open(self._address)
        except ConnectionLost:
            self._addresses.remove(self._address)
            return False
        return True

    async def _resolve(self) -> None:
        """Ask up to three instances for addresses once the last answer has run out."""
        if time.monotonic() < self._addresses_until and self._addresses:
            return
        for directory in self._random.sample(self._directories, min(3, len(self._directories))):
            try:
                async with asyncio.timeout(CONNECT_S):
                    fields = await _fetch_addresses(directory)
            except (ConnectionLost, MalformedAnswer, TimeoutError, ValueError, KeyError):
                continue
            self._addresses = list(fields["addresses"])
            self._addresses_until = time.monotonic() + self._held * float(fields["ttl_s"])
            return

    async def _ask(self, request_id: str) -> None:
        kind = self._random.choice(list(RequestKind))
        answer = _Answer()
        sent = time.monotonic()
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self._exchange(request_id, kind, answer)
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            self._drop()
        if (answer.read_header("connection") or "").lower() == "close":
            self._drop()
        self._asked.append(
            Asked(
                request_id=request_id,
                kind=kind,
                organisation=self._organisation,
                sent=sent,
                ended=time.monotonic(),
                status=answer.head.status if answer.head is not None else None,
                answer_id=answer.read_header("x-attempt-id"),
                body=bytes(answer.body),
                expected=_make_expected(kind, request_id),
                whole=answer.whole,
            )
        )

    async def _exchange(self, request_id: str, kind: RequestKind, answer: _Answer) -> None:
        assert self._connection is not None
        body = request_id.encode() if kind is not RequestKind.LOOKUP else b""
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {self._key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(int(PATIENCE_S * 1000))),
        ]
        if body:
            headers.append(("Content-Length", str(len(body))))
        method = "POST" if body else "GET"
        await self._connection.send(method, PATHS[kind] + request_id, headers, body)
        answer.head = await self._connection.read_head()
        while (chunk := await self._connection.read_chunk()) is not None:
            answer.body += chunk
        answer.whole = True

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


async def _open(address: str) -> HttpConnection:
    host, _, port = address.rpartition(":")
    return await HttpConnection.open(host, int(port), timeout_s=CONNECT_S)


async def _fetch_addresses(directory: str) -> dict[str, object]:
    """Return an instance's answer to the question where to connect."""
    connection = await _open(directory)
    try:
        target = f"/v1/resolve?name={HOST}&region=r&zone=a"
        await connection.send("GET", target, [("Host", HOST)], b"")
        await connection.read_head()
        data = bytearray()
        while (chunk := await connection.read_chunk()) is not None:
            data += chunk
        return dict(json.loads(data))
    finally:
        connection.close()


def _make_expected(kind: RequestKind, request_id: str) -> bytes:
    if kind in (RequestKind.STREAM, RequestKind.RESUMABLE):
        return b"".join(
            encode_event(request_id, number) for number in range(1, EVENTS_PER_STREAM + 1)
        )
    return b"answer " + request_id.encode()
