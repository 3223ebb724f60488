"""The usage of windows that is fixed in the lease's records, and which of it is reported."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Final

from guavamast.decoding import Decoding, decode_json
from guavamast.leases import LeaseRecord
from guavamast.relay.duties.saved_usage import SavedUsage, decode_saved_usage
from guavamast.relay.provider import CallOutcome, WindowUsage

if TYPE_CHECKING:
    from collections.abc import Iterable

STATE_KEY: Final = "usage"
"""Key of the record with the offset of Unix time and the last fixed window."""
WINDOW_PREFIX: Final = "usage/"
"""Prefix of the keys of records with the counts of one window."""
SAVED_KEY: Final = "usage-saved"
"""Key of the record with counts of windows that are not fixed yet."""
FIRST_RETRY_S: Final = 0.4
"""Seconds until a report is repeated; doubled after each further failure."""
MAX_RETRY_S: Final = 3.0
"""Seconds between two repeats of a report at most."""


@dataclass(slots=True, kw_only=True)
class _Unreported:
    """A fixed window that is not known to be reported."""

    usage: WindowUsage
    due_at: float
    failures: int = 0


class UsageLedger:
    """Keeps what the present holder knows of the fixed windows.

    Two different counts for one window must never be sent. So the counts are written under the
    lease before they are first sent, and whoever holds the lease next reads them back and sends
    exactly those.
    """

    __slots__ = (
        "_begun",
        "_fixed_through",
        "_offset_s",
        "_removed",
        "_saved_text",
        "_unreported",
        "_unwritten",
        "saved",
    )

    def __init__(self) -> None:
        self._offset_s: float | None = None
        self._fixed_through = -1
        self._begun = False
        """Whether the first window is not known to be written."""
        self._unreported: dict[int, _Unreported] = {}
        self._unwritten: set[int] = set()
        """Windows whose counts are not known to be written; they must not be sent."""
        self._removed: set[int] = set()
        """Windows that are reported and whose records are to be removed."""
        self._saved_text: str | None = None
        """Text of the counts that are to be written with the lease; None if there are none."""
        self.saved = SavedUsage()
        """Counts of windows that are not fixed, as an earlier holder has written them."""

    @property
    def offset_s(self) -> float | None:
        """Offset of Unix time from the store's clock in seconds; None before the first holder."""
        return self._offset_s

    @property
    def fixed_through(self) -> int:
        """The last window whose counts are fixed."""
        return self._fixed_through

    @property
    def has_changes(self) -> bool:
        """Whether there is something that has to be written before anything is sent."""
        return bool(self._unwritten)

    def load(self, records: Iterable[LeaseRecord], *, now: float) -> None:
        """Replace all state by the records of the lease.

        Raises:
            MalformedData: A record can't be decoded.
        """
        self._offset_s = None
        self._fixed_through = -1
        self._begun = False
        self._unreported = {}
        self._unwritten = set()
        self._removed = set()
        self._saved_text = None
        self.saved = SavedUsage()
        for record in records:
            if record.key == SAVED_KEY and record.text is not None:
                self.saved = decode_saved_usage(record.text)
            elif record.key == STATE_KEY and record.text is not None:
                with Decoding("usage state"):
                    state = decode_json(record.text)
                    self._offset_s = float(state["offset_s"])
                    self._fixed_through = int(state["fixed_through"])
            elif record.key.startswith(WINDOW_PREFIX) and record.text is not None:
                usage = _decode_window(record.key, record.text)
                self._unreported[usage.window] = _Unreported(usage=usage, due_at=now)

    def begin(self, *, offset_s: float, first_window: int) -> None:
        """Begin with a window, as no holder has fixed any yet."""
        self._offset_s = offset_s
        self._fixed_through = first_window - 1
        self._begun = True

    def fix(self, usage: WindowUsage, *, now: float) -> None:
        """Fix the counts of the window after the last fixed one."""
        assert usage.window == self._fixed_through + 1
        self._fixed_through = usage.window
        self._unreported[usage.window] = _Unreported(usage=usage, due_at=now)
        self._unwritten.add(usage.window)

    def save(self, usage: SavedUsage) -> None:
        """Have counts of windows that are not fixed written with the lease."""
        self._saved_text = usage.encode()

    def build_records(self) -> list[LeaseRecord]:
        """Return the records that are to be written or removed."""
        records = []
        if self._unwritten or (self._begun and self._saved_text is not None):
            state = {"offset_s": self._offset_s, "fixed_through": self._fixed_through}
            records.append(LeaseRecord(key=STATE_KEY, text=json.dumps(state)))
        for window in sorted(self._unwritten):
            counts = json.dumps(self._unreported[window].usage.counts)
            records.append(LeaseRecord(key=f"{WINDOW_PREFIX}{window}", text=counts))
        for window in sorted(self._removed):
            records.append(LeaseRecord(key=f"{WINDOW_PREFIX}{window}", text=None))
        if self._saved_text is not None:
            records.append(LeaseRecord(key=SAVED_KEY, text=self._saved_text))
        return records

    def record_written(self) -> None:
        """Record that all of `build_records` is written."""
        if self._unwritten or self._saved_text is not None:
            self._begun = False
        self._unwritten.clear()
        self._removed.clear()
        self._saved_text = None

    def list_due(self, *, now: float) -> list[WindowUsage]:
        """Return the windows whose written counts are to be sent now, the oldest first."""
        return [
            self._unreported[window].usage
            for window in sorted(self._unreported)
            if window not in self._unwritten and self._unreported[window].due_at <= now
        ]

    def record_outcome(self, window: int, outcome: CallOutcome, *, now: float) -> None:
        """Record what became of a report."""
        if outcome is CallOutcome.DONE:
            del self._unreported[window]
            self._removed.add(window)
            return
        unreported = self._unreported[window]
        unreported.due_at = now + min(MAX_RETRY_S, FIRST_RETRY_S * 2**unreported.failures)
        unreported.failures += 1


def _decode_window(key: str, text: str) -> WindowUsage:
    with Decoding("usage of a window"):
        window = int(key.removeprefix(WINDOW_PREFIX))
        counts = {str(name): int(count) for name, count in decode_json(text).items()}
        return WindowUsage(window=window, counts=counts)
