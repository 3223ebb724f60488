"""Signals to processes that the event loop watches."""

from __future__ import annotations

import os
from contextlib import suppress
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    import signal


def send_signal(process: asyncio.subprocess.Process, number: signal.Signals) -> None:
    """Send a signal to a process; nothing happens if it has ended.

    ``Process.send_signal`` and ``Process.kill`` also poll the process. Where that finds it ended
    before the thread that waits for it does, its exit status is taken, and 255 is reported in its
    place: an orderly exit looks like a crash. This sends the signal and asks nothing.
    """
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


def handles_signal(pid: int, number: signal.Signals) -> bool:
    """Return whether a process ignores or catches a signal, so that the signal does not end it."""
    bit = 1 << (number - 1)
    try:
        with open(f"/proc/{pid}/status", encoding="ascii") as status:
            masks = [line.split()[1] for line in status if line.startswith(("SigIgn", "SigCgt"))]
    except FileNotFoundError:
        return False
    return any(int(mask, 16) & bit for mask in masks)
