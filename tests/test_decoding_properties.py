"""Tests of the decoders of bytes from outside: one error, whatever is wrong with them."""

from __future__ import annotations

import base64
import contextlib
import json
import unittest
import zlib
from typing import TYPE_CHECKING, Any, Final

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData, decode_json
from guavamast.platform.catalog_wire import decode_catalog
from guavamast.platform.endpoint_wire import decode_endpoint
from guavamast.platform.lease_client import _decode_lease
from guavamast.platform.quarantine_wire import decode_evidence, decode_quarantine_row
from guavamast.platform.store_calls import StoredRow
from guavamast.platform.store_client import _decode_instance
from guavamast.relay.catalog_update import CATALOG_PREFIX, decode_catalog_update
from guavamast.relay.duties.report_wire import decode_duty_message
from guavamast.relay.duties.saved_usage import decode_saved_usage
from guavamast.relay.duties.usage_ledger import _decode_window
from guavamast.relay.duty_settings import DUTY_PREFIX
from guavamast.relay.endpoint_update import ENDPOINTS_PREFIX, decode_endpoint_update
from guavamast.relay.forwarding.protocol import decode_order, decode_request
from guavamast.relay.heartbeat_wire import AGGREGATE_PREFIX, decode_message
from guavamast.relay.quarantine import QUARANTINE_PREFIX
from guavamast.relay.quarantine.report_wire import decode_quarantine_report
from guavamast.relay.rate_limits import RATE_LIMIT_PREFIX
from guavamast.relay.rate_limits.wire import decode_rate_limits
from guavamast.relay.reachability import REACHABILITY_PREFIX
from guavamast.relay.reachability.reports import decode_reachability_report
from guavamast.relay.rejection_limits import REJECTION_LIMIT_PREFIX, decode_rejection_limit
from guavamast.relay.scaling.order_book import _decode_orders
from guavamast.relay.scheduling_wire import SCHEDULING_PREFIX, decode_scheduling
from guavamast.relay.stream_binding import BINDING_PREFIX
from guavamast.relay.stream_binding.wire import decode_binding_message

if TYPE_CHECKING:
    from collections.abc import Callable

ROW_BYTES: Final = 65_536
"""Bytes of the largest row."""
UNDECODABLE: Final = (
    b"",
    b"[" * 20_000,
    b'{"a":' * 10_000,
    b"[" * ROW_BYTES,
    b"\xff\xfe",
    b"9" * 5_000,
    b"1e999",
    b"NaN",
    b'"\\ud800"',
)
"""Texts whose decoding or use fails with different errors."""
NUMBERS = st.sampled_from([1e308, -1.0, 2**63, 10**400, -(10**30), 0, True])
VALUES = st.recursive(
    st.none() | st.booleans() | NUMBERS | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=8) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=12,
)
TEXTS = (
    st.sampled_from(UNDECODABLE)
    | st.binary(max_size=200)
    | VALUES.map(lambda value: json.dumps(value).encode())
)


def decode_row(data: bytes, decode: Callable[[StoredRow], object]) -> object:
    """Decode bytes as the value of a row."""
    value = base64.b64encode(data).decode()
    return decode(StoredRow(key="i-1", version=1, value=value))


