"""Heartbeat streams to other dispatchers.

There is one stream for each pair of neighbours. The end with the lower name dials it; the other end
dials if no stream is opened in time.
"""

from __future__ import annotations

import asyncio
import time
from random import Random
from typing import TYPE_CHECKING, Final

from grpclib.client import Channel
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError

from guavamast.heartbeat_exchange import HeartbeatExchange
from guavamast.heartbeat_link import HeartbeatLink
from guavamast.log import get_logger
from guavamast.members import MemberState
from guavamast.peer_grpc import PeerStub

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from grpclib.server import Stream

    from guavamast.configuration_spread import ConfigurationSpread
    from guavamast.membership import Membership
    from guavamast.metrics import Metrics
    from guavamast.peer_pb2 import HeartbeatMessage

COALESCE_S: Final = 0.02
"""Time for which updates are coalesced before they are sent."""
CONNECT_TIMEOUT_S: Final = 2.0
"""Timeout for opening a stream."""
INITIAL_RETRY_DELAY_S: Final = 0.5
"""Delay after a failed dial; doubles up to `MAX_RETRY_DELAY_S`."""
MAX_RETRY_DELAY_S: Final = 5.0
"""Upper bound of the delay between two dials of one address, before jitter."""
RECONNECT_INTERVAL_S: Final = 5.0
"""Mean interval between two dials of a seed or a gone instance, while there are neighbours."""
UNUSED_STREAM_TIMEOUT_S: Final = 5.0
"""Time for which a dialled stream to an instance that is no longer a neighbour is kept."""
SILENT_STREAM_SHARE: Final = 0.75
"""Share of the time until suspicion after which a silent dialled stream is replaced."""
CLOSE_TIMEOUT_S: Final = 0.5
"""Timeout for announcing to the neighbours that this process ends."""
GAUGE_ROUNDS: Final = 10
"""Rounds between two updates of the gauges."""

_STREAM_ERRORS: Final = (OSError, GRPCError, ProtocolError, StreamTerminatedError, TimeoutError)


