"""Codec of the rows of saved streams."""

from __future__ import annotations

from base64 import b64decode, b64encode
from typing import Any, Final

from guavamast.decoding import Decoding, decode_name
from guavamast.relay.store import BindingRow

SHARD_DIGITS: Final = 2
"""Digits of a shard at the beginning of a key."""


def encode_binding_key(row: BindingRow) -> str:
    """Return the key of a row: rows of a shard are neighbours."""
    return f"{row.shard:0{SHARD_DIGITS}d}/{row.instance}"


def name_shard(shard: int) -> tuple[str, str]:
    """Return the first key of a shard's rows, and the key before which they end."""
    return f"{shard:0{SHARD_DIGITS}d}/", f"{shard:0{SHARD_DIGITS}d}0"


def encode_binding_row(streams: bytes) -> dict[str, Any]:
    """Return the value of a row."""
    return {"streams": b64encode(streams).decode()}


def decode_binding_row(key: str, fields: Any, *, version: int) -> BindingRow:
    """Return a row.

    Args:
        key: Key of the row.
        fields: The decoded value of the row.
        version: The row's version in the store.

    Raises:
        MalformedData: The value is not that of such a row.
    """
    with Decoding("saved streams"):
        shard, _, instance = key.partition("/")
        return BindingRow(
            shard=int(shard),
            instance=decode_name(instance),
            version=version,
            streams=b64decode(fields["streams"], validate=True),
        )
