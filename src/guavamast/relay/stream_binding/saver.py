"""Saves bound streams in the store, for instances that start after all have ended at once."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from dataclasses import replace
from typing import TYPE_CHECKING, Final

from guavamast.relay.store import BindingRow, StoreError
from guavamast.relay.stream_binding.saved_wire import encode_saved_streams
from guavamast.relay.stream_binding.shards import SHARDS, find_shard

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from guavamast.relay.counters import Counters
    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.store import Store
    from guavamast.relay.stream_binding.records import BoundStream
    from guavamast.relay.stream_binding.saved_streams import SavedStreams

GATHER_S: Final = 0.15
"""Seconds from the first stream that is to be saved until a write: others begin meanwhile."""
SAVE_INTERVAL_S: Final = 1.0
"""Seconds between two writes at least. What began since the last one is lost with all instances:
a small part of streams that last for seconds."""
SAVED_SHARE: Final = 0.25
"""Share of the time for which a stream is remembered in which it is saved: one attempt of its
caller, as only streams that run break when all instances end."""
MAX_ROW_STREAMS: Final = 2_500
"""Requests in a row whose streams are saved: their encoding stays within what a row may hold. The
newest are kept."""


class BindingSaver:
    """Writes the bound streams that this instance was asked to save.

    Each instance has rows of its own, one a shard, so the writes of two never replace each other. A
    write without an answer may be performed after later ones. It has a condition on the versions
    that the rows had, and fails then; until they are read again, nothing more is written.

    Args:
        name: Name of this instance.
        store: The platform's store.
        saved: Reads what is saved.
        clock: Maps store time to local time.
        log: Decision log.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_changed",
        "_clock",
        "_counters",
        "_log",
        "_name",
        "_read_time",
        "_saved",
        "_store",
        "_streams",
        "_versions",
        "_woken",
    )

    def __init__(
        self,
        *,
        name: str,
        store: Store,
        saved: SavedStreams,
        clock: StoreClock,
        log: DecisionLog,
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._name = name
        self._store = store
        self._saved = saved
        self._clock = clock
        self._log = log
        self._counters = counters
        self._read_time = read_time
        self._streams: defaultdict[int, dict[str, BoundStream]] = defaultdict(dict)
        """Streams to be saved, by shard and key, in the order of their recording."""
        self._changed: set[int] = set()
        """Shards with streams that are not known to be saved."""
        self._versions: dict[int, int] = {}
        """Versions of this instance's rows, by shard, 0 without a row; none if it isn't known."""
        self._woken = asyncio.Event()

    def record(self, key: str, stream: BoundStream) -> None:
        """Save a stream with the next write, unless what began it must still be confirmed."""
        if stream.unconfirmed is not None:
            return
        shard = find_shard(key)
        self._streams[shard].pop(key, None)
        self._streams[shard][key] = stream
        self._changed.add(shard)
        self._woken.set()

    async def run(self) -> None:
        """Write whenever there is something to save, until cancelled."""
        while True:
            await self._woken.wait()
            await asyncio.sleep(GATHER_S)
            await self.save()
            await asyncio.sleep(SAVE_INTERVAL_S)

    async def save(self) -> None:
        """Write the shards that have changed; what fails is written again later."""
        try:
            await self._read_versions(self._changed - self._versions.keys())
            await self._write()
        except StoreError as error:
            self._versions.clear()
            self._counters.add("stream_save_failures_total")
            self._log.write("streams_unsaved", now=self._read_time(), reason=error.reason)

    def clean_up(self, *, now: float) -> None:
        """Forget the streams that are saved for long enough."""
        for streams in self._streams.values():
            _drop_old(streams, now=now)

    async def _read_versions(self, shards: Collection[int]) -> None:
        """Read the versions of this instance's rows, and keep the streams in them.

        A former process of this instance has written them, and all instances may have ended with
        it: without those streams, the first write would remove what only the store remembers.
        """
        if not shards:
            return
        read = await self._saved.read_shards(shards)
        self._versions.update(dict.fromkeys(shards, 0))
        for one in read:
            if one.row.instance == self._name:
                shard = one.row.shard
                self._versions[shard] = one.row.version
                self._streams[shard] = one.streams | self._streams[shard]
        await self._remove_stale([one.row for one in read if not one.streams])

    async def _remove_stale(self, rows: list[BindingRow]) -> None:
        """Remove rows of other instances, which may be gone, without a stream to be remembered."""
        stale = [replace(row, streams=None) for row in rows if row.instance != self._name]
        if not stale:
            return
        try:
            await self._store.write_bindings(stale[:SHARDS])
        except StoreError as error:
            # Another instance removes or writes them at the same time.
            self._log.write("saved_streams_kept", now=self._read_time(), reason=error.reason)

    async def _write(self) -> None:
        now = self._read_time()
        store_time = self._clock.locate(now)
        assert store_time is not None, "the versions were read"
        # Others may have changed while the versions of these were read.
        shards = sorted(self._changed & self._versions.keys())
        rows = [self._build_row(shard, store_time=store_time, now=now) for shard in shards]
        self._changed.difference_update(shards)
        try:
            version = await self._store.write_bindings(rows)
        except BaseException:
            self._changed.update(shards)
            raise
        finally:
            if not self._changed:
                self._woken.clear()
        self._versions.update(dict.fromkeys(shards, version))
        self._counters.add("stream_saves_total")

    def _build_row(self, shard: int, *, store_time: float, now: float) -> BindingRow:
        streams = self._streams[shard]
        _drop_old(streams, now=now)
        return BindingRow(
            shard=shard,
            instance=self._name,
            version=self._versions[shard],
            streams=encode_saved_streams(streams, store_time=store_time, now=now),
        )


def _drop_old(streams: dict[str, BoundStream], *, now: float) -> None:
    """Drop the streams that are not to be saved any more, and the oldest of too many."""
    old = [key for key, stream in streams.items() if now >= _compute_end(stream)]
    for key in old:
        del streams[key]
    while len(streams) > MAX_ROW_STREAMS:
        del streams[next(iter(streams))]


def _compute_end(stream: BoundStream) -> float:
    """Return the local time until which a stream is saved."""
    return stream.bound_at + SAVED_SHARE * (stream.expires_at - stream.bound_at)
