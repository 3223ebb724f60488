"""The record of one run: what was sent, answered and run, with the time since its start."""

from __future__ import annotations

import asyncio
import os
import sys
import time
import traceback
from typing import TYPE_CHECKING, NoReturn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from pathlib import Path

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the disruption of the case takes place."""

COULD_NOT_RUN = 2
"""Exit status of a case that couldn't run."""


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


def play_case(case: Callable[[Record], Awaitable[int]], folder: Path) -> NoReturn:
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(folder)

    async def run() -> int:
        return await case(record)

    try:
        status = asyncio.run(run())
    except Exception:  # noqa: BLE001
        record.write(f"the case couldn't run: {traceback.format_exc()}")
        status = COULD_NOT_RUN
    sys.exit(status)
