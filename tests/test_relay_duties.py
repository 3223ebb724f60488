"""Tests of the parts of the duties: time, counts, the ledger of windows, candidates, messages."""

from __future__ import annotations

import subprocess
import sys
import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from guavamast.decoding import MalformedData
from guavamast.relay.duties.candidacy import (
    CANDIDATES,
    RANK_DELAY_S,
    SILENCE_S,
    Candidacy,
    rank_candidates,
)
from guavamast.relay.duties.collection import FRESH_S, ReportCollection
from guavamast.relay.duties.report_wire import (
    decode_duty_message,
    encode_duty_message,
)
from guavamast.relay.duties.reports import DutyNotice, DutyReport
from guavamast.relay.duties.saved_usage import SavedUsage, decode_saved_usage
from guavamast.relay.duties.true_time import WindowClock, agree_on_offset
from guavamast.relay.duties.usage_counter import UsageCounter
from guavamast.relay.duties.usage_duty import UsageDuty
from guavamast.relay.duties.usage_ledger import UsageLedger
from guavamast.relay.duty_settings import DUTY_PREFIX
from guavamast.relay.provider import CallOutcome, WindowUsage
from guavamast.relay.scaling import ServiceDemand
from tests.relay_fixtures import build_instance

NOTICE = DutyNotice(holder="a", fencing=7, clock_offset_s=1000.5, fixed_through=41)
REPORT = DutyReport(
    instance="a",
    incarnation=3,
    sequence=9,
    as_of=12.5,
    wall_offset_s=1000.25,
    clock_offset_s=1000.5,
    windows={41: {"bakery": 4}, 42: {"bakery": 1, "florist": 2}},
    demand={"models": ServiceDemand(requests=5, prefill_tokens=900.0, output_tokens=70.0)},
)


class TrueTimeTest(unittest.TestCase):
    """Windows follow true time, whatever single wall clocks say."""

    @given(
        right=st.lists(st.floats(min_value=-0.05, max_value=0.05), min_size=6, max_size=40),
        jump=st.floats(min_value=-10.0, max_value=10.0),
        share=st.floats(min_value=0.0, max_value=0.45),
    )
    def test_clocks_that_jump_do_not_move_windows(
        self, right: list[float], jump: float, share: float
    ) -> None:
        """Guards against windows that begin seconds early as some clocks have jumped."""
        wrong = int(share * len(right))
        offsets = [1000.0 + error for error in right]
        offsets[:wrong] = [offset + jump for offset in offsets[:wrong]]
        agreed = agree_on_offset(offsets, instances=len(offsets))
        assert agreed is not None
        self.assertLess(abs(agreed - 1000.0), 0.11)

    def test_a_few_clocks_of_many_decide_nothing(self) -> None:
        """Guards against an offset that the first instance to start has set for all."""
        self.assertIsNone(agree_on_offset([1000.0], instances=14))
        self.assertIsNotNone(agree_on_offset([1000.0], instances=1))

    @given(store_time=st.floats(min_value=0.0, max_value=1e6))
    def test_each_moment_lies_in_its_window(self, store_time: float) -> None:
        clock = WindowClock(offset_s=1_787_000_000.25, window_s=5.0)
        window = clock.find_window(store_time)
        self.assertLessEqual(clock.find_end(window - 1) - 1e-3, store_time)
        self.assertLess(store_time, clock.find_end(window) + 1e-3)


class UsageCounterTest(unittest.TestCase):
    """Runs are kept until their windows are known, and until these are reported."""

    def test_runs_before_the_window_clock_are_counted(self) -> None:
        """Guards against runs that are lost before the first holder has set the clock."""
        counter = UsageCounter(locate=lambda at: at - 10.0)
        for at in (11.0, 12.0, 17.0):
            counter.record("bakery", now=at)
        clock = WindowClock(offset_s=100.0, window_s=5.0)
        self.assertEqual(counter.count(clock), {20: {"bakery": 2}, 21: {"bakery": 1}})
        counter.forget_through(20)
        counter.record("bakery", now=12.5)
        self.assertEqual(counter.count(clock), {21: {"bakery": 1}})

    def test_runs_before_the_store_has_answered_wait(self) -> None:
        """Guards against runs that are counted in a window that is guessed."""
        counter = UsageCounter(locate=lambda _: None)
        counter.record("bakery", now=1.0)
        self.assertEqual(counter.count(WindowClock(offset_s=0.0, window_s=5.0)), {})


