"""Tests that the operators' documentation lists every code and key."""

from __future__ import annotations

import importlib
import re
import unittest
from pathlib import Path

from tools.settings_page import PAGE, render_page

from guavamast.errors import ErrorCode, Outcome
from guavamast.findings import FindingCode
from guavamast.plans import WarningCode

DOCS = Path(__file__).resolve().parent.parent / "docs"


class PagesTest(unittest.TestCase):
    """Every code and setting that an operator can encounter is documented."""

    def test_settings_page_is_that_of_the_schemas(self) -> None:
        message = "run python -m tools.settings_page"
        self.assertEqual(PAGE.read_text(encoding="utf-8"), render_page(), message)

    def test_every_code_has_one_row(self) -> None:
        text = (DOCS / "errors.md").read_text(encoding="utf-8")
        rows = re.findall(r"^\| `([a-z_]+)` \|", text, flags=re.MULTILINE)
        codes = [*Outcome, *ErrorCode, *FindingCode, *WarningCode]
        # outcome_unknown is both an outcome and a code, so it is counted twice.
        self.assertEqual(sorted(rows), sorted(map(str, codes)))

    def test_every_test_named_in_promises_exists(self) -> None:
        text = (DOCS / "PROMISES.md").read_text(encoding="utf-8")
        names = set(re.findall(r"`(test_\w+(?:\.\w+\.\w+)?)`", text))
        self.assertGreater(len(names), 40)
        for name in sorted(names):
            module_name, *path = name.split(".")
            found: object = importlib.import_module(f"tests.{module_name}")
            for part in path:
                found = getattr(found, part, None)
            self.assertIsNotNone(found, name)
