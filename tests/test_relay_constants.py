"""Tests that the figures in the relay's decisions say what they rest on."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

RELAY = Path(__file__).resolve().parent.parent / "src" / "guavamast" / "relay"
LEAST_WORDS = 6
"""Words in which a unit and its grounds can be told."""
SITES = ("awpme", "consigna", "siidrilaat")


def list_figures() -> list[tuple[str, str | None]]:
    """Return each numeric constant of the relay's modules with the text under it."""
    figures = []
    for path in sorted(RELAY.glob("*.py")):
        body = ast.parse(path.read_text(encoding="utf-8")).body
        for node, after in zip(body, [*body[1:], None], strict=True):
            if not isinstance(node, ast.AnnAssign) or not _is_number(node.value):
                continue
            name = f"{path.name}:{ast.unparse(node.target)}"
            figures.append((name, _read_text(after)))
    return figures


def _is_number(node: ast.expr | None) -> bool:
    if isinstance(node, ast.Tuple):
        return all(map(_is_number, node.elts))
    if isinstance(node, ast.BinOp):
        return _is_number(node.left) and _is_number(node.right)
    return isinstance(node, ast.Constant) and isinstance(node.value, int | float)


def _read_text(node: ast.stmt | None) -> str | None:
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        return str(node.value.value)
    return None


class ConstantsTest(unittest.TestCase):
    """A figure without its grounds is one that fits the site it was tried on."""

    def test_each_figure_is_explained(self) -> None:
        figures = list_figures()
        self.assertGreater(len(figures), 60)
        for name, text in figures:
            self.assertGreaterEqual(len((text or "").split()), LEAST_WORDS, name)

    def test_no_module_names_a_site(self) -> None:
        for path in RELAY.glob("*.py"):
            text = path.read_text(encoding="utf-8").lower()
            for site in SITES:
                self.assertNotIn(site, text, path.name)


if __name__ == "__main__":
    unittest.main()
