"""A time limit that a slow process does not mistake for a silent server."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final, TypeVar

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

T = TypeVar("T")

TIMEOUT_STEPS: Final = 7
"""Parts in which a limit is counted; an exchange of some messages takes fewer turns of the loop."""


async def wait_turns(work: Coroutine[Any, Any, T], *, timeout_s: float) -> T:
    """Return the result of some work with another machine, within a time that the loop has.

    Failure: the process is held up for longer than the limit while the answer waits in its socket,
    and the server is given up as silent. The limit is counted in parts, each of which ends in a
    turn of the loop of its own, so what has come is taken in before the limit is reached.

    Args:
        work: What is waited for; cancelled at the limit.
        timeout_s: The limit in seconds.

    Raises:
        TimeoutError: The limit is reached.
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
