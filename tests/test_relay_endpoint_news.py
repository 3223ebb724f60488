"""Tests of the endpoint updates that instances send each other."""

from __future__ import annotations

import unittest
import zlib

from hypothesis import given
from hypothesis import strategies as st

from guavamast.relay.beats import MalformedBeat
from guavamast.relay.endpoint_news import (
    ENDPOINTS_PREFIX,
    EndpointNews,
    decode_endpoint_update,
    encode_endpoints,
)
from guavamast.relay.fleet_knowledge import FleetKnowledge
from guavamast.relay.freshness import StoreClock
from guavamast.relay.peers import Peers
from guavamast.relay.store import EndpointReading
from tests.relay_facts import make_endpoint


def make_snapshot(*names: str, store_time: float) -> EndpointReading:
    """Return a snapshot with endpoints of these names."""
    records = [make_endpoint(name, slots=64) for name in names]
    return EndpointReading(records=records, digest="-".join(names), reading=store_time)


class EndpointNewsTest(unittest.TestCase):
    """Endpoint updates are decoded as encoded, and anything else is rejected."""

    def test_tables_survive_the_wire(self) -> None:
        update = EndpointNews(domain="a", reading=make_snapshot("e1", "e2", store_time=12.5))
        data = encode_endpoints(update)
        assert data is not None
        self.assertEqual(decode_endpoint_update(data), update)

    def test_a_table_that_no_datagram_holds_is_not_told(self) -> None:
        names = [f"{number * 2_654_435_761 % 2**64:x}" for number in range(12_000)]
        update = EndpointNews(domain="a", reading=make_snapshot(*names, store_time=1.0))
        self.assertIsNone(encode_endpoints(update))

    @given(data=st.binary(max_size=60))
    def test_any_other_datagram_is_refused(self, data: bytes) -> None:
        for body in (data, zlib.compress(data)):
            with self.assertRaises(MalformedBeat):
                decode_endpoint_update(ENDPOINTS_PREFIX + body)

    def test_an_older_table_changes_nothing(self) -> None:
        """A request is not sent to an endpoint that has left.

        The instance has read the table without the endpoint; a delayed, older update from another
        instance still lists it.
        """
        knowledge = FleetKnowledge(
            failure_domain="a", peers=Peers(own_name="me"), clock=StoreClock()
        )
        self.assertTrue(knowledge.take_endpoints(make_snapshot("e1", store_time=20.0)))
        self.assertFalse(knowledge.take_endpoints(make_snapshot("e1", "e2", store_time=19.0)))
        self.assertIsNone(knowledge.endpoints.find("e2"))


if __name__ == "__main__":
    unittest.main()
