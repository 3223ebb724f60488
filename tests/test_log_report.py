"""Tests of the report of request outcomes from log lines."""

from __future__ import annotations

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from guavamast.cli import run
from guavamast.log_report import GroupTally, count_outcomes, decode_lines, format_report


def format_line(event: str, **fields: Any) -> str:
    """Return a log line as a collector stores it, with its own text before the JSON object."""
    return f"3.2 front-1 {json.dumps({'time': 100.0, 'event': event} | fields)}\n"


LINES = [
    format_line("sent", request_id="a", route="chat", endpoint="e1"),
    format_line(
        "ended",
        request_id="a",
        outcome="answered",
        status=200,
        late="pause",
        first_event_s=0.1,
        longest_pause_s=0.4,
    ),
    format_line("sent", request_id="b", route="chat", endpoint="e2"),
    format_line("ended", request_id="b", outcome="failed", time=101.5),
    format_line("sent", request_id="c", route="status", endpoint="p1"),
    format_line("ended", request_id="c", outcome="answered", status=200, late=None),
    format_line("refused", request_id="d", route="chat", reason="no room in time", time=101.9),
    format_line("refused", request_id="e", reason="old keys"),
    "front-1 killed\n",
    '{"time": 1, "eve',
]


class LogReportTest(unittest.TestCase):
    """Each request that ended or was rejected counts once, in its group."""

    def count(self, by: str) -> dict[str, dict[str, int]]:
        return {
            group.name: dict(group.outcomes) for group in count_outcomes(decode_lines(LINES), by=by)
        }

    def test_by_route(self) -> None:
        self.assertEqual(
            self.count("route"),
            {
                "(none)": {"refused old keys": 1},
                "chat": {"late pause": 1, "failed": 1, "refused no room in time": 1},
                "status": {"in_time": 1},
            },
        )

    def test_by_endpoint_of_the_last_send(self) -> None:
        self.assertEqual(self.count("endpoint")["e2"], {"failed": 1})

    def test_by_second_since_the_first_line(self) -> None:
        seconds = self.count("second")
        self.assertEqual(seconds["    1"], {"failed": 1, "refused no room in time": 1})

    def test_an_endpoint_error_does_not_count_as_in_time(self) -> None:
        line = format_line("ended", request_id="x", outcome="answered", status=500, late=None)
        groups = count_outcomes(decode_lines([line]), by="route")
        self.assertEqual(groups[0].outcomes["error"], 1)

    def test_the_table_names_each_outcome(self) -> None:
        table = format_report(count_outcomes(decode_lines(LINES), by="route"))
        self.assertIn("LATE PAUSE", table)
        self.assertIn("100/100", table)
        self.assertEqual(format_report(list[GroupTally]()), "none")

    def test_the_command_prints_the_table_of_all_files(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "front-1.log"
            path.write_text("".join(LINES), encoding="utf-8")
            printed = io.StringIO()
            with contextlib.redirect_stdout(printed):
                code = run(["report", str(path), "--by", "endpoint"])
        self.assertEqual(code, 0)
        self.assertIn("LATE PAUSE", printed.getvalue())

    def test_a_wrong_grouping_or_no_file_is_a_usage_error(self) -> None:
        for arguments in (["report", "x.log", "--by", "colour"], ["report"]):
            printed = io.StringIO()
            with contextlib.redirect_stderr(printed):
                self.assertEqual(run(arguments), 2)
            self.assertIn("usage", printed.getvalue())


if __name__ == "__main__":
    unittest.main()
