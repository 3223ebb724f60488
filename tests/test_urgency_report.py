"""Tests of the report on urgent requests that got nothing."""

from __future__ import annotations

import unittest
from typing import Any

from guavamast.urgency_report import build_urgency_report, format_urgency_report


def build_line(event: str, time: float, part: str, **fields: object) -> dict[str, Any]:
    """Return a decoded log line of a photo, or of what the fields say."""
    common = {"service": "pool", "route": "photos", "precedence": 1, "prompt_tokens": 1_000}
    return {"event": event, "time": time, "caller_part": part} | common | fields


class UrgencyReportTest(unittest.TestCase):
    """The lines of all instances tell who got nothing in the end."""

    def test_a_request_that_was_answered_at_its_second_attempt_got_something(self) -> None:
        """Guards against counting attempts where requests are meant."""
        entries = [
            build_line("refused", 10.0, "a", cause="no_room"),
            build_line("ended", 10.6, "a", outcome="answered", status=200, took_s=0.2),
            build_line("refused", 10.0, "b", cause="no_room"),
            build_line("ended", 10.5, "b", outcome="failed", status=504, cause="time_up"),
        ]
        report = build_urgency_report(entries)
        (window,) = report.windows
        self.assertEqual((window.requests, window.unserved), (2, 1))
        self.assertEqual(dict(report.causes["photos"]), {"time_up": 1})

    def test_less_urgent_work_is_counted_once_and_with_its_endpoint(self) -> None:
        """Guards against a report that doesn't tell where less urgent work went."""
        digest = {"route": "digests", "precedence": 2, "prompt_tokens": 9_000}
        entries = [
            build_line("refused", 10.0, "a", cause="no_room"),
            build_line("sent", 11.0, "d", endpoint="e1", send=1, **digest),
            build_line("sent", 11.5, "d", endpoint="e2", send=2, **digest),
            build_line("sent", 11.0, "p", endpoint="e1", send=1),
        ]
        report = build_urgency_report(entries)
        self.assertEqual(report.windows[0].less_urgent_tokens, 9_000)
        self.assertEqual(dict(report.places["photos"]), {"e1": 9_000})
        self.assertIn("no_room 1", format_urgency_report(report))


if __name__ == "__main__":
    unittest.main()
