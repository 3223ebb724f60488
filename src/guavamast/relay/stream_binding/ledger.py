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
        if known is None:
            held = stream
        else:
            held = known if known.binding == stream.binding else replace(known, binding=None)
            expires_at = max(known.expires_at, stream.expires_at)
            held = replace(held, expires_at=expires_at)
        self._streams.pop(key, None)
        self._streams[key] = held
        self._drop_oldest(now=now)
        return held

    def find(self, key: str, *, now: float) -> BoundStream | None:
        """Return the stream of a key, unless it has expired."""
        stream = self._streams.get(key)
        return stream if stream is not None and now < stream.expires_at else None

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
