"""Updates of changed load at endpoints, sent ahead of the next heartbeat."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.endpoint_load import Load
from guavamast.relay.heartbeat_messages import LoadUpdate
from guavamast.relay.peers import FULL_MESH_INSTANCES, compute_heartbeat_interval

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.endpoint_load import EndpointLoads
    from guavamast.relay.placement import AdmissionHistory, PromptCache
    from guavamast.relay.sharing import ShareLedger

INCREASE_BATCH_S: Final = 0.02
"""Seconds for which increases are collected into one load update: short beside the usual wait for
an engine."""
WAITING_REPEAT_S: Final = 0.05
"""Seconds after which a request that goes on waiting is reported again: it is taken to wait for
about twice as long."""
DECREASE_BATCH_S: Final = 0.1
"""Seconds for which decreases are collected; a late report at worst diverts a request."""


class LoadUpdateSender:
    """Collects changes of this instance's loads and sends them to the others.

    Without this, a burst that reaches all instances at once goes to the engine that had the least
    load at the last heartbeat, and requests queue there while other engines idle. Load updates
    report the load within some 25 ms instead of a heartbeat's 250.

    Args:
        instance: Name of this instance.
        incarnation: Start of this process.
        loads: This instance's loads.
        history: What waits for room at this instance.
        shares: What waits by organisation.
        cache: Prompts that this instance has sent.
        send: Sends a load update to all instances.
        count_instances: Returns the number of instances.
        read_time: The local clock.
    """

    __slots__ = (
        "_cache",
        "_changed",
        "_flush_at",
        "_history",
        "_count_instances",
        "_incarnation",
        "_instance",
        "_loads",
        "_read_time",
        "_send",
        "_shares",
        "_last_sent_number",
        "_waiting_sent_at",
    )

    def __init__(
        self,
        *,
        instance: str,
        incarnation: int,
        loads: EndpointLoads,
        history: AdmissionHistory,
        shares: ShareLedger,
        cache: PromptCache,
        send: Callable[[LoadUpdate], None],
        count_instances: Callable[[], int],
        read_time: Callable[[], float],
    ) -> None:
        self._instance = instance
        self._incarnation = incarnation
        self._loads = loads
        self._history = history
        self._shares = shares
        self._cache = cache
        self._send = send
        self._count_instances = count_instances
        self._read_time = read_time
        self._changed: set[str] = set()
        self._flush_at: float | None = None
        self._last_sent_number = 0
        self._waiting_sent_at = float("-inf")

    def record_change(self, endpoint_id: str, *, increased: bool) -> None:
        """Schedule an update after the load at an endpoint has changed.

        Args:
            endpoint_id: The endpoint.
            increased: Whether its load has increased.
        """
        if self._count_instances() > FULL_MESH_INSTANCES:
            return
        self._changed.add(endpoint_id)
        self._schedule(INCREASE_BATCH_S if increased else DECREASE_BATCH_S)

    def record_waiting(self) -> None:
        """Schedule an update as a request waits for room, so that less urgent ones wait too."""
        if self._count_instances() > FULL_MESH_INSTANCES:
            return
        if self._read_time() - self._waiting_sent_at >= WAITING_REPEAT_S:
            self._schedule(INCREASE_BATCH_S)

    def _schedule(self, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        flush_at = loop.time() + delay_s
        if self._flush_at is None or flush_at < self._flush_at:
            self._flush_at = flush_at
            loop.call_at(flush_at, self._flush)

    def _flush(self) -> None:
        self._flush_at = None
        now = self._read_time()
        waiting = self._history.list_waiting(now=now)
        if not self._changed and not waiting:
            return
        if waiting:
            self._waiting_sent_at = now
        own = self._loads.list_own()
        changed = {key: own.get(key) or Load() for key in self._changed}
        self._changed.clear()
        recent = self._cache.list_recent(
            now=now, interval_s=compute_heartbeat_interval(self._count_instances())
        )
        sends = [send for send in recent if send.number > self._last_sent_number]
        if sends:
            self._last_sent_number = sends[-1].number
        self._send(
            LoadUpdate(
                instance=self._instance,
                incarnation=self._incarnation,
                loads=changed,
                sends=sends,
                waiting=waiting,
                organisations=self._shares.list_waiting(now=now),
            )
        )
