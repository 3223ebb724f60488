"""Tests of the attribution of endpoints' ends to contents."""

from __future__ import annotations

import unittest

from guavamast.relay.quarantine import (
    CONTENT,
    CrashEvidence,
    Culprit,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
)
from guavamast.relay.quarantine.evidence import (
    EVIDENCE_LIFETIME_S,
    MAX_ATTRIBUTES,
)

WINDOW_S = 3.0
SETTLE_S = CONTENT.settle_s


def build_end(number: int, *contents: str, at: float) -> EndpointEnd:
    """Return the end of an endpoint with what was lost there."""
    return EndpointEnd(
        incarnation=EndpointIncarnation(endpoint_id=f"e{number}", started_ms=number),
        ended_at=at,
        lost=frozenset(LostAttribute(attribute=content, organisation="o") for content in contents),
    )


class CrashEvidenceTest(unittest.TestCase):
    """The culprit is what the ended endpoints had in common, and was never answered."""

    def setUp(self) -> None:
        self.evidence = CrashEvidence()

    def add(self, number: int, *contents: str, at: float) -> None:
        self.evidence.add(build_end(number, *contents, at=at), now=at)

    def list_culprits(self, *, now: float) -> list[Culprit]:
        return self.evidence.list_culprits(held=(), spared=(), window_s=WINDOW_S, now=now)

    def list_names(self, *, now: float = 60.0) -> list[str]:
        return [culprit.attribute for culprit in self.list_culprits(now=now)]

    def test_what_three_ends_had_in_common_is_the_culprit(self) -> None:
        self.add(1, "x", "a", "b", at=10.0)
        self.add(2, "x", "a", at=14.0)
        self.add(3, "x", "c", at=18.0)
        (culprit,) = self.list_culprits(now=20.0)
        self.assertEqual(culprit.attribute, "x")
        self.assertEqual(culprit.endpoint_ids, ("e1", "e2", "e3"))
        self.assertEqual((culprit.late_ends, culprit.span_s), (0, 8.0))

    def test_two_ends_show_nothing(self) -> None:
        self.add(1, "x", at=10.0)
        self.add(2, "x", at=14.0)
        self.assertEqual(self.list_names(), [])

    def test_an_end_that_two_instances_report_counts_once(self) -> None:
        """Guards against a quarantine after one end that many instances have seen."""
        for _ in range(3):
            self.add(1, "x", at=10.0)
        self.assertEqual(self.list_names(), [])

    def test_incarnations_at_one_address_count_each(self) -> None:
        for started_ms in range(3):
            end = EndpointEnd(
                incarnation=EndpointIncarnation(endpoint_id="e", started_ms=started_ms),
                ended_at=10.0,
                lost=frozenset({LostAttribute(attribute="x", organisation=None)}),
            )
            self.evidence.add(end, now=10.0)
        self.assertEqual(self.list_names(), ["x"])

    def test_a_decision_waits_for_reports_of_the_same_end(self) -> None:
        """Guards against blaming an innocent content whose loss is reported first."""
        for number in (1, 2, 3):
            self.add(number, "innocent", at=10.0 + number)
        self.assertEqual(self.list_names(now=13.0 + SETTLE_S / 2), [])
        for number in (1, 2, 3, 4):
            self.add(number, "culprit", at=10.0 + number)
        self.assertEqual(self.list_names(), ["culprit"])

    def test_evidence_that_keeps_coming_does_not_put_off_the_decision(self) -> None:
        """Guards against a culprit that is never held as it ends endpoints too often."""
        for number in range(8):
            self.add(number, "x", at=10.0 + SETTLE_S / 2 * number)
        self.assertEqual(self.list_names(now=10.0 + SETTLE_S / 2 * 7), ["x"])

    def test_what_ran_beside_the_culprit_is_innocent(self) -> None:
        for number in (1, 2, 3):
            self.add(number, "innocent", "culprit", at=10.0 * number)
        self.add(4, "culprit", at=40.0)
        self.assertEqual(self.list_names(), ["culprit"])

    def test_contents_that_cannot_be_told_apart_wait_for_one_more_end(self) -> None:
        for number in (1, 2, 3):
            self.add(number, "a", "b", at=10.0 * number)
        self.assertEqual(self.list_names(), [])
        self.add(4, "a", "b", at=40.0)
        self.assertEqual(sorted(self.list_names()), ["a", "b"])

    def test_an_answer_clears(self) -> None:
        """Guards against refusing a common content that ran at each endpoint of an outage."""
        for number in (1, 2, 3):
            self.add(number, "common", at=10.0)
        self.evidence.clear("common", at=11.0)
        self.assertEqual(self.list_names(), [])
        self.add(4, "common", at=10.2)
        self.assertNotIn("common", self.evidence)

    def test_ends_after_an_answer_count(self) -> None:
        self.evidence.clear("x", at=9.0)
        for number in (1, 2, 3):
            self.add(number, "x", at=10.0 * number)
        self.assertEqual(self.list_names(), ["x"])

    def test_late_ends_are_those_after_the_window(self) -> None:
        for number, at in enumerate((10.0, 11.0, 12.0, 14.9, 15.1, 16.0)):
            self.add(number, "x", at=at)
        (culprit,) = self.list_culprits(now=20.0)
        self.assertEqual(culprit.late_ends, 2)

    def test_sufficient_evidence_settles_again_after_some_has_expired(self) -> None:
        """Guards against a decision that does not wait for the reports of the newest end."""
        for number in range(3):
            self.add(number, "x", at=10.0 + 100.0 * number)
        later = 11.0 + EVIDENCE_LIFETIME_S
        self.evidence.drop_expired(now=later)
        self.add(4, "x", at=later)
        self.assertEqual(self.list_names(now=later + SETTLE_S / 2), [])
        self.assertEqual(self.list_names(now=later + SETTLE_S), ["x"])

    def test_clearances_are_bounded(self) -> None:
        for number in range(MAX_ATTRIBUTES + 10):
            self.evidence.clear(f"{number}", at=float(number))
        self.assertFalse(self.evidence.is_cleared("9", since=0.0))
        self.assertTrue(self.evidence.is_cleared("10", since=0.0))

    def test_old_evidence_expires(self) -> None:
        self.add(1, "x", at=10.0)
        self.evidence.drop_expired(now=11.0 + EVIDENCE_LIFETIME_S)
        self.assertFalse(self.evidence)

    def test_a_flood_does_not_push_out_what_has_more_ends(self) -> None:
        """Guards against a caller who hides a culprit behind many lost requests."""
        self.add(1, "x", at=10.0)
        self.add(2, "x", at=11.0)
        for number in range(20):
            flood = [f"f{number}-{one}" for one in range(MAX_ATTRIBUTES // 8)]
            self.add(10 + number, *flood, at=20.0 + number)
        self.assertEqual(len(self.evidence), MAX_ATTRIBUTES)
        self.assertIn("x", self.evidence)


if __name__ == "__main__":
    unittest.main()
