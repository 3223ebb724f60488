"""Properties of the memory of bound streams and of its messages."""

from __future__ import annotations

import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.requester import Requester
from guavamast.relay.stream_binding import BoundStream, StreamBinding, compute_stream_key
from guavamast.relay.stream_binding import ledger as ledger_module
from guavamast.relay.stream_binding.ledger import BindingLedger
from guavamast.relay.stream_binding.records import KEY_BYTES, UnconfirmedSource
from guavamast.relay.stream_binding.wire import (
    BINDING_PREFIX,
    BindingCopy,
    BindingMessage,
    BindingQuery,
    BindingReply,
    SaveRequest,
    decode_binding_message,
    encode_binding_message,
)

NOW = 50.0
BINDINGS = st.builds(
    StreamBinding,
    service=st.sampled_from(["pool", "annex"]),
    software_version=st.sampled_from(["v1", "v2", "é"]),
)
STREAMS = st.builds(
    BoundStream,
    binding=BINDINGS | st.none(),
    instance=st.sampled_from(["one", "two"]),
    bound_at=st.integers(0, 50).map(float),
    expires_at=st.integers(51, 90).map(float),
    unconfirmed=st.none()
    | st.builds(
        UnconfirmedSource,
        endpoint_id=st.sampled_from(["x", "y"]),
        started_ms=st.none() | st.integers(0, 9),
        established_at=st.integers(0, 50).map(float),
    ),
)
REQUESTERS = st.builds(
    Requester, instance=st.sampled_from(["one", "two"]), incarnation=st.integers(0, 99)
)
KEYS = st.binary(min_size=KEY_BYTES, max_size=KEY_BYTES).map(bytes.hex)
MESSAGES = (
    st.builds(BindingCopy, key=KEYS, stream=STREAMS)
    | st.builds(SaveRequest, key=KEYS, stream=STREAMS)
    | st.builds(BindingQuery, requester=REQUESTERS, key=KEYS)
    | st.builds(
        BindingReply,
        requester=REQUESTERS,
        key=KEYS,
        instance=st.sampled_from(["one", "two"]),
        stream=STREAMS | st.none(),
    )
)


class BindingMessageProperties(unittest.TestCase):
    """Messages arrive as sent, with times of the receiver's clock; anything else is rejected."""

    @given(message=MESSAGES)
    def test_messages_round_trip(self, message: BindingMessage) -> None:
        data = encode_binding_message(message, now=NOW)
        self.assertEqual(decode_binding_message(data, now=NOW), message)

    @given(stream=STREAMS, shift_s=st.integers(-1000, 1000))
    def test_times_are_those_of_the_receiver(self, stream: BoundStream, shift_s: int) -> None:
        data = encode_binding_message(BindingCopy(key="0f" * KEY_BYTES, stream=stream), now=NOW)
        message = decode_binding_message(data, now=NOW + shift_s)
        assert isinstance(message, BindingCopy)
        self.assertEqual(message.stream.bound_at, stream.bound_at + shift_s)
        self.assertEqual(message.stream.expires_at, stream.expires_at + shift_s)

    @given(key=st.text(max_size=30))
    def test_a_message_with_another_key_is_rejected(self, key: str) -> None:
        """Guards against a key that fails only where its shard or its place is computed."""
        data = encode_binding_message(
            BindingQuery(requester=Requester(instance="one", incarnation=1), key=key), now=NOW
        )
        with self.assertRaises(MalformedData):
            decode_binding_message(data, now=NOW)

    @given(data=st.binary(max_size=40))
    def test_any_other_datagram_is_rejected(self, data: bytes) -> None:
        with self.assertRaises(MalformedData):
            decode_binding_message(BINDING_PREFIX + data, now=NOW)


class StreamKeyProperties(unittest.TestCase):
    """A key belongs to one organisation and one id."""

    @given(
        one=st.tuples(st.text(max_size=4), st.text(max_size=4)),
        other=st.tuples(st.text(max_size=4), st.text(max_size=4)),
    )
    def test_keys_differ_unless_both_parts_are_equal(
        self, one: tuple[str, str], other: tuple[str, str]
    ) -> None:
        """Guards against an organisation that goes on with another's stream."""
        equal = compute_stream_key(*one) == compute_stream_key(*other)
        self.assertEqual(equal, one == other)


class BindingLedgerProperties(unittest.TestCase):
    """What is remembered never names software that didn't begin the stream."""

    @given(records=st.lists(st.tuples(st.sampled_from("abc"), STREAMS), max_size=12))
    def test_a_key_of_different_bindings_is_bound_to_none(
        self, records: list[tuple[str, BoundStream]]
    ) -> None:
        """Guards against a repeated id whose streams began at different software."""
        ledger = BindingLedger()
        for key, stream in records:
            ledger.record(key, stream, now=NOW)
        for key in "abc":
            bindings = {stream.binding for name, stream in records if name == key}
            found = ledger.find(key, now=NOW)
            if not bindings:
                self.assertIsNone(found)
                continue
            assert found is not None
            self.assertEqual(found.binding, bindings.pop() if len(bindings) == 1 else None)

    @given(streams=st.lists(STREAMS, min_size=1, max_size=6))
    def test_a_binding_counts_once_any_record_has_confirmed_it(
        self, streams: list[BoundStream]
    ) -> None:
        """Guards against a binding that counts although nobody has confirmed it."""
        ledger = BindingLedger()
        for stream in streams:
            ledger.record("a", stream, now=NOW)
        found = ledger.find("a", now=NOW)
        assert found is not None
        if found.binding is not None:
            confirmed = any(stream.unconfirmed is None for stream in streams)
            self.assertEqual(found.unconfirmed is None, confirmed)

    @given(streams=st.lists(STREAMS, max_size=12), later_s=st.integers(0, 60))
    def test_what_has_expired_is_not_found(self, streams: list[BoundStream], later_s: int) -> None:
        """Guards against a stream that goes on by what was bound under its id long ago."""
        ledger = BindingLedger()
        for number, stream in enumerate(streams):
            ledger.record(str(number), stream, now=NOW)
        now = NOW + later_s
        for number, stream in enumerate(streams):
            found = ledger.find(str(number), now=now)
            self.assertEqual(found is not None, now < stream.expires_at)
        ledger.drop_expired(now=now)
        self.assertEqual(len(ledger), sum(now < stream.expires_at for stream in streams))

    @given(count=st.integers(1, 30))
    def test_memory_is_bounded_and_the_newest_are_kept(self, count: int) -> None:
        """Guards against a process that grows with the streams of its callers."""
        stream = BoundStream(binding=None, instance="one", bound_at=0.0, expires_at=90.0)
        ledger = BindingLedger()
        with mock.patch.object(ledger_module, "MAX_STREAMS", 10):
            for number in range(count):
                ledger.record(str(number), stream, now=NOW)
        kept = [number for number in range(count) if ledger.find(str(number), now=NOW)]
        self.assertEqual(kept, list(range(max(0, count - 10), count)))


if __name__ == "__main__":
    unittest.main()
