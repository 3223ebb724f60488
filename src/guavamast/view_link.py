"""The entry's stream from a dispatcher that tells it configuration and members."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from grpclib.client import Channel

from guavamast import peer_pb2
from guavamast.findings import FindingsError
from guavamast.fleet_reader import IncrementalReader
from guavamast.log import get_logger
from guavamast.member_codec import decode_member
from guavamast.members import MembershipView
from guavamast.peer_grpc import PeerStub
from guavamast.slot_links import LINK_ERRORS

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.fleet_objects import Configuration

RECONNECT_S: Final = 0.2
FAILURES_BEFORE_OTHERS: Final = 5
"""Failed tries at the own dispatcher before another one is followed."""
ANNOUNCE_TIMEOUT_S: Final = 2.0


class ViewLink:
    """Follows the instance's own dispatcher, or another one while that is down.

    Failure: the own dispatcher dies, and the entry acts on a view that grows old: it sends asks to
    keepers that are gone and misses configurations. Any dispatcher tells the same view, so the
    entry follows the next one that answers; until then it serves on the last view.

    Args:
        entry: Name of this instance.
        address: Peer address of the own dispatcher.
        list_others: Gives peer addresses of other dispatchers.
        on_configuration: Takes each configuration that arrives.
        on_view: Takes each view that arrives, and whether its dispatcher hears nobody else.
    """

    def __init__(
        self,
        *,
        entry: str,
        address: str,
        list_others: Callable[[], list[str]],
        on_configuration: Callable[[Configuration], None],
        on_view: Callable[[MembershipView, bool], None],
    ) -> None:
        self._entry = entry
        self._address = address
        self._list_others = list_others
        self._reader = IncrementalReader()
        self._on_configuration = on_configuration
        self._on_view = on_view
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def announce(self, request: peer_pb2.AnnounceRequest) -> bool:
        """Tell a dispatcher of a configuration, of leaving or of load; False when none heard it."""
        for address in [self._address, *self._list_others()[:3]]:
            channel = _open(address)
            try:
                await PeerStub(channel).Announce(request, timeout=ANNOUNCE_TIMEOUT_S)
            except LINK_ERRORS as error:
                get_logger().info("announce to %s failed: %r", address, error)
                continue
            finally:
                channel.close()
            return True
        return False

    async def _run(self) -> None:
        failures = 0
        while True:
            address = self._choose(failures)
            heard = await self._follow(address)
            failures = 0 if heard and address == self._address else failures + 1
            await asyncio.sleep(RECONNECT_S)

    def _choose(self, failures: int) -> str:
        others = self._list_others()
        if failures < FAILURES_BEFORE_OTHERS or not others or failures % 2 == 0:
            return self._address
        return others[(failures // 2) % len(others)]

    async def _follow(self, address: str) -> bool:
        heard = False
        channel = _open(address)
        try:
            async with PeerStub(channel).Follow.open() as stream:
                request = peer_pb2.FollowRequest(entry=self._entry)
                await stream.send_message(request, end=True)
                while (message := await stream.recv_message()) is not None:
                    heard = True
                    self._take(message)
        except LINK_ERRORS as error:
            get_logger().info("view stream from %s lost: %r", address, error)
        finally:
            channel.close()
        return heard

    def _take(self, message: peer_pb2.ViewMessage) -> None:
        if message.members:
            decoded = [decode_member(member) for member in message.members]
            members = tuple(member for member in decoded if member is not None)
            self._on_view(MembershipView(members=members), message.isolated)
        if not message.configuration_text:
            return
        try:
            configuration = self._reader.read(
                message.configuration_text, version=message.configuration_version
            )
        except FindingsError as error:
            get_logger().error("a configuration can't be read: %s", error)
            return
        self._on_configuration(configuration)


def _open(address: str) -> Channel:
    host, port = address.rsplit(":", 1)
    return Channel(host, int(port))
