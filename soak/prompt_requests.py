"""Requests with prompts, each on a connection of its own, and what came of them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from guavamast.platform.standins.engine import EVENTS_PER_STREAM, encode_event
from guavamast.platform.standins.site import HOST, KEY
from guavamast.relay.http_connection import HttpConnection
from soak.guarantees import RequestKind, RequestRecord
from soak.streams import find_events, normalize_versions

if TYPE_CHECKING:
    from guavamast.relay.messages import Header

CONNECT_TIMEOUT_S: Final = 1.0
OUTPUT_TOKENS: Final = 24


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptRequest:
    """A stream that a caller asks for with a prompt."""

    request_id: str
    path_prefix: str
    prompt: str
    """The parts of its prompt, as `ID:TOKENS` entries."""
    tokens: int
    timeout_s: float

    def build_headers(self) -> list[Header]:
        """Return its headers."""
        return [
            ("Host", HOST),
            ("Authorization", f"Bearer {KEY}"),
            ("X-Attempt-Id", self.request_id),
            ("X-Request-Deadline-Ms", str(int(self.timeout_s * 1000))),
            ("X-Model", "m"),
            ("X-Token-Usage", f"{self.tokens},{OUTPUT_TOKENS}"),
            ("X-Prompt-Prefix", self.prompt),
            ("Content-Length", str(len(self.request_id))),
        ]


@dataclass(slots=True, kw_only=True)
class PromptAnswer:
    """The part of an answer that was received."""

    address: str = ""
    """Address that its request was sent to last."""
    status: int | None = None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which the caller is to come back, if stated."""
        value = self.headers.get("retry-after")
        return float(value) if value else None

    def build_record(
        self, request: PromptRequest, *, sent_at: float, left: bool = False
    ) -> RequestRecord:
        """Return the record of a request whose answer has ended.

        Args:
            request: The request.
            sent_at: Monotonic time at which it was sent.
            left: Whether its caller left.
        """
        numbers = range(1, EVENTS_PER_STREAM + 1)
        body = bytes(self.body)
        return RequestRecord(
            request_id=request.request_id,
            kind=RequestKind.STREAM,
            organisation="bakery",
            sent_at=sent_at,
            ended_at=time.monotonic(),
            status=self.status,
            response_id=self.headers.get("x-attempt-id"),
            body=normalize_versions(body),
            versions=frozenset(one.version for one in find_events(body)),
            expected_body=b"".join(encode_event(request.request_id, one) for one in numbers),
            complete=self.complete,
            left=left,
            address=self.address,
            anywhere=True,
        )


async def send_prompt(address: str, request: PromptRequest, answer: PromptAnswer) -> None:
    """Send a request on a new connection and receive its answer.

    Args:
        address: Address of an instance.
        request: The request.
        answer: Receives what comes of it, also if this raises.

    Raises:
        ConnectionLost, MalformedAnswer: The connection failed or the answer is not complete.
        ConnectionRefused: Nothing accepts connections at the address.
    """
    answer.address = address
    host, _, port = address.rpartition(":")
    connection = await HttpConnection.open(host, int(port), timeout_s=CONNECT_TIMEOUT_S)
    target = request.path_prefix + request.request_id
    try:
        await connection.send("POST", target, request.build_headers(), request.request_id.encode())
        head = await connection.read_head()
        answer.status = head.status
        answer.headers = {name.lower(): value for name, value in head.headers}
        while (chunk := await connection.read_chunk()) is not None:
            answer.body += chunk
        answer.complete = True
    finally:
        connection.close()
