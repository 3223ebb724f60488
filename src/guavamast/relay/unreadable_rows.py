"""Rows of the store that can't be decoded, each reported once for as long as it stands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence


@dataclass(frozen=True, slots=True, kw_only=True)
class UnreadableRow:
    """A row whose value can't be decoded."""

    table: str
    key: str
    version: int
    reason: str


class UnreadableRows:
    """Reports rows that are skipped.

    A table is read several times a second, and its bad row stands until somebody removes it: the
    log would hold little else if each read reported it.
    """

    __slots__ = ("_standing", "report")

    def __init__(self) -> None:
        self._standing: dict[str, dict[str, int]] = {}
        self.report: Callable[[UnreadableRow], None] = _ignore
        """Receives each row, and each further version of one."""

    def replace(self, table: str, rows: Sequence[UnreadableRow]) -> None:
        """Replace the unreadable rows of a table by those of the latest read."""
        standing = self._standing.get(table, {})
        for row in rows:
            if standing.get(row.key) != row.version:
                self.report(row)
        self._standing[table] = {row.key: row.version for row in rows}


def _ignore(row: UnreadableRow) -> None:
    del row