class CollectionTest(unittest.TestCase):
    """Counts of all processes are summed, each by its newest report."""

    def test_a_process_that_ended_still_counts(self) -> None:
        """Guards against runs that are lost, or counted twice, when a process starts again."""
        collection = ReportCollection()
        collection.apply(REPORT, now=1.0)
        collection.apply(replace(REPORT, sequence=8, windows={41: {"bakery": 99}}), now=1.1)
        again = replace(REPORT, incarnation=4, sequence=1, windows={42: {"bakery": 10}})
        collection.apply(again, now=2.0)
        self.assertEqual(collection.count_window(41), {"bakery": 4})
        self.assertEqual(collection.count_window(42), {"bakery": 11, "florist": 2})

    def test_who_lags_behind_is_told(self) -> None:
        """Guards against windows that are final before all that live have reported them."""
        collection = ReportCollection()
        collection.apply(REPORT, now=1.0)
        self.assertEqual(collection.list_behind(12.0, offset_s=1000.5, since=0.0), [])
        self.assertEqual(collection.list_behind(13.0, offset_s=1000.5, since=0.0), ["a"])
        self.assertEqual(collection.list_behind(12.0, offset_s=1000.0, since=0.0), ["a"])
        self.assertEqual(collection.list_behind(13.0, offset_s=1000.5, since=1.5), [])

    def test_demand_grows_by_what_is_new(self) -> None:
        """Guards against a load that jumps when an instance begins to report here."""
        collection = ReportCollection()
        collection.apply(REPORT, now=1.0)
        self.assertEqual(collection.demand["models"].requests, 0)
        more = {"models": ServiceDemand(requests=8, prefill_tokens=950.0, output_tokens=70.0)}
        collection.apply(replace(REPORT, sequence=10, demand=more), now=1.5)
        self.assertEqual(collection.demand["models"].requests, 3)


class SavedUsageTest(unittest.TestCase):
    """Counts of windows that aren't fixed outlast all processes, and none counts twice."""

    def setUp(self) -> None:
        first = ReportCollection()
        first.apply(REPORT, now=1.0)
        self.saved = decode_saved_usage(first.save(fixed_through=40).encode())

    def test_counts_outlast_the_loss_of_all_instances(self) -> None:
        """Guards against a window that lacks what ran before all instances lost power."""
        after = ReportCollection()
        after.restore(self.saved)
        after.apply(
            replace(REPORT, incarnation=4, sequence=1, windows={42: {"bakery": 10}}), now=9.0
        )
        self.assertEqual(after.count_window(41), {"bakery": 4})
        self.assertEqual(after.count_window(42), {"bakery": 11, "florist": 2})

    def test_a_process_that_lives_on_counts_once(self) -> None:
        """Guards against runs that are in the saved counts and reported again."""
        successor = ReportCollection()
        successor.restore(self.saved)
        more = replace(REPORT, sequence=10, windows={42: {"bakery": 7, "florist": 2}})
        successor.apply(more, now=9.0)
        self.assertEqual(successor.count_window(42), {"bakery": 7, "florist": 2})

    def test_a_second_loss_keeps_the_counts_of_the_first(self) -> None:
        """Guards against counts that outlast one loss of power and not the next one."""
        second = ReportCollection()
        second.restore(self.saved)
        second.apply(
            replace(REPORT, incarnation=4, sequence=1, windows={42: {"bakery": 10}}), now=9.0
        )
        third = ReportCollection()
        third.restore(decode_saved_usage(second.save(fixed_through=41).encode()))
        self.assertEqual(third.count_window(42), {"bakery": 11, "florist": 2})
        self.assertEqual(third.count_window(41), {})

    def test_an_older_process_of_a_saved_instance_counts_once(self) -> None:
        """Guards against runs of an ended process that the saved counts and its report include."""
        first = ReportCollection()
        first.apply(REPORT, now=1.0)
        first.apply(replace(REPORT, incarnation=4, sequence=1, windows={}), now=2.0)
        successor = ReportCollection()
        successor.apply(REPORT, now=1.0)
        successor.restore(first.save(fixed_through=40))
        self.assertEqual(successor.count_window(41), {"bakery": 4})

    def test_processes_that_only_an_earlier_holder_knew_count_once(self) -> None:
        """Guards against counts that a third holder adds to the reports they come from."""
        own = replace(REPORT, instance="b", incarnation=1, windows={})
        first = ReportCollection()
        first.apply(REPORT, now=1.0)
        first.apply(own, now=1.0)
        second = ReportCollection()
        second.restore(first.save(fixed_through=40))
        second.apply(own, now=2.0)
        third = ReportCollection()
        third.restore(second.save(fixed_through=40))
        third.apply(REPORT, now=3.0)
        self.assertEqual(third.count_window(41), {"bakery": 4})

    def test_a_record_that_cannot_be_read_is_an_error_of_its_own(self) -> None:
        """Guards against a record of another version that ends the holder."""
        for text in ("no JSON", "[]", '{"ended": 3}', '{"ended": {}, "reporting": {}}'):
            with self.subTest(text=text), self.assertRaises(MalformedData):
                decode_saved_usage(text)


