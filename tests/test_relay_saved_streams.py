"""Tests of bound streams that are saved in the store, for when all instances are killed."""

from __future__ import annotations

import asyncio
import json
import unittest
from base64 import b64encode
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.freshness import StoreClock
from guavamast.relay.store import StoreError
from guavamast.relay.stream_binding import (
    BoundStream,
    StreamBinding,
    compute_stream_key,
)
from guavamast.relay.stream_binding.records import UnconfirmedSource
from guavamast.relay.stream_binding.saved_streams import READ_VALID_S
from guavamast.relay.stream_binding.saved_wire import (
    decode_saved_streams,
    encode_saved_streams,
)
from guavamast.relay.stream_binding.saver import MAX_ROW_STREAMS, SAVED_SHARE
from guavamast.relay.stream_binding.saver_choice import INSTANCES_PER_GROUP, SAVERS, SaverChoice
from guavamast.relay.stream_binding.shards import SHARDS, find_shard
from tests.binding_fixtures import LIFETIME_S, STORE_EPOCH_S, V1, V2, SimulatedFleet

MAX_ROW_BYTES = 65_536
"""Bytes that a row of the store may hold."""
MAX_TRANSACTION_ENTRIES = 100
KEYS = [compute_stream_key("o", str(number)) for number in range(60)]


class SavedStreamsTestCase(unittest.IsolatedAsyncioTestCase):
    """Base of tests of fleets whose instances are all killed at once."""

    instances = 14

    def setUp(self) -> None:
        self.fleet = SimulatedFleet(self.instances)

    def bind(self, keys: list[str], *, at: str = "i0") -> None:
        """Begin streams, in turn at two software versions."""
        for number, key in enumerate(keys):
            binding = (V1, V2)[number % 2]
            self.fleet.directories[at].bind(key, binding, lifetime_s=LIFETIME_S)

    async def save(self) -> None:
        """Let all instances write what they were asked to save."""
        for saver in self.fleet.savers.values():
            if saver._changed:
                await saver.save()

    def kill_all(self) -> None:
        """Start a new process at each instance, which remembers nothing."""
        self.fleet.directories = {name: self.fleet.start(name) for name in self.fleet.records}

    async def find_binding(self, key: str, *, at: str = "i1") -> StreamBinding | None:
        lookup = await self.fleet.directories[at].find(key)
        return lookup.stream.binding if lookup.stream is not None else None

    async def check_known(self, keys: list[str]) -> None:
        for number, key in enumerate(keys):
            found = await self.find_binding(key, at=f"i{number % self.instances}")
            self.assertEqual(found, (V1, V2)[number % 2])


class KillOfAllTest(SavedStreamsTestCase):
    """Streams go on after all instances were killed, at what began them."""

    async def test_streams_are_known_after_all_instances_were_killed(self) -> None:
        """Guards against streams that can't go on, as nobody is left who remembers them."""
        self.bind(KEYS)
        await self.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_streams_are_known_after_all_instances_were_killed_twice(self) -> None:
        """Guards against new streams that replace what only the store remembers."""
        self.bind(KEYS[:40])
        await self.save()
        self.kill_all()
        self.bind(KEYS[40:])
        await self.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_a_stream_that_was_not_saved_is_unknown(self) -> None:
        """Guards against a guess at what began a stream right before the kill."""
        self.bind(KEYS[:1])
        self.kill_all()
        lookup = await self.fleet.directories["i1"].find(KEYS[0])
        self.assertEqual((lookup.stream, lookup.store_answered), (None, True))

    async def test_a_stream_is_unknown_until_the_store_answers(self) -> None:
        """Guards against a guess, or a refusal for good, of an instance that couldn't read yet."""
        self.bind(KEYS[:2])
        await self.save()
        self.kill_all()
        self.fleet.store.down = True
        lookup = await self.fleet.directories["i1"].find(KEYS[0])
        self.assertEqual((lookup.stream, lookup.store_answered), (None, False))
        self.fleet.store.down = False
        await self.check_known(KEYS[:2])

    async def test_a_key_of_two_streams_stays_bound_to_none(self) -> None:
        """Guards against a repeated id that is bound to one of its streams after the kill."""
        self.fleet.directories["i0"].bind(KEYS[0], V1, lifetime_s=LIFETIME_S)
        await self.save()
        self.fleet.directories["i1"].bind(KEYS[0], V2, lifetime_s=LIFETIME_S)
        await self.save()
        self.kill_all()
        lookup = await self.fleet.directories["i2"].find(KEYS[0])
        assert lookup.stream is not None
        self.assertIsNone(lookup.stream.binding)

    async def test_a_stream_is_saved_only_once_what_began_it_is_confirmed(self) -> None:
        """Guards against a stream that goes on by the row of an earlier start of its engine."""
        source = UnconfirmedSource(endpoint_id="x", started_ms=1, established_at=self.fleet.now)
        directory = self.fleet.directories["i0"]
        directory.bind(KEYS[0], V1, lifetime_s=LIFETIME_S, unconfirmed=source)
        await self.save()
        self.assertEqual(self.fleet.store.writes, 0)
        directory.bind(KEYS[0], V1, lifetime_s=LIFETIME_S)
        await self.save()
        self.kill_all()
        self.assertEqual(await self.find_binding(KEYS[0]), V1)

    async def test_either_saver_is_enough(self) -> None:
        """Guards against streams that are lost as the one that saves them was killed first."""
        self.bind(KEYS)
        savers = [name for name, saver in self.fleet.savers.items() if saver._changed]
        self.assertEqual(len(savers), SAVERS)
        await self.fleet.savers[savers[1]].save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_what_was_saved_is_forgotten_in_time(self) -> None:
        """Guards against a new stream under an old id that goes by what began the old one."""
        self.bind(KEYS[:1])
        await self.save()
        self.kill_all()
        self.fleet.now += LIFETIME_S + 0.1
        self.assertIsNone(await self.find_binding(KEYS[0]))

    async def test_callers_that_come_at_once_share_a_read(self) -> None:
        """Guards against as many calls to the store as streams, right after the kill of all."""
        self.bind(KEYS)
        await self.save()
        self.kill_all()
        self.fleet.store.reads = 0
        directory = self.fleet.directories["i1"]
        await asyncio.gather(*(directory.find(key) for key in KEYS))
        self.assertEqual(self.fleet.store.reads, 1)
        await directory.find(compute_stream_key("o", "unknown"))
        self.assertEqual(self.fleet.store.reads, 1)
        self.fleet.now += READ_VALID_S
        await directory.find(compute_stream_key("o", "unknown"))
        self.assertEqual(self.fleet.store.reads, 2)


