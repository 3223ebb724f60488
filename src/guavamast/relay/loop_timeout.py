"""Timeouts that don't blame a server for what this instance waits for."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterator
    from typing import Any

    from guavamast.relay.silence_timeout import SilenceTimeout

T = TypeVar("T")

TIMEOUT_STEPS: Final = 7
"""Parts into which a timeout is split; an exchange of some messages takes fewer loop iterations."""


async def wait_in_steps(work: Coroutine[Any, Any, T], *, timeout_s: float) -> T:
    """Return the result of some network I/O within a timeout that tolerates a blocked loop.

    With a single timer, a process that is blocked for longer than the timeout treats the server as
    silent although its answer waits in the socket. The timeout is split into parts, each of which
    ends in its own loop iteration, so data that has arrived is read before the timeout is reached.

    Args:
        work: The I/O to wait for; cancelled on timeout.
        timeout_s: Timeout in seconds.

    Raises:
        TimeoutError: The timeout is reached.
    """
    task = asyncio.ensure_future(work)
    try:
        for _ in range(TIMEOUT_STEPS):
            done, _ = await asyncio.wait((task,), timeout=timeout_s / TIMEOUT_STEPS)
            if done:
                return task.result()
    finally:
        task.cancel()
    raise TimeoutError


@contextmanager
def suspend_timeout(timeout: SilenceTimeout) -> Iterator[None]:
    """Suspend a timeout; afterwards it has as much time left as before.

    Args:
        timeout: A timeout that has been entered and hasn't expired.
    """
    when = timeout.when()
    if when is None:
        yield
        return
    loop = asyncio.get_running_loop()
    left_s = when - loop.time()
    timeout.reschedule(None)
    try:
        yield
    finally:
        timeout.reschedule(loop.time() + left_s)
