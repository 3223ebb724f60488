"""The entry's side of slots: one open stream to each keeper that it asks.

An ask lasts until its release. When the keeper of its endpoint changes or its stream breaks, a
waiting ask is sent again to the new keeper and a held slot is presented to it, so that a keeper's
crash loses no queued request and interrupts no running one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from guavamast import peer_pb2
from guavamast._slot_wire import (
    decode_event,
    decode_probe,
    encode_ask,
    encode_release,
)
from guavamast.log import get_logger
from guavamast.peer_grpc import PeerStub
from guavamast.slot_hold import AskRefused, HoldState, SlotHold
from guavamast.slots import Granted, Paused, Queued, Refused, Release

if TYPE_CHECKING:
    from collections.abc import Callable

    from guavamast.slots import Ask, Probe

KEEPER_TIMEOUT_S: Final = 1.0
"""Silence after which a keeper with waiting asks counts as unreachable. A keeper answers each ask
at once and sends a probe twice a second to an entry with queued asks."""
RECONNECT_S: Final = 0.2
RECONNECT_MAX_S: Final = 2.0
NO_KEEPER_RETRY_S: Final = 0.1

LINK_ERRORS = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)


class SlotLinks:
    """Asks keepers for slots and moves the asks when a keeper changes.

    Args:
        entry: Name of this instance.
        find_keeper: Returns the peer address of an endpoint's keeper, leaving out addresses that
            can't be reached from here; None when there is none.
        on_probe: Called with each probe that a keeper sends.
        on_allotment: Called with each allotment, a share of an organisation's limits.
        clock: Monotonic time.
    """

    def __init__(
        self,
        *,
        entry: str,
        find_keeper: Callable[[str, frozenset[str]], str | None],
        on_probe: Callable[[Probe], None],
        on_allotment: Callable[[peer_pb2.AllotmentMessage], None] = lambda _: None,
        clock: Callable[[], float],
    ) -> None:
        self.entry = entry
        self.clock = clock
        self.on_probe = on_probe
        self.on_allotment = on_allotment
        self._find_keeper = find_keeper
        self._links: dict[str, SlotLink] = {}
        self._holds: dict[str, SlotHold] = {}

    async def acquire(
        self, ask: Ask, *, on_queued: Callable[[Queued], None] | None = None
    ) -> SlotHold:
        """Ask for a slot and wait for it.

        Args:
            ask: The ask; its deadline bounds the wait.
            on_queued: Called when the keeper queues the ask.

        Returns:
            The held slot, to be passed to `release` exactly once.

        Raises:
            AskRefused: The keeper rejected or shed it.
            TimeoutError: The deadline passed first.
        """
        hold = SlotHold(ask=ask)
        hold.on_queued = on_queued
        self._holds[ask.ask_id] = hold
        try:
            self._route(hold)
            async with asyncio.timeout(max(0.0, ask.deadline - self.clock())):
                await hold.granted
        except BaseException:
            self._abandon(hold)
            raise
        return hold

    def release(self, hold: SlotHold, release: Release) -> None:
        """Release a held slot at all keepers that have received its ask."""
        if hold.state is HoldState.ENDED:
            return
        hold.state = HoldState.ENDED
        self._holds.pop(hold.ask.ask_id, None)
        for address in hold.addresses:
            self.send(address, encode_release(release))

    def reroute(self) -> None:
        """Move each ask whose keeper has changed; call after the view or a link has changed."""
        for hold in list(self._holds.values()):
            self._route(hold)
        needed = {hold.address for hold in self._holds.values()}
        for address in [name for name in self._links if name not in needed]:
            link = self._links[address]
            if not link.reachable:
                self._links.pop(address).close()

    def list_unreachable(self) -> frozenset[str]:
        """Return the addresses whose link is known to be lost."""
        return frozenset(name for name, link in self._links.items() if not link.reachable)

    def count_open_asks(self) -> int:
        """Return the number of asks that wait or hold a slot."""
        return len(self._holds)

    def count_held(self, endpoint: str) -> int:
        """Return the number of slots held at one endpoint."""
        return sum(
            hold.state is HoldState.HELD and hold.ask.endpoint == endpoint
            for hold in self._holds.values()
        )

    async def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def count_waiting(self, address: str) -> int:
        """Return the number of asks that wait at a keeper."""
        return sum(
            hold.state is HoldState.WAITING and hold.address == address
            for hold in self._holds.values()
        )

    def receive(self, message: peer_pb2.KeeperMessage, *, address: str) -> None:
        """Handle one message from a keeper."""
        kind = message.WhichOneof("body")
        if kind == "probe":
            self.on_probe(decode_probe(message.probe))
            return
        if kind == "allotment":
            self.on_allotment(message.allotment)
            return
        if kind is None:
            return
        body = getattr(message, kind)
        hold = self._holds.get(body.ask_id)
        if hold is None or hold.address != address:
            self._release_stray_grant(kind, body, address)
            return
        self._apply(hold, decode_event(message, hold.ask))

    def _apply(self, hold: SlotHold, event: object) -> None:
        if isinstance(event, Granted) and hold.state is HoldState.WAITING:
            hold.state = HoldState.HELD
            hold.held_since = self.clock()
            if not hold.granted.done():
                hold.granted.set_result(None)
        elif isinstance(event, Refused) and hold.state is HoldState.WAITING:
            hold.state = HoldState.ENDED
            self._holds.pop(hold.ask.ask_id, None)
            if not hold.granted.done():
                rejection = AskRefused(code=event.code, retry_after_s=event.retry_after_s)
                hold.granted.set_exception(rejection)
        elif isinstance(event, Queued) and hold.on_queued is not None:
            hold.on_queued(event)
        elif isinstance(event, Paused) and hold.on_paused is not None:
            hold.on_paused(event.reason)

    def _release_stray_grant(self, kind: str, body: peer_pb2.GrantMessage, address: str) -> None:
        # Without this, a keeper that was frozen grants an ask that has moved to another keeper,
        # and the slot leaks until it expires. Releasing it unused suffices: nothing was sent.
        if kind == "grant":
            release = Release(ask_id=body.ask_id, endpoint=body.endpoint, used=False)
            self.send(address, encode_release(release))

    def _route(self, hold: SlotHold) -> None:
        address = self._find_keeper(hold.ask.endpoint, self.list_unreachable())
        if address is None:
            loop = asyncio.get_running_loop()
            loop.call_later(NO_KEEPER_RETRY_S, self._retry_route, hold)
            return
        if address == hold.address:
            return
        if hold.address and hold.state is HoldState.WAITING:
            self._send_withdraw(hold, hold.address)
        hold.addresses = [name for name in hold.addresses if name != address] + [address]
        self._send_hold(hold)

    def _retry_route(self, hold: SlotHold) -> None:
        if hold.state is not HoldState.ENDED:
            self._route(hold)

    def _send_hold(self, hold: SlotHold) -> None:
        now = self.clock()
        ask = encode_ask(hold.ask, now=now)
        if hold.state is HoldState.WAITING:
            self.send(hold.address, peer_pb2.EntryMessage(ask=ask))
        elif hold.state is HoldState.HELD:
            present = peer_pb2.PresentMessage(
                ask=ask, held_s=now - hold.held_since, tokens=hold.tokens
            )
            self.send(hold.address, peer_pb2.EntryMessage(present=present))

    def resend_holds(self, address: str) -> None:
        """Send all asks of a keeper to it again; call when its link is restored."""
        for hold in self._holds.values():
            if hold.address == address:
                self._send_hold(hold)

    def _abandon(self, hold: SlotHold) -> None:
        if hold.state is HoldState.ENDED:
            return
        if hold.state is HoldState.HELD:
            release = Release(ask_id=hold.ask.ask_id, endpoint=hold.ask.endpoint, used=False)
            self.release(hold, release)
            return
        hold.state = HoldState.ENDED
        self._holds.pop(hold.ask.ask_id, None)
        if hold.address:
            self._send_withdraw(hold, hold.address)

    def _send_withdraw(self, hold: SlotHold, address: str) -> None:
        withdraw = peer_pb2.WithdrawMessage(ask_id=hold.ask.ask_id, endpoint=hold.ask.endpoint)
        self.send(address, peer_pb2.EntryMessage(withdraw=withdraw))

    def send(self, address: str, message: peer_pb2.EntryMessage) -> None:
        """Send a message to a keeper; it is lost when the stream is."""
        link = self._links.get(address)
        if link is None:
            link = self._links[address] = SlotLink(address=address, links=self)
        link.send(message)


class SlotLink:
    """The stream to one keeper, reopened after each loss until it is closed."""

    __slots__ = ("_address", "_received_at", "_links", "_outbox", "_task", "reachable")

    def __init__(self, *, address: str, links: SlotLinks) -> None:
        self._address = address
        self._links = links
        self._outbox: asyncio.Queue[peer_pb2.EntryMessage] = asyncio.Queue()
        self._received_at = 0.0
        self.reachable = True
        """False from the loss of the stream until the keeper has answered on a new one."""
        self._task = asyncio.ensure_future(self._run())

    def send(self, message: peer_pb2.EntryMessage) -> None:
        """Queue a message; dropped while the stream is lost, since asks are sent again."""
        if self.reachable:
            self._outbox.put_nowait(message)

    def close(self) -> None:
        """Close the stream for good."""
        self._task.cancel()

    async def _run(self) -> None:
        delay = RECONNECT_S
        while True:
            try:
                await self._serve()
            except LINK_ERRORS as error:
                get_logger().info("slot stream to %s lost: %r", self._address, error)
            except Exception:
                # Without this, an error of another kind in the library ends this task, and every
                # ask at the address waits until its deadline. Any end counts as a lost stream.
                get_logger().exception("slot stream to %s failed", self._address)
            if self.reachable:
                delay = RECONNECT_S
                self.reachable = False
                self._outbox = asyncio.Queue()
                self._links.reroute()
            await asyncio.sleep(delay)
            delay = min(RECONNECT_MAX_S, delay * 2)

    async def _serve(self) -> None:
        host, port = self._address.rsplit(":", 1)
        channel = Channel(host, int(port))
        try:
            async with PeerStub(channel).Slots.open() as stream:
                hello = peer_pb2.EntryMessage(hello=self._links.entry)
                async with asyncio.timeout(KEEPER_TIMEOUT_S):
                    await stream.send_message(peer_pb2.EntryBatch(messages=[hello]))
                    await stream.recv_message()
                self._record_received()
                if not self.reachable:
                    # Without this, when the only keeper restarts, the asks still routed to its
                    # address are unknown to the new process. All of them are sent again here.
                    self.reachable = True
                    self._links.resend_holds(self._address)
                    self._links.reroute()
                await self._exchange(stream)
        finally:
            channel.close()

    async def _exchange(self, stream: object) -> None:
        tasks = [
            asyncio.ensure_future(self._send_batches(stream)),
            asyncio.ensure_future(self._receive_batches(stream)),
            asyncio.ensure_future(self._watch_silence()),
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_batches(self, stream: object) -> None:
        while True:
            messages = [await self._outbox.get()]
            while not self._outbox.empty():
                messages.append(self._outbox.get_nowait())
            await stream.send_message(peer_pb2.EntryBatch(messages=messages))

    async def _receive_batches(self, stream: object) -> None:
        while (batch := await stream.recv_message()) is not None:
            self._record_received()
            for message in batch.messages:
                self._links.receive(message, address=self._address)

    async def _watch_silence(self) -> None:
        # Without this, asks at a frozen keeper whose connection stays open wait until their
        # deadlines. Silence counts only while asks wait there, when a healthy keeper sends
        # a probe twice a second.
        silent_since = None
        while True:
            await asyncio.sleep(KEEPER_TIMEOUT_S / 4)
            now = self._links.clock()
            if not self._links.count_waiting(self._address):
                silent_since = None
                continue
            silent_since = max(silent_since or now, self._received_at)
            if now - silent_since > KEEPER_TIMEOUT_S:
                raise TimeoutError("keeper sent nothing while asks were waiting")

    def _record_received(self) -> None:
        self._received_at = self._links.clock()
