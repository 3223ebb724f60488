"""Stops a process as the platform does; run as a process of its own by ``soak.process_ends``.

It imports no more than it needs, as the signal waits for its start.
"""

from __future__ import annotations

import json
import os
import select
import signal
import sys
import time
from contextlib import suppress

from soak.process_signals import handles_signal


def stop(pid: int, grace_s: float) -> dict[str, float] | None:
    """Send SIGTERM to a process, and SIGKILL if it has not ended after the grace time.

    Args:
        pid: Process id.
        grace_s: Seconds from SIGTERM to SIGKILL.

    Returns:
        The fields of a ``ProcessEnd``; None if the process had ended before.
    """
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return None
    end = select.poll()
    end.register(descriptor, select.POLLIN)
    handled = handles_signal(pid, signal.SIGTERM)
    signalled_at = time.monotonic()
    wall_signalled_at = time.time()
    with suppress(ProcessLookupError):
        signal.pidfd_send_signal(descriptor, signal.SIGTERM)
    killed = not end.poll(1000.0 * grace_s)
    if killed:
        with suppress(ProcessLookupError):
            signal.pidfd_send_signal(descriptor, signal.SIGKILL)
        end.poll()
    return {
        "signalled_at": signalled_at,
        "wall_signalled_at": wall_signalled_at,
        "handled": handled,
        "took_s": time.monotonic() - signalled_at,
        "killed": killed,
    }


if __name__ == "__main__":
    print(json.dumps(stop(int(sys.argv[1]), float(sys.argv[2]))))