class HeartbeatLinks:
    """Maintains the streams to this instance's neighbours and runs its failure detector.

    The dispatcher awaits `run` in a task, passes each ``Gossip`` stream to `serve`, calls
    `tell_soon` after it changed the membership or the configuration itself, and awaits `close` at
    the end.

    Args:
        membership: This instance's membership.
        spread: The configuration to distribute.
        metrics: Receives counters and gauges.
        on_change: Called after members or configuration changed.
        clock: The monotonic clock.
    """

    __slots__ = (
        "_clock",
        "_closing",
        "_reconnect_at",
        "_dialling",
        "_exchange",
        "_failures",
        "_flush",
        "_links",
        "_membership",
        "_metrics",
        "_missing_since",
        "_on_change",
        "_random",
        "_retry_at",
        "_rounds",
        "_spread",
        "_tasks",
        "_ticked_at",
    )

    def __init__(
        self,
        *,
        membership: Membership,
        spread: ConfigurationSpread,
        metrics: Metrics,
        on_change: Callable[[], None] = lambda: None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._membership = membership
        self._spread = spread
        self._metrics = metrics
        self._on_change = on_change
        self._clock = clock
        self._exchange = HeartbeatExchange(membership=membership, spread=spread)
        self._random = Random(membership.me.instance.name)
        self._links: set[HeartbeatLink] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._dialling: set[str] = set()
        self._failures: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}
        self._missing_since: dict[str, float] = {}
        self._flush: asyncio.TimerHandle | None = None
        self._reconnect_at = 0.0
        self._ticked_at = clock()
        self._rounds = 0
        self._closing = False

    async def run(self) -> None:
        """Send heartbeats once per period until cancelled."""
        period = self._membership.timing.period_s
        due = self._clock()
        while True:
            self._run_round(self._clock())
            due = max(due + period, self._clock())
            await asyncio.sleep(due - self._clock())

    async def serve(self, stream: Stream) -> None:
        """Serve a ``Gossip`` stream that a peer dialled, until either end closes it."""
        await self._serve_link(HeartbeatLink(stream=stream, address="", now=self._clock()))

    async def close(self) -> None:
        """Announce to the neighbours that this process ends, and close all streams."""
        self._closing = True
        self._membership.end()
        for link in self._links:
            link.wake()
        if self._links:
            await asyncio.wait(
                [asyncio.ensure_future(link.wait_sent()) for link in self._links],
                timeout=CLOSE_TIMEOUT_S,
            )
        if self._flush is not None:
            self._flush.cancel()
        for link in list(self._links):
            link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def schedule_flush(self) -> None:
        """Send pending updates soon, without waiting for the next period."""
        if self._flush is None:
            self._flush = asyncio.get_running_loop().call_later(COALESCE_S, self._send_updates)

    def _run_round(self, now: float) -> None:
        paused = now - self._ticked_at > 2.0 * self._membership.timing.period_s
        self._ticked_at = now
        before = self._membership.state_sequence
        self._membership.tick(now=now)
        if self._membership.state_sequence != before:
            self._on_change()
        if paused:
            for link in self._links:
                link.reset_silence(now)
        self._update_links(now)
        for link in self._links:
            link.wake()
        self._rounds += 1
        if self._rounds % GAUGE_ROUNDS == 1:
            self._set_gauges(now)

    def _send_updates(self) -> None:
        self._flush = None
        now = self._clock()
        for link in self._links:
            if self._exchange.has_updates(link.state, now=now):
                link.wake()

    def _update_links(self, now: float) -> None:
        neighbours = {m.instance.name: m for m in self._membership.list_neighbours()}
        self._spread.set_neighbours(len(neighbours))
        self._close_obsolete(neighbours, now)
        linked = {link.state.peer for link in self._links}
        for name, member in neighbours.items():
            if name in linked:
                self._missing_since.pop(name, None)
            elif self._should_dial(name, now):
                self._dial(member.instance.peer_address, name, now)
        for name in set(self._missing_since) - set(neighbours):
            del self._missing_since[name]
        self._reconnect(bool(neighbours), now)

    def _close_obsolete(self, neighbours: Iterable[str], now: float) -> None:
        timing = self._membership.timing
        own = self._membership.me.instance.name
        accepted = {link.state.peer for link in self._links if not link.address}
        for link in list(self._links):
            peer = link.state.peer
            if peer in neighbours:
                link.used_at = now
            silent = now - link.received_at
            if link.address:
                # If the peer restarted or a route changed, this end's packets are lost while the
                # stream looks open. Replace it before the peer would be suspected.
                obsolete = silent > SILENT_STREAM_SHARE * timing.suspect_after_s
                obsolete = obsolete or now - link.used_at > UNUSED_STREAM_TIMEOUT_S
                obsolete = obsolete or (peer < own and peer in accepted)
            else:
                obsolete = silent > timing.suspect_after_s + timing.gone_after_s
            if obsolete:
                link.close()

    def _should_dial(self, name: str, now: float) -> bool:
        since = self._missing_since.setdefault(name, now)
        waited = now - since >= 2.0 * self._membership.timing.period_s
        return waited or self._membership.me.instance.name < name

    def _reconnect(self, connected: bool, now: float) -> None:
        if connected and now < self._reconnect_at:
            return
        self._reconnect_at = now + RECONNECT_INTERVAL_S * self._random.uniform(0.5, 1.5)
        linked = {link.address for link in self._links}
        addresses = [c for c in self._membership.list_reconnect_addresses() if c not in linked]
        ready = [c for c in addresses if self._retry_at.get(c, now) <= now]
        self._retry_at = {a: at for a, at in self._retry_at.items() if at > now - 60.0}
        if ready:
            self._dial(self._random.choice(ready), "", now)

    def _dial(self, address: str, name: str, now: float) -> None:
        if self._closing or address in self._dialling or self._retry_at.get(address, now) > now:
            return
        self._dialling.add(address)
        task = asyncio.ensure_future(self._run_dialled(address, name))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run_dialled(self, address: str, name: str) -> None:
        host, port = address.rsplit(":", 1)
        channel = Channel(host, int(port))
        try:
            async with PeerStub(channel).Gossip.open() as stream:
                # asyncio.wait_for loses a cancellation that arrives just as the connection is
                # made, and `close` would wait forever. asyncio.timeout doesn't lose it.
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    await stream.send_request()
                self._dialling.discard(address)
                link = HeartbeatLink(stream=stream, address=address, now=self._clock())
                try:
                    await self._serve_link(link)
                finally:
                    # Leaving the stream's context waits for the peer's trailers, which a stopped
                    # peer never sends. It doesn't wait on a closed connection.
                    channel.close()
        except _STREAM_ERRORS as error:
            if address in self._dialling:
                self._record_failed_dial(address, name, error)
        finally:
            self._dialling.discard(address)
            channel.close()

    def _record_failed_dial(self, address: str, name: str, error: Exception) -> None:
        now = self._clock()
        failures = self._failures.get(address, 0)
        self._failures[address] = failures + 1
        pause = min(INITIAL_RETRY_DELAY_S * 2.0**failures, MAX_RETRY_DELAY_S)
        self._retry_at[address] = now + pause * self._random.uniform(0.5, 1.5)
        self._metrics.count("heartbeat.dial_failed")
        if name and isinstance(error, ConnectionRefusedError):
            self._membership.report_connection_refused(name, now=now)
            self._on_change()
            self.schedule_flush()

    async def _serve_link(self, link: HeartbeatLink) -> None:
        if self._closing:
            return
        self._links.add(link)
        # grpclib cancels the handler of an accepted stream whose connection is lost, so a stream
        # that ends by an exception counts as broken too.
        broken = True
        try:
            broken = await link.run(
                build_message=lambda: self._exchange.build_message(link.state, now=self._clock()),
                on_message=lambda message: self._receive(link, message),
            )
        finally:
            self._links.discard(link)
            self._handle_ended(link, broken and not self._closing)

    def _handle_ended(self, link: HeartbeatLink, broken: bool) -> None:
        peer = link.state.peer
        if not peer or any(other.state.peer == peer for other in self._links):
            return
        self._spread.forget_peer(peer)
        if broken:
            # The streams of a process break when it exits. Dialling its address at once detects
            # this by a refused connection, seconds sooner than waiting for silence.
            self._missing_since[peer] = float("-inf")
            asyncio.get_running_loop().call_soon(lambda: self._update_links(self._clock()))

    def _receive(self, link: HeartbeatLink, message: HeartbeatMessage) -> None:
        first = not link.state.peer
        link.received_at = self._clock()
        changes = self._exchange.apply_message(message, link.state, now=link.received_at)
        if first:
            self._failures.pop(link.address, None)
            self._close_older(link)
        if changes.members or changes.configuration:
            self._on_change()
            self.schedule_flush()
        elif self._exchange.has_updates(link.state, now=link.received_at):
            self.schedule_flush()

    def _close_older(self, link: HeartbeatLink) -> None:
        for other in list(self._links):
            same = other.state.peer == link.state.peer and not other.address
            if same and other is not link and not link.address:
                other.close()

    def _set_gauges(self, now: float) -> None:
        states = [member.state for member in self._membership.create_view(now=now).members]
        self._metrics.gauge("heartbeat.links", len(self._links))
        for state in (MemberState.LIVE, MemberState.SUSPECT, MemberState.LEAVING):
            self._metrics.gauge(f"membership.{state.name.lower()}", states.count(state))
        get_logger().debug("heartbeat links=%d members=%d", len(self._links), len(states))
