"""Waiting for a condition in tests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


async def wait_until(condition: Callable[[], bool], timeout_s: float = 15.0) -> None:
    """Wait for a condition; raise TimeoutError, which fails the test, if it stays false."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)
