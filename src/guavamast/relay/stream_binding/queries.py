"""Asks other instances what they remember of a stream, and collects their replies."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from guavamast.relay.stream_binding.wire import BindingQuery

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from guavamast.relay.requester import Requester
    from guavamast.relay.store import InstanceRecord
    from guavamast.relay.stream_binding.records import BoundStream
    from guavamast.relay.stream_binding.wire import BindingReply

QUERY_WAITS_S: Final = (0.1, 0.2, 0.2)
"""Seconds to wait for replies before silent instances are asked again, and at last given up."""


class PendingQuery:
    """A query to several instances.

    Args:
        silent: Names of the instances that are asked.
    """

    __slots__ = ("done", "found", "silent", "source")

    def __init__(self, *, silent: set[str]) -> None:
        self.silent = silent
        """Names of the instances that have not replied."""
        self.found: BoundStream | None = None
        """What the first one that knows the stream remembers."""
        self.source = ""
        """Name of that instance."""
        self.done = asyncio.Event()

    def apply(self, reply: BindingReply) -> None:
        """Apply a reply; the first that knows the stream decides."""
        self.silent.discard(reply.instance)
        if reply.stream is not None and self.found is None:
            self.found = reply.stream
            self.source = reply.instance
        if self.found is not None or not self.silent:
            self.done.set()


class BindingQueries:
    """Queries of this process that await replies.

    Args:
        requester: This process.
        send: Sends a query to an instance.
    """

    __slots__ = ("_pending", "_requester", "_send")

    def __init__(
        self, *, requester: Requester, send: Callable[[BindingQuery, InstanceRecord], None]
    ) -> None:
        self._requester = requester
        self._send = send
        self._pending: dict[str, list[PendingQuery]] = {}
        """By the key of the stream."""

    async def ask(self, key: str, instances: Iterable[InstanceRecord]) -> PendingQuery:
        """Ask instances about a stream until one knows it, all have replied, or time is over."""
        targets = {one.name: one for one in instances}
        query = PendingQuery(silent=set(targets))
        if not targets:
            return query
        pending = self._pending.setdefault(key, [])
        pending.append(query)
        message = BindingQuery(requester=self._requester, key=key)
        try:
            for wait_s in QUERY_WAITS_S:
                for name in sorted(query.silent):
                    self._send(message, targets[name])
                if await _wait(query.done, timeout_s=wait_s):
                    break
        finally:
            pending.remove(query)
            if not pending:
                del self._pending[key]
        return query

    def receive(self, reply: BindingReply) -> bool:
        """Apply a reply; return False if a former process at this address has asked for it."""
        if reply.requester != self._requester:
            return False
        for query in self._pending.get(reply.key, ()):
            query.apply(reply)
        return True


async def _wait(event: asyncio.Event, *, timeout_s: float) -> bool:
    """Return whether an event is set within a timeout."""
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        return False
    return True
