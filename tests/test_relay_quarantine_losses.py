"""Tests of losses that wait for evidence of their endpoint's end."""

from __future__ import annotations

import unittest

from guavamast.relay.endpoint_table import EndpointTable
from guavamast.relay.quarantine import LostAttribute, PendingLosses
from guavamast.relay.quarantine.losses import PENDING_LIFETIME_S
from tests.relay_fixtures import build_endpoint

LOST = LostAttribute(attribute="x", organisation="bakery")
OTHER = LostAttribute(attribute="y", organisation="bakery")
RECORD = build_endpoint("e")


class PendingLossesTest(unittest.TestCase):
    """Only the end of an endpoint counts, not a connection that broke."""

    def setUp(self) -> None:
        self.losses = PendingLosses()
        self.table = EndpointTable()
        self.table.apply([RECORD], digest="1", recovering=False)

    def test_the_first_loss_asks_for_a_check(self) -> None:
        self.assertTrue(self.losses.record(RECORD, {LOST}, now=1.0))
        self.assertFalse(self.losses.record(RECORD, {OTHER}, now=1.01))

    def test_a_confirmed_end_names_all_losses(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.losses.record(RECORD, {OTHER}, now=1.01)
        end = self.losses.confirm("e")
        assert end is not None
        self.assertEqual((end.lost, end.ended_at), (frozenset({LOST, OTHER}), 1.0))
        self.assertIsNone(self.losses.confirm("e"))

    def test_an_answer_after_the_loss_refutes_the_end(self) -> None:
        """Guards against charging contents with connections that were only reset."""
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.losses.refute(RECORD, now=1.1)
        self.assertTrue(self.losses)
        self.losses.refute(RECORD, now=2.0)
        self.assertIsNone(self.losses.confirm("e"))

    def test_an_answer_of_its_successor_does_not_refute_an_end(self) -> None:
        """Guards against an endpoint that is back soon under its id, and hides its end."""
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.losses.refute(build_endpoint("e", started_ms=2), now=2.0)
        self.assertIsNotNone(self.losses.confirm("e"))

    def test_an_earlier_reset_is_not_part_of_the_end(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.assertTrue(self.losses.record(RECORD, {OTHER}, now=3.0))
        end = self.losses.confirm("e")
        assert end is not None
        self.assertEqual(end.lost, frozenset({OTHER}))

    def test_a_listed_endpoint_has_not_ended(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.assertEqual(self.losses.list_replaced(self.table), [])

    def test_an_unlisted_endpoint_has_ended(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.table.apply([], digest="2", recovering=False)
        self.assertEqual(self.losses.list_replaced(self.table), ["e"])

    def test_an_endpoint_that_started_again_has_ended(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.table.apply([build_endpoint("e", started_ms=2)], digest="2", recovering=False)
        self.assertEqual(self.losses.list_replaced(self.table), ["e"])

    def test_an_endpoint_that_expired_in_an_outage_of_the_store_has_not_ended(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.table.apply([], digest="2", recovering=True)
        self.assertEqual(self.losses.list_replaced(self.table), [])

    def test_losses_without_evidence_expire(self) -> None:
        self.losses.record(RECORD, {LOST}, now=1.0)
        self.losses.drop_expired(now=1.1 + PENDING_LIFETIME_S)
        self.assertFalse(self.losses)


if __name__ == "__main__":
    unittest.main()
