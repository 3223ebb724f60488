"""Tests of the streams between an entry and keepers, with real sockets."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import TYPE_CHECKING

from grpclib.server import Server

from guavamast import peer_pb2
from guavamast.fleet_objects import Configuration, Endpoint, EndpointKind, ServiceClass
from guavamast.keeper_host import KeeperHost
from guavamast.metrics import NoMetrics
from guavamast.peer_grpc import PeerBase
from guavamast.peer_service import PeerService
from guavamast.slot_hold import AskRefused, HoldState
from guavamast.slot_links import SlotLinks
from guavamast.slots import Ask, Release
from guavamast.view_feed import ViewFeed
from tests._waits import wait_until

if TYPE_CHECKING:
    from grpclib.server import Stream

ENDPOINT = Endpoint(
    name="e", kind=EndpointKind.ENGINE, url="http://127.0.0.1:1", failure_domain="d", slots=1
)
CLASS = ServiceClass(
    name="c",
    tier=1,
    first_token_ms=1000,
    token_interval_ms=50,
    completion_s=60,
    guaranteed_share=0.1,
    queue_limit=10,
)
CONFIGURATION = Configuration(version=1, classes={"c": CLASS}, endpoints={"e": ENDPOINT})


class Keeper:
    """The slot service of a dispatcher, without its other parts."""

    def __init__(self, *, configured: bool = True) -> None:
        self.host = KeeperHost(clock=time.monotonic, metrics=NoMetrics())
        if configured:
            self.host.configure(CONFIGURATION)
        service = PeerService(
            host=self.host,
            feed=ViewFeed(instance="k"),
            answer_allotment=lambda *_: None,
            handle_announcement=lambda _: 1,
            serve_gossip=lambda _: None,
        )
        self._server = Server([service])
        self.address = ""

    async def start(self, port: int = 0) -> None:
        await self._server.start("127.0.0.1", port)
        port = self._server._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        self._server.close()
        await self._server.wait_closed()

    def count_in_flight(self) -> int:
        kept = self.host._keepers.get("e")
        return kept.build_probe(now=time.monotonic()).in_flight if kept else 0


class FrozenService(PeerBase):
    """Answers the hello and nothing after it, like a suspended process."""

    async def Slots(self, stream: Stream) -> None:  # noqa: N802
        await stream.recv_message()
        await stream.send_message(peer_pb2.KeeperBatch())
        await asyncio.sleep(3600)

    async def Follow(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Announce(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Gossip(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError


def make_ask(number: int) -> Ask:
    """Return an ask whose deadline is in a minute."""
    return Ask(
        ask_id=f"ask-{number}",
        entry="entry",
        endpoint="e",
        organisation="o",
        class_name="c",
        tier=1,
        kind="chat",
        model="m",
        prompt_tokens=1,
        max_tokens=10,
        deadline=time.monotonic() + 60,
    )


class SlotLinksTest(unittest.IsolatedAsyncioTestCase):
    """Asks and held slots outlive their keeper."""

    async def asyncSetUp(self) -> None:
        self.first, self.second = Keeper(), Keeper()
        for keeper in (self.first, self.second):
            await keeper.start()
            self.addAsyncCleanup(keeper.stop)
        self.addresses = [self.first.address, self.second.address]
        self.links = SlotLinks(
            entry="entry",
            find_keeper=self.find_keeper,
            on_probe=lambda _: None,
            clock=time.monotonic,
        )
        self.addAsyncCleanup(self.links.close)

    def find_keeper(self, _: str, unreachable: frozenset[str]) -> str | None:
        return next((item for item in self.addresses if item not in unreachable), None)

    async def test_grant_queue_and_release(self) -> None:
        held = await self.links.acquire(make_ask(1))
        queued = asyncio.ensure_future(self.links.acquire(make_ask(2)))
        await asyncio.sleep(0.05)
        self.assertFalse(queued.done())
        self.links.release(held, Release(ask_id="ask-1", endpoint="e", used=True))
        self.assertIs((await queued).state, HoldState.HELD)

    async def test_unknown_endpoint_is_rejected(self) -> None:
        ask = make_ask(1)
        self.first.host.configure(Configuration(version=2))
        with self.assertRaises(AskRefused):
            await self.links.acquire(ask)

    async def test_keeper_crash_loses_no_ask_and_no_slot(self) -> None:
        # The keeper crashes while one request runs and one waits. Both are sent to the next
        # keeper, which counts the running one and grants the waiting one only after its release,
        # so the caller of the queued request only waits longer.
        held = await self.links.acquire(make_ask(1))
        queued = asyncio.ensure_future(self.links.acquire(make_ask(2)))
        await wait_until(lambda: self.first.count_in_flight() == 1)
        await self.first.stop()
        await wait_until(lambda: self.second.count_in_flight() == 1)
        self.assertFalse(queued.done())
        self.links.release(held, Release(ask_id="ask-1", endpoint="e", used=True))
        self.assertEqual((await queued).address, self.second.address)

    async def test_restarted_only_keeper_receives_the_asks_again(self) -> None:
        # The only keeper crashes with an ask in its queue and restarts at its address without
        # state. The entry sends it all asks again, so the caller only waits longer.
        self.addresses = [self.first.address]
        held = await self.links.acquire(make_ask(1))
        queued = asyncio.ensure_future(self.links.acquire(make_ask(2)))
        await wait_until(lambda: self.first.count_in_flight() == 1)
        await self.first.stop()
        restarted = Keeper()
        await restarted.start(int(self.first.address.rpartition(":")[2]))
        self.addAsyncCleanup(restarted.stop)
        await wait_until(lambda: restarted.count_in_flight() == 1)
        self.links.release(held, Release(ask_id="ask-1", endpoint="e", used=True))
        self.assertIs((await asyncio.wait_for(queued, 15)).state, HoldState.HELD)

    async def test_change_of_view_moves_asks(self) -> None:
        # No keeper crashes, but the view names another one. The waiting ask is withdrawn at the
        # old keeper and granted at the new one; the held slot is presented there.
        held = await self.links.acquire(make_ask(1))
        queued = asyncio.ensure_future(self.links.acquire(make_ask(2)))
        await wait_until(lambda: self.first.count_in_flight() == 1)
        self.addresses.reverse()
        self.links.reroute()
        await wait_until(lambda: self.second.count_in_flight() == 1)
        self.links.release(held, Release(ask_id="ask-1", endpoint="e", used=True))
        self.assertEqual((await queued).address, self.second.address)
        await wait_until(lambda: self.first.count_in_flight() == 0)

    async def test_asks_leave_a_frozen_keeper(self) -> None:
        # The keeper's process is frozen: its connection stays open and nothing is answered. The
        # ask moves to another keeper after the timeout instead of waiting until its deadline.
        frozen = Server([FrozenService()])
        await frozen.start("127.0.0.1", 0)
        port = frozen._server.sockets[0].getsockname()[1]
        self.addCleanup(frozen.close)
        self.addresses.insert(0, f"127.0.0.1:{port}")
        held = await self.links.acquire(make_ask(1))
        self.assertEqual(held.address, self.first.address)

    async def test_keeper_without_configuration_is_skipped(self) -> None:
        # A dispatcher that has just started knows no endpoint yet and would reject the ask. It
        # answers no hello until it is configured, so the entry uses the next keeper.
        unconfigured = Keeper(configured=False)
        await unconfigured.start()
        self.addAsyncCleanup(unconfigured.stop)
        self.addresses.insert(0, unconfigured.address)
        held = await self.links.acquire(make_ask(1))
        self.assertEqual(held.address, self.first.address)

    async def test_withdrawn_ask_leaves_no_slot(self) -> None:
        held = await self.links.acquire(make_ask(1))
        queued = asyncio.ensure_future(self.links.acquire(make_ask(2)))
        await asyncio.sleep(0.05)
        queued.cancel()
        await asyncio.gather(queued, return_exceptions=True)
        self.links.release(held, Release(ask_id="ask-1", endpoint="e", used=True))
        await wait_until(lambda: self.first.count_in_flight() == 0)
        self.assertEqual(self.links.count_open_asks(), 0)
