"""Heartbeats over real sockets between the links of several dispatchers in one process."""

from __future__ import annotations

import asyncio
import time
import unittest
from typing import TYPE_CHECKING, Final
from unittest import mock

from grpclib.server import Server

from guavamast._daemon import bind_socket, get_bound_address
from guavamast.configuration_spread import ConfigurationSpread, Source
from guavamast.fleet_objects import FailureDomain, Instance
from guavamast.heartbeat_links import HeartbeatLinks
from guavamast.members import MemberState
from guavamast.membership import Membership, MembershipTiming
from guavamast.metrics import NoMetrics
from guavamast.peer_grpc import PeerBase

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from grpclib.server import Stream

    from guavamast.heartbeat_link import HeartbeatLink
    from guavamast.peer_pb2 import HeartbeatMessage

TIMING: Final = MembershipTiming(period_s=0.1, suspect_after_s=0.8, gone_after_s=0.6)
WAIT_TIMEOUT_S: Final = 20.0


class FilteredLinks(HeartbeatLinks):
    """Links that drop the messages of some peers, as a cut network link does."""

    drops: frozenset[str] = frozenset()

    def _receive(self, link: HeartbeatLink, message: HeartbeatMessage) -> None:
        if message.sender not in self.drops:
            super()._receive(link, message)