class LargeFleetTest(KillOfAllTest):
    """The same in a fleet with aggregators, in which each pair saves a part of the shards."""

    instances = 60

    async def test_either_saver_is_enough(self) -> None:
        """Guards against streams that are lost as the ones that save them were killed first."""
        self.bind(KEYS)
        for shard in range(SHARDS):
            choice = self.fleet.directories["i0"]._savers
            second = choice.list_savers(shard, now=self.fleet.now)[1]
            saver = self.fleet.savers[second.name]
            if saver._changed:
                await saver.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_callers_that_come_at_once_share_a_read(self) -> None:
        """Guards against reads of all shards by each of many instances."""
        self.bind(KEYS)
        await self.save()
        self.kill_all()
        self.fleet.store.reads = 0
        await asyncio.gather(*(self.fleet.directories["i1"].find(key) for key in KEYS))
        self.assertEqual(self.fleet.store.reads, len({find_shard(key) for key in KEYS}))


class StoreFaultTest(SavedStreamsTestCase):
    """Writes that fail, or are performed late, lose nothing that is saved."""

    async def test_what_fails_is_written_again(self) -> None:
        """Guards against streams that are never saved, as the store was away for a moment."""
        self.fleet.store.down = True
        self.bind(KEYS)
        await self.save()
        self.fleet.store.down = False
        await self.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_streams_that_begin_during_a_read_are_written_later(self) -> None:
        """Guards against streams that are never saved, as they began while the store was asked."""
        self.fleet.store.on_read = lambda: self.bind(KEYS[20:])
        self.bind(KEYS[:20])
        await self.save()
        await self.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_a_write_without_an_answer_is_repeated(self) -> None:
        """Guards against an instance that saves nothing more once an answer was lost."""
        self.fleet.store.loses_answers = True
        self.bind(KEYS[:40])
        await self.save()
        self.fleet.store.loses_answers = False
        self.bind(KEYS[40:])
        await self.save()
        self.kill_all()
        await self.check_known(KEYS)

    async def test_a_write_that_is_performed_late_replaces_no_newer_one(self) -> None:
        """Guards against a delayed write that removes the streams of the writes after it."""
        store = self.fleet.store
        self.bind(KEYS[:20])
        await self.save()
        store.keeps_writes = True
        self.bind(KEYS[20:40])
        await self.save()
        store.keeps_writes = False
        self.bind(KEYS[40:])
        await self.save()
        for rows in store.kept:
            with self.assertRaises(StoreError):
                store.perform(rows)
        self.kill_all()
        await self.check_known(KEYS)

    async def test_rows_of_instances_that_are_gone_are_removed(self) -> None:
        """Guards against rows that nobody removes, of each instance that was ever replaced."""
        self.bind(KEYS)
        await self.save()
        gone = {name for _, name in self.fleet.store.rows}
        self.kill_all()
        self.fleet.now += LIFETIME_S + 0.1
        for name in gone:
            del self.fleet.records[name]
        self.fleet.peers = {}
        self.kill_all()
        self.bind(KEYS, at=next(iter(self.fleet.records)))
        await self.save()
        self.assertEqual(gone & {name for _, name in self.fleet.store.rows}, set())

    async def test_a_row_that_cannot_be_decoded_hides_no_other(self) -> None:
        """Guards against streams that are unknown, as another software version saved one row."""
        self.bind(KEYS)
        await self.save()
        (shard, name), row = next(iter(self.fleet.store.rows.items()))
        broken = [("x", b"no JSON"), ("y", b'["a",[]]\n'), ("z", (row.streams or b"") + b"0")]
        for other, streams in broken:
            self.fleet.store.rows[shard, other] = type(row)(
                shard=shard, instance=other, version=1, streams=streams
            )
        del name
        self.kill_all()
        await self.check_known(KEYS)


