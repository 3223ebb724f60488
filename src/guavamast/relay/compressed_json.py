"""Encoding of messages as compressed JSON, for those that contain a whole table."""

from __future__ import annotations

import zlib
from typing import Any, Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json

COMPRESSION_LEVEL: Final = 1
"""Level of compression, the lowest: most of the reduction for little CPU time."""
MAX_UNPACKED_BYTES: Final = 4_194_304
"""Bytes that are decompressed at most; far above those of a thousand heartbeats."""


def pack(fields: list[Any]) -> bytes:
    """Return fields as compressed JSON."""
    text = encode_json(fields)
    return zlib.compress(text.encode(), COMPRESSION_LEVEL)


def unpack(data: bytes) -> Any:
    """Return the fields of compressed JSON, decompressing a bounded length.

    Raises:
        MalformedData: The data is not compressed JSON, or is too long.
    """
    with Decoding("compressed JSON"):
        return decode_json(zlib.decompressobj().decompress(data, MAX_UNPACKED_BYTES))