class GossipService(PeerBase):
    """Peer service that implements only ``Gossip``."""

    def __init__(self, links: HeartbeatLinks) -> None:
        self._links = links

    async def Gossip(self, stream: Stream) -> None:  # noqa: N802
        await self._links.serve(stream)

    async def Slots(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Follow(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError

    async def Announce(self, stream: Stream) -> None:  # noqa: N802
        raise NotImplementedError


class DelayedStream:
    """A stub with one stream, which opens on demand and then delivers no messages."""

    def __init__(self) -> None:
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.opening = False
        self.Gossip = self

    def open(self) -> DelayedStream:
        return self

    async def __aenter__(self) -> DelayedStream:
        return self

    async def __aexit__(self, *error: object) -> None:
        return None

    async def send_request(self) -> None:
        self.opening = True
        await self.opened

    async def send_message(self, message: HeartbeatMessage) -> None:
        del message

    async def recv_message(self) -> None:
        await asyncio.Event().wait()


class Peer:
    """The membership part of a dispatcher, with a listener."""

    def __init__(
        self,
        name: str,
        seeds: Iterable[str],
        *,
        address: str = "127.0.0.1:0",
        timing: MembershipTiming = TIMING,
    ) -> None:
        self.name = name
        self._socket = bind_socket(address)
        self.address = get_bound_address(self._socket)
        instance = Instance(
            name=name,
            failure_domain=FailureDomain(name=f"r{name[-1]}-a", region=f"r{name[-1]}"),
            caller_address="127.0.0.1:1",
            peer_address=self.address,
        )
        now = time.monotonic()
        self.membership = Membership(
            me=instance, incarnation=time.time_ns() // 10**6, now=now, timing=timing
        )
        self.membership.add_seeds(seeds)
        self.spread = ConfigurationSpread(now=now, seed=1)
        self.spread.record_head(0, now=now)
        self.links = FilteredLinks(
            membership=self.membership, spread=self.spread, metrics=NoMetrics()
        )

    async def start(self) -> None:
        """Listen and send heartbeats."""
        self._server = Server([GossipService(self.links)])
        await self._server.start(sock=self._socket)
        self._task = asyncio.ensure_future(self.links.run())

    async def close(self) -> None:
        """Leave the fleet and stop."""
        self._task.cancel()
        await self.links.close()
        self._server.close()
        await self._server.wait_closed()

    async def kill(self) -> None:
        """Stop without announcing it."""
        self._task.cancel()
        self._server.close()
        for link in list(self.links._links):
            link.close()
        await self._server.wait_closed()

    def list_serving(self) -> list[str]:
        """Return the names of the instances that it considers serving."""
        view = self.membership.create_view(now=time.monotonic())
        return [member.instance.name for member in view.list_serving()]


class HeartbeatLinksTest(unittest.IsolatedAsyncioTestCase):
    """Six instances in two regions; the last letter of a name is its region."""

    async def asyncSetUp(self) -> None:
        self.peers: dict[str, Peer] = {}
        for name in ("a0", "b1", "c0", "d1", "e0", "f1"):
            await self.start(name)
        await self.wait_agreed()

    async def asyncTearDown(self) -> None:
        await asyncio.gather(*(peer.close() for peer in self.peers.values()))

    async def start(self, name: str, *, address: str = "127.0.0.1:0") -> None:
        """Start an instance with the first one as its seed."""
        seeds = [peer.address for peer in list(self.peers.values())[:1]]
        self.peers[name] = Peer(name, seeds, address=address)
        await self.peers[name].start()

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline, "did not come in time")
            await asyncio.sleep(0.02)

    def _is_gone(self, name: str, suspected: list[str]) -> bool:
        states = [peer.membership.get(name).state for peer in self.peers.values()]
        suspected.extend(state.name for state in states if state == MemberState.SUSPECT)
        return set(states) == {MemberState.GONE}

    async def wait_agreed(self) -> None:
        """Wait until all see exactly the running instances."""
        names = sorted(self.peers)
        await self.wait_for(lambda: all(p.list_serving() == names for p in self.peers.values()))

    async def test_configuration_and_graceful_end_reach_all(self) -> None:
        now = time.monotonic()
        self.peers["c0"].spread.accept(1, "one\n" * 2000, source=Source.PLATFORM, now=now)
        self.peers["c0"].links.schedule_flush()
        await self.wait_for(lambda: all(p.spread.version == 1 for p in self.peers.values()))
        self.assertEqual(len({peer.spread.text for peer in self.peers.values()}), 1)
        await self.peers.pop("d1").close()
        suspected: list[str] = []
        await self.wait_for(lambda: self._is_gone("d1", suspected))
        self.assertEqual(suspected, [], "an instance that ends gracefully is told, not suspected")

    async def test_partition_heals(self) -> None:
        """Two regions are partitioned while the connections between them look open.

        Each side continues alone: its callers get only its own instances and keepers move there.
        A version that one side accepts meanwhile must reach the other after the partition heals.
        """
        for peer in self.peers.values():
            peer.links.drops = frozenset(n for n in self.peers if n[-1] != peer.name[-1])
        halves = {"0": ["a0", "c0", "e0"], "1": ["b1", "d1", "f1"]}
        await self.wait_for(
            lambda: all(p.list_serving() == halves[p.name[-1]] for p in self.peers.values())
        )
        now = time.monotonic()
        self.peers["a0"].spread.accept(1, "text", source=Source.PLATFORM, now=now)
        await self.wait_for(lambda: self.peers["e0"].spread.version == 1)
        self.assertEqual(self.peers["b1"].spread.version, 0)
        for peer in self.peers.values():
            peer.links.drops = frozenset()
        await self.wait_agreed()
        await self.wait_for(lambda: all(p.spread.version == 1 for p in self.peers.values()))

    async def test_a_restart_on_the_same_address_replaces_the_old_process(self) -> None:
        """A process is killed and another one starts at once under the same name.

        The old process may be suspected by then. The higher incarnation must override that, or the
        new process would stay out of all views.
        """
        old = self.peers.pop("b1")
        before = old.membership.me.incarnation
        await old.kill()
        await self.start("b1", address=old.address)
        await self.wait_agreed()
        for peer in self.peers.values():
            self.assertGreater(peer.membership.get("b1").incarnation, before)

    async def test_the_end_of_a_peer_that_dialled_is_noticed_at_once(self) -> None:
        """A process is killed that had dialled all of its streams itself.

        grpclib cancels the handlers at the other ends instead of raising an error. So nobody
        dialled the process before two periods had passed, and the endpoints it kept stalled for
        4 s instead of 1. The period here exceeds the test, so only an immediate dial detects it.
        """
        slow = MembershipTiming(period_s=10 * WAIT_TIMEOUT_S)
        one = Peer("a0", [], timing=slow)
        two = Peer("b0", [one.address], timing=slow)
        for peer in (one, two):
            await peer.start()
        await self.wait_for(lambda: one.membership.get("b0") is not None)
        await two.kill()
        await self.wait_for(lambda: one.membership.get("b0").state == MemberState.SUSPECT)
        await one.close()

    async def test_close_ends_at_any_step_of_a_dial(self) -> None:
        """A dispatcher is stopped just as the connection of a dial is made.

        The cancellation was lost, the stream stayed open, and the process hung until it was
        killed. Closing must finish at any step of a dial.
        """
        peer = Peer("g0", [])
        self.addCleanup(peer._socket.close)
        stream = DelayedStream()
        with mock.patch("guavamast.heartbeat_links.PeerStub", return_value=stream):
            dial = asyncio.ensure_future(peer.links._run_dialled("127.0.0.1:1", ""))
            while not stream.opening:
                await asyncio.sleep(0)
            stream.opened.set_result(None)
            dial.cancel()
            done, _ = await asyncio.wait([dial], timeout=1.0)
        self.assertEqual(done, {dial})


if __name__ == "__main__":
    unittest.main()
