"""Parts of HTTP/1.1 messages as ``h11`` takes them, and the framing of a response."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import h11

from guavamast.relay.response_end import BodyFraming

if TYPE_CHECKING:
    from guavamast.relay.messages import Header


def encode_headers(headers: list[Header]) -> list[tuple[bytes, bytes]]:
    """Return headers as they go over the wire: those of a caller with the bytes that it sent.

    Text that was received was decoded as Latin-1, which has a character for each byte. Only a name
    from the configuration can hold others.
    """
    return [(name.encode("latin-1"), _encode_value(value)) for name, value in headers]


def _encode_value(value: str) -> bytes:
    try:
        return value.encode("latin-1")
    except UnicodeEncodeError:
        return value.encode()


def build_body_events(body: bytes) -> list[h11.Event]:
    """Return the events of a whole body."""
    data = [h11.Data(data=body)] if body else []
    return [*data, h11.EndOfMessage()]


def find_framing(status: int, headers: list[Header]) -> BodyFraming:
    """Return what marks the end of the body of a response to a request other than HEAD."""
    names = {name.lower() for name, _ in headers}
    if "transfer-encoding" in names:
        return BodyFraming.CHUNKED
    if "content-length" in names or status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION
