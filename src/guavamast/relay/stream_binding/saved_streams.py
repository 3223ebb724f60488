"""Reads the bound streams that are saved in the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.decoding import MalformedData
from guavamast.relay.store import StoreError
from guavamast.relay.stream_binding.saved_wire import decode_saved_streams
from guavamast.relay.stream_binding.shards import find_shard

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from guavamast.relay.decision_log import DecisionLog
    from guavamast.relay.freshness import StoreClock
    from guavamast.relay.peers import Peers
    from guavamast.relay.store import BindingRow, Store
    from guavamast.relay.stream_binding.ledger import BindingLedger
    from guavamast.relay.stream_binding.records import BoundStream

READ_VALID_S: Final = 0.5
"""Seconds for which a read answers for all streams: many callers take theirs up at the same time,
and their streams were saved before."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SavedShard:
    """What one instance has saved of one shard."""

    row: BindingRow
    streams: dict[str, BoundStream]
    """The streams by their keys, without those that are forgotten."""


class SavedStreams:
    """Reads saved streams into what this instance remembers.

    In a small fleet one read covers all shards, in a large one each shard is read by itself.
    Callers that ask at the same time share a read.

    Args:
        store: The platform's store.
        ledger: What this instance remembers.
        peers: The other instances.
        clock: Maps store time to local time.
        log: Decision log.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_clock",
        "_ledger",
        "_log",
        "_peers",
        "_read_at",
        "_read_time",
        "_reads",
        "_store",
    )

    def __init__(
        self,
        *,
        store: Store,
        ledger: BindingLedger,
        peers: Peers,
        clock: StoreClock,
        log: DecisionLog,
        read_time: Callable[[], float],
    ) -> None:
        self._store = store
        self._ledger = ledger
        self._peers = peers
        self._clock = clock
        self._log = log
        self._read_time = read_time
        self._reads: dict[int | None, asyncio.Task[bool]] = {}
        """Reads under way, by shard."""
        self._read_at: dict[int | None, float] = {}
        """Local time at which the last successful read of each shard began."""

    async def refresh(self, key: str) -> bool:
        """Read the streams that are saved beside a key; return False if the store doesn't answer.

        What is found is in the ledger then.
        """
        shard = find_shard(key) if self._peers.aggregated else None
        now = self._read_time()
        if now - self._read_at.get(shard, float("-inf")) < READ_VALID_S:
            return True
        reading = self._reads.get(shard)
        if reading is None:
            reading = self._reads[shard] = asyncio.ensure_future(self._refresh(shard))
            reading.add_done_callback(lambda _: self._reads.pop(shard))
        return await asyncio.shield(reading)

    async def read_shards(self, shards: Collection[int]) -> list[SavedShard]:
        """Read at least some shards as all instances have saved them, and remember their streams.

        Raises:
            StoreError: The store doesn't answer.
        """
        scopes = list(shards) if self._peers.aggregated else [None]
        reads = await asyncio.gather(*(self._read(scope) for scope in scopes))
        return [one for read in reads for one in read]

    async def _refresh(self, shard: int | None) -> bool:
        began_at = self._read_time()
        try:
            await self._read(shard)
        except StoreError as error:
            self._log.write("saved_streams_unread", now=self._read_time(), reason=error.reason)
            return False
        self._read_at[shard] = began_at
        return True

    async def _read(self, shard: int | None) -> list[SavedShard]:
        rows = await self._store.read_bindings(shard=shard)
        now = self._read_time()
        saved = [SavedShard(row=row, streams=self._decode(row, now=now)) for row in rows]
        for one in saved:
            for key, stream in one.streams.items():
                self._ledger.record(key, stream, now=now)
        return saved

    def _decode(self, row: BindingRow, *, now: float) -> dict[str, BoundStream]:
        """Return the streams of a row that are not forgotten yet; none if it can't be decoded."""
        try:
            streams = decode_saved_streams(
                row.streams or b"", instance=row.instance, clock=self._clock, now=now
            )
        except MalformedData as error:
            # Another software version may save them in another form.
            self._log.write("saved_streams_unread", now=now, reason=str(error))
            return {}
        return {key: stream for key, stream in streams.items() if now < stream.expires_at}
