"""Runs test classes in several processes at the same time and collects their results."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

LONG_CLASSES: Final = ("tests.test_soak.SoakRunTest",)
"""Classes that take minutes; each of their tests is run by itself, one after the other."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ClassReport:
    """Result of the tests that one process has run."""

    failed: frozenset[str]
    """Ids of the failed tests."""
    durations_s: dict[str, float]
    """Seconds that each test took, by id."""
    output: str
    """What the process has printed."""

    def to_json(self) -> str:
        """Return the report without its output."""
        return json.dumps({"failed": sorted(self.failed), "durations_s": self.durations_s})

    @classmethod
    def from_json(cls, text: str, *, ids: list[str], output: str) -> ClassReport:
        """Return the report that a process has written.

        Args:
            text: The report.
            ids: Tests that the process was asked to run; those that it hasn't run have failed.
            output: What the process has printed.

        Raises:
            ValueError: If the text is no report, as the process has not come to its end.
        """
        fields: dict[str, Any] = json.loads(text)
        durations_s = fields["durations_s"]
        failed = {*fields["failed"], *(one for one in ids if one not in durations_s)}
        return cls(failed=frozenset(failed), durations_s=durations_s, output=output)


def group_ids(modules: dict[str, list[str]]) -> dict[str, list[str]]:
    """Return test ids by the name under which a process loads them.

    A module with tests that aren't named after it, such as state machines or a module that can't be
    imported, is one group: no other name loads them.

    Args:
        modules: Test ids by the name of their module.
    """
    groups: dict[str, list[str]] = {}
    for module, ids in modules.items():
        loads_by_id = all(test_id.startswith(f"{module}.") for test_id in ids)
        for test_id in ids:
            class_name = test_id.rpartition(".")[0]
            own_name = test_id if class_name in LONG_CLASSES else class_name
            groups.setdefault(own_name if loads_by_id else module, []).append(test_id)
    return groups


def run_lanes(groups: dict[str, list[str]], *, lanes: int) -> Iterator[tuple[str, ClassReport]]:
    """Run groups of tests, each in a process of its own; yield names and reports as they end.

    Tests of long classes start many processes each. They share one lane: several at the same time
    would leave the processes under test without a processor for seconds.

    Args:
        groups: Test ids by the name of their group.
        lanes: Number of processes at the same time.
    """
    with ThreadPoolExecutor(1) as long_lane, ThreadPoolExecutor(max(1, lanes - 1)) as other_lanes:
        names = {}
        for name, ids in groups.items():
            lane = long_lane if _is_long(name) else other_lanes
            names[lane.submit(_run_group, name, ids)] = name
        for future in as_completed(names):
            yield names[future], future.result()


def _is_long(name: str) -> bool:
    return name.rpartition(".")[0] in LONG_CLASSES


def _run_group(name: str, ids: list[str]) -> ClassReport:
    with tempfile.TemporaryDirectory() as directory:
        report = Path(directory) / "report.json"
        command = [sys.executable, "-m", "tools.run_tests", "--only", name, "--report", str(report)]
        process = subprocess.run(
            command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True, check=False
        )
        try:
            return ClassReport.from_json(report.read_text(), output=process.stdout, ids=ids)
        except (FileNotFoundError, ValueError):
            # It was ended from outside, or has ended the interpreter: none of its tests counts.
            ending = f"{name}: no report, exit status {process.returncode}\n"
            return ClassReport(
                failed=frozenset(ids), durations_s={}, output=process.stdout + ending
            )
