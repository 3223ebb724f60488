"""Encoding of the bound streams of a shard as they are saved in the store.

A line of JSON with the store time of the encoding and the bindings, and after it a fixed number of
bytes for each stream. The process that reads them has another clock, so their times are relative.
"""

from __future__ import annotations

import struct
from typing import TYPE_CHECKING, Final

from guavamast.compact_json import encode_json
from guavamast.decoding import Decoding, decode_json
from guavamast.relay.stream_binding.records import KEY_BYTES, BoundStream, StreamBinding

if TYPE_CHECKING:
    from collections.abc import Mapping

    from guavamast.relay.freshness import StoreClock

TICKS_PER_S: Final = 10
"""Parts of a second in which the times of saved streams are counted."""
MAX_TICKS: Final = 0xFFFF
"""Parts of a second that a stored time can count at most."""
UNBOUND: Final = 0xFF
"""Level above all numbers of bindings: the number of streams that are bound to nothing."""
ENTRY: Final = struct.Struct(f"!{KEY_BYTES}sBHH")
"""Key, number of the binding, and the ticks since the first event and until it is forgotten."""


def encode_saved_streams(
    streams: Mapping[str, BoundStream], *, store_time: float, now: float
) -> bytes:
    """Return the encoded streams.

    Args:
        streams: The streams by their keys, all of them confirmed. Those of more bindings than can
            be numbered are left out.
        store_time: The store time of ``now``.
        now: The present time.
    """
    numbers: dict[StreamBinding, int] = {}
    entries = bytearray()
    for key, stream in streams.items():
        number = UNBOUND
        if stream.binding is not None:
            number = numbers.setdefault(stream.binding, len(numbers))
            if number >= UNBOUND:
                del numbers[stream.binding]
                continue
        age, left = _count_ticks(now - stream.bound_at), _count_ticks(stream.expires_at - now)
        entries += ENTRY.pack(bytes.fromhex(key), number, age, left)
    bindings = [[one.service, one.software_version] for one in numbers]
    return encode_json([round(store_time, 3), bindings]).encode() + b"\n" + entries


def decode_saved_streams(
    data: bytes, *, instance: str, clock: StoreClock, now: float
) -> dict[str, BoundStream]:
    """Return the streams by their keys.

    Args:
        data: The encoded streams.
        instance: Name of the instance that has saved them.
        clock: Maps store time to local time.
        now: The present time.

    Raises:
        MalformedData: They can't be decoded.
    """
    with Decoding("saved streams"):
        head, _, entries = data.partition(b"\n")
        store_time, named = decode_json(head)
        encoded_at = now - clock.compute_age(float(store_time), now=now)
        bindings: dict[int, StreamBinding | None] = {
            number: StreamBinding(service=str(service), software_version=str(version))
            for number, (service, version) in enumerate(named)
        }
        bindings[UNBOUND] = None
        return {
            key.hex(): BoundStream(
                binding=bindings[number],
                instance=instance,
                bound_at=encoded_at - age / TICKS_PER_S,
                expires_at=encoded_at + left / TICKS_PER_S,
            )
            for key, number, age, left in ENTRY.iter_unpack(entries)
        }


def _count_ticks(seconds: float) -> int:
    return max(0, min(MAX_TICKS, round(TICKS_PER_S * seconds)))