ROWS: Final[dict[str, Callable[[StoredRow], object]]] = {
    "endpoint": lambda row: decode_endpoint(row.key, row.decode(), row_version=1),
    "configuration": lambda row: decode_catalog(row.decode(), row_version=1),
    "instance": _decode_instance,
    "quarantine": lambda row: decode_quarantine_row(row.key, row.decode(), version=1),
    "evidence": lambda row: decode_evidence(row.decode()),
    "lease": _decode_lease,
}
"""The decoder of each table's rows."""
RECORDS: Final[dict[str, Callable[[str], object]]] = {
    "saved usage": decode_saved_usage,
    "window": lambda text: _decode_window("window-1", text),
    "orders": _decode_orders,
}
"""The decoders of texts in a lease's records."""
PLAIN: Final[dict[str, tuple[bytes, Callable[[bytes], object]]]] = {
    "heartbeat": (b"", decode_message),
    "load update": (b'["n",', decode_message),
    "scheduling": (SCHEDULING_PREFIX, decode_scheduling),
    "binding": (BINDING_PREFIX, lambda data: decode_binding_message(data, now=1.0)),
    "rate limits": (RATE_LIMIT_PREFIX, decode_rate_limits),
    "rejection limit": (REJECTION_LIMIT_PREFIX, decode_rejection_limit),
    "reachability": (REACHABILITY_PREFIX, decode_reachability_report),
    "forwarded request": (b"POST / HTTP/1.1\r\n", decode_request),
}
"""Datagrams and messages of plain text: what they start with, and their decoder."""
PACKED: Final[dict[str, tuple[bytes, Callable[[bytes], object]]]] = {
    "aggregate": (AGGREGATE_PREFIX, decode_message),
    "configuration": (CATALOG_PREFIX, decode_catalog_update),
    "endpoints": (ENDPOINTS_PREFIX, decode_endpoint_update),
    "quarantine": (QUARANTINE_PREFIX, lambda data: decode_quarantine_report(data, now=1.0)),
    "duties": (DUTY_PREFIX, decode_duty_message),
}
"""Datagrams of compressed text."""


class DecodersTest(unittest.TestCase):
    """No bytes raise anything but the typed error, which whoever reads them expects.

    Another error ends the task that reads, and with it the instance, as often as it reads.
    """

    @given(data=TEXTS)
    def test_rows(self, data: bytes) -> None:
        """Guards against a row of another writer that ends all instances."""
        for decode in ROWS.values():
            with contextlib.suppress(MalformedData):
                decode_row(data, decode)

    @given(data=TEXTS)
    def test_records_of_a_lease(self, data: bytes) -> None:
        """Guards against a record that keeps its reader from standing back in order."""
        for decode in RECORDS.values():
            with contextlib.suppress(MalformedData):
                decode(data.decode("latin-1"))

    @given(data=TEXTS)
    def test_plain_datagrams(self, data: bytes) -> None:
        """Guards against a datagram whose decoder raises what the socket doesn't expect."""
        for prefix, decode in PLAIN.values():
            with contextlib.suppress(MalformedData):
                decode(prefix + data)

    @given(data=TEXTS, cut=st.integers(0, 9))
    def test_packed_datagrams(self, data: bytes, cut: int) -> None:
        """Guards against the same in datagrams of whole tables."""
        packed = zlib.compress(data)
        for prefix, decode in PACKED.values():
            with contextlib.suppress(MalformedData):
                decode(prefix + packed[: len(packed) - cut])

    @given(headers=st.dictionaries(st.text(max_size=9), st.text(max_size=9)))
    def test_orders(self, headers: dict[str, str]) -> None:
        """Guards against an order of another instance that is closed without an answer."""
        with contextlib.suppress(MalformedData):
            decode_order(headers)

    def test_a_message_of_the_right_shape_with_values_that_fail_later(self) -> None:
        """Guards against a heartbeat whose address closes the socket of whoever answers it."""
        record: list[Any] = ["one", "a..b", "a", "r", "1.2.3.4:1", 7341, 1.0, 1.0]
        beat = {"v": 1, "who": record, "inc": 1, "seq": 1, "state": "serving", "store": True}
        with self.assertRaises(MalformedData):
            decode_message(json.dumps(beat).encode())


class JsonTest(unittest.TestCase):
    """Values that are accepted can be rounded, divided, encoded and sent on."""

    def test_numbers_and_strings_that_fail_later_are_malformed(self) -> None:
        """Guards against errors far from the decoder, in decisions and when a request is sent."""
        for text in ("NaN", "-Infinity", "1e999", "9" * 21, '["\\ud800"]', '{"\\uDfff": 1}'):
            with self.subTest(text), self.assertRaises(ValueError):
                decode_json(text)

    def test_ordinary_values_are_kept(self) -> None:
        values = {"a": [1, -(2**63), 2**63, 0.25, 1e-9], "b": "\u00e9\U0001f600", "c": None}
        self.assertEqual(decode_json(json.dumps(values)), values)
        self.assertEqual(decode_json(json.dumps(values, ensure_ascii=False).encode()), values)


if __name__ == "__main__":
    unittest.main()
