"""Tests of the rows of the store that are skipped."""

from __future__ import annotations

import unittest

from guavamast.relay.unreadable_rows import UnreadableRow, UnreadableRows


class UnreadableRowsTest(unittest.TestCase):
    """Each row that is skipped is reported once for as long as it stands."""

    def test_a_row_is_reported_once_and_again_when_it_has_changed(self) -> None:
        """Guards against a log that holds nothing but one row, several times a second."""
        reported: list[tuple[str, int]] = []
        rows = UnreadableRows()
        rows.report = lambda row: reported.append((row.key, row.version))
        first = UnreadableRow(table="t", key="a", version=1, reason="nested too deeply")
        changed = UnreadableRow(table="t", key="a", version=2, reason="nested too deeply")
        for read in ([first], [first], [], [first], [changed], [changed]):
            rows.replace("t", read)
        self.assertEqual(reported, [("a", 1), ("a", 1), ("a", 2)])


if __name__ == "__main__":
    unittest.main()
