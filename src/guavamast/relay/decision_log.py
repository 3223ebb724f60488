"""One JSON object a line on standard output for each decision, bounded and never blocking."""

from __future__ import annotations

import json
import os
import time
from typing import Final

LINES_PER_S: Final = 80.0
"""Lines a second on average: several times the requests of an instance at its usual load."""
BURST_LINES: Final = 400.0
"""Lines at once, after a quiet time."""

LogValue = str | int | float | bool | None


class DecisionLog:
    """Writes lines until the rate is used up; what is dropped is counted in the next line.

    Failure: the reader of the log stops reading, the pipe fills, and the process waits in a write
    while its callers wait for answers. The descriptor does not block, and a line that finds no room
    is dropped and counted.

    Args:
        instance: Name of this instance, on each line.
        descriptor: Where lines go.
    """

    __slots__ = ("_allowance", "_descriptor", "_dropped", "_instance", "_unwritten", "_updated")

    def __init__(self, *, instance: str, descriptor: int) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._allowance = BURST_LINES
        self._updated: float | None = None
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, event: str, *, now: float, **fields: LogValue) -> None:
        """Write one line.

        Args:
            event: What was decided or seen, in a few words joined by underscores.
            now: The present time, for the rate.
            fields: The inputs that decided and the outcome.
        """
        if self._updated is not None:
            elapsed = max(0.0, now - self._updated)
            self._allowance = min(BURST_LINES, self._allowance + elapsed * LINES_PER_S)
        self._updated = now
        if self._allowance < 1.0:
            self._dropped += 1
            return
        self._allowance -= 1.0
        line: dict[str, LogValue] = {
            "time": round(time.time(), 3),
            "event": event,
            "instance": self._instance,
        }
        line.update(fields)
        if self._dropped:
            line["dropped"] = self._dropped
        if self._write_bytes(json.dumps(line, separators=(",", ":")).encode() + b"\n"):
            self._dropped = 0
        else:
            self._dropped += 1

    def _write_bytes(self, data: bytes) -> bool:
        """Write a line after the rest of the one before it; False when there is no room."""
        try:
            if self._unwritten:
                written = os.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
                if self._unwritten:
                    return False
            written = os.write(self._descriptor, data)
        except (BlockingIOError, BrokenPipeError):
            return False
        self._unwritten = data[written:]
        return True