class UsageLedgerTest(unittest.TestCase):
    """Counts are written before they are sent, and never change."""

    def setUp(self) -> None:
        self.ledger = UsageLedger()
        self.ledger.begin(offset_s=1000.5, first_window=41)
        self.usage = WindowUsage(window=41, counts={"bakery": 4})

    def test_nothing_is_sent_before_it_is_written(self) -> None:
        """Guards against counts that only their sender knows, which the next holder counts anew."""
        self.ledger.fix(self.usage, now=1.0)
        self.assertEqual(self.ledger.list_due(now=2.0), [])
        self.ledger.build_records()
        self.ledger.record_written()
        self.assertEqual(self.ledger.list_due(now=2.0), [self.usage])

    def test_saved_counts_name_the_windows_that_they_belong_to(self) -> None:
        """Guards against the first window's counts, lost with all instances before it is fixed."""
        self.ledger.save(SavedUsage(reporting={41: {"bakery": 4}}, processes={"a": 3}))
        records = self.ledger.build_records()
        self.ledger.record_written()
        successor = UsageLedger()
        successor.load(records, now=9.0)
        self.assertEqual((successor.offset_s, successor.fixed_through), (1000.5, 40))
        self.ledger.save(SavedUsage())
        self.assertEqual(len(self.ledger.build_records()), 1)

    def test_the_next_holder_sends_what_stands_in_the_records(self) -> None:
        """Guards against two reports of one window with different counts."""
        self.ledger.fix(self.usage, now=1.0)
        successor = UsageLedger()
        successor.load(self.ledger.build_records(), now=9.0)
        self.assertEqual(successor.list_due(now=9.0), [self.usage])
        self.assertEqual((successor.offset_s, successor.fixed_through), (1000.5, 41))

    def test_a_confirmed_window_is_removed_and_others_are_repeated(self) -> None:
        """Guards against records that grow, and reports that are given up."""
        self.ledger.fix(self.usage, now=1.0)
        self.ledger.record_written()
        self.ledger.record_outcome(41, CallOutcome.UNKNOWN, now=2.0)
        self.assertEqual(self.ledger.list_due(now=2.1), [])
        self.assertEqual(self.ledger.list_due(now=3.0), [self.usage])
        self.ledger.record_outcome(41, CallOutcome.DONE, now=3.0)
        self.assertEqual([record.text for record in self.ledger.build_records()], [None])


