"""One JSON line on standard output for each decision, rate-limited and never blocking."""

from __future__ import annotations

import asyncio
import os
import time
from typing import TYPE_CHECKING, Final

from guavamast.compact_json import encode_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters

LINES_PER_S: Final = 80.0
"""Lines per second on average: several times an instance's usual request rate."""
BURST_LINES: Final = 400.0
"""Lines in one burst after an idle period."""
RESERVED_LINES: Final = 200.0
"""Lines of that burst that are never routine ones."""
ROUTINE_EVENTS: Final = frozenset({"first_event", "sent"})
"""Events that are left out first under load: counters tell them as well, and a request that gets
nothing has a line of its own at its end."""
MAX_UNWRITTEN_BYTES: Final = 65_536
"""Bytes that are kept while the reader of the log doesn't read; a pipe holds as many again."""
RESERVED_BYTES: Final = 131_072
"""Bytes that are kept beyond these for lines on losses: one for each request of a full instance."""
FLUSH_INTERVAL_S: Final = 0.02
"""Seconds between two attempts to write the rest of the log."""
MAX_FLUSH_S: Final = 1.0
"""Seconds for which a process that ends awaits the reader of its log at most."""

LogValue = str | int | float | bool | None


class DecisionLog:
    """Writes lines up to a rate limit; the next line written states how many were dropped.

    Without this, when the reader of the log stops reading, the pipe fills and the process blocks in
    a write while its callers wait for responses. The descriptor is non-blocking. While it takes no
    more, as on a full disk, routine lines are dropped, and others are kept up to a limit.

    Args:
        instance: Name of this instance, on each line.
        descriptor: File descriptor that lines are written to.
        counters: Count the lines that are dropped, by event.
    """

    __slots__ = (
        "_allowance",
        "_counters",
        "_descriptor",
        "_dropped",
        "_instance",
        "_unwritten",
        "_updated",
    )

    def __init__(self, *, instance: str, descriptor: int, counters: Counters | None = None) -> None:
        self._instance = instance
        self._descriptor = descriptor
        self._counters = counters
        self._allowance = BURST_LINES
        self._updated: float | None = None
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def write(self, event: str, *, now: float, essential: bool = False, **fields: LogValue) -> None:
        """Write one line.

        Args:
            event: Name of the decision or event, in a few words joined by underscores.
            now: The current time, for the rate limit.
            essential: Whether the line tells of a loss. The rate limit doesn't apply to it: many
                requests that are cut at one moment would leave no trace.
            fields: The inputs of the decision and its outcome.
        """
        if not self._spend_allowance(event, now=now) and not essential:
            self._drop(event)
            return
        line: dict[str, LogValue] = {
            "time": round(time.time(), 3),
            "event": event,
            "instance": self._instance,
        }
        line.update(fields)
        if self._dropped:
            line["dropped"] = self._dropped
        data = encode_json(line).encode() + b"\n"
        if self._write_bytes(event, data, essential=essential):
            self._dropped = 0
        else:
            self._drop(event)

    async def flush(self, *, until: float, read_time: Callable[[], float]) -> None:
        """Write what is unwritten before the process ends, for as long as its reader may take.

        Without this, the last lines are lost, the newest of them in the middle, whenever the reader
        is behind: just those on the requests that the end of the process has cut.

        Args:
            until: Time until which the reader is awaited at most.
            read_time: The clock of that time.
        """
        until = min(until, read_time() + MAX_FLUSH_S)
        self._flush()
        while self._unwritten and read_time() < until:
            await asyncio.sleep(FLUSH_INTERVAL_S)
            self._flush()

    def _spend_allowance(self, event: str, *, now: float) -> bool:
        """Return whether the rate limit permits a line."""
        if self._updated is not None:
            elapsed = max(0.0, now - self._updated)
            self._allowance = min(BURST_LINES, self._allowance + elapsed * LINES_PER_S)
        self._updated = now
        reserved = RESERVED_LINES if event in ROUTINE_EVENTS else 0.0
        if self._allowance < reserved + 1.0:
            return False
        self._allowance -= 1.0
        return True

    def _drop(self, event: str) -> None:
        self._dropped += 1
        if self._counters is not None:
            self._counters.add(f'log_lines_dropped_total{{event="{event}"}}')

    def _write_bytes(self, event: str, data: bytes, *, essential: bool) -> bool:
        """Write a line after what is unwritten, or keep it; return False if it can't be kept."""
        self._flush()
        if self._unwritten:
            limit = MAX_UNWRITTEN_BYTES + (RESERVED_BYTES if essential else 0)
            if event in ROUTINE_EVENTS or len(self._unwritten) + len(data) > limit:
                return False
            self._unwritten += data
            return True
        self._unwritten = data
        return self._flush()

    def _flush(self) -> bool:
        """Write what is unwritten, as far as the descriptor takes it.

        Returns:
            Whether the rest waits for the reader; False if both are gone.
        """
        if not self._unwritten:
            return True
        try:
            written = os.write(self._descriptor, self._unwritten)
        except BrokenPipeError:
            self._unwritten = b""
            return False
        except OSError:
            # The descriptor takes no more at present: a pipe without room, or a full disk.
            return True
        self._unwritten = self._unwritten[written:]
        return True
