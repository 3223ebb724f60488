"""Tests of the decisions on contents and of their reports to other instances."""

from __future__ import annotations

import unittest

from guavamast.decoding import MalformedData
from guavamast.relay.quarantine import (
    QUARANTINE_PREFIX,
    Quarantine,
    QuarantineLedger,
    Verdict,
    decode_quarantine_report,
    encode_quarantine_report,
)
from guavamast.relay.quarantine.ledger import (
    IDLE_LIFETIME_S,
    MAX_QUARANTINES,
    MAX_TRIALS,
    OUTAGE_TRIAL_AFTER_S,
    TRIAL_AFTER_S,
)
from guavamast.relay.quarantine.outgoing import REPEAT_S
from tests.test_relay_quarantine_evidence import build_end

SKEW_S = 500.0
"""Difference of two instances' clocks."""


def build_ledger() -> QuarantineLedger:
    """Return an empty ledger."""
    return QuarantineLedger(domain="a", window_s=3.0)


def end_three(ledger: QuarantineLedger, *, gap_s: float = 4.0) -> float:
    """Record three ends of the content ``x``; return a time at which they are settled."""
    for number in range(3):
        ledger.record_end(build_end(number, "x", at=number * gap_s), now=number * gap_s)
    return 2 * gap_s + 1.0


