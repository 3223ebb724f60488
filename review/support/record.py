"""The record of one run: what was sent, answered and run, with the time since its start."""

from __future__ import annotations

import os
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case takes place."""


class Record:
    """Writes lines to `record.txt` in the folder of a case, and to standard output."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.write(f"trouble: {'yes' if TROUBLE else 'no'}")

    @property
    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Write a line."""
        line = f"{self.now:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)
