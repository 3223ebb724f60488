"""Positions of instances on the ring by which bound streams are distributed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Final

from guavamast.rendezvous import compute_weight_cached

if TYPE_CHECKING:
    from guavamast.relay.store import InstanceRecord

POSITION_BYTES: Final = 8
"""Bytes of a position on the ring, the first ones of a stream key."""
RING_SIZE: Final = 256**POSITION_BYTES
RING_KEY: Final = "stream bindings"


def find_position(record: InstanceRecord) -> int:
    """Return the position of an instance."""
    return compute_weight_cached(RING_KEY, record.name)
