"""Event loop whose time passes only while all tasks wait."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine

Result = TypeVar("Result")


class _InstantSelector(selectors.DefaultSelector):
    """Selector that adds to the loop's time what it would have waited."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is not None and timeout > 0:
            self.now += timeout
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop with its own time, which begins at 0."""

    def __init__(self) -> None:
        self._instant = _InstantSelector()
        super().__init__(self._instant)

    def time(self) -> float:
        return self._instant.now

    def occupy(self, seconds: float) -> None:
        """Let time pass as if the running callback took it."""
        self._instant.now += seconds


def run_in_virtual_time(main: Coroutine[object, object, Result]) -> Result:
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
