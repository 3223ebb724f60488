"""One JSON line on standard output for each decision, rate-limited and never blocking."""

from __future__ import annotations

import json
import os
import time
from typing import Final

LINES_PER_S: Final = 80.0
"""Lines per second on average: several times an instance's usual request rate."""
BURST_LINES: Final = 400.0
"""Lines in one burst after an idle period."""

LogValue = str | int | float | bool | None


class DecisionLog:
    """Writes lines up to a rate limit; the next line written states how many were dropped.

    Without this, when the reader of the log stops reading, the pipe fills and the process blocks in
    a write while its callers wait for responses. The descriptor is non-blocking, and a line that
    does not fit is dropped and counted.

    Args:
        instance: Name of this instance, on each line.
        descriptor: File descriptor that lines are written to.
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
            event: Name of the decision or event, in a few words joined by underscores.
            now: The current time, for the rate limit.
            fields: The inputs of the decision and its outcome.
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
        """Write a line after the rest of the previous one; return False if the pipe is full."""
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
