"""One HTTP request on one new connection, sent at most once; errors tell whether bytes were sent.

Tornado's ``SimpleAsyncHTTPClient`` opens one connection per request and never retries; redirects
are turned off here. Each request has its own client object, so that its TCP client can run
``before_write`` between the connect and the first byte.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, Final

from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.iostream import StreamClosedError
from tornado.netutil import DefaultLoopResolver, is_valid_ip
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

from guavamast.http_status import is_final_status

if TYPE_CHECKING:
    from collections.abc import Callable

    from tornado.iostream import IOStream

MAX_RESPONSE_BYTES: Final = 16 * 1024 * 1024
"""Largest response that is accepted; a plain service's responses are a few kilobytes."""


class NotSent(Exception):
    """The connection was not made: no byte of the request left this process."""


class AnswerLost(Exception):
    """Bytes may have left this process and no whole response arrived."""


class NumericResolver(DefaultLoopResolver):
    """Resolves IP addresses without the executor threads that ``getaddrinfo`` needs."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_UNSPEC
    ) -> list[tuple[int, Any]]:
        """Return an IP address as it is; resolve host names by the operating system."""
        if not is_valid_ip(host):
            return await super().resolve(host, port, family)
        if ":" in host:
            return [(socket.AF_INET6, (host, port, 0, 0))]
        return [(socket.AF_INET, (host, port))]


class _SingleUseTcpClient(TCPClient):
    """Connects once and runs a hook right before the first byte can be written.

    Failure: a caller is cancelled during the connect and told ``not_run``, but Tornado does not
    stop a cancelled fetch and writes the request afterwards, so the rejected call runs. ``abandon``
    makes the connect fail instead; no other coroutine runs between the check here and Tornado's
    first write.
    """

    def __init__(self, *, resolver: NumericResolver, before_write: Callable[[], None]) -> None:
        super().__init__(resolver=resolver)
        self._before_write = before_write
        self._abandoned = False
        self._stream: IOStream | None = None
        self.writable = False

    def abandon(self) -> None:
        """Close the connection; a connect in progress fails before any byte is written."""
        self._abandoned = True
        if self._stream is not None:
            self._stream.close()

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        """Connect, then run the hook; if it raises, the request is not sent."""
        stream = await super().connect(*args, **kwargs)
        try:
            if self._abandoned:
                raise StreamClosedError
            self._before_write()
        except BaseException:
            stream.close()
            raise
        self.writable = True
        self._stream = stream
        return stream


def do_nothing() -> None:
    """Act as the hook of a request that needs no last check."""


class AtMostOnceFetch:
    """One request that is sent at most once and can be aborted at any time.

    Args:
        request: What to send; its redirects are turned off.
        before_write: Runs between the connect and the first byte; may raise to stop the request.
    """

    __slots__ = ("_client", "_connector", "_request")

    def __init__(
        self, *, request: HTTPRequest, before_write: Callable[[], None] = do_nothing
    ) -> None:
        request.follow_redirects = False
        request.decompress_response = False
        self._request = request
        self._client = SimpleAsyncHTTPClient(
            force_instance=True, resolver=NumericResolver(), max_body_size=MAX_RESPONSE_BYTES
        )
        self._connector = _SingleUseTcpClient(
            resolver=self._client.resolver, before_write=before_write
        )
        self._client.tcp_client = self._connector

    async def run(self) -> HTTPResponse:
        """Send the request and return the response, whatever its final status.

        Raises:
            NotSent: No byte was sent.
            AnswerLost: Bytes may have been sent, and no whole response arrived in time.
        """
        try:
            response = await self._client.fetch(self._request, raise_error=False)
        except Exception as error:
            raise _classify(error, self._connector) from None
        finally:
            self.abort()
        if not is_final_status(response.code):
            raise AnswerLost(f"status {response.code} is none of a final response")
        return response

    def abort(self) -> None:
        """Close the connection in any state."""
        self._connector.abandon()
        self._client.close()


async def fetch_once(
    request: HTTPRequest, *, before_write: Callable[[], None] = do_nothing
) -> HTTPResponse:
    """Send a request at most once and return its whole response; see `AtMostOnceFetch`.

    Raises:
        NotSent: No byte was sent.
        AnswerLost: Bytes may have been sent, and no whole response arrived in time.
    """
    response = await AtMostOnceFetch(request=request, before_write=before_write).run()
    if not _is_framed(response):
        raise AnswerLost("the response has no length, so a truncated body can't be detected")
    return response


def _classify(error: Exception, connector: _SingleUseTcpClient) -> Exception:
    """Return the error to raise: `NotSent`, `AnswerLost` or the hook's own exception."""
    message = str(error) or type(error).__name__
    if connector.writable:
        return AnswerLost(message)
    if isinstance(error, OSError | HTTPClientError | ValueError):
        return NotSent(message)
    return error


def _is_framed(response: HTTPResponse) -> bool:
    if response.code in (204, 304) or response.request.method == "HEAD":
        return True
    headers = response.headers
    return "Content-Length" in headers or headers.get("Transfer-Encoding", "") != ""
