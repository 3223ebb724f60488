"""Callers of streams that leave in the middle, and take broken streams up at any instance."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from guavamast.platform.standins.site import HOST
from guavamast.relay.http_connection import ConnectionLost, HttpConnection, MalformedAnswer
from soak.callers import CONNECT_TIMEOUT_S, PATH_PREFIXES, RESPONSE_TIMEOUT_S
from soak.guarantees import RequestKind, RequestRecord
from soak.streams import StreamAttempt, StreamRecord, find_events, normalize_versions

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from guavamast.relay.messages import Header

MAX_ATTEMPTS: Final = 4
LEAVING_SHARE: Final = 0.4
"""Share of the attempts in whose middle the caller leaves."""
LONGEST_PAUSE_S: Final = 0.2
"""Longest pause between two attempts of a caller."""


class _Received:
    """What a caller has received of one response."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.response_id: str | None = None
        self.body = b""
        self.complete = False
        self.left = False


class StreamCaller:
    """Begins streams and takes them up until they are whole.

    Args:
        name: Prefix of its request ids.
        organisation: Organisation of its key.
        key: API key.
        addresses: Addresses of all instances, whether they run.
        random: Chooses instances, pauses and when to leave.
        requests: List to which it appends its requests.
        streams: List to which it appends its streams.
        count_serving: Returns the number of engines of a software version that serve.
    """

    def __init__(
        self,
        *,
        name: str,
        organisation: str,
        key: str,
        addresses: list[str],
        random: Random,
        requests: list[RequestRecord],
        streams: list[StreamRecord],
        count_serving: Callable[[str], int],
    ) -> None:
        self._name = name
        self._organisation = organisation
        self._key = key
        self._addresses = addresses
        self._random = random
        self._requests = requests
        self._streams = streams
        self._count_serving = count_serving
        self._request_count = 0

    async def run(self, until: float) -> None:
        """Begin one stream after another until a time of the monotonic clock."""
        while time.monotonic() < until:
            stream = StreamRecord()
            for _ in range(MAX_ATTEMPTS):
                await self._send_attempt(stream)
                if len(stream.events) >= EVENTS_PER_STREAM or time.monotonic() >= until:
                    break
                await asyncio.sleep(self._random.uniform(0.0, LONGEST_PAUSE_S))
            self._streams.append(stream)

    async def _send_attempt(self, stream: StreamRecord) -> None:
        self._request_count += 1
        request_id = f"{self._name}-{self._request_count}"
        address = self._random.choice(self._addresses)
        serving_before = self._count_engines(stream)
        sent_at = time.monotonic()
        received = _Received()
        leaves = self._random.random() < LEAVING_SHARE
        leaves_after = self._random.randrange(1, EVENTS_PER_STREAM) if leaves else None
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._exchange(address, request_id, stream, received, leaves_after)
        except (ConnectionLost, MalformedAnswer, TimeoutError):
            pass  # What was received until then is recorded.
        attempt = StreamAttempt(
            request_id=request_id,
            address=address,
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=received.status,
            events=find_events(received.body) if received.status == 200 else (),
            serving=min(serving_before, self._count_engines(stream)),
        )
        self._record_request(attempt, received, first_event=len(stream.events) + 1)
        stream.attempts.append(attempt)

    def _count_engines(self, stream: StreamRecord) -> int:
        """Return the number of engines at which a stream may go on; 0 for one that is new."""
        return self._count_serving(stream.events[0].version) if stream.events else 0

    def _record_request(
        self, attempt: StreamAttempt, received: _Received, *, first_event: int
    ) -> None:
        numbers = range(first_event, EVENTS_PER_STREAM + 1)
        self._requests.append(
            RequestRecord(
                request_id=attempt.request_id,
                kind=RequestKind.RESUMABLE,
                organisation=self._organisation,
                sent_at=attempt.sent_at,
                ended_at=attempt.ended_at,
                status=received.status,
                response_id=received.response_id,
                body=normalize_versions(received.body),
                versions=frozenset(event.version for event in attempt.events),
                expected_body=b"".join(
                    encode_event(attempt.request_id, number) for number in numbers
                ),
                complete=received.complete,
                address=attempt.address,
                left=received.left,
                anywhere=True,
            )
        )

    async def _exchange(
        self,
        address: str,
        request_id: str,
        stream: StreamRecord,
        received: _Received,
        leaves_after: int | None,
    ) -> None:
        host, _, port = address.rpartition(":")
        connection = await HttpConnection.open(host, int(port), timeout_s=CONNECT_TIMEOUT_S)
        try:
            target = PATH_PREFIXES[RequestKind.RESUMABLE] + request_id
            headers = self._build_headers(request_id, stream)
            await connection.send("POST", target, headers, request_id.encode())
            head = await connection.read_head()
            fields = {name.lower(): value for name, value in head.headers}
            received.status = head.status
            received.response_id = fields.get("x-attempt-id")
            while (chunk := await connection.read_chunk()) is not None:
                received.body += chunk
                if leaves_after is not None and len(find_events(received.body)) >= leaves_after:
                    received.left = True
                    return
            received.complete = True
        finally:
            connection.close()

    def _build_headers(self, request_id: str, stream: StreamRecord) -> list[Header]:
        headers = [
            ("Host", HOST),
            ("Authorization", f"Bearer {self._key}"),
            ("X-Attempt-Id", request_id),
            ("X-Request-Deadline-Ms", str(int(RESPONSE_TIMEOUT_S * 1000))),
            ("Content-Length", str(len(request_id.encode()))),
        ]
        if stream.events:
            headers.append(("Resumes", stream.name))
            headers.append(("Last-Event-Id", str(stream.events[-1].number)))
        return headers
