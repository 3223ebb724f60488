"""Tests of test runs in several processes."""

from __future__ import annotations

import sys
import time
import unittest
from unittest import mock

from tools.test_lanes import ClassReport, group_ids, run_lanes

CLASS = "tests.test_run_tests.FindRunFailuresTest"
TEST = f"{CLASS}.test_more_than_three_fail_the_run"


class GroupIdsTest(unittest.TestCase):
    """Each test is in one group."""

    def test_tests_are_grouped_by_class_and_those_of_long_classes_run_alone(self) -> None:
        short = ["tests.a.A.one", "tests.a.A.two"]
        long = [f"tests.test_soak.SoakRunTest.{name}" for name in ("one", "two")]
        groups = group_ids({"tests.a": short, "tests.test_soak": long})
        self.assertEqual(groups, {"tests.a.A": short, long[0]: long[:1], long[1]: long[1:]})

    def test_a_module_with_tests_of_other_names_is_one_group(self) -> None:
        """Guards against state machines that no process can load by their ids."""
        ids = ["tests.a.A.one", "hypothesis.stateful.Machine.TestCase.runTest"]
        self.assertEqual(group_ids({"tests.a": ids}), {"tests.a": ids})


class RunLanesTest(unittest.TestCase):
    """A failure in a process of its own is a failure of the run."""

    def test_a_group_that_passes_reports_its_tests(self) -> None:
        ((name, report),) = run_lanes({TEST: [TEST]}, lanes=1)
        self.assertEqual(name, TEST)
        self.assertEqual(report.failed, frozenset())
        self.assertEqual(list(report.durations_s), [TEST])

    def test_tests_of_a_long_class_run_one_after_the_other(self) -> None:
        """Guards against several soaks at the same time, whose instances get no processor."""
        running: set[str] = set()
        most = 0

        def run(name: str, ids: list[str]) -> ClassReport:
            nonlocal most
            running.add(name)
            most = max(most, sum(one.startswith("tests.test_soak") for one in running))
            time.sleep(0.02)
            running.discard(name)
            return ClassReport(failed=frozenset(), durations_s=dict.fromkeys(ids, 0.0), output="")

        names = [f"tests.test_soak.SoakRunTest.test_{n}" for n in range(4)] + ["tests.a.A"]
        with mock.patch("tools.test_lanes._run_group", run):
            reports = dict(run_lanes({name: [name] for name in names}, lanes=4))
        self.assertEqual(set(reports), set(names))
        self.assertEqual(most, 1)

    def test_a_test_that_does_not_exist_fails(self) -> None:
        """Guards against a run that counts tests which no process has run as passed."""
        ((_, report),) = run_lanes({f"{CLASS}.test_gone": [f"{CLASS}.test_gone"]}, lanes=1)
        self.assertNotEqual(report.failed, frozenset())

    def test_a_process_without_a_report_fails_all_of_its_tests(self) -> None:
        """Guards against a run that passes although one of its processes was ended."""
        with mock.patch.object(sys, "executable", "/bin/false"):
            ((_, report),) = run_lanes({CLASS: ["a", "b"]}, lanes=1)
        self.assertEqual(report.failed, {"a", "b"})
        self.assertIn("exit status 1", report.output)

    def test_a_torn_report_is_none(self) -> None:
        with self.assertRaises(ValueError):
            ClassReport.from_json('{"failed": [', ids=["a"], output="")

    def test_a_test_that_has_not_run_fails(self) -> None:
        """Guards against a process that runs fewer tests than were found."""
        report = ClassReport.from_json(
            '{"failed": [], "durations_s": {"a": 1.0}}', ids=["a", "b"], output=""
        )
        self.assertEqual(report.failed, {"b"})


if __name__ == "__main__":
    unittest.main()
