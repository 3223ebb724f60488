"""The gRPC service by which entries and other dispatchers reach a dispatcher."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from grpclib.exceptions import StreamTerminatedError

from guavamast import peer_pb2
from guavamast.peer_grpc import PeerBase

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from grpclib.server import Stream

    from guavamast.keeper_host import EntryStream, KeeperHost
    from guavamast.view_feed import ViewFeed


class PeerService(PeerBase):
    """The gRPC methods of a dispatcher.

    Args:
        host: The keepers.
        feed: Publishes configuration and members to entries.
        answer_allotment: Splits an organisation's limits; None for an outdated ask.
        handle_announcement: Handles an announcement and returns the version in force.
        serve_gossip: Serves one stream of heartbeats.
    """

    def __init__(
        self,
        *,
        host: KeeperHost,
        feed: ViewFeed,
        answer_allotment: Callable[
            [peer_pb2.AllotmentAskMessage, str], peer_pb2.KeeperMessage | None
        ],
        handle_announcement: Callable[[peer_pb2.AnnounceRequest], int],
        serve_gossip: Callable[[Stream], Awaitable[None]],
    ) -> None:
        self._host = host
        self._feed = feed
        self._answer_allotment = answer_allotment
        self._take_announcement = handle_announcement
        self._serve_gossip = serve_gossip

    async def Slots(  # noqa: N802
        self, stream: Stream[peer_pb2.EntryBatch, peer_pb2.KeeperBatch]
    ) -> None:
        """Serve one entry's asks and releases until its stream ends."""
        host = self._host
        entry_stream: EntryStream | None = None
        sender: asyncio.Task[None] | None = None
        try:
            while (batch := await stream.recv_message()) is not None:
                for message in batch.messages:
                    if message.WhichOneof("body") == "hello":
                        # Without a configuration, a dispatcher that has just started would reject
                        # every ask, because it knows no endpoint. Until this hello has a response,
                        # the entry asks the next keeper.
                        await host.configured.wait()
                        entry_stream = host.connect(message.hello)
                        await stream.send_message(peer_pb2.KeeperBatch())
                        sender = asyncio.ensure_future(_send_outbox(stream, entry_stream))
                    elif entry_stream is not None:
                        self._handle_message(message, entry_stream)
                host.schedule_tick()
        finally:
            if entry_stream is not None:
                host.disconnect(entry_stream)
            if sender is not None:
                sender.cancel()

    def _handle_message(self, message: peer_pb2.EntryMessage, stream: EntryStream) -> None:
        if message.WhichOneof("body") != "allotment_ask":
            self._host.receive(message, entry=stream.entry)
            return
        answer = self._answer_allotment(message.allotment_ask, stream.entry)
        if answer is not None:
            stream.outbox.put_nowait(answer)

    async def Follow(  # noqa: N802
        self, stream: Stream[peer_pb2.FollowRequest, peer_pb2.ViewMessage]
    ) -> None:
        """Send one entry each change of configuration and members."""
        await stream.recv_message()
        feed = self._feed
        follower = feed.add_follower()
        try:
            while True:
                await stream.send_message(await feed.wait_message(follower))
        except StreamTerminatedError:
            return
        finally:
            feed.remove_follower(follower)

    async def Announce(  # noqa: N802
        self, stream: Stream[peer_pb2.AnnounceRequest, peer_pb2.AnnounceReply]
    ) -> None:
        """Receive an entry's accepted configuration, its load, or the notice that it leaves."""
        request = await stream.recv_message()
        if request is not None:
            version = self._take_announcement(request)
            await stream.send_message(peer_pb2.AnnounceReply(configuration_version=version))

    async def Gossip(  # noqa: N802
        self, stream: Stream[peer_pb2.HeartbeatMessage, peer_pb2.HeartbeatMessage]
    ) -> None:
        """Exchange heartbeats with another dispatcher."""
        await self._serve_gossip(stream)


async def _send_outbox(stream: Stream, entry_stream: EntryStream) -> None:
    outbox = entry_stream.outbox
    while True:
        messages = [await outbox.get()]
        while not outbox.empty():
            messages.append(outbox.get_nowait())
        await stream.send_message(peer_pb2.KeeperBatch(messages=messages))