class BoundsTest(unittest.TestCase):
    """What is written stays within the bounds of the store, at any size of the fleet."""

    def test_the_largest_row_is_within_the_bound(self) -> None:
        """Guards against a busy fleet whose rows the store rejects."""
        binding = StreamBinding(service="s" * 60, software_version="v" * 60)
        stream = BoundStream(binding=binding, instance="i0", bound_at=0.0, expires_at=60.0)
        keys = [compute_stream_key("o", str(number)) for number in range(MAX_ROW_STREAMS)]
        data = encode_saved_streams(dict.fromkeys(keys, stream), store_time=1e9, now=0.0)
        value = json.dumps({"streams": b64encode(data).decode()})
        self.assertLessEqual(len(value), MAX_ROW_BYTES)

    def test_a_write_of_all_shards_is_within_the_bound(self) -> None:
        """Guards against a small fleet whose transactions the store rejects."""
        self.assertLessEqual(2 * SHARDS, MAX_TRANSACTION_ENTRIES)

    def test_few_instances_save_in_a_large_fleet(self) -> None:
        """Guards against calls to the store that grow with each instance."""
        fleet = SimulatedFleet(350)
        choice = SaverChoice(
            record=fleet.records["i0"], peers=fleet.peers["i0"], may_save=lambda: True
        )
        savers = [choice.list_savers(shard, now=fleet.now) for shard in range(SHARDS)]
        chosen = Counter(one.name for pair in savers for one in pair)
        self.assertLessEqual(len(chosen), SAVERS * (350 // INSTANCES_PER_GROUP + 1))
        self.assertTrue(all(len(pair) == SAVERS for pair in savers))

    def test_streams_are_saved_for_one_attempt(self) -> None:
        """Guards against rows that grow with streams that have long ended."""
        self.assertLessEqual(SAVED_SHARE, 0.25)


class CodecTest(unittest.TestCase):
    """Saved streams are read as they were written, whatever else a row holds is rejected."""

    def setUp(self) -> None:
        self.clock = StoreClock()
        self.clock.record(sent=0.0, store_time=STORE_EPOCH_S)

    @given(
        st.dictionaries(
            st.binary(min_size=12, max_size=12).map(bytes.hex),
            st.tuples(st.sampled_from([V1, V2, None]), st.floats(0.0, 60.0), st.floats(0.2, 60.0)),
        ),
        st.floats(0.0, 30.0),
    )
    def test_streams_survive_another_process(
        self, streams: dict[str, tuple[StreamBinding | None, float, float]], later_s: float
    ) -> None:
        saved = {
            key: BoundStream(
                binding=binding, instance="i0", bound_at=100.0 - age_s, expires_at=100.0 + left_s
            )
            for key, (binding, age_s, left_s) in streams.items()
        }
        data = encode_saved_streams(saved, store_time=100.0 + STORE_EPOCH_S, now=100.0)
        read = decode_saved_streams(data, instance="i0", clock=self.clock, now=100.0 + later_s)
        self.assertEqual(list(read), list(saved))
        for key, stream in read.items():
            self.assertEqual(stream.binding, saved[key].binding)
            self.assertAlmostEqual(stream.bound_at, saved[key].bound_at, delta=0.06)
            self.assertAlmostEqual(stream.expires_at, saved[key].expires_at, delta=0.06)

    @given(st.binary(max_size=60))
    def test_other_bytes_are_rejected_as_malformed(self, data: bytes) -> None:
        """Guards against a row of another writer that ends a read by an unforeseen error."""
        try:
            decode_saved_streams(data, instance="i0", clock=self.clock, now=0.0)
        except MalformedData:
            return


if __name__ == "__main__":
    unittest.main()
