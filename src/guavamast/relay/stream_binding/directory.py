"""Remembers what bound streams, tells a few other instances, and asks them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Final

from guavamast.relay.stream_binding.queries import BindingQueries
from guavamast.relay.stream_binding.records import BoundStream
from guavamast.relay.stream_binding.replicas import ReplicaChoice
from guavamast.relay.stream_binding.shards import find_shard
from guavamast.relay.stream_binding.wire import (
    BindingCopy,
    BindingQuery,
    BindingReply,
    SaveRequest,
    decode_binding_message,
    encode_binding_message,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.relay.counters import Counters
    from guavamast.relay.peers import Peers
    from guavamast.relay.requester import Requester
    from guavamast.relay.store import InstanceRecord
    from guavamast.relay.stream_binding.ledger import BindingLedger
    from guavamast.relay.stream_binding.records import StreamBinding, UnconfirmedSource
    from guavamast.relay.stream_binding.saved_streams import SavedStreams
    from guavamast.relay.stream_binding.saver import BindingSaver
    from guavamast.relay.stream_binding.saver_choice import SaverChoice
    from guavamast.relay.stream_binding.wire import BindingMessage

HAND_OVER_STEP: Final = 50
"""Requests whose streams are handed over without a pause: a few milliseconds of work."""
HAND_OVER_PAUSE_S: Final = 0.01
"""Seconds between two such steps, in which requests go on."""
OWN_MEMORY: Final = "own"
"""Source of what this instance remembers itself."""
SAVED: Final = "store"
"""Source of what no instance remembers and was saved in the store."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Lookup:
    """What was found out about a stream."""

    stream: BoundStream | None
    """None if nobody who replied remembers it."""
    source: str = ""
    """The instance that remembers it: its name, or ``OWN_MEMORY``; ``SAVED`` if it was saved."""
    asked: int = 0
    """Instances that were asked."""
    silent: int = 0
    """Those of them that didn't reply in time."""
    store_answered: bool | None = None
    """Whether the saved streams could be read; None if there was no need to."""


