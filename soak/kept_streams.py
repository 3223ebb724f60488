"""Streams of some seconds on kept connections, while their instances are signalled in series."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from soak.callers import PATH_PREFIXES
from soak.guarantees import RequestKind, RequestRecord
from soak.kept_callers import KeptCaller, KeptRequest
from soak.streams import find_events, normalize_versions

if TYPE_CHECKING:
    from random import Random

CALLERS: Final = 12
KINDS: Final = (RequestKind.STREAM, RequestKind.RESUMABLE)
GRACES_S: Final = (4.0, 8.0)
"""Grace times of the instances, by the seed."""
SHORTEST_STREAM_S: Final = 0.5
LONGEST_STREAM_S: Final = 5.0
"""Range of how long streams last: to above the shorter grace time."""
TIMEOUT_MS: Final = 20_000
"""Deadline of the requests, beyond the longest departure, so that none ends by itself."""


class KeptStreams:
    """Callers that take one stream after another on a connection until that ends.

    Args:
        key: API key.
        organisation: Organisation of the key.
        durations: Seconds that streams last, by request id: to be read by engines.
        random: Chooses instances, kinds and durations.
        callers: Number of callers.
        shortest_s: Seconds that a stream lasts at least.
        longest_s: Seconds that a stream lasts at most.
    """

    def __init__(
        self,
        *,
        key: str,
        organisation: str,
        durations: dict[str, float],
        random: Random,
        callers: int = CALLERS,
        shortest_s: float = SHORTEST_STREAM_S,
        longest_s: float = LONGEST_STREAM_S,
    ) -> None:
        self._key = key
        self._organisation = organisation
        self._durations = durations
        self._random = random
        self._callers = callers
        self._shortest_s = shortest_s
        self._longest_s = longest_s
        self._addresses: list[str] = []
        self._kinds: dict[str, RequestKind] = {}
        self._requests: list[KeptRequest] = []

    async def run(self, addresses: list[str], *, until: float) -> None:
        """Send requests, and wait for their ends.

        Args:
            addresses: Addresses of all instances, whether they run.
            until: Monotonic time from which on no further request is sent.
        """
        self._addresses = addresses
        async with asyncio.TaskGroup() as tasks:
            for number in range(self._callers):
                caller = KeptCaller(
                    name=f"kept.{number}",
                    key=self._key,
                    choose_address=self._choose_address,
                    choose_target=self._choose_target,
                    timeout_ms=TIMEOUT_MS,
                    requests=self._requests,
                )
                tasks.create_task(caller.run(lambda: False, until=until))

    def list_requests(self) -> list[RequestRecord]:
        """Return the records of all requests."""
        return [self._build_record(request) for request in self._requests]

    def _choose_address(self) -> str:
        return self._random.choice(self._addresses)

    def _choose_target(self, request_id: str) -> str:
        """Return the path of a request, whose stream's duration the engines are told."""
        kind = self._random.choice(KINDS)
        self._kinds[request_id] = kind
        self._durations[request_id] = self._random.uniform(self._shortest_s, self._longest_s)
        return PATH_PREFIXES[kind] + request_id

    def _build_record(self, request: KeptRequest) -> RequestRecord:
        body = bytes(request.body)
        numbers = range(1, EVENTS_PER_STREAM + 1)
        return RequestRecord(
            request_id=request.request_id,
            kind=self._kinds[request.request_id],
            organisation=self._organisation,
            sent_at=request.sent_at,
            ended_at=request.ended_at,
            status=request.status,
            response_id=request.response_id,
            body=normalize_versions(body),
            versions=frozenset(event.version for event in find_events(body)),
            expected_body=b"".join(encode_event(request.request_id, one) for one in numbers),
            complete=request.complete,
            address=request.address,
            anywhere=True,
            kept=True,
        )
