"""Callers that resolve addresses, reuse connections, send requests and record the responses."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import dataclass, field
from random import Random
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
from guavamast.relay.quarantine.guard import MIN_RETRY_AFTER_S
from soak.guarantees import RequestKind, RequestRecord
from soak.streams import find_events, normalize_versions

if TYPE_CHECKING:
    from guavamast.relay.http_connection import ResponseHead

PATH_PREFIXES: Final = {
    RequestKind.CALL: CALL_PREFIX,
    RequestKind.LOOKUP: LOOKUP_PREFIX,
    RequestKind.STREAM: STREAM_PREFIX + "stream/",
    RequestKind.RESUMABLE: RESUMABLE_PREFIX + "stream/",
}
RESPONSE_TIMEOUT_S: Final = 4.0
"""Timeout of a caller for a whole response."""
CONNECT_TIMEOUT_S: Final = 1.0
MEAN_PAUSE_S: Final = 0.05
"""Mean pause between two requests of a caller."""
LONGEST_UNUSED_S: Final = 1.5
"""Longest time from the connect to the first request of a caller that sends late."""
EXPIRED_ADDRESSES_FACTOR: Final = 3.0
"""Some callers use resolved addresses for this many times their validity."""


@dataclass(slots=True, kw_only=True)
class _Response:
    """The part of a response received so far."""

    head: ResponseHead | None = None
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    def get_header(self, name: str) -> str | None:
        """Return a header of the response, or None if it is missing."""
        if self.head is None:
            return None
        return next((value for key, value in self.head.headers if key.lower() == name), None)


class AddressBook:
    """Addresses that callers have resolved, for as long as they use them.

    Args:
        directories: Addresses of the listeners that resolve caller addresses.
        random: Chooses listeners, and how long addresses are used.
    """

    def __init__(self, *, directories: list[str], random: Random) -> None:
        self._directories = directories
        self._random = random
        self._expire_at = 0.0
        self._validity_factor = EXPIRED_ADDRESSES_FACTOR if random.random() < 0.3 else 1.0
        self.addresses: list[str] = []

    async def resolve(self) -> None:
        """Resolve addresses at up to three instances once the last ones have expired."""
        if time.monotonic() < self._expire_at and self.addresses:
            return
        for directory in self._random.sample(self._directories, min(3, len(self._directories))):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    fields = await fetch_addresses(directory)
            except (ConnectionLost, MalformedAnswer, TimeoutError, ValueError, KeyError):
                continue
            self.addresses = list(fields["addresses"])
            self._expire_at = time.monotonic() + self._validity_factor * float(fields["ttl_s"])
            return

    def drop(self, address: str) -> None:
        """Use an address no longer that a connect has failed at."""
        if address in self.addresses:
            self.addresses.remove(address)


class Caller:
    """Caller that sends one request after another.

    Args:
        name: Prefix of its request ids.
        organisation: Organisation of its key.
        key: API key.
        directories: Addresses of the listeners that resolve caller addresses.
        random: Chooses request kinds, instances and pauses.
        requests: List to which it appends its requests.
        holds_connection: Whether it sends late on a new connection, and uses a connection until
            that ends, also when its instance is no longer among the resolved addresses.
    """

    def __init__(
        self,
        *,
        name: str,
        organisation: str,
        key: str,
        directories: list[str],
        random: Random,
        requests: list[RequestRecord],
        holds_connection: bool = False,
    ) -> None:
        self._holds_connection = holds_connection
        self._late_random = Random(f"{name}late")
        self._name = name
        self._organisation = organisation
        self._key = key
        self._random = random
        self._requests = requests
        self._book = AddressBook(directories=directories, random=random)
        self._connection: HttpConnection | None = None
        self._address = ""
        self._request_count = 0

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock."""
        while time.monotonic() < until:
            self._request_count += 1
            if await self._connect():
                await self._send_request(f"{self._name}-{self._request_count}")
            await asyncio.sleep(self._random.uniform(0.0, 2.0 * MEAN_PAUSE_S))
        self._close_connection()

    async def _connect(self) -> bool:
        """Reuse or open a connection to a resolved address; return False if that fails."""
        await self._book.resolve()
        connection = self._connection
        listed = self._holds_connection or self._address in self._book.addresses
        if connection is not None and connection.reusable and listed:
            return True
        self._close_connection()
        if not self._book.addresses:
            return False
        self._address = self._random.choice(self._book.addresses)
        try:
            self._connection = await open_connection(self._address)
        except ConnectionLost:
            self._book.drop(self._address)
            return False
        if self._holds_connection:
            await asyncio.sleep(self._late_random.uniform(0.0, LONGEST_UNUSED_S))
        return self._connection.reusable

    async def _send_request(self, request_id: str) -> None:
        kind = self._random.choice(list(RequestKind))
        response = _Response()
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._exchange(request_id, kind, response)
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            self._close_connection()
        if (response.get_header("connection") or "").lower() == "close":
            self._close_connection()
        self._requests.append(
            RequestRecord(
                request_id=request_id,
                kind=kind,
                organisation=self._organisation,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=response.head.status if response.head is not None else None,
                response_id=response.get_header("x-attempt-id"),
                body=normalize_versions(bytes(response.body)),
                versions=frozenset(event.version for event in find_events(bytes(response.body))),
                expected_body=_build_expected_body(kind, request_id),
                complete=response.complete,
                quarantined=_is_quarantined(response),
                address=self._address,
            )
        )

    async def _exchange(self, request_id: str, kind: RequestKind, response: _Response) -> None:
        assert self._connection is not None
        body = request_id.encode() if kind is not RequestKind.LOOKUP else b""
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {self._key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(int(RESPONSE_TIMEOUT_S * 1000))),
        ]
        if body:
            headers.append(("Content-Length", str(len(body))))
        method = "POST" if body else "GET"
        await self._connection.send(method, PATH_PREFIXES[kind] + request_id, headers, body)
        response.head = await self._connection.read_head()
        while (chunk := await self._connection.read_chunk()) is not None:
            response.body += chunk
        response.complete = True

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _is_quarantined(response: _Response) -> bool:
    """Return whether a request was refused for its content: others are to return sooner."""
    retry_after_s = float(response.get_header("retry-after") or 0.0)
    return retry_after_s >= MIN_RETRY_AFTER_S


async def open_connection(address: str) -> HttpConnection:
    """Connect to an address."""
    host, _, port = address.rpartition(":")
    return await HttpConnection.open(host, int(port), timeout_s=CONNECT_TIMEOUT_S)


async def fetch_addresses(directory: str) -> dict[str, object]:
    """Return the addresses that an instance resolves for the host, with their validity."""
    connection = await open_connection(directory)
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


def _build_expected_body(kind: RequestKind, request_id: str) -> bytes:
    if kind in (RequestKind.STREAM, RequestKind.RESUMABLE):
        return b"".join(
            encode_event(request_id, number) for number in range(1, EVENTS_PER_STREAM + 1)
        )
    return b"answer " + request_id.encode()
