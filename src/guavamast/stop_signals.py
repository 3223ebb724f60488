"""Signals that arrive when a process has nothing left to stop."""

from __future__ import annotations

import signal

__all__ = ["block_late_signals"]


def block_late_signals() -> None:
    """Leave further signals pending until this process has ended; called in its event loop.

    A loop that closes restores their default actions. A repeated SIGTERM, or a SIGHUP, would then
    kill the process while the interpreter ends, and its exit status would tell of a crash.
    """
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGTERM, signal.SIGINT, signal.SIGHUP})
