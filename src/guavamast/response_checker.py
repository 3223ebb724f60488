"""Validation of an engine's stream against the request that it responds to.

An engine under load can mix up, repeat, truncate or garble responses. Without these checks, a
caller gets text that belongs to another request or lacks its end. Each chunk carries the id of its
request, its index, and a running CRC-32 of all text up to it, so a chunk is forwarded only when the
text up to it is correct. The end is accepted only after a chunk that is marked as the last one.
"""

from __future__ import annotations

import json
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from guavamast.errors import ErrorCode, GuavamastError
from guavamast.event_stream import DONE

if TYPE_CHECKING:
    from guavamast.event_stream import Event


class AnswerInvalid(GuavamastError):
    """A chunk is not the next one of this response; none of it may be forwarded."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.ANSWER_INVALID, message)


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseChunk:
    """The next chunk of a response, validated."""

    index: int
    text: str
    finish_reason: str | None
    """Set on the last chunk only."""


class ResponseChecker:
    """Validates one engine's stream as the continuation of what was already forwarded.

    Args:
        request_id: Id under which the request was sent to this engine.
        next_index: Number of tokens already forwarded.
        text_crc: CRC-32 of the text already forwarded.
    """

    __slots__ = ("_ended", "_finish_reason", "_request_id", "next_index", "text_crc")

    def __init__(self, *, request_id: str, next_index: int = 0, text_crc: int = 0) -> None:
        self._request_id = request_id
        self._finish_reason: str | None = None
        self._ended = False
        self.next_index = next_index
        self.text_crc = text_crc

    @property
    def whole(self) -> bool:
        """Whether the response is complete."""
        return self._ended

    def check(self, event: Event) -> ResponseChunk | None:
        """Validate the next event of the stream.

        Args:
            event: A decoded event.

        Returns:
            The chunk to forward, or None at the end of the response.

        Raises:
            AnswerInvalid: The event is not the expected next one.
        """
        if self._ended:
            raise AnswerInvalid("the stream continues after its end event")
        if event.name == "error":
            raise AnswerInvalid("the endpoint ended its stream with an error")
        if event.data == DONE:
            if self._finish_reason is None:
                raise AnswerInvalid("the stream ended before its last chunk")
            self._ended = True
            return None
        if self._finish_reason is not None:
            raise AnswerInvalid("the stream has a chunk after its last one")
        return self._check_chunk(_parse_chunk(event.data))

    def _check_chunk(self, chunk: _Chunk) -> ResponseChunk:
        if chunk.request_id != self._request_id:
            raise AnswerInvalid("a chunk belongs to another request")
        if chunk.index != self.next_index:
            raise AnswerInvalid(f"received chunk {chunk.index}, expected chunk {self.next_index}")
        crc = zlib.crc32(chunk.text.encode(), self.text_crc)
        if chunk.crc32 is not None and chunk.crc32 != crc:
            raise AnswerInvalid(f"chunk {chunk.index} fails its checksum")
        self.next_index += 1
        self.text_crc = crc
        self._finish_reason = chunk.finish_reason
        return ResponseChunk(index=chunk.index, text=chunk.text, finish_reason=chunk.finish_reason)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Chunk:
    request_id: str
    index: int
    text: str
    crc32: int | None
    finish_reason: str | None


def _parse_chunk(data: str) -> _Chunk:
    try:
        body: Any = json.loads(data)
        choice = body["choices"][0]
        chunk = _Chunk(
            request_id=body["id"],
            index=body["index"],
            text=choice["delta"].get("content", ""),
            crc32=body.get("crc32"),
            finish_reason=choice.get("finish_reason"),
        )
    except (ValueError, LookupError, TypeError, AttributeError) as error:
        raise AnswerInvalid("a chunk is malformed") from error
    if not isinstance(chunk.text, str) or not isinstance(chunk.index, int):
        raise AnswerInvalid("a field of a chunk has the wrong type")
    return chunk