class QuarantineLedgerTest(unittest.TestCase):
    """A culprit is refused until a trial or an operator releases it."""

    def setUp(self) -> None:
        self.ledger = build_ledger()
        self.now = end_three(self.ledger)

    def decide(self) -> None:
        self.assertEqual([one.attribute for one in self.ledger.decide(now=self.now).held], ["x"])

    def copy_to(self, other: QuarantineLedger, *, complete: bool, now: float) -> bool:
        """Send a report to an instance with another clock; return whether it was new there."""
        report = self.ledger.build_report(complete=complete, now=now)
        if report is None:
            return False
        data = encode_quarantine_report(report, now=now)
        assert data is not None
        received = decode_quarantine_report(data, now=now + SKEW_S)
        return bool(other.apply_report(received, now=now + SKEW_S))

    def test_nothing_is_refused_before_the_decision(self) -> None:
        self.assertIs(self.ledger.assess("x", now=self.now), Verdict.CLEAR)
        self.decide()
        self.assertIs(self.ledger.assess("x", now=self.now), Verdict.QUARANTINED)
        self.assertIs(self.ledger.assess("y", now=self.now), Verdict.CLEAR)

    def test_a_trial_is_due_later_than_an_outage(self) -> None:
        self.decide()
        self.assertEqual(self.ledger.compute_retry_after("x", now=self.now), TRIAL_AFTER_S)
        due_at = self.now + TRIAL_AFTER_S
        self.assertIs(self.ledger.assess("x", now=due_at - 0.1), Verdict.QUARANTINED)
        self.assertIs(self.ledger.assess("x", now=due_at), Verdict.TRIAL_DUE)

    def test_ends_of_one_outage_are_tried_soon(self) -> None:
        self.ledger = build_ledger()
        self.now = end_three(self.ledger, gap_s=0.1)
        self.decide()
        retry_after_s = self.ledger.compute_retry_after("x", now=self.now)
        self.assertEqual(retry_after_s, OUTAGE_TRIAL_AFTER_S)

    def test_trials_are_used_up(self) -> None:
        """Guards against trials that go on for ever, each at the cost of an endpoint."""
        self.decide()
        now = self.now
        for left in reversed(range(MAX_TRIALS)):
            now += TRIAL_AFTER_S
            self.assertIs(self.ledger.assess("x", now=now), Verdict.TRIAL_DUE)
            self.ledger.use_trial("x", trials_left=left, now=now)
            self.assertIs(self.ledger.assess("x", now=now), Verdict.QUARANTINED)
        self.assertIs(self.ledger.assess("x", now=now + 9 * TRIAL_AFTER_S), Verdict.QUARANTINED)

    def test_ends_after_the_window_count_as_trials(self) -> None:
        self.ledger.record_end(build_end(7, "x", at=12.0), now=12.0)
        self.ledger.record_end(build_end(8, "x", at=13.0), now=13.0)
        self.now = 14.0
        self.decide()
        quarantine = self.ledger.find("x")
        assert quarantine is not None
        self.assertEqual(quarantine.trials_left, MAX_TRIALS - 2)

    def test_an_answer_releases_everywhere(self) -> None:
        self.decide()
        other = build_ledger()
        self.copy_to(other, complete=False, now=self.now)
        self.assertTrue(self.ledger.clear("x", now=self.now + 1.0))
        self.copy_to(other, complete=False, now=self.now + 1.0)
        for ledger in (self.ledger, other):
            self.assertIsNone(ledger.find("x"))
            self.assertFalse(ledger.active)

    def test_a_late_report_does_not_restore_what_was_released(self) -> None:
        """Guards against a content that one slow instance puts back into quarantine."""
        self.decide()
        other = build_ledger()
        self.copy_to(other, complete=False, now=self.now)
        other.clear("x", now=self.now + SKEW_S + 1.0)
        self.copy_to(other, complete=True, now=self.now + 2.0)
        self.assertIsNone(other.find("x"))

    def test_news_are_repeated(self) -> None:
        """Guards against an instance that misses the only datagram."""
        self.decide()
        other = build_ledger()
        self.assertTrue(self.copy_to(other, complete=False, now=self.now + REPEAT_S - 0.1))
        self.assertIsNotNone(other.find("x"))

    def test_an_instance_that_starts_later_learns_of_it(self) -> None:
        self.decide()
        other = build_ledger()
        later = self.now + 100.0
        self.assertFalse(self.copy_to(other, complete=False, now=later))
        self.assertTrue(self.copy_to(other, complete=True, now=later))
        self.assertIs(other.assess("x", now=later + SKEW_S), Verdict.TRIAL_DUE)

    def test_instances_add_up_their_evidence(self) -> None:
        """Guards against instances of which each has seen one end only."""
        ledgers = [build_ledger() for _ in range(3)]
        for number, ledger in enumerate(ledgers):
            ledger.record_end(build_end(number, "x", at=4.0 * number), now=4.0 * number)
            self.ledger = ledger
            for other in ledgers:
                report = ledger.build_report(complete=False, now=4.0 * number)
                assert report is not None
                other.apply_report(report, now=4.0 * number)
        for ledger in ledgers:
            self.assertEqual(len(ledger.decide(now=20.0).held), 1)

    def test_a_report_is_news_once(self) -> None:
        """Guards against instances that forward the same report to each other without end.

        Each transit makes the times in a report seem a little later.
        """
        self.decide()
        self.ledger.clear("x", now=self.now)
        report = self.ledger.build_report(complete=True, now=self.now)
        assert report is not None
        data = encode_quarantine_report(report, now=self.now)
        assert data is not None
        other = build_ledger()
        end_three(other)
        for number, expected in enumerate((True, False, False)):
            now = self.now + 0.1 * number
            received = decode_quarantine_report(data, now=now)
            self.assertEqual(bool(other.apply_report(received, now=now)), expected)

    def test_reports_do_not_put_off_a_trial(self) -> None:
        """Guards against two instances that delay each other's trial with every report."""
        self.decide()
        other = build_ledger()
        now = self.now
        for _ in range(50):
            now += 2.0
            self.copy_to(other, complete=True, now=now)
            report = other.build_report(complete=True, now=now + SKEW_S)
            assert report is not None
            data = encode_quarantine_report(report, now=now + SKEW_S)
            assert data is not None
            self.ledger.apply_report(decode_quarantine_report(data, now=now + 1.9), now=now + 1.9)
        self.assertIs(self.ledger.assess("x", now=now), Verdict.TRIAL_DUE)

    def test_a_used_trial_is_known_elsewhere(self) -> None:
        self.decide()
        other = build_ledger()
        self.copy_to(other, complete=True, now=self.now)
        self.ledger.use_trial("x", trials_left=1, now=self.now + TRIAL_AFTER_S)
        self.copy_to(other, complete=False, now=self.now + TRIAL_AFTER_S)
        due_at = self.now + TRIAL_AFTER_S + SKEW_S
        self.assertIs(other.assess("x", now=due_at + 1.0), Verdict.QUARANTINED)

    def test_a_quarantine_that_nobody_asks_for_ends(self) -> None:
        self.decide()
        self.assertEqual(self.ledger.drop_expired(now=self.now + IDLE_LIFETIME_S + 1.0), ["x"])
        self.assertFalse(self.ledger.active)

    def test_a_quarantine_that_is_asked_for_stays(self) -> None:
        self.decide()
        self.ledger.assess("x", now=self.now + IDLE_LIFETIME_S)
        self.assertEqual(self.ledger.drop_expired(now=self.now + IDLE_LIFETIME_S + 1.0), [])

    def test_a_lost_request_is_not_repeated_if_it_ended_another_endpoint(self) -> None:
        first, second = build_end(1, at=0.0).incarnation, build_end(9, at=0.0).incarnation
        ledger = build_ledger()
        ledger.record_end(build_end(1, "x", at=1.0), now=1.0)
        self.assertFalse(ledger.has_ended_another("x", first, settled=False, now=1.0))
        self.assertTrue(ledger.has_ended_another("x", second, settled=False, now=1.0))
        self.assertFalse(ledger.has_ended_another("y", second, settled=False, now=1.0))

    def test_quarantines_are_bounded(self) -> None:
        for number in range(MAX_QUARANTINES + 20):
            quarantine = Quarantine(
                attribute=f"{number:032x}",
                organisation="o",
                ends=3,
                since=1.0,
                requested_at=float(number),
                trials_left=2,
                next_trial_at=60.0,
            )
            self.ledger.restore(quarantine)
        self.assertEqual(len(self.ledger.list_quarantines()), MAX_QUARANTINES)
        self.assertIsNone(self.ledger.find(f"{0:032x}"))
        report = self.ledger.build_report(complete=True, now=1.0)
        assert report is not None
        self.assertIsNotNone(encode_quarantine_report(report, now=1.0))

    def test_malformed_reports_are_rejected(self) -> None:
        for data in (b"", b"x", b"[1]"):
            with self.assertRaises(MalformedData):
                decode_quarantine_report(QUARANTINE_PREFIX + data, now=1.0)


if __name__ == "__main__":
    unittest.main()
