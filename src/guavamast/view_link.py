"""The entry's stream of configuration and members from a dispatcher."""

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
"""Failed attempts at the local dispatcher before another one is followed."""
ANNOUNCE_TIMEOUT_S: Final = 2.0


class ViewLink:
    """Follows the local dispatcher, or another one while that is down.

    Without the fallback, an entry whose local dispatcher dies acts on a stale view: it sends asks
    to keepers that are gone and misses configurations. Any dispatcher publishes the same view, so
    the entry follows the next one that responds; until then it serves with the last view.

    Args:
        entry: Name of this instance.
        address: Peer address of the local dispatcher.
        list_others: Returns peer addresses of other dispatchers.
        on_configuration: Receives each configuration.
        on_view: Receives each view, and whether its dispatcher is isolated.
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
        """Start following."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def announce(self, request: peer_pb2.AnnounceRequest) -> bool:
        """Announce a configuration, leaving or load; return whether a dispatcher received it."""
        for address in [self._address, *self._list_others()[:3]]:
            channel = _open(address)
            try:
                await PeerStub(channel).Announce(request, timeout=ANNOUNCE_TIMEOUT_S)
            except LINK_ERRORS as error:
                get_logger().info("announcement to %s failed: %r", address, error)
                continue
            finally:
                channel.close()
            return True
        return False

    async def _run(self) -> None:
        failures = 0
        while True:
            address = self._choose_address(failures)
            received = await self._follow(address)
            failures = 0 if received and address == self._address else failures + 1
            await asyncio.sleep(RECONNECT_S)

    def _choose_address(self, failures: int) -> str:
        others = self._list_others()
        if failures < FAILURES_BEFORE_OTHERS or not others or failures % 2 == 0:
            return self._address
        return others[(failures // 2) % len(others)]

    async def _follow(self, address: str) -> bool:
        received = False
        channel = _open(address)
        try:
            async with PeerStub(channel).Follow.open() as stream:
                request = peer_pb2.FollowRequest(entry=self._entry)
                await stream.send_message(request, end=True)
                while (message := await stream.recv_message()) is not None:
                    received = True
                    self._apply(message)
        except LINK_ERRORS as error:
            get_logger().info("view stream from %s lost: %r", address, error)
        finally:
            channel.close()
        return received

    def _apply(self, message: peer_pb2.ViewMessage) -> None:
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
            get_logger().error("failed to parse a configuration: %s", error)
            return
        self._on_configuration(configuration)


def _open(address: str) -> Channel:
    host, port = address.rsplit(":", 1)
    return Channel(host, int(port))
