"""Tests of the endpoint updates that instances send each other."""

from __future__ import annotations

import unittest
import zlib

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.endpoint_update import (
    ENDPOINTS_PREFIX,
    EndpointUpdate,
    decode_endpoint_update,
    encode_endpoint_update,
)
from guavamast.relay.fleet_state import FleetState
from guavamast.relay.freshness import StoreClock
from guavamast.relay.peers import Peers
from guavamast.relay.store import EndpointSnapshot
from tests.relay_fixtures import build_endpoint


def make_snapshot(*names: str, store_time: float) -> EndpointSnapshot:
    """Return a snapshot with endpoints of these names."""
    records = [
        build_endpoint(
            name,
            slots=64,
            software_version=None if number % 2 else f"v{number}",
            reclaimable=number % 2 == 0,
            leaves_s=None if number % 2 else 2.4,
        )
        for number, name in enumerate(names)
    ]
    return EndpointSnapshot(records=records, digest="-".join(names), store_time=store_time)


class EndpointUpdateTest(unittest.TestCase):
    """Endpoint updates are decoded as encoded, and anything else is rejected."""

    def test_endpoint_updates_round_trip(self) -> None:
        update = EndpointUpdate(domain="a", snapshot=make_snapshot("e1", "e2", store_time=12.5))
        data = encode_endpoint_update(update)
        assert data is not None
        self.assertEqual(decode_endpoint_update(data), update)

    def test_a_table_too_long_for_a_datagram_is_not_sent(self) -> None:
        names = [f"{number * 2_654_435_761 % 2**64:x}" for number in range(12_000)]
        update = EndpointUpdate(domain="a", snapshot=make_snapshot(*names, store_time=1.0))
        self.assertIsNone(encode_endpoint_update(update))

    @given(data=st.binary(max_size=60))
    def test_any_other_datagram_is_rejected(self, data: bytes) -> None:
        for body in (data, zlib.compress(data)):
            with self.assertRaises(MalformedData):
                decode_endpoint_update(ENDPOINTS_PREFIX + body)

    def test_an_older_table_changes_nothing(self) -> None:
        """A request is not sent to an endpoint that has left.

        The instance has read the table without the endpoint; a delayed, older update from another
        instance still lists it.
        """
        fleet_state = FleetState(failure_domain="a", peers=Peers(own_name="me"), clock=StoreClock())
        self.assertTrue(fleet_state.apply_endpoints(make_snapshot("e1", store_time=20.0)))
        self.assertFalse(fleet_state.apply_endpoints(make_snapshot("e1", "e2", store_time=19.0)))
        self.assertIsNone(fleet_state.endpoints.find("e2"))


if __name__ == "__main__":
    unittest.main()