class BindingDirectory:
    """Remembers what bound streams, with copies at a few other instances and in the store.

    A caller takes its stream up at any instance, often because the one that began it was killed. So
    each binding is sent to instances that its key selects, before the first event goes out, and an
    instance that doesn't remember a stream asks. All may be killed at once, so two of them save it
    in the store a moment later, where it is looked up last. Copies are soft state: a lost one only
    makes a stream unknown, and an unknown stream doesn't go on.

    Args:
        requester: This process.
        ledger: What this instance remembers.
        saver: Saves streams in the store.
        savers: Chooses the instances that save a stream.
        saved: Reads what is saved.
        peers: The other instances.
        send: Sends a datagram to an address.
        counters: Metrics.
        read_time: Reads the local clock.
    """

    __slots__ = (
        "_counters",
        "_handed_to",
        "_ledger",
        "_queries",
        "_read_time",
        "_replicas",
        "_requester",
        "_saved",
        "_saver",
        "_savers",
        "_send",
    )

    def __init__(
        self,
        *,
        requester: Requester,
        ledger: BindingLedger,
        saver: BindingSaver,
        savers: SaverChoice,
        saved: SavedStreams,
        peers: Peers,
        send: Callable[[bytes, tuple[str, int]], None],
        counters: Counters,
        read_time: Callable[[], float],
    ) -> None:
        self._requester = requester
        self._ledger = ledger
        self._saver = saver
        self._savers = savers
        self._saved = saved
        self._replicas = ReplicaChoice(peers=peers)
        self._send = send
        self._counters = counters
        self._read_time = read_time
        self._queries = BindingQueries(requester=requester, send=self._send_to)
        self._handed_to: set[str] | None = None
        """Names of the instances that stayed when all was handed over; None if it wasn't."""

    def bind(
        self,
        key: str,
        binding: StreamBinding,
        *,
        lifetime_s: float,
        unconfirmed: UnconfirmedSource | None = None,
    ) -> None:
        """Remember what began a stream, here and at other instances.

        Args:
            key: Key of the stream.
            binding: What began it.
            lifetime_s: Seconds for which its caller may take it up.
            unconfirmed: What must still be confirmed before the binding counts.
        """
        now = self._read_time()
        stream = BoundStream(
            binding=binding,
            instance=self._requester.instance,
            bound_at=now,
            expires_at=now + lifetime_s,
            unconfirmed=unconfirmed,
        )
        held = self._ledger.record(key, stream, now=now)
        self._send_copies(key, held, now=now)

    async def hand_over(self) -> None:
        """Send all that this instance remembers to instances that stay.

        Where all instances are replaced in turn, the one that has bound a stream and those that
        have copies are all gone after a while, and nobody would remember the stream.

        A repeated call does so again if there are such instances, and none of those that the call
        before has found is left: they would hand over what they got.
        """
        now = self._read_time()
        staying = {record.name for record in self._replicas.list_staying(now=now)}
        if self._handed_to is not None and (not staying or staying & self._handed_to):
            return
        self._handed_to = staying
        for number, key in enumerate(self._ledger.list_keys(), start=1):
            now = self._read_time()
            stream = self._ledger.find(key, now=now)
            if stream is not None:
                self._send_copies(key, stream, now=now)
            if number % HAND_OVER_STEP == 0:
                await asyncio.sleep(HAND_OVER_PAUSE_S)

    async def find(self, key: str) -> Lookup:
        """Return what this instance or others remember of a stream, or what is saved of it."""
        now = self._read_time()
        known = self._ledger.find(key, now=now)
        if known is not None:
            return Lookup(stream=known, source=OWN_MEMORY)
        targets = self._replicas.list_queried(key, now=now)
        query = await self._queries.ask(key, targets)
        lookup = Lookup(
            stream=query.found,
            source=query.source,
            asked=len(targets),
            silent=len(query.silent),
        )
        if query.found is None:
            return await self._find_saved(key, lookup)
        self._ledger.record(key, query.found, now=self._read_time())
        return lookup

    def receive(self, data: bytes, source: tuple[str, int]) -> None:
        """Receive a datagram from another instance.

        Args:
            data: The datagram.
            source: Address of its sender, to which a reply goes.

        Raises:
            MalformedData: The datagram is not a valid message.
        """
        now = self._read_time()
        message = decode_binding_message(data, now=now)
        if isinstance(message, BindingCopy):
            self._apply_copy(message, source, now=now)
        elif isinstance(message, SaveRequest):
            held = self._ledger.record(message.key, message.stream, now=now)
            self._saver.record(message.key, held)
        elif isinstance(message, BindingQuery):
            self._reply(message, source, now=now)
        elif not self._queries.receive(message):
            self._counters.add("late_binding_replies_total")

    def clean_up(self, *, now: float) -> None:
        """Forget streams that have expired."""
        self._ledger.drop_expired(now=now)
        self._saver.clean_up(now=now)
        self._counters.set("streams_bound", len(self._ledger))

    def _apply_copy(self, copy: BindingCopy, source: tuple[str, int], *, now: float) -> None:
        """Remember a copy, and tell its sender if the key has another binding already."""
        held = self._ledger.record(copy.key, copy.stream, now=now)
        if held.binding is None and copy.stream.binding is not None:
            self._send_message(BindingCopy(key=copy.key, stream=held), source)
            self._save(copy.key, held, now=now)

    def _reply(self, query: BindingQuery, source: tuple[str, int], *, now: float) -> None:
        reply = BindingReply(
            requester=query.requester,
            key=query.key,
            instance=self._requester.instance,
            stream=self._ledger.find(query.key, now=now),
        )
        self._send_message(reply, source)

    async def _find_saved(self, key: str, asked: Lookup) -> Lookup:
        """Return what is saved of a stream that no instance remembers."""
        answered = await self._saved.refresh(key)
        stream = self._ledger.find(key, now=self._read_time())
        source = SAVED if stream is not None else ""
        return replace(asked, stream=stream, source=source, store_answered=answered)

    def _send_copies(self, key: str, stream: BoundStream, *, now: float) -> None:
        for target in self._replicas.list_holders(key, now=now):
            self._send_to(BindingCopy(key=key, stream=stream), target)
        self._save(key, stream, now=now)

    def _save(self, key: str, stream: BoundStream, *, now: float) -> None:
        """Have a stream saved, once what began it is confirmed."""
        if stream.unconfirmed is not None:
            return
        for target in self._savers.list_savers(find_shard(key), now=now):
            if target.name == self._requester.instance:
                self._saver.record(key, stream)
            else:
                self._send_to(SaveRequest(key=key, stream=stream), target)

    def _send_to(self, message: BindingMessage, instance: InstanceRecord) -> None:
        self._send_message(message, (instance.ip, instance.peer_port))

    def _send_message(self, message: BindingMessage, address: tuple[str, int]) -> None:
        self._send(encode_binding_message(message, now=self._read_time()), address)
        self._counters.add("binding_messages_sent_total")
