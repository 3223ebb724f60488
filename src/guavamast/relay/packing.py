"""Fields of a message as compressed JSON, for messages that hold a whole table."""

from __future__ import annotations

import json
import zlib
from typing import Any, Final

COMPRESSION_LEVEL: Final = 1
"""Level of compression, the least: most of the gain for little processor time."""
MAX_UNPACKED_BYTES: Final = 4_194_304
"""Bytes of what is unpacked at most; far above that of a thousand beats."""


def pack(fields: list[Any]) -> bytes:
    """Return fields as compressed JSON."""
    text = json.dumps(fields, separators=(",", ":"))
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Any:
    """Return the fields of compressed JSON, of bounded length.

    Raises:
        ValueError: It is none, or too long.
    """
    try:
        return json.loads(zlib.decompressobj().decompress(data, MAX_UNPACKED_BYTES))
    except zlib.error as error:
        raise ValueError(str(error)) from error
