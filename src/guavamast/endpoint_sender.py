"""Sending of calls to the endpoints of plain services."""

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
"""Connect timeout; endpoints are a few milliseconds away."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointCall:
    """One attempt to run a call on one endpoint."""

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
        """Send a call and return its complete response.

        Args:
            call: The call and its endpoint.
            before_write: Called right before the first byte, with no await in between; an
                exception from it ends the attempt unsent.

        Raises:
            NotSent: No byte was sent; ``before_write`` was not called or raised.
            AnswerLost: Bytes may have been sent, and no complete response was received.
        """


class HttpEndpointSender(EndpointSender):
    """Sends over HTTP: a new connection per call, no redirects, no retries."""

    __slots__ = ()

    async def send(self, call: EndpointCall, *, before_write: Callable[[], None]) -> Response:
        """Send a call and return its complete response."""
        request = HTTPRequest(
            f"{call.url.rstrip('/')}/calls/{quote(call.call, safe='')}",
            method="POST",
            body=call.body,
            headers=_build_headers(call),
            connect_timeout=min(CONNECT_TIMEOUT_S, call.timeout_s),
            request_timeout=call.timeout_s,
        )
        response = await fetch_once(request, before_write=before_write)
        _check_request_id(response, call)
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return Response(status=response.code, content_type=content_type, body=response.body)


def _build_headers(call: EndpointCall) -> HTTPHeaders:
    headers = HTTPHeaders({"Content-Type": call.content_type, REQUEST_ID_HEADER: call.request_id})
    if call.idempotency_key:
        headers[IDEMPOTENCY_KEY_HEADER] = call.idempotency_key
    return headers


def _check_request_id(response: HTTPResponse, call: EndpointCall) -> None:
    """Reject a response that names another request.

    Without this check, an endpoint that mixes up the responses of two calls gives a caller that of
    another. Endpoints that echo the id are detected; for those that don't, one connection per call
    leaves no other response to receive.
    """
    echoed = response.headers.get(REQUEST_ID_HEADER)
    if echoed is not None and echoed != call.request_id:
        raise AnswerLost("the response belongs to another request")
