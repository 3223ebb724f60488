"""The bound streams that one instance remembers, bounded by their number and by time."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from guavamast.relay.stream_binding.records import BoundStream

MAX_STREAMS: Final = 20_000
"""Requests whose streams are remembered at most; the oldest are dropped first."""


class BindingLedger:
    """Remembers bound streams by their keys."""

    __slots__ = ("_streams",)

    def __init__(self) -> None:
        self._streams: dict[str, BoundStream] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def record(self, key: str, stream: BoundStream, *, now: float) -> BoundStream:
        """Remember a stream; return it as it is remembered now.

        Two streams of one key can't be told apart, so their key is bound to neither of them.
        """
        known = self.find(key, now=now)
        held = stream if known is None else _merge(known, stream)
        self._streams.pop(key, None)
        self._streams[key] = held
        self._drop_oldest(now=now)
        return held

    def find(self, key: str, *, now: float) -> BoundStream | None:
        """Return the stream of a key, unless it has expired."""
        stream = self._streams.get(key)
        return stream if stream is not None and now < stream.expires_at else None

    def list_keys(self) -> list[str]:
        """Return the keys of all streams that are remembered."""
        return list(self._streams)

    def drop_expired(self, *, now: float) -> None:
        """Forget the streams that have expired."""
        expired = [key for key, stream in self._streams.items() if now >= stream.expires_at]
        for key in expired:
            del self._streams[key]

    def _drop_oldest(self, *, now: float) -> None:
        if len(self._streams) > MAX_STREAMS:
            self.drop_expired(now=now)
        while len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]


def _merge(known: BoundStream, other: BoundStream) -> BoundStream:
    """Return what is known of a key from two records."""
    expires_at = max(known.expires_at, other.expires_at)
    if known.binding != other.binding:
        return replace(known, binding=None, unconfirmed=None, expires_at=expires_at)
    confirmed = known.unconfirmed is None or other.unconfirmed is None
    unconfirmed = None if confirmed else known.unconfirmed
    return replace(known, unconfirmed=unconfirmed, expires_at=expires_at)
