"""A process that gets stop signals after its event loop has closed: a relay, or a daemon's loop."""

from __future__ import annotations

import atexit
import os
import runpy
import signal
import sys
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from guavamast._daemon import run_daemon

if TYPE_CHECKING:
    import asyncio

DAEMON = "daemon"
"""Argument that runs the loop of a daemon, which ends at once, in place of a relay."""


async def serve(settings: Any, stop: asyncio.Event) -> None:
    """Serve nothing."""
    del settings, stop


def send_signals() -> None:
    """Send this process what a platform may send more than once."""
    for number in (signal.SIGTERM, signal.SIGHUP):
        os.kill(os.getpid(), number)


def exit_after_signals(status: int) -> None:
    """End this process without the interpreter's end, right after the signals."""
    send_signals()
    end_process(status)


if __name__ == "__main__":
    atexit.register(send_signals)
    end_process, os._exit = os._exit, exit_after_signals  # type: ignore[assignment]
    if DAEMON in sys.argv:
        settings: Any = SimpleNamespace(log_level="info", log_format="text")
        run_daemon(settings, serve)
    else:
        runpy.run_module("guavamast.platform", run_name="__main__")