class UsageDutyTest(unittest.TestCase):
    """Counts are saved once the processes that live have reported."""

    def test_a_new_holder_does_not_take_silent_processes_for_ended(self) -> None:
        """Guards against counts of live processes that the holder after it adds to their reports.

        The second holder takes over before the first report has reached it, and ends soon.
        """
        first = ReportCollection()
        first.apply(REPORT, now=1.0)
        ledger = UsageLedger()
        ledger.begin(offset_s=1000.5, first_window=41)
        ledger.save(first.save(fixed_through=40))
        duty = UsageDuty(
            ledger=UsageLedger(), collection=ReportCollection(), window_s=10.0, due_s=5.0
        )
        duty.restore(ledger.build_records(), now=2.0)
        for now in (2.0, 2.5):
            self.assertFalse(duty.is_save_due(now=now))
            duty.save(now=now)
        self.assertEqual(duty.ledger.build_records(), [])
        self.assertTrue(duty.is_save_due(now=2.0 + FRESH_S))
        duty.save(now=2.0 + FRESH_S)
        self.assertNotEqual(duty.ledger.build_records(), [])


class CandidacyTest(unittest.TestCase):
    """The strongest instances hold the duties, and change rarely."""

    def test_candidates_are_strong_and_apart(self) -> None:
        """Guards against duties that are lost with one failure domain."""
        records = [build_instance(f"weak-{number}", domain="a") for number in range(9)]
        strong = [
            replace(build_instance(f"strong-{domain}", domain=domain), processor_share=2.0)
            for domain in "abcd"
        ]
        ranked = rank_candidates([*records, *strong])
        self.assertEqual(len(ranked), CANDIDATES)
        self.assertTrue(all(one.name.startswith("strong") for one in ranked))
        self.assertEqual(len({one.failure_domain for one in ranked}), CANDIDATES)

    def test_candidates_take_over_one_after_the_other(self) -> None:
        """Guards against two candidates that take over from a silent holder at once."""
        for rank, name in enumerate("abc"):
            candidacy = Candidacy(name=name, started_at=0.0)
            candidacy.receive(replace(NOTICE, holder="z"), now=10.0)
            due = 10.0 + SILENCE_S + rank * RANK_DELAY_S
            for moment, expected in ((due - 0.1, False), (due + 0.1, True)):
                allowed = candidacy.may_hold(
                    ["a", "b", "c"], held=False, visible=9, known=9, now=moment
                )
                self.assertEqual(allowed, expected, (name, moment))

    def test_an_instance_that_sees_few_others_holds_nothing(self) -> None:
        """Guards against an instance cut off from the others that reports no usage of theirs."""
        candidacy = Candidacy(name="a", started_at=0.0)
        self.assertFalse(candidacy.may_hold(["a"], held=True, visible=2, known=14, now=99.0))
        self.assertTrue(candidacy.may_hold(["a"], held=True, visible=7, known=14, now=99.0))

    def test_a_notice_of_a_former_holder_changes_nothing(self) -> None:
        """Guards against a delayed notice that makes the present holder give up."""
        candidacy = Candidacy(name="b", started_at=0.0)
        candidacy.receive(replace(NOTICE, holder="b", fencing=9), now=1.0)
        candidacy.receive(NOTICE, now=2.0)
        self.assertFalse(candidacy.is_replaced(fencing=9))
        self.assertEqual(candidacy.find_holder(now=2.0), "b")


class ImportTest(unittest.TestCase):
    """What an instance imports depends on its settings."""

    def test_an_instance_without_duties_imports_none_of_their_modules(self) -> None:
        """Guards against memory that each instance pays for duties which its fleet doesn't have."""
        program = (
            "import sys; import guavamast.platform.runner, guavamast.platform.settings;"
            "print(*(one for one in sys.modules if one.startswith('guavamast.relay.duties')"
            " or one.startswith(('guavamast.relay.scaling', 'guavamast.leases'))))"
        )
        done = subprocess.run(
            [sys.executable, "-c", program], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.split(), [])


class DutyMessagesTest(unittest.TestCase):
    """Messages are decoded as encoded, and anything else is rejected."""

    def test_messages_round_trip(self) -> None:
        for message in (NOTICE, REPORT, replace(NOTICE, clock_offset_s=None)):
            self.assertEqual(decode_duty_message(encode_duty_message(message)), message)

    @given(data=st.binary(max_size=60))
    def test_any_other_datagram_is_rejected(self, data: bytes) -> None:
        with self.assertRaises(MalformedData):
            decode_duty_message(DUTY_PREFIX + data)


if __name__ == "__main__":
    unittest.main()
