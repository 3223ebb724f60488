"""Client that streams chats from engines, one connection per request."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Final

from tornado.httpclient import HTTPRequest
from tornado.httputil import parse_response_start_line

from guavamast.at_most_once_fetch import AnswerLost, AtMostOnceFetch, NotSent, fetch_once
from guavamast.event_stream import Event, EventDecoder, EventTooLong
from guavamast.log import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from tornado.httpclient import HTTPResponse

CONNECT_TIMEOUT_S: Final = 2.0
CANCEL_TIMEOUT_S: Final = 5.0


class EndpointBroken(Exception):
    """The endpoint was unreachable, rejected the request, or its stream was interrupted."""


class SendForbidden(Exception):
    """The check right before the send failed; no byte of the request's body was written."""


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineCall:
    """One chat request to one engine."""

    url: str
    request_id: str
    """Unique for each send, so that no two responses can be confused."""
    model: str
    messages: list[dict[str, Any]]
    max_tokens: int
    priority: int
    resume_from: int = 0
    resume_text: str = ""
    timeout_s: float = 600.0


class _StreamedBody:
    """The body of a response with status 200; of another one, nothing is read as events."""

    __slots__ = ("_accepted", "_chunks")

    def __init__(self) -> None:
        self._accepted = False
        self._chunks: asyncio.Queue[bytes | None] = asyncio.Queue()

    async def read(self) -> bytes | None:
        """Return the next bytes as they arrive; None after the last ones."""
        return await self._chunks.get()

    def receive_header(self, line: str) -> None:
        """Receive the start line or a header of the response."""
        if line.startswith("HTTP/"):
            self._accepted = parse_response_start_line(line.strip()).code == HTTPStatus.OK

    def receive_chunk(self, chunk: bytes) -> None:
        """Receive bytes of the body."""
        if self._accepted:
            self._chunks.put_nowait(chunk)

    def end(self) -> None:
        """End the body, as the response has ended or failed."""
        self._chunks.put_nowait(None)


class EngineClient:
    """Sends chats and cancels them."""

    def __init__(self) -> None:
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def stream(
        self, call: EngineCall, *, before_send: Callable[[], None]
    ) -> AsyncIterator[list[Event]]:
        """Send a chat and yield its events, one list per read.

        Args:
            call: The request to send.
            before_send: Called when the connection is open and nothing is written yet; raises
                `SendForbidden` to stop the send.

        Raises:
            EndpointBroken: The engine failed.
            SendForbidden: ``before_send`` forbade the send.
        """
        body = _StreamedBody()
        request = _build_request(call, body)
        fetch = AtMostOnceFetch(request=request, before_write=before_send)
        task = asyncio.ensure_future(fetch.run())
        task.add_done_callback(lambda _: body.end())
        decoder = EventDecoder()
        try:
            while (chunk := await body.read()) is not None:
                if events := _decode(decoder, chunk):
                    yield events
            await _raise_failure(task)
        finally:
            if not task.done():
                # The consumer has stopped: close the connection and cancel the request explicitly,
                # since an engine may notice a closed connection only at its next write.
                task.add_done_callback(lambda done: done.cancelled() or done.exception())
                fetch.abort()
                self._schedule_cancel(call)

    def _schedule_cancel(self, call: EngineCall) -> None:
        task = asyncio.ensure_future(_cancel(call))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)


async def _cancel(call: EngineCall) -> None:
    url = f"{call.url}/v1/requests/{call.request_id}"
    request = HTTPRequest(url, method="DELETE", request_timeout=CANCEL_TIMEOUT_S)
    try:
        await fetch_once(request)
    except (NotSent, AnswerLost) as error:
        get_logger().debug(
            "cancelling the request at the engine failed: %s",
            error,
            extra={"request_id": call.request_id},
        )


def _build_request(call: EngineCall, body: _StreamedBody) -> HTTPRequest:
    return HTTPRequest(
        f"{call.url}/v1/chat/completions",
        method="POST",
        headers={"Content-Type": "application/json", "X-Request-Id": call.request_id},
        body=_encode_call(call),
        header_callback=body.receive_header,
        streaming_callback=body.receive_chunk,
        connect_timeout=CONNECT_TIMEOUT_S,
        request_timeout=call.timeout_s,
    )


def _encode_call(call: EngineCall) -> bytes:
    body: dict[str, Any] = {
        "model": call.model,
        "messages": call.messages,
        "max_tokens": call.max_tokens,
        "priority": call.priority,
        "stream": True,
    }
    if call.resume_from:
        body["resume_from"] = call.resume_from
        body["resume_text"] = call.resume_text
    return json.dumps(body).encode()


def _decode(decoder: EventDecoder, chunk: bytes) -> list[Event]:
    try:
        return decoder.decode(chunk)
    except (EventTooLong, UnicodeDecodeError) as error:
        raise EndpointBroken(str(error)) from error


async def _raise_failure(task: asyncio.Task[HTTPResponse]) -> None:
    try:
        response = await task
    except (NotSent, AnswerLost) as error:
        raise EndpointBroken(str(error)) from error
    if response.code != HTTPStatus.OK:
        raise EndpointBroken(f"the engine responded with status {response.code}")
