"""Ends of processes after SIGTERM, by a clock that no event loop delays."""

from __future__ import annotations

import asyncio
import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Final

__all__ = ["ProcessEnd", "stop_process"]

ROOT: Final = Path(__file__).parents[1]
"""Directory from which the module of the stopping process is found."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessEnd:
    """How a process ended after SIGTERM."""

    signalled_at: float
    """Time of SIGTERM on the monotonic clock, which all processes share."""
    wall_signalled_at: float
    """Time of SIGTERM on the wall clock."""
    handled: bool
    """Whether the process handled SIGTERM by then."""
    took_s: float
    """Seconds from SIGTERM until the process was seen ended."""
    killed: bool
    """Whether it had not ended after its grace time, and got SIGKILL."""


async def stop_process(pid: int, *, grace_s: float) -> ProcessEnd | None:
    """Send SIGTERM to a process, and SIGKILL if it has not ended after the grace time.

    The signals and the clock are those of a process of their own. In the event loop, the time is
    over while the end of the process waits for its turn, so an orderly end is seen as a late one;
    and a process that ends too late lives on until the loop looks at its clock.

    Args:
        pid: Process id.
        grace_s: Seconds from SIGTERM to SIGKILL.

    Returns:
        How the process ended; None if it had ended before.
    """
    stopper = await asyncio.create_subprocess_exec(
        sys.executable,
        "-S",
        "-m",
        "soak.stopper",
        str(pid),
        str(grace_s),
        cwd=ROOT,
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await stopper.communicate()
    fields = json.loads(output)
    return None if fields is None else ProcessEnd(**fields)
