"""A relay whose event loop is blocked for a while by SIGUSR1, as on a machine that is too busy."""

from __future__ import annotations

import runpy
import signal
import time
from typing import Any, Final

BLOCKED_S: Final = 1.2


def block(*_: Any) -> None:
    """Run on without returning to the event loop."""
    until = time.monotonic() + BLOCKED_S
    while time.monotonic() < until:
        pass


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, block)
    runpy.run_module("guavamast.platform", run_name="__main__")
