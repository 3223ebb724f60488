"""Tests that the docs of the relay's constants name the unit and don't describe tuning."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

RELAY = Path(__file__).resolve().parent.parent / "src" / "guavamast" / "relay"
UNITS = (
    "Addresses",
    "Answers",
    "Attributes",
    "Beats",
    "Bytes",
    "Connections",
    "Descriptor",
    "Endpoints",
    "Engines",
    "Factor",
    "Groups",
    "Failures",
    "Instances",
    "Intervals",
    "Level",
    "Lines",
    "Milliseconds",
    "Parts",
    "Rank",
    "Readers",
    "Relays",
    "Requests",
    "Runs",
    "Samples",
    "Seconds",
    "Share",
    "Tokens",
)
"""First words of a constant's doc."""
MIN_WORDS = 5
MAX_WORDS = 32
"""Length of a constant's doc: the unit, what it measures and a short reason."""
TUNING_WORDS = re.compile(r"\d|measured|tuned|chosen|bench|stand-in|buys|trial", re.IGNORECASE)
"""Words about how a value was found, which belongs in the commit and on the capacity page."""
SITES = ("awpme", "consigna", "siidrilaat")


def list_constants() -> list[tuple[str, str | None]]:
    """Return each numeric constant of the relay's modules with its doc."""
    constants = []
    for path in sorted(RELAY.rglob("*.py")):
        body = ast.parse(path.read_text(encoding="utf-8")).body
        for node, after in zip(body, [*body[1:], None], strict=True):
            if not isinstance(node, ast.AnnAssign) or not _is_number(node.value):
                continue
            name = f"{path.name}:{ast.unparse(node.target)}"
            constants.append((name, _read_doc(after)))
    return constants


def _is_number(node: ast.expr | None) -> bool:
    if isinstance(node, ast.Tuple):
        return all(map(_is_number, node.elts))
    if isinstance(node, ast.BinOp):
        return _is_number(node.left) and _is_number(node.right)
    return isinstance(node, ast.Constant) and isinstance(node.value, int | float)


def _read_doc(node: ast.stmt | None) -> str | None:
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return str(node.value.value)
    return None


class ConstantsTest(unittest.TestCase):
    """A constant's doc says what it counts; the capacity page says where the value comes from."""

    def test_each_figure_begins_with_its_unit(self) -> None:
        constants = list_constants()
        self.assertGreater(len(constants), 100)
        for name, text in constants:
            words = (text or "").split()
            self.assertIn((words or [""])[0].rstrip(";,:"), UNITS, name)
            self.assertTrue(MIN_WORDS <= len(words) <= MAX_WORDS, (name, len(words)))

    def test_the_unit_fits_the_name(self) -> None:
        endings = {"_S": "Seconds", "_MS": "Milliseconds", "_BYTES": "Bytes"}
        for name, text in list_constants():
            for ending, unit in endings.items():
                if name.endswith(ending) and not name.endswith("_PER" + ending):
                    self.assertTrue((text or "").startswith(unit), name)

    def test_no_figure_tells_how_it_was_found(self) -> None:
        for name, text in list_constants():
            self.assertIsNone(TUNING_WORDS.search(text or ""), name)

    def test_no_module_names_a_site(self) -> None:
        for path in RELAY.rglob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            for site in SITES:
                self.assertNotIn(site, text, path.name)


if __name__ == "__main__":
    unittest.main()
