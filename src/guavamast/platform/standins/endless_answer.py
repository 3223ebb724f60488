"""Answers of an engine stand-in that never end."""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import Final

PIECE_BYTES: Final = 16_384
"""Bytes that are written at a time."""


class EndlessAnswer(StrEnum):
    """What an engine sends without end, until its caller closes the connection."""

    ONE_HEADER = "one_header"
    """A header line."""
    HEADERS = "headers"
    """Header lines."""
    INTERIM_HEADS = "interim_heads"
    """Heads of interim responses."""
    BODY = "body"
    """A body without length."""
    CHUNKS = "chunks"
    """A body in chunks."""
    REJECTION = "rejection"
    """The body of a response that says that the request was not run."""
    LINES = "lines"
    """Lines of an event that no blank line ends."""
    COMMENTS = "comments"
    """Comments in a stream."""
    BLANK_LINES = "blank_lines"
    """Blank lines in a stream."""
    SMALL_CHUNKS = "small_chunks"
    """A body in chunks of a byte, as from a server that doesn't buffer what it writes."""
    SMALL_EVENTS = "small_events"
    """The shortest events of a stream, in large chunks."""
    TRAILERS = "trailers"
    """Header lines after a body in chunks."""


def _fill(unit: bytes) -> bytes:
    return unit * max(1, PIECE_BYTES // len(unit))


def build_pieces(kind: EndlessAnswer, request_id: str, seal: str) -> tuple[bytes, bytes]:
    """Return what an endless answer begins with, and what is repeated after it."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\nX-Engine-Seal: {seal}\r\n".encode()
    own_id = f"X-Attempt-Id: {request_id}\r\n".encode()
    rejection = b"HTTP/1.1 503 Full\r\n" + own_id + b"X-Not-Executed: 1\r\n\r\n"
    stream = head + b"Content-Type: text/event-stream\r\n\r\n"
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        EndlessAnswer.ONE_HEADER: (head + b"X-Filler: ", _fill(b"a")),
        EndlessAnswer.HEADERS: (head, _fill(b"X-Filler: aaaaaaaa\r\n")),
        EndlessAnswer.INTERIM_HEADS: (b"", _fill(b"HTTP/1.1 102 Processing\r\n\r\n")),
        EndlessAnswer.BODY: (head + b"\r\n", _fill(b"a")),
        EndlessAnswer.CHUNKS: (chunked, _fill(b"400\r\n" + b"a" * 1024 + b"\r\n")),
        EndlessAnswer.REJECTION: (rejection, _fill(b"a")),
        EndlessAnswer.LINES: (stream, _fill(b"data: aaaaaaaa\n")),
        EndlessAnswer.COMMENTS: (stream, _fill(b": aaaaaaaa\n\n")),
        EndlessAnswer.BLANK_LINES: (stream, _fill(b"\n\n")),
        EndlessAnswer.SMALL_CHUNKS: (chunked, _fill(b"1\r\na\r\n")),
        EndlessAnswer.SMALL_EVENTS: (stream, _fill(b"data: a\n\n")),
        EndlessAnswer.TRAILERS: (chunked + b"1\r\na\r\n0\r\n", _fill(b"X-Filler: aaaaaaaa\r\n")),
    }[kind]


async def write_endless_answer(
    writer: asyncio.StreamWriter, kind: EndlessAnswer, request_id: str, seal: str
) -> None:
    """Write until the caller closes the connection.

    Raises:
        ConnectionError: The caller has closed it.
    """
    first, repeated = build_pieces(kind, request_id, seal)
    writer.write(first)
    while True:
        writer.write(repeated)
        await writer.drain()
        await asyncio.sleep(0)
