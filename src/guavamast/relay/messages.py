"""Typed messages between callers, the relay and endpoints, and the interfaces that carry them."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TypeAlias

Header: TypeAlias = tuple[str, str]
"""Name and value of a header."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other requests may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerRequest:
    """One attempt of a caller, read whole."""

    request_id: str
    method: str
    target: str
    """Path and query as sent."""
    host: str
    headers: tuple[Header, ...]
    """What an endpoint may see of the caller's headers, in order."""
    body: bytes
    has_body: bool
    api_key: str | None
    patience_s: float | None
    """Seconds for which the caller waits, counted from ``arrived``."""
    prompt_parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    """Most tokens that the answer may have; 0 when not stated."""
    arrived: float
    """Local time at which the request had been read whole, in seconds."""

    @property
    def shared_part(self) -> str | None:
        """The id of the longest prefix that other requests share; None when there is none."""
        return self.prompt_parts[-2].part_id if len(self.prompt_parts) > 1 else None

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class SendTerms:
    """What the relay sets on a request that it sends to an endpoint."""

    endpoint_id: str
    """Any other endpoint at the same address refuses the request."""
    organisation: str | None
    time_left_s: float | None
    urgency: int | None
    """Given for model engines only."""
    resume_after: str | None
    """Id of the last event that the caller has; the stream goes on after it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerHead:
    """Status and headers of an endpoint's answer, decoded."""

    status: int
    headers: tuple[Header, ...]
    """What a caller may see, in order, without the length of the body."""
    request_id: str | None
    sealed: bool
    """Whether the answer bears the endpoint's signature."""
    refused_unrun: bool
    """Whether the endpoint states that it did not run the request."""
    encoded: bool
    """Whether the body is compressed or otherwise not the endpoint's own bytes."""
    event_stream: bool
    keep_alive_s: float | None
    """Seconds after which the endpoint closes the idle connection, if stated."""
    closes: bool
    """Whether the endpoint closes the connection after this answer."""


class HeaderCodec(ABC):
    """Decodes and encodes the headers of requests and answers as one deployment names them."""

    @abstractmethod
    def read_request(
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
    def write_request(self, request: CallerRequest, terms: SendTerms) -> list[Header]:
        """Return all headers of a request to an endpoint, without those that frame the body."""

    @abstractmethod
    def read_answer(self, status: int, headers: list[Header]) -> AnswerHead:
        """Return the decoded head of an endpoint's answer."""

    @abstractmethod
    def write_refusal(self, request_id: str, retry_after_s: float | None) -> list[Header]:
        """Return the headers of an answer of the relay's own."""


class ResponseWriter(ABC):
    """Where the answer to one caller goes."""

    @property
    @abstractmethod
    def started(self) -> bool:
        """Whether the status has been sent."""

    @abstractmethod
    async def send(self, status: int, headers: list[Header], body: bytes) -> None:
        """Send a whole answer with its length."""

    @abstractmethod
    def start(self, status: int, headers: list[Header]) -> None:
        """Send status and headers of an answer whose length is not known yet."""

    @abstractmethod
    async def write(self, chunk: bytes) -> None:
        """Send a part of the body; returns when the connection can take more."""

    @abstractmethod
    async def end(self) -> None:
        """Mark the answer as complete."""

    @abstractmethod
    def abort(self) -> None:
        """Close the connection so that the answer is seen to be incomplete."""
