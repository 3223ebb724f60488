"""Sending a call to a plain service's endpoint."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final
from urllib.parse import quote

from tornado.httpclient import HTTPRequest
from tornado.httputil import HTTPHeaders

from guavamast.at_most_once_fetch import AnswerLost, fetch_once
from guavamast.operations import Response

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.httpclient import HTTPResponse

REQUEST_ID_HEADER: Final = "X-Request-Id"
IDEMPOTENCY_KEY_HEADER: Final = "Idempotency-Key"

CONNECT_TIMEOUT_S: Final = 2.0
"""Longest wait for a connection; endpoints are a few milliseconds away."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointCall:
    """One attempt to run a call at one endpoint."""

    url: str
    """The endpoint's base URL."""
    call: str
    body: bytes
    content_type: str
    request_id: str
    idempotency_key: str
    timeout_s: float


class EndpointSender(ABC):
    """Sends a call to an endpoint, at most once."""

    @abstractmethod
    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Response:
        """Send a call and return its whole answer.

        Args:
            call: What to send where.
            before_write: Run right before the first byte, with no switch of coroutines between;
                its exception ends the attempt unsent.

        Raises:
            NotSent: No byte was sent; ``before_write`` was not run or has raised.
            AnswerLost: Bytes may have been sent, and no whole answer of this call came back.
        """


class HttpEndpointSender(EndpointSender):
    """Sends over HTTP: a new connection a call, no redirect, no retry."""

    __slots__ = ()

    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Response:
        """Send a call and return its whole answer."""
        request = HTTPRequest(
            f"{call.url.rstrip('/')}/calls/{quote(call.call, safe='')}",
            method="POST",
            body=call.body,
            headers=_make_headers(call),
            connect_timeout=min(CONNECT_TIMEOUT_S, call.timeout_s),
            request_timeout=call.timeout_s,
        )
        response = await fetch_once(request, before_write=before_write)
        _check_request_id(response, call)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return Response(status=response.code, content_type=content_type, body=response.body)


def _make_headers(call: EndpointCall) -> HTTPHeaders:
    headers = HTTPHeaders({"Content-Type": call.content_type, REQUEST_ID_HEADER: call.request_id})
    if call.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
    return headers


def _check_request_id(response: HTTPResponse, call: EndpointCall) -> None:
    """Refuse an answer that names another request.

    Failure: an endpoint crosses the answers of two calls; a caller reads another's. Endpoints that
    echo the id are caught; for those that don't, one connection a call leaves no other answer.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != call.request_id:
        raise AnswerLost("the answer is of another request")
