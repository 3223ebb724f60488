"""Checks that an engine's stream is the whole, right answer to one request.

Failure: an engine under load crosses, repeats, cuts or garbles answers, and a caller gets text that
belongs to another or lacks its end. Each chunk is bound to its request by id, to its place by
index, and to all text before it by a running CRC-32, so that a chunk is passed on only when the
text up to it is right. The end is taken only after a chunk that says it is the last.
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
    """A chunk is not the next one of this answer; nothing of it may be passed on."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.ANSWER_INVALID, message)


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerPiece:
    """The next piece of an answer, checked."""

    index: int
    text: str
    finish_reason: str | None
    """None but for the last piece."""


class AnswerChecker:
    """Checks one engine's stream against the part of the answer that was passed on before.

    Args:
        request_id: Id under which the request was sent to this engine.
        next_index: Number of the tokens already passed on.
        text_crc: CRC-32 of the text already passed on.
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
        """Whether the answer has ended as a whole one."""
        return self._ended

    def check(self, event: Event) -> AnswerPiece | None:
        """Take the next event of the stream.

        Args:
            event: An event as decoded.

        Returns:
            The piece to pass on, or None for the end of the answer.

        Raises:
            AnswerInvalid: The event is not what must come next.
        """
        if self._ended:
            raise AnswerInvalid("an event after the end")
        if event.name == "error":
            raise AnswerInvalid("the endpoint ended its stream with an error")
        if event.data == DONE:
            if self._finish_reason is None:
                raise AnswerInvalid("the end before the last chunk")
            self._ended = True
            return None
        if self._finish_reason is not None:
            raise AnswerInvalid("a chunk after the last one")
        return self._check_chunk(_read_chunk(event.data))

    def _check_chunk(self, chunk: _Chunk) -> AnswerPiece:
        if chunk.request_id != self._request_id:
            raise AnswerInvalid("a chunk of another request")
        if chunk.index != self.next_index:
            raise AnswerInvalid(f"chunk {chunk.index} where {self.next_index} must come")
        crc = zlib.crc32(chunk.text.encode(), self.text_crc)
        if chunk.crc32 is not None and chunk.crc32 != crc:
            raise AnswerInvalid(f"chunk {chunk.index} fails its checksum")
        self.next_index += 1
        self.text_crc = crc
        self._finish_reason = chunk.finish_reason
        return AnswerPiece(index=chunk.index, text=chunk.text, finish_reason=chunk.finish_reason)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Chunk:
    request_id: str
    index: int
    text: str
    crc32: int | None
    finish_reason: str | None


def _read_chunk(data: str) -> _Chunk:
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
        raise AnswerInvalid("a chunk that can't be read") from error
    if not isinstance(chunk.text, str) or not isinstance(chunk.index, int):
        raise AnswerInvalid("a chunk of wrong types")
    return chunk
