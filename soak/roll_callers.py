"""Callers of a rolling fleet: they resolve, keep connections, and retry a rejected request once."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_answer, encode_event
from guavamast.platform.standins.site import HOST, KEY
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from soak.callers import fetch_addresses, open_connection
from soak.guarantees import NOT_RUN_STATUSES, RequestKind, RequestRecord
from soak.roll_workload import KINDS, Work, WorkKind, draw_work

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.messages import Header

ADDRESS_VALIDITY_S: Final = 3.0
"""Seconds for which a caller uses the address that it was told."""
RESOLVE_TIMEOUT_S: Final = 1.0
TIMEOUT_SLACK_S: Final = 2.0
"""Seconds beyond its deadline for which a caller waits for the end of a response."""
MAX_RETRY_PAUSE_S: Final = 1.0
KEEPING_SHARE: Final = 0.5
"""Share of the callers that use open connections, also those to addresses that have expired."""
MAX_TRIES: Final = 2


@dataclass(slots=True, kw_only=True)
class Received:
    """The part of a response that a caller has."""

    status: int | None = None
    headers: dict[str, str]
    body: bytearray
    complete: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class RollRequest:
    """One try of a request, with what it asked for."""

    work: Work
    record: RequestRecord
    retry_after_s: float


class RollCaller:
    """Caller that sends requests at random moments, whatever becomes of earlier ones.

    Args:
        name: Prefix of its request ids.
        share: Its share of all requests.
        directories: Addresses of the listeners that resolve caller addresses.
        on_work: Called with the id of each try and its work before it is sent.
        tries: List to which it appends its tries.
        random: Chooses moments, kinds, instances and lengths.
    """

    def __init__(
        self,
        *,
        name: str,
        share: float,
        directories: list[str],
        on_work: Callable[[str, Work], None],
        tries: list[RollRequest],
        random: Random,
    ) -> None:
        self._name = name
        self._share = share
        self._directories = directories
        self._on_work = on_work
        self._tries = tries
        self._random = random
        self._keeps = random.random() < KEEPING_SHARE
        self._address = ""
        self._address_expires_at = 0.0
        self._idle: dict[str, list[HttpConnection]] = {}
        """Open connections without a request, by address."""
        self._count = 0
        self._factors: dict[str, float] = {}

    def set_factor(self, kind: str, factor: float) -> None:
        """Change how many requests of a kind it sends, as a factor on the usual number."""
        self._factors[kind] = factor

    async def run(self, until: float) -> None:
        """Send requests until a time of the monotonic clock, and wait for their ends."""
        async with asyncio.TaskGroup() as tasks:
            for kind in KINDS:
                tasks.create_task(self._send_kind(kind, until, tasks))
        for connections in self._idle.values():
            for connection in connections:
                connection.close()

    async def _send_kind(self, kind: WorkKind, until: float, tasks: asyncio.TaskGroup) -> None:
        while True:
            rate = kind.per_s * self._share * self._factors.get(kind.name, 1.0)
            pause_s = self._random.expovariate(rate)
            await asyncio.sleep(min(pause_s, max(0.0, until - time.monotonic())))
            if time.monotonic() >= until:
                return
            tasks.create_task(self._request(draw_work(kind, self._random)))

    async def _request(self, work: Work) -> None:
        """Send a request, and once more if it has not run."""
        self._count += 1
        name = f"{self._name}-{self._count}"
        for number in range(1, MAX_TRIES + 1):
            one = await self._try(work, f"{name}.{number}")
            if one is not None:
                self._tries.append(one)
                if one.record.status not in NOT_RUN_STATUSES:
                    return
                await asyncio.sleep(min(MAX_RETRY_PAUSE_S, one.retry_after_s))
            self._address_expires_at = 0.0

    async def _try(self, work: Work, request_id: str) -> RollRequest | None:
        """Send a request; return None if there was no connection for it."""
        await self._resolve()
        address, connection, kept = await self._find_connection()
        if connection is None:
            return None
        self._on_work(request_id, work)
        received = Received(headers={}, body=bytearray())
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(work.kind.timeout_s + TIMEOUT_SLACK_S):
                await _exchange(connection, work, request_id, received)
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            connection.close()
        ended_at = time.monotonic()
        closes = received.headers.get("connection", "").lower() == "close"
        if received.complete and not closes and connection.reusable:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()
        record = RequestRecord(
            request_id=request_id,
            kind=RequestKind.STREAM if work.kind.events is not None else RequestKind.CALL,
            organisation="bakery",
            sent_at=sent_at,
            ended_at=ended_at,
            status=received.status,
            response_id=received.headers.get("x-attempt-id"),
            body=bytes(received.body),
            expected_body=_build_expected_body(work, request_id),
            complete=received.complete,
            address=address,
            anywhere=True,
            kept=kept,
        )
        retry_after_s = float(received.headers.get("retry-after") or 0.0)
        return RollRequest(work=work, record=record, retry_after_s=retry_after_s)

    async def _resolve(self) -> None:
        """Choose an instance among those listed, once the last choice has expired."""
        if self._address and time.monotonic() < self._address_expires_at:
            return
        for directory in self._random.sample(self._directories, len(self._directories)):
            try:
                async with asyncio.timeout(RESOLVE_TIMEOUT_S):
                    fields = await fetch_addresses(directory)
            except (ConnectionLost, MalformedAnswer, TimeoutError, ValueError, KeyError):
                continue
            addresses = fields["addresses"]
            assert isinstance(addresses, list)
            if addresses:
                self._address = self._random.choice(addresses)
                self._address_expires_at = time.monotonic() + ADDRESS_VALIDITY_S
                return

    async def _find_connection(self) -> tuple[str, HttpConnection | None, bool]:
        """Return an address, a connection to it, and whether that had carried a request."""
        addresses = [self._address, *self._idle] if self._keeps else [self._address]
        for address in addresses:
            connections = self._idle.get(address, [])
            while connections:
                connection = connections.pop()
                if connection.reusable:
                    return address, connection, True
        if not self._address:
            return self._address, None, False  # No instance has told any address yet.
        try:
            return self._address, await open_connection(self._address), False
        except ConnectionLost:
            self._address_expires_at = 0.0
            return self._address, None, False


async def _exchange(
    connection: HttpConnection, work: Work, request_id: str, received: Received
) -> None:
    """Send a request and receive its response."""
    kind = work.kind
    target = f"{kind.path_prefix}{request_id}"
    body = b"" if kind.name == "status" else request_id.encode()
    headers = _build_headers(work, request_id)
    if body:
        headers.append(("Content-Length", str(len(body))))
    await connection.send("POST" if body else "GET", target, headers, body)
    head = await connection.read_head()
    received.headers = {name.lower(): value for name, value in head.headers}
    received.status = head.status
    while (chunk := await connection.read_chunk()) is not None:
        received.body += chunk
    received.complete = True


def _build_headers(work: Work, request_id: str) -> list[Header]:
    headers = [
        ("Host", HOST),
        ("Authorization", f"Bearer {KEY}"),
        ("X-Attempt-Id", request_id),
        ("X-Request-Deadline-Ms", str(int(work.kind.timeout_s * 1000))),
    ]
    if work.kind.events is not None:
        output = work.output_tokens if work.states_output else work.kind.max_output_tokens
        shared = work.prompt_tokens // 2
        headers += [
            ("X-Token-Usage", f"{work.prompt_tokens},{output}"),
            (
                "X-Prompt-Prefix",
                f"{work.kind.name}{work.part}:{shared},{request_id}:{work.prompt_tokens - shared}",
            ),
        ]
    return headers


def _build_expected_body(work: Work, request_id: str) -> bytes:
    if work.kind.events is None:
        return encode_answer(request_id)
    return b"".join(encode_event(request_id, one) for one in range(1, EVENTS_PER_STREAM + 1))
