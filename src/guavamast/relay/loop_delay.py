"""Delay with which the event loop of this process runs what is due."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Iterator

DELAY_WINDOW_S: Final = 1.0
"""Seconds for which a delay is reported: as long as a request usually waits for delayed work."""


class LoopDelay:
    """The greatest delay of the last second or two.

    A process that is short of CPU time handles messages, timeouts and requests late, and each of
    these looks like a fault of another component. The delay distinguishes the two cases.
    """

    __slots__ = ("_due_times", "_greatest", "_previous_greatest", "_window_start")

    def __init__(self) -> None:
        self._window_start = 0.0
        self._greatest = 0.0
        self._previous_greatest = 0.0
        self._due_times: list[float] = []
        """Local times at which something was to run that hasn't run yet."""

    def record(self, delay_s: float, *, now: float) -> None:
        """Record how much later than due something ran."""
        self._advance_window(now)
        self._greatest = max(self._greatest, delay_s)

    def read(self, *, now: float) -> float:
        """Return the greatest recent delay in seconds."""
        self._advance_window(now)
        return max(self._greatest, self._previous_greatest)

    @contextmanager
    def expect(self, due: float) -> Iterator[None]:
        """Count what is awaited as overdue from a local time on."""
        self._due_times.append(due)
        try:
            yield
        finally:
            self._due_times.remove(due)

    def read_present(self, *, now: float) -> float:
        """Return the greatest recent delay, or one that still lasts, in seconds.

        The first thing that runs in a process that had no processor finds no delay recorded, but
        all that was expected meanwhile overdue.
        """
        return max(self.read(now=now), *(now - due for due in self._due_times), 0.0)

    def _advance_window(self, now: float) -> None:
        """Start a new window when the current one is over; keep only the window just before it."""
        if now - self._window_start < DELAY_WINDOW_S:
            return
        recent = now - self._window_start < 2 * DELAY_WINDOW_S
        self._previous_greatest = self._greatest if recent else 0.0
        self._greatest = 0.0
        self._window_start = now
