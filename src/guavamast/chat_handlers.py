"""HTTP handler of chats, streamed or not."""

from __future__ import annotations

import json
import time
from functools import partial
from typing import TYPE_CHECKING, Any, Final

from guavamast.caller_input import parse_chat_body
from guavamast.callers import CallerHandler, encode_rejection
from guavamast.chats import Chat, ResponseSink
from guavamast.compact_json import encode_json
from guavamast.errors import ErrorCode, Refusal, SendLatch
from guavamast.event_stream import DONE, encode_event, encode_json_event

if TYPE_CHECKING:
    from guavamast.response_checker import ResponseChunk

DEFAULT_KIND: Final = "chat"


class ChatHandler(CallerHandler):
    """``POST /v1/chat/completions``."""

    async def post(self) -> None:
        """Serve a chat, streamed or not."""
        self.read_request_id()
        organisation = self.authenticate_caller()
        kind = self.request.headers.get("X-Request-Kind", DEFAULT_KIND)
        service_class = self.look_up_class(organisation, kind)
        body = parse_chat_body(self.read_body())
        if body.model not in self.services.state.configuration.models:
            raise SendLatch().reject(
                ErrorCode.UNKNOWN_MODEL, f"no model {body.model!r}", status=404
            )
        chat = Chat(
            request_id=self.request_id,
            organisation=organisation,
            service_class=service_class,
            kind=kind,
            body=body,
            deadline=self.compute_deadline(service_class),
        )
        self.services.metrics.count(f"chats.{service_class.name}")
        serve = self._serve_stream if body.stream else self._serve_whole
        await self.run(partial(serve, chat), organisation)

    async def _serve_whole(self, chat: Chat) -> None:
        sink = _BufferingSink()
        await self.services.chats.serve(chat, sink)
        self.set_header("X-Request-Id", self.request_id)
        self.finish(sink.make_completion(chat))

    async def _serve_stream(self, chat: Chat) -> None:
        sink = _StreamingSink(handler=self, chat=chat)
        try:
            await self.services.chats.serve(chat, sink)
        except Refusal as refusal:
            if not sink.begun:
                raise
            # The status line is already sent; the error event and the missing [DONE] event
            # signal the failure.
            self.write(encode_json_event(encode_rejection(refusal), name="error"))
            self.services.metrics.count(f"errors.{refusal.code}")
            await self.finish()
            return
        sink.begin()
        self.write(encode_event(DONE))
        await self.finish()


class _BufferingSink(ResponseSink):
    """Buffers a response until it is complete."""

    def __init__(self) -> None:
        self.texts: list[str] = []
        self.finish_reason: str | None = None

    async def write(self, chunks: list[ResponseChunk]) -> None:
        """Buffer the chunks."""
        self.texts.extend(chunk.text for chunk in chunks)
        self.finish_reason = chunks[-1].finish_reason

    def make_completion(self, chat: Chat) -> dict[str, Any]:
        """Return the body of the complete response."""
        prompt_tokens = chat.body.count_prompt_tokens()
        return {
            "id": chat.request_id,
            "object": "chat.completion",
            "created": int(time.time()),
            "model": chat.body.model,
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(self.texts)},
                    "finish_reason": self.finish_reason,
                }
            ],
            "usage": {
                "prompt_tokens": prompt_tokens,
                "completion_tokens": len(self.texts),
                "total_tokens": prompt_tokens + len(self.texts),
            },
        }


class _StreamingSink(ResponseSink):
    """Forwards chunks as server-sent events."""

    def __init__(self, *, handler: ChatHandler, chat: Chat) -> None:
        self.begun = False
        self._handler = handler
        self._prefix = encode_json(
            {
                "id": chat.request_id,
                "object": "chat.completion.chunk",
                "created": int(time.time()),
                "model": chat.body.model,
            }
        )[:-1]

    def begin(self) -> None:
        """Set the headers before the first byte of the response."""
        if not self.begun:
            self.begun = True
            self._handler.set_header("Content-Type", "text/event-stream")
            self._handler.set_header("Cache-Control", "no-cache")
            self._handler.set_header("X-Request-Id", self._handler.request_id)

    async def write(self, chunks: list[ResponseChunk]) -> None:
        """Send the chunks in one write; wait while the caller reads slowly."""
        self.begin()
        self._handler.write(b"".join(self._encode(chunk) for chunk in chunks))
        await self._handler.flush()

    def _encode(self, chunk: ResponseChunk) -> bytes:
        content = json.dumps(chunk.text)
        reason = json.dumps(chunk.finish_reason)
        choice = f'[{{"index":0,"delta":{{"content":{content}}},"finish_reason":{reason}}}]'
        return encode_event(f'{self._prefix},"choices":{choice}}}')
