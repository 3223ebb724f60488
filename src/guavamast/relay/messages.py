"""Typed messages between callers, the relay and endpoints, and the interfaces that carry them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final, TypeAlias

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

HEAD_BYTES: Final = 512
"""Bytes of the heads of a request and its response, about."""
RESPONSE_TOKEN_BYTES: Final = 4
"""Bytes of a response for each token that it may have; most have fewer tokens, and events add to
each."""

Header: TypeAlias = tuple[str, str]
"""Name and value of a header."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One attempt of a caller, with its whole body."""

    request_id: str
    method: str
    target: str
    """Path and query as sent."""
    host: str
    headers: tuple[Header, ...]
    """The caller's headers that may be forwarded to an endpoint, in order."""
    body: bytes
    has_body: bool
    api_key: str | None
    timeout_s: float | None
    """The caller's timeout in seconds, counted from ``arrived``."""
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    """Maximum tokens of the response; 0 when not stated."""
    received_at: float
    """Local time at which the request had been received completely, in seconds."""
    resumed_request_id: str | None = None
    """Id of the caller's earlier attempt that brought the first event of the stream that this one
    continues; None if it begins anew."""
    last_event_id: str | None = None
    """Id of the last event that the caller has, if it states one."""

    @property
    def shared_part(self) -> str | None:
        """The id of the longest prefix shared with other requests; None when there is none."""
        return self.prompt_parts[-2].part_id if len(self.prompt_parts) > 1 else None

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """The ids of all parts of its prompt that other requests may share, in order."""
        return tuple(part.part_id for part in self.prompt_parts[:-1])

    @property
    def caller_part(self) -> str | None:
        """The id of the part of its prompt that no other caller shares; None without a prompt.

        It is the same for each attempt of its caller, or for all requests of its session.
        """
        return self.prompt_parts[-1].part_id if self.prompt_parts else None

    @property
    def transfer_bytes(self) -> int:
        """Bytes of the request and its expected response on the path to an endpoint."""
        return HEAD_BYTES + len(self.body) + RESPONSE_TOKEN_BYTES * self.output_tokens

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendParameters:
    """Parameters that the relay sets on a request to an endpoint."""

    endpoint_id: str
    """Any other endpoint at the same address rejects the request."""
    organisation: str | None
    remaining_s: float | None
    urgency: int | None
    """Set for engines only."""
    resume_after: str | None
    """Id of the last event that the caller has received; the stream resumes after it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointResponseHead:
    """Status and headers of an endpoint's response, decoded."""

    status: int
    headers: tuple[Header, ...]
    """Headers that may be forwarded to the caller, in order, without the length of the body."""
    request_id: str | None
    signed: bool
    """Whether the response carries the endpoint's signature."""
    not_run: bool
    """Whether the endpoint states that it did not run the request that `request_id` names."""
    encoded: bool
    """Whether the body is compressed or otherwise not the endpoint's original bytes."""
    event_stream: bool
    keep_alive_s: float | None
    """Seconds after which the endpoint closes the idle connection, if stated."""
    closes_connection: bool
    """Whether the endpoint closes the connection after this response."""
    rejection_limit: int | None = None
    """Rejections in a second beyond which an endpoint of the service ends, if stated."""
    rate_limit: float | None = None
    """Requests in a second that the endpoint takes from all instances together, if stated."""
    malformed_rate_limit: str | None = None
    """The stated rate limit if it can't be read; None if it is read or missing."""


class HeaderCodec(ABC):
    """Decodes and encodes the headers of requests and responses as one deployment names them."""

    @abstractmethod
    def decode_request(
        self,
        *,
        method: str,
        target: str,
        headers: list[Header],
        body: bytes,
        arrived: float,
    ) -> CallerRequest:
        """Return a caller's request without the headers that only the relay may set."""

    @abstractmethod
    def encode_request(self, request: CallerRequest, parameters: SendParameters) -> list[Header]:
        """Return all headers of a request to an endpoint, except those that frame the body."""

    @abstractmethod
    def decode_response(self, status: int, headers: list[Header]) -> EndpointResponseHead:
        """Return the decoded head of an endpoint's response."""

    @abstractmethod
    def reads_response_header(self, name: str) -> bool:
        """Return whether a header of responses is read, or says nothing about the endpoint."""

    @abstractmethod
    def encode_rejection(self, request_id: str, retry_after_s: float | None) -> list[Header]:
        """Return the headers of a response that the relay itself generates."""


class ResponseWriter(ABC):
    """Writes the response to one caller."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the status line has been sent."""

    @abstractmethod
    async def send(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a complete response with its length."""

    @abstractmethod
    def start(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of a response whose length is not known yet."""

    @abstractmethod
    def begin_write(self, chunk: bytes) -> asyncio.Future[None] | None:
        """Begin to send a part of the body; the part before it must have been taken.

        Returns:
            None if the connection has taken all of it; otherwise a future that is done when it has.
            The future fails if the caller has left.
        """

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; return when the connection has taken it."""

    @abstractmethod
    async def end(self) -> None:
        """Mark the response as complete."""

    @abstractmethod
    def call_when_sent(self, callback: Callable[[], None]) -> None:
        """Call back once the connection has taken all that was written so far, or has ended."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
