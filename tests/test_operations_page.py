"""Tests that the page on diagnosing failed requests names existing events, fields and metrics."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "OPERATIONS.md"


def read_source() -> str:
    """Return the text of all modules that write log lines or metrics."""
    packages = [ROOT / "src" / "guavamast" / name for name in ("relay", "platform")]
    files = [path for package in packages for path in package.rglob("*.py")]
    return "\n".join(path.read_text(encoding="utf-8") for path in files)


class OperationsPageTest(unittest.TestCase):
    """The names that an on-call engineer searches for are those that the processes write."""

    def setUp(self) -> None:
        self.source = read_source()
        page = PAGE.read_text(encoding="utf-8")
        self.logged = page.partition("## What is logged")[2].partition("\n\n`kind`")[0]
        self.metrics = page.partition("## Metrics")[2]

    def test_events_and_fields_exist(self) -> None:
        rows = [line.split("|") for line in self.logged.splitlines() if line.startswith("| `")]
        self.assertGreater(len(rows), 6)
        for row in rows[1:]:
            for event in re.findall(r"`(\w+)`", row[1]):
                self.assertTrue(f'"{event}"' in self.source, event)
            for field in re.findall(r"`(\w+)`", row[3]):
                self.assertTrue(re.search(rf"\b{field}=", self.source), field)

    def test_every_event_is_on_the_page(self) -> None:
        written = re.findall(r'\.write\(\s*"(\w+)"', self.source)
        self.assertGreater(len(written), 10)
        for event in written:
            self.assertTrue(f"`{event}`" in self.logged, event)

    def test_metrics_exist(self) -> None:
        names = re.findall(r"`(\w+?)(?:\{\w+\})?`", self.metrics)
        for name in names:
            if name != "guavamast_":
                self.assertTrue(re.search(rf"[\"']{name}[\"'{{]", self.source), name)


if __name__ == "__main__":
    unittest.main()
