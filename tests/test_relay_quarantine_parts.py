"""Tests of the ledger's decisions on parts of prompts."""

from __future__ import annotations

import unittest

from guavamast.relay.quarantine import (
    PROMPT_PART,
    EndpointEnd,
    EndpointIncarnation,
    LostAttribute,
    QuarantineLedger,
    QuarantineReport,
    decode_quarantine_report,
    encode_quarantine_report,
    name_part,
)
from guavamast.relay.quarantine.ledger import MAX_TRIALS
from guavamast.relay.quarantine.report_wire import MAX_LOST

PART = name_part("p")
COMMON = name_part("c")
SETTLED_S = PROMPT_PART.settle_s


def build_end(number: int, *attributes: str, at: float) -> EndpointEnd:
    """Return the end of an endpoint with what was lost there."""
    return EndpointEnd(
        incarnation=EndpointIncarnation(endpoint_id=f"e{number}", started_ms=number),
        ended_at=at,
        lost=frozenset(LostAttribute(attribute=one, organisation=None) for one in attributes),
    )


class PartsTest(unittest.TestCase):
    """A part is held after four ends that no answer speaks against."""

    def setUp(self) -> None:
        self.ledger = QuarantineLedger(domain="a", window_s=3.0)

    def end(
        self, *numbers: int, pause_s: float = 1.0, attributes: tuple[str, ...] = (PART,)
    ) -> None:
        """Record ends, one after the other."""
        for number in numbers:
            at = pause_s * number
            self.ledger.record_end(build_end(number, *attributes, at=at), now=at)

    def decide(self, *, now: float) -> list[str]:
        return [culprit.attribute for culprit in self.ledger.decide(now=now).held]

    def test_four_settled_ends_decide(self) -> None:
        self.end(1, 2, 3, 4)
        self.assertEqual(self.decide(now=4.0 + SETTLED_S - 0.1), [])
        self.assertEqual(self.decide(now=4.0 + SETTLED_S), [PART])

    def test_ends_of_one_outage_decide_nothing(self) -> None:
        """Guards against refusing a common part after all endpoints ended at once."""
        self.end(*range(9), pause_s=0.2, attributes=(PART, COMMON))
        self.assertEqual(self.decide(now=60.0), [])

    def test_a_further_end_after_an_outage_decides(self) -> None:
        self.end(0, 1, 2, 3, 4, pause_s=0.01)
        self.end(5)
        self.assertEqual(self.decide(now=5.0), [PART])

    def test_what_was_answered_between_two_ends_is_not_held(self) -> None:
        """Guards against refusing what is at each ended endpoint, as it is at all endpoints."""
        for number in range(12):
            self.end(number, attributes=(PART, COMMON))
            self.ledger.clear(COMMON, at=number + 0.6, now=number + 0.9)
            self.decide(now=number + 0.9)
        self.assertIsNotNone(self.ledger.find(PART))
        self.assertIsNone(self.ledger.find(COMMON))

    def test_an_answer_that_began_before_the_ends_clears_none(self) -> None:
        """Guards against a long answer that began before the part ended its first endpoint."""
        self.end(1, 2, 3, 4)
        self.ledger.clear(PART, at=0.0, now=5.0)
        self.assertEqual(self.decide(now=4.0 + SETTLED_S), [PART])

    def test_ends_after_an_answer_count_anew(self) -> None:
        self.end(1, 2, 3)
        self.ledger.clear(PART, at=3.1, now=3.2)
        self.end(4, 5, 6)
        self.assertEqual(self.decide(now=20.0), [])
        self.end(7)
        self.assertEqual(self.decide(now=20.0), [PART])

    def test_a_common_part_is_spared(self) -> None:
        """Guards against a decision that stops a large share of a service."""
        self.end(1, 2, 3, 4)
        decision = self.ledger.decide(now=20.0, is_common=lambda attribute: attribute == PART)
        self.assertEqual((decision.held, decision.spared), ([], [PART]))

    def test_a_held_part_is_not_spared(self) -> None:
        """Guards against a log that says both of a part after a restart with few answers."""
        self.end(1, 2, 3, 4)
        self.decide(now=20.0)
        decision = self.ledger.decide(now=21.0, is_common=lambda _: True)
        self.assertEqual((decision.held, decision.spared), ([], []))

    def test_a_spared_part_does_not_hide_the_cause(self) -> None:
        self.end(1, 2, 3, 4, attributes=(PART, COMMON))
        self.end(5, attributes=(COMMON,))
        decision = self.ledger.decide(now=20.0, is_common=lambda attribute: attribute == COMMON)
        self.assertEqual([one.attribute for one in decision.held], [PART])

    def test_the_fleet_has_time_to_learn_of_the_fifth_end(self) -> None:
        """Guards against trials that are used up by ends that were allowed."""
        self.end(1, 2, 3, 4, 5, 6, 7)
        self.decide(now=20.0)
        quarantine = self.ledger.find(PART)
        assert quarantine is not None
        self.assertEqual(quarantine.trials_left, MAX_TRIALS)

    def test_the_answer_to_a_request_under_way_releases_an_innocent_part(self) -> None:
        """Guards against a quarantine that outlasts an answer begun after the last end."""
        self.end(1, 2, 3, 4)
        self.decide(now=6.0)
        self.assertTrue(self.ledger.clear(PART, at=5.0, now=7.0))
        self.assertIsNone(self.ledger.find(PART))

    def test_a_report_that_is_under_way_does_not_restore_a_released_part(self) -> None:
        self.end(1, 2, 3, 4)
        self.decide(now=6.0)
        quarantine = self.ledger.find(PART)
        assert quarantine is not None
        self.ledger.clear(PART, at=5.0, now=7.0)
        self.assertFalse(self.ledger.restore(quarantine))

    def test_an_organisation_cannot_have_a_part_held_that_others_are_answered_on(self) -> None:
        """Guards against a caller who has the public part of others' prompts refused."""
        for number in range(12):
            digest = f"{number:032x}"
            self.end(number, attributes=(digest, COMMON))
            self.ledger.clear(COMMON, at=number + 0.2, now=number + 0.3)
            self.assertEqual(self.decide(now=number + 0.9), [])

    def test_parts_are_reported_before_contents(self) -> None:
        """Guards against a part that is left out of a report with many lost requests."""
        digests = [f"{number:032x}" for number in range(MAX_LOST)]
        self.end(1, attributes=(*digests, PART))
        report = self.ledger.build_report(complete=False, now=1.0)
        assert report is not None
        data = encode_quarantine_report(report, now=1.0)
        assert data is not None
        (end,) = decode_quarantine_report(data, now=1.0).ends
        self.assertIn(PART, {lost.attribute for lost in end.lost})

    def test_another_instance_takes_over_the_repeating_of_a_clearance(self) -> None:
        """Guards against a datagram of each instance for each answer with a common part."""
        ledgers = [QuarantineLedger(domain="a", window_s=3.0) for _ in range(2)]
        for ledger in ledgers:
            ledger.apply_report(self._report_end(), now=1.0)
        ledgers[0].clear(PART, at=1.2, now=1.3)
        ledgers[1].clear(PART, at=1.3, now=1.4)
        report = ledgers[1].build_report(complete=False, now=1.5)
        assert report is not None
        self.assertFalse(ledgers[0].apply_report(report, now=1.5))
        self.assertIsNone(ledgers[0].build_report(complete=False, now=1.5))

    def _report_end(self) -> QuarantineReport:
        self.end(1)
        report = self.ledger.build_report(complete=False, now=1.0)
        assert report is not None
        return report


if __name__ == "__main__":
    unittest.main()
