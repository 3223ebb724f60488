"""Bodies of the engine stand-in's answers: their framing, and where and how they end."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from http import HTTPStatus
from typing import TYPE_CHECKING, Final

import h11

from guavamast.platform.standins.slow_connections import drain_while_read
from guavamast.relay.response_end import BodyFraming
from guavamast.socket_options import set_reset_on_close

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Sequence

    from guavamast.relay.messages import Header


class Closing(StrEnum):
    """What the engine does after the last byte that it sends of an answer."""

    FRAMED = "framed"
    """What the framing demands of a whole answer: it sends the last chunk, has stated the length
    of just these bytes, or closes the connection in order."""
    CLOSE = "close"
    """It closes the connection in order, also where more was announced."""
    RESET = "reset"
    CRASH = "crash"
    """The engine ends: it stops listening, and its connections are closed in order."""
    EXIT = "exit"
    """The engine ends: its connections are closed in order, then it stops listening."""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerEnding:
    """Where and how an answer ends."""

    pieces: int | None = None
    """Events, or parts of a plain answer, that are sent completely; None for all."""
    part_bytes: int = 0
    """Bytes of the next piece that are sent."""
    tail: bytes = b""
    """Bytes that follow."""
    closing: Closing = Closing.FRAMED

    def cut(self, pieces: Sequence[bytes]) -> list[bytes]:
        """Return the pieces that are sent."""
        count = len(pieces) if self.pieces is None else self.pieces
        sent = list(pieces[:count])
        if self.part_bytes and count < len(pieces):
            sent.append(pieces[count][: self.part_bytes])
        return [*sent, self.tail] if self.tail else sent


WHOLE: Final = AnswerEnding()


class AnswerBody:
    """Sends one answer in pieces.

    Args:
        http: Parser of the connection, which has received the request.
        writer: The connection.
        framing: Framing of the answer.
        ending: Where and how the answer ends.
        pieces: All pieces of a whole answer.
        unread_s: Seconds after which an answer that stays unread is cut; None to wait for ever.
    """

    def __init__(
        self,
        *,
        http: h11.Connection,
        writer: asyncio.StreamWriter,
        framing: BodyFraming,
        ending: AnswerEnding,
        pieces: Sequence[bytes],
        unread_s: float | None = None,
    ) -> None:
        self._unread_s = unread_s
        self._http = http
        self._writer = writer
        self._framing = framing
        self._ending = ending
        self.pieces = ending.cut(pieces)
        """Pieces to send."""
        framed = ending.closing is Closing.FRAMED
        self._stated_bytes = sum(map(len, self.pieces if framed else pieces))

    def start(self, status: int, headers: list[Header]) -> None:
        """Send the head."""
        if self._framing is BodyFraming.CONNECTION:
            self._writer.write(_encode_head(status, [*headers, ("Connection", "close")]))
            return
        length = ("Content-Length", str(self._stated_bytes))
        chunked = ("Transfer-Encoding", "chunked")
        fields = [*headers, length if self._framing is BodyFraming.LENGTH else chunked]
        self._send(h11.Response(status_code=status, headers=fields))

    async def write(self, piece: bytes) -> None:
        """Send a piece."""
        if self._framing is BodyFraming.CONNECTION:
            self._writer.write(piece)
        elif piece:
            self._send(h11.Data(data=piece))
        await self._drain()

    async def end(self) -> bool:
        """End the answer; return whether the connection stays open."""
        closing = self._ending.closing
        if closing is Closing.RESET:
            reset(self._writer)
            return False
        if closing is not Closing.FRAMED or self._framing is BodyFraming.CONNECTION:
            return False
        self._send(h11.EndOfMessage())
        await self._drain()
        return self._http.our_state is h11.DONE

    async def _drain(self) -> None:
        if self._unread_s is None:
            await self._writer.drain()
        else:
            await drain_while_read(self._writer, unread_s=self._unread_s)

    def _send(self, event: h11.Event) -> None:
        self._writer.write(self._http.send(event) or b"")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        set_reset_on_close(sock, enabled=True)
    writer.transport.abort()


def _encode_head(status: int, headers: list[Header]) -> bytes:
    lines = [f"HTTP/1.1 {status} {HTTPStatus(status).phrase}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join([*lines, "", ""]).encode()
