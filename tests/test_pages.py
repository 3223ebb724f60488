"""Tests that the operators' documentation lists every code and key."""

from __future__ import annotations

import ast
import importlib
import re
import unittest
from pathlib import Path

from tools.settings_page import PAGE, render_page

from guavamast.errors import ErrorCode, Outcome
from guavamast.findings import FindingCode
from guavamast.plans import WarningCode

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
CODE_FOLDERS = ("src", "tests", "soak", "bench", "tools")
NAME = re.compile(r"\b(?:[A-Z][a-z0-9]+[A-Z]\w*|[A-Z][A-Z0-9]*_[A-Z0-9_]+)\b")
"""Names of classes of two words or more, and of constants."""


def list_code_names() -> set[str]:
    """Return all identifiers of the code, and all words in its string literals."""
    names: set[str] = set()
    for folder in CODE_FOLDERS:
        for path in (ROOT / folder).rglob("*.py"):
            for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
                names.update(
                    value
                    for key in ("id", "attr", "name", "arg")
                    if isinstance(value := getattr(node, key, None), str)
                )
                if isinstance(node, ast.Constant) and isinstance(node.value, str):
                    names.update(re.findall(r"\w+", node.value))
    return names


def list_pages() -> list[Path]:
    """Return the pages of today's code; those of incidents are records of their time."""
    pages = [*ROOT.glob("*.md"), *DOCS.rglob("*.md")]
    return [page for page in pages if "incidents" not in page.parts]


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

    def test_every_class_and_constant_named_on_a_page_exists(self) -> None:
        names = list_code_names()
        for page in list_pages():
            marked = " ".join(re.findall(r"`([^`\n]+)`", page.read_text(encoding="utf-8")))
            self.assertEqual(set(NAME.findall(marked)) - names, set(), page.name)

    def test_every_module_named_on_a_page_exists(self) -> None:
        modules = {path.name for folder in CODE_FOLDERS for path in (ROOT / folder).rglob("*.py")}
        for page in list_pages():
            named = set(re.findall(r"\b\w+\.py\b", page.read_text(encoding="utf-8")))
            self.assertEqual(named - modules, set(), page.name)
