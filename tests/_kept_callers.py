"""Callers that keep their connections and send until their instance's process is gone."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from soak.kept_callers import KeptCaller, KeptRequest

from guavamast.platform.standins.site import KEY

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["KeptCallers", "KeptRequest"]


class KeptCallers:
    """Callers that send one request after another over connections that they keep.

    Each goes on with the same instance until that accepts no connection any more.

    Args:
        addresses: ``ip:port`` of the instance of each caller.
        target: Path of the requests, before their ids.
        timeout_ms: Milliseconds that a caller waits for a response.
        stagger_s: Seconds between the first requests of two callers.
    """

    def __init__(
        self, *, addresses: list[str], target: str, timeout_ms: int, stagger_s: float = 0.0
    ) -> None:
        self._addresses = addresses
        self._target = target
        self._timeout_ms = timeout_ms
        self._stagger_s = stagger_s
        self.requests: list[KeptRequest] = []

    async def run(self, has_ended: Callable[[str], bool]) -> None:
        """Send requests until every instance has ended.

        Args:
            has_ended: Returns whether the process at an address is gone.
        """
        async with asyncio.TaskGroup() as tasks:
            for number, address in enumerate(self._addresses):
                delay_s = number * self._stagger_s
                tasks.create_task(self._call(f"c{number}", address, has_ended, delay_s=delay_s))

    def list_sent(self, address: str, *, since: float, until: float) -> list[KeptRequest]:
        """Return the requests sent to an instance within a span of the monotonic clock."""
        return [
            one for one in self.requests if one.address == address and since <= one.sent_at < until
        ]

    async def _call(
        self, name: str, address: str, has_ended: Callable[[str], bool], *, delay_s: float
    ) -> None:
        await asyncio.sleep(delay_s)
        caller = KeptCaller(
            name=name,
            key=KEY,
            choose_address=lambda: address,
            choose_target=lambda request_id: f"{self._target}/{request_id}",
            timeout_ms=self._timeout_ms,
            requests=self.requests,
        )
        await caller.run(partial(has_ended, address))
