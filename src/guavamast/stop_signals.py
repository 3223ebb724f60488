"""Signals that stop a process: when they were received, those that come too late, and the last."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType

__all__ = ["StopSignal", "block_late_signals", "set_alarm"]

SHORTEST_ALARM_S: Final = 0.001
"""Seconds of an alarm whose time has come; none at all would turn it off."""


class StopSignal:
    """The first SIGTERM of this process.

    A handler of the event loop runs in a turn of the loop, so on a busy machine it runs later than
    the signal came, by as long as the loop is held up. What counts its time from there ends after
    the platform has killed it. This handler runs between two instructions of the interpreter.

    Args:
        on_receive: Called at once with the time at which the signal was received, between any two
            instructions of the main thread.
        read_time: Reads the clock of that time.
    """

    __slots__ = ("_is_received", "_loop", "_on_receive", "_read_time", "_woken")

    def __init__(
        self, *, on_receive: Callable[[float], None], read_time: Callable[[], float]
    ) -> None:
        self._on_receive = on_receive
        self._read_time = read_time
        self._is_received = False
        self._woken = asyncio.Event()
        self._loop: asyncio.AbstractEventLoop | None = None

    def install(self, loop: asyncio.AbstractEventLoop) -> None:
        """Handle the signal from now on; called in the main thread, in which the loop runs."""
        self._loop = loop
        signal.signal(signal.SIGTERM, self._receive)

    async def wait(self) -> None:
        """Return once the signal was received."""
        await self._woken.wait()

    def _receive(self, number: int, frame: FrameType | None) -> None:
        del number, frame
        assert self._loop is not None
        if self._loop.is_closed():
            # Nothing is left to stop; a loop's own handlers end with it, too.
            signal.signal(signal.SIGTERM, signal.SIG_DFL)
            signal.raise_signal(signal.SIGTERM)
        if self._is_received:
            return
        self._is_received = True
        self._on_receive(self._read_time())
        self._loop.call_soon_threadsafe(self._woken.set)


def block_late_signals() -> None:
    """Leave further signals pending until this process has ended; called in its event loop.

    A loop that closes restores their default actions. A repeated SIGTERM, or a SIGHUP, would then
    kill the process while the interpreter ends, and its exit status would tell of a crash.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})


def set_alarm(after_s: float, on_alarm: Callable[[], None]) -> None:
    """Call a function later, between two instructions; called in the main thread.

    A call of the event loop waits for its turn, and each turn for a processor. So what has to be
    done in several turns takes long beside busy processes, and this waits for a processor once.

    Args:
        after_s: Seconds until the call.
        on_alarm: Called in the main thread, between any two of its instructions.
    """
    signal.signal(signal.SIGALRM, lambda _number, _frame: on_alarm())
    signal.setitimer(signal.ITIMER_REAL, max(SHORTEST_ALARM_S, after_s))
