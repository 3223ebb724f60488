"""Client of the entry's HTTP interface for callers."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from tornado.httpclient import HTTPRequest, HTTPResponse
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from guavamast.event_stream import DONE, EventDecoder
from guavamast.local_fleet import CALLER_KEY
from guavamast.standins.engine import MAX_TOKENS, generate_response

if TYPE_CHECKING:
    from tornado.iostream import IOStream


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamedResponse:
    """What a caller received of a streamed chat."""

    status: int
    text: str
    ended: bool
    """Whether the ``[DONE]`` event was received."""
    error: dict[str, Any] | None


def build_expected_response(prompt: str) -> str:
    """Return the only correct response of the stand-in engines."""
    return "".join(generate_response(model="small", prompt=prompt, max_tokens=MAX_TOKENS))


class Caller:
    """Sends requests to one entry.

    Args:
        url: The entry's URL.
        key: The bearer key.
    """

    def __init__(self, *, url: str, key: str = CALLER_KEY) -> None:
        self.url = url
        self.key = key
        self._client = SimpleAsyncHTTPClient(force_instance=True, max_clients=2000)
        self._streams: list[IOStream] = []
        connect = self._client.tcp_client.connect

        async def connect_and_record(*args: Any, **kwargs: Any) -> IOStream:
            self._streams.append(await connect(*args, **kwargs))
            return self._streams[-1]

        self._client.tcp_client.connect = connect_and_record

    async def fetch(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> HTTPResponse:
        """Send one request; return responses of any status."""
        request = HTTPRequest(
            f"{self.url}{path}",
            method=method,
            body=body,
            headers={"Authorization": f"Bearer {self.key}", **(headers or {})},
            request_timeout=timeout_s,
            allow_nonstandard_methods=True,
        )
        return await self._client.fetch(request, raise_error=False)

    def close(self) -> None:
        """Close all connections."""
        for stream in self._streams:
            stream.close()

    async def chat(self, prompt: str, **headers: str) -> HTTPResponse:
        """Send one chat that is not streamed."""
        return await self.fetch(
            "/v1/chat/completions", body=build_chat_body(prompt, stream=False), headers=headers
        )

    async def stream(self, prompt: str, headers: dict[str, str] | None = None) -> StreamedResponse:
        """Send one streamed chat and read the response to its end."""
        response = await self.fetch(
            "/v1/chat/completions", body=build_chat_body(prompt, stream=True), headers=headers
        )
        return read_stream(response)

    async def call(
        self, call: str, key: str = "", body: bytes = b"{}", timeout_s: float = 60.0
    ) -> HTTPResponse:
        """Send one call of the service ``ledger``."""
        headers = {"Idempotency-Key": key} if key else {}
        return await self.fetch(
            f"/v1/services/ledger/{call}", body=body, headers=headers, timeout_s=timeout_s
        )


def build_chat_body(prompt: str, *, stream: bool) -> bytes:
    """Return the body of a chat."""
    messages = [{"role": "user", "content": prompt}]
    return json.dumps({"model": "small", "messages": messages, "stream": stream}).encode()


def read_error(response: HTTPResponse) -> dict[str, Any]:
    """Return the error object of a response."""
    return json.loads(response.body)["error"]


def read_stream(response: HTTPResponse) -> StreamedResponse:
    """Parse the events of a response."""
    text = ""
    ended = False
    error = None
    if response.headers.get("Content-Type", "") != "text/event-stream":
        error = read_error(response) if response.body else {"code": "none"}
        return StreamedResponse(status=response.code, text="", ended=False, error=error)
    for event in EventDecoder().decode(response.body):
        if event.data == DONE:
            ended = True
        elif event.name == "error":
            error = json.loads(event.data)["error"]
        else:
            text += json.loads(event.data)["choices"][0]["delta"]["content"]
    return StreamedResponse(status=response.code, text=text, ended=ended, error=error)
